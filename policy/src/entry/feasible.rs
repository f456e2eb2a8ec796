//! Whether a request can still end in time.

use super::{Entry, Turn, request::Request, state::Request as State};
use crate::{
    id::{PoolId, Time},
    outcome::Reason,
};
use std::time::Duration;

/// Quantile of a stage's time that a request must still have left to be worth a call.
const FEASIBLE_QUANTILE: f64 = 0.1;

/// The same quantile when other stages wait for the room that the call would take.
const CONTENDED_QUANTILE: f64 = 0.8;

impl Entry {
    /// Returns whether the current stage is worth a call now.
    ///
    /// A call that is likely to end too late is worth trying only if no other stage waits for
    /// the room.
    pub(super) fn is_feasible(&self, now: Time, request: &Request) -> bool {
        let lane = self.lanes.get(request.pool());
        let free = lane.is_none_or(|lane| lane.queue.is_empty());
        now + self.work_left(request, quantile(free)) <= request.deadline
    }

    /// Gives up the waiting stages of a pool that can't end in time any more.
    pub(super) fn drop_infeasible(&mut self, turn: &mut Turn<'_>, pool: &PoolId) {
        let Some(work) = self.router.quantile(pool, FEASIBLE_QUANTILE) else {
            return;
        };
        let Some(lane) = self.lanes.get_mut(pool) else {
            return;
        };
        for item in lane.queue.expire(turn.now + work) {
            self.with(&item.key, |entry, request| {
                if request.state() == State::Waiting {
                    entry.give_up(turn, request, Reason::Infeasible);
                }
            });
        }
    }

    /// Returns the time that the rest of the pipeline takes, waiting included.
    pub(super) fn time_left(&self, request: &Request) -> Duration {
        let wait = self.wait(request);
        wait + self.work_left(request, quantile(wait.is_zero()))
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
            .filter_map(|pool| self.router.quantile(pool, quantile))
            .sum()
    }

    fn wait_in(&self, pool: &PoolId, request: &Request) -> Duration {
        let ahead = self.lanes.get(pool).map_or(0.0, |lane| {
            let workspace = &request.key.workspace;
            lane.queue.ahead(workspace, request.priority)
        });
        Duration::from_secs_f64(ahead / f64::from(self.router.width(pool).max(1)))
    }
}

/// Returns the quantile that counts where room is free or others wait for it.
fn quantile(free: bool) -> f64 {
    if free {
        FEASIBLE_QUANTILE
    } else {
        CONTENDED_QUANTILE
    }
}
