//! Estimates of whether a request can still meet its deadline.

use super::{Context, Entry, request::Request, state::RequestState};
use crate::{
    id::{PoolId, Time},
    outcome::Reason,
};
use std::time::Duration;

/// Quantile of the stage times that has to fit before the deadline for a call to be worthwhile.
const FEASIBLE_QUANTILE: f64 = 0.1;

/// The same quantile when other requests may miss their deadlines for lack of the capacity.
const CONTENDED_QUANTILE: f64 = 0.8;

impl Entry {
    /// Returns whether the current stage is worth a call now.
    ///
    /// A call that will probably end too late is still tried, unless the queue behind it is so long
    /// that some of the queued requests will miss their deadlines anyway.
    pub(super) fn is_feasible(&self, now: Time, request: &Request) -> bool {
        let backlog = self
            .pool_queues
            .get(request.pool())
            .map_or(0.0, |pool_queue| pool_queue.queue.backlog(request.priority));
        let wait = self.elapsed_for(backlog, request.pool());
        let left = request.deadline.saturating_sub(now);
        self.remaining_work(request, required_quantile(wait, left)) <= left
    }

    /// Gives up the queued stages of a pool that can no longer meet their deadlines.
    pub(super) fn drop_infeasible(&mut self, cx: &mut Context<'_>, pool: &PoolId) {
        let Some(work) = self.router.call_time_quantile(pool, FEASIBLE_QUANTILE) else {
            return;
        };
        let Some(pool_queue) = self.pool_queues.get_mut(pool) else {
            return;
        };
        for item in pool_queue.queue.expire(cx.now + work) {
            self.with_request(&item.key, |entry, request| {
                if request.state() == RequestState::Waiting {
                    entry.give_up(cx, request, Reason::Infeasible);
                }
            });
        }
    }

    /// Returns whether a new request is expected to meet its deadline, queueing included.
    pub(super) fn can_meet_deadline(&self, now: Time, request: &Request) -> bool {
        now + self.expected_duration(now, request) <= request.deadline
    }

    /// Returns the expected time to the end of the pipeline, queueing included.
    pub(super) fn expected_duration(&self, now: Time, request: &Request) -> Duration {
        let wait = self.expected_wait(request);
        let left = request.deadline.saturating_sub(now + wait);
        wait + self.remaining_work(request, required_quantile(wait, left))
    }

    /// Returns the time by which the first stage of a new request can be delayed.
    ///
    /// A start that is delayed by all of it still leaves each call the time that most calls take, so
    /// that the request is not given up as infeasible when it starts.
    pub(super) fn slack(&self, now: Time, request: &Request) -> Duration {
        let work = self.remaining_work(request, CONTENDED_QUANTILE);
        let left = request.deadline.saturating_sub(now);
        left.saturating_sub(self.expected_wait(request) + work)
    }

    /// Returns the expected queueing time of the stages that are not completed.
    pub(super) fn expected_wait(&self, request: &Request) -> Duration {
        request.stages[request.stage()..]
            .iter()
            .map(|pool| self.expected_wait_in(pool, request))
            .sum()
    }

    /// Returns the processing time of the stages that are not completed, at `quantile` of each.
    ///
    /// A stage whose times are still unknown counts as zero.
    fn remaining_work(&self, request: &Request, quantile: f64) -> Duration {
        request.stages[request.stage()..]
            .iter()
            .filter_map(|pool| self.router.call_time_quantile(pool, quantile))
            .sum()
    }

    fn expected_wait_in(&self, pool: &PoolId, request: &Request) -> Duration {
        let ahead = self.pool_queues.get(pool).map_or(0.0, |pool_queue| {
            let workspace = &request.key.workspace;
            pool_queue.queue.work_ahead(workspace, request.priority)
        });
        self.elapsed_for(ahead, pool)
    }

    /// Returns the time that the targets of a pool together take for `work` target seconds.
    fn elapsed_for(&self, work: f64, pool: &PoolId) -> Duration {
        Duration::from_secs_f64(work / f64::from(self.router.available_capacity(pool).max(1)))
    }
}

/// Returns the quantile that a request with `left` time has to fit, given the queue's `wait`.
fn required_quantile(wait: Duration, left: Duration) -> f64 {
    if wait > left {
        CONTENDED_QUANTILE
    } else {
        FEASIBLE_QUANTILE
    }
}
