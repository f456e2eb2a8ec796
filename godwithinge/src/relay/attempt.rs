//! Sends of a request, and what became of them.

use super::{
    outcome::{Reason, Rejection},
    rejection,
    run::POOL_RETRY_AFTER,
    send::SendOutcome,
};
use policy::id::TargetId;

/// Outcomes of the sends of a request.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    pub tried: Vec<TargetId>,
    /// Sends that a target may have executed, including pending ones.
    pub possibly_executed: u32,
    /// Sends that no target executed.
    pub not_executed: u32,
    /// Sends that reached a target, including pending ones.
    pub delivered: u32,
    /// Sends that targets rejected for want of room.
    pub rejected: u32,
    /// Whether the request has earned its fraction of a retry.
    pub has_earned: bool,
}

impl Attempts {
    /// Adjusts the counters to the outcome of a send, which was counted as possibly executed, and
    /// returns the label of the outcome.
    pub fn record(&mut self, outcome: &SendOutcome) -> &'static str {
        match outcome {
            SendOutcome::Unreached => {
                self.possibly_executed -= 1;
                self.not_executed += 1;
                self.delivered -= 1;
                "unreached"
            }
            SendOutcome::NotExecuted(status) => {
                self.possibly_executed -= 1;
                self.not_executed += 1;
                self.rejected += u32::from(rejection::is_rejection(*status));
                "not_run"
            }
            SendOutcome::Unproven(status) => {
                self.rejected += u32::from(rejection::is_rejection(*status));
                "unproven"
            }
            // Whatever kept it from being sent is no failure of a target.
            SendOutcome::Withdrawn => {
                self.possibly_executed -= 1;
                self.delivered -= 1;
                "withdrawn"
            }
            SendOutcome::Failed(result) => result,
            SendOutcome::Buffered(_) | SendOutcome::Streaming(_) => "answered",
        }
    }

    /// Returns the rejection of a request that cannot be sent again.
    pub fn failure(&self) -> Rejection {
        if self.possibly_executed > 0 {
            Rejection::new(Reason::Broken)
        } else {
            Rejection::new(Reason::Full).with_retry_after(POOL_RETRY_AFTER)
        }
    }
}
