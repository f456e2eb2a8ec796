//! Limits on the rate of requests that targets name in their answers.

use super::{dialect::ResponseMetadata, event, state::Relay};
use policy::{
    id::Time,
    relay::{rate::Rate, registry::Target},
};

impl Relay {
    /// Records what an answer says of the rate of requests that its target takes. The request was sent
    /// at `sent_at`.
    pub(super) fn record_rate(&self, target: &Target, sent_at: Time, metadata: &ResponseMetadata) {
        let rate = metadata.max_rate;
        if rate.is_some() {
            let sends = &self.metrics.rate_limited_sends;
            sends.with_label_values(&[&target.pool]).inc();
        }
        let mut limits = self.rate_limits.borrow_mut();
        if limits.record_answer(self.now(), target, sent_at, rate) {
            self.log_rate(target, rate, limits.count());
        }
    }

    fn log_rate(&self, target: &Target, rate: Option<Rate>, limited_targets: usize) {
        event::rate_changed(&target.id, &target.pool, rate);
        self.metrics.set_rate_limited_targets(limited_targets);
    }
}
