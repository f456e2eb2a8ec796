//! Whether a request can still end in time.

use super::{Entry, Turn, request::Request, state::Request as State};
use crate::{
    id::{PoolId, Time},
    outcome::Reason,
};
use std::time::Duration;

/// Quantile of a stage's time that a request must still have left to be worth a call.
const FEASIBLE_QUANTILE: f64 = 0.1;

/// The same quantile when the room would go to others that may be late without it.
const CONTENDED_QUANTILE: f64 = 0.8;

impl Entry {
    /// Returns whether the current stage is worth a call now.
    ///
    /// A call that is likely to end too late is worth trying unless the queue behind it is so long
    /// that some of it will be late anyway.
    pub(super) fn is_feasible(&self, now: Time, request: &Request) -> bool {
        let backlog = self
            .backlogs
            .get(request.pool())
            .map_or(0.0, |backlog| backlog.queue.backlog(request.priority));
        let wait = self.share_out(backlog, request.pool());
        let left = request.deadline.saturating_sub(now);
        self.work_left(request, quantile(wait, left)) <= left
    }

    /// Gives up the waiting stages of a pool that can't end in time any more.
    pub(super) fn drop_infeasible(&mut self, turn: &mut Turn<'_>, pool: &PoolId) {
        let Some(work) = self.router.call_time_quantile(pool, FEASIBLE_QUANTILE) else {
            return;
        };
        let Some(backlog) = self.backlogs.get_mut(pool) else {
            return;
        };
        for item in backlog.queue.expire(turn.now + work) {
            self.with(&item.key, |entry, request| {
                if request.state() == State::Waiting {
                    entry.give_up(turn, request, Reason::Infeasible);
                }
            });
        }
    }

    /// Returns whether a new request can be expected to end in time, waiting included.
    pub(super) fn is_promising(&self, now: Time, request: &Request) -> bool {
        now + self.time_left(now, request) <= request.deadline
    }

    /// Returns the time that the rest of the pipeline takes, waiting included.
    pub(super) fn time_left(&self, now: Time, request: &Request) -> Duration {
        let wait = self.wait(request);
        let left = request.deadline.saturating_sub(now + wait);
        wait + self.work_left(request, quantile(wait, left))
    }

    /// Returns the time that a new request can spare before its first stage.
    ///
    /// A start that is put off by all of it still leaves a call the time that most calls take, so
    /// that it is not given up when it comes.
    pub(super) fn slack(&self, now: Time, request: &Request) -> Duration {
        let work = self.work_left(request, CONTENDED_QUANTILE);
        let left = request.deadline.saturating_sub(now);
        left.saturating_sub(self.wait(request) + work)
    }

    /// Returns the time that the rest of the pipeline is expected to wait in queues.
    pub(super) fn wait(&self, request: &Request) -> Duration {
        request.stages[request.stage()..]
            .iter()
            .map(|pool| self.wait_in(pool, request))
            .sum()
    }

    /// Returns the time that targets work on the rest of the pipeline, at `quantile` of each stage.
    fn work_left(&self, request: &Request, quantile: f64) -> Duration {
        request.stages[request.stage()..]
            .iter()
            .filter_map(|pool| self.router.call_time_quantile(pool, quantile))
            .sum()
    }

    fn wait_in(&self, pool: &PoolId, request: &Request) -> Duration {
        let ahead = self.backlogs.get(pool).map_or(0.0, |backlog| {
            let workspace = &request.key.workspace;
            backlog.queue.work_ahead(workspace, request.priority)
        });
        self.share_out(ahead, pool)
    }

    /// Returns the time in which the targets of a pool do some work, in target seconds.
    fn share_out(&self, work: f64, pool: &PoolId) -> Duration {
        Duration::from_secs_f64(work / f64::from(self.router.available_capacity(pool).max(1)))
    }
}

/// Returns the quantile that counts for a request with some time left before a queue.
fn quantile(wait: Duration, left: Duration) -> f64 {
    if wait > left {
        CONTENDED_QUANTILE
    } else {
        FEASIBLE_QUANTILE
    }
}
