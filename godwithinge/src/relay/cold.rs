//! Targets that are cold, by their entries, their answers and the word of peers.
//!
//! Each of them has a limit on the rate of its requests (`rate`) until it is no longer cold. All daemons
//! know it before they send there: from the entry, or since the evacuation of its domain ends for each of
//! them when it learns of that.

use super::{
    dialect::ResponseMetadata,
    event,
    frame::{Frame, WireCold},
    state::Relay,
};
use policy::{
    id::{HostId, TargetId},
    relay::{
        plan::ColdLimits,
        rate::Cold,
        registry::{Registration, Start, Target},
    },
};
use std::{rc::Rc, time::Duration};
use tokio::time;

/// Interval at which limits of targets that are no longer cold are ended.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);

/// Ends the limits of targets that are no longer cold; never returns.
pub(super) async fn end_cold_times(relay: Rc<Relay>) {
    loop {
        time::sleep(REVIEW_INTERVAL).await;
        let ended = relay.rates.limits_mut().end_cold(relay.now());
        for target in &ended {
            event::cold_changed(target, None);
            relay.limit_stage_target(target);
        }
        if !ended.is_empty() {
            relay.record_cold_count();
        }
    }
}

impl Relay {
    /// Returns whether an entry says something new about how long its target is cold.
    pub(super) fn is_cold_news(&self, registration: &Registration) -> bool {
        let target = &registration.target;
        let registry = self.registry();
        self.cold_limits(target).is_some()
            && registry
                .cold()
                .is_news(self.now(), target, registration.cold_for)
    }

    /// Records how long a target is cold by its latest entry.
    pub(super) fn record_cold_entry(&self, target: &Target, cold_for: Duration) {
        let now = self.now();
        let mut registry = self.registry_mut();
        registry.cold_mut().record_entry(now, target, cold_for);
        drop(registry);
        self.apply_cold(target);
    }

    /// Handles what a target's answer says of how long it is cold, and tells all peers if this is new.
    pub(super) fn record_cold_answer(&self, target: &TargetId, metadata: &ResponseMetadata) {
        if metadata.cold_for.is_zero() {
            return;
        }
        let known = self.registry().get(target).cloned();
        let Some(known) = known.filter(|known| self.cold_limits(known).is_some()) else {
            return;
        };
        let start = Start {
            target: known.id,
            started_unix_ms: known.started_unix_ms,
        };
        let left = metadata.cold_for;
        if self.apply_cold_word(&start, left) {
            let word = WireCold::from((start, left));
            self.links.broadcast(&Frame::Cold(vec![word]));
        }
    }

    /// Handles what a peer tells of targets that are cold.
    pub(super) fn receive_cold(&self, words: Vec<WireCold>) {
        for word in words {
            let (start, left) = word.into();
            self.apply_cold_word(&start, left);
        }
    }

    /// Tells a peer that has just been linked which targets are cold, apart from what entries say.
    pub(super) fn send_cold(&self, host: &HostId) {
        let registry = self.registry();
        let words: Vec<WireCold> = registry
            .cold()
            .words(self.now())
            .map(WireCold::from)
            .collect();
        if !words.is_empty() {
            self.links.send_to_host(host, Frame::Cold(words));
        }
    }

    /// Records that the targets of a domain are cold, since its evacuation ends.
    pub(super) fn record_cold_domain(&self, domain: &str) {
        let targets: Vec<Target> = {
            let registry = self.registry();
            let targets = registry.all().filter(|target| target.domain == domain);
            targets.cloned().collect()
        };
        for target in targets {
            if let Some(limits) = self.cold_limits(&target) {
                let start = Start {
                    target: target.id,
                    started_unix_ms: target.started_unix_ms,
                };
                self.apply_cold_word(&start, limits.duration);
            }
        }
    }

    /// Applies the limits of a new configuration to all targets that are cold.
    pub(super) fn reapply_cold(&self) {
        let targets: Vec<Target> = self.registry().all().cloned().collect();
        for target in &targets {
            self.apply_cold(target);
        }
    }

    fn apply_cold_word(&self, start: &Start, left: Duration) -> bool {
        let now = self.now();
        let mut registry = self.registry_mut();
        let is_news = registry.cold_mut().record_word(now, start, left);
        let target = registry.get(&start.target).cloned();
        drop(registry);
        if let Some(target) = target {
            self.apply_cold(&target);
        }
        is_news
    }

    /// Sets the limit of a target as it follows from how long it is cold and from the configuration.
    fn apply_cold(&self, target: &Target) {
        let now = self.now();
        let limits = self.cold_limits(target);
        let until = self.registry().cold().until(now, target);
        let cold = limits.zip(until).map(|(limits, until)| Cold {
            rate: limits.rate,
            until,
        });
        if cold.is_some() {
            self.record_rate_fleet();
        }
        let has_changed = self.rates.limits_mut().set_cold(now, target, cold);
        if has_changed {
            let left = cold.map(|cold| (cold.rate, cold.until.saturating_sub(now)));
            event::cold_changed(&target.id, left);
            self.limit_stage_target(&target.id);
            self.record_cold_count();
        }
    }

    fn cold_limits(&self, target: &Target) -> Option<ColdLimits> {
        self.plan()?.pool(&target.pool)?.cold_limits
    }

    fn record_cold_count(&self) {
        let count = self.rates.limits_mut().cold_count();
        self.metrics.holds.set_cold_targets(count);
    }
}
