//! Handling of completed and failed calls to stage targets.

use super::{
    Call, Command, ItemError, ROOM_RESERVATION_CALLS, Refusal, Scheduler,
    call::{PieceRef, StageRef},
    job::{Handle, StoredResult},
};
use crate::id::{DomainId, Time};
use std::time::Duration;

impl Scheduler {
    /// Applies the result of each item in a completed call.
    pub(super) fn apply_item_results(
        &mut self,
        now: Time,
        call: &Call,
        items: Vec<Result<Handle, ItemError>>,
        out: &mut Vec<Command>,
    ) {
        let without_room = items.iter().filter(|item| **item == Err(ItemError::Room));
        let is_full = without_room.count() * 2 > items.len();
        let pool_state = self.pool_state(&call.pool);
        let limits = pool_state.limits;
        let result_ttl = limits.map_or(Duration::ZERO, |limits| limits.result_ttl);
        let taken = now.saturating_sub(call.started);
        // A call that computed few of its pieces is no sample of the usual duration.
        if !is_full {
            pool_state.record_call_time(now, taken);
        }
        pool_state.throughput.completed += items.iter().filter(|item| item.is_ok()).count();
        let reserved_until = now
            + pool_state
                .expected_call_time()
                .mul_f64(ROOM_RESERVATION_CALLS);
        let mut domain = DomainId::default();
        if let Some(stage_target) = pool_state.target_mut(&call.target) {
            stage_target.call = None;
            domain.clone_from(&stage_target.domain);
            match limits {
                // The target's memory holds results that this scheduler does not know, for example
                // those of the previous leader.
                Some(limits) if is_full => {
                    stage_target.reserve(stage_target.room(&limits), reserved_until);
                }
                _ => {
                    let nominal = call.nominal.as_secs_f64().max(0.001);
                    stage_target.record_success(now, taken.as_secs_f64() / nominal);
                }
            }
        }
        let outcomes = call.items.iter().zip(&call.bytes).zip(items);
        for ((&(job, stage, piece), &bytes), outcome) in outcomes {
            match outcome {
                Ok(handle) => {
                    let result = StoredResult {
                        handle,
                        target: call.target.clone(),
                        domain: domain.clone(),
                        expires_at: now + result_ttl,
                    };
                    self.store_result(call, (job, stage, piece), result, bytes);
                }
                Err(error) => self.handle_item_error(now, call, (job, stage), error, bytes, out),
            }
        }
    }

    fn store_result(
        &mut self,
        call: &Call,
        (job, stage, piece): PieceRef,
        result: StoredResult,
        bytes: u64,
    ) {
        let pool_state = self.pool_state(&call.pool);
        if let Some(stage_target) = pool_state.target_mut(&call.target) {
            stage_target.add_result(result.handle.clone(), bytes, result.expires_at);
        }
        let unused = match self.jobs.get_mut(&job) {
            Some(running) => running.stages[stage].store(piece, result),
            None => Some(result),
        };
        if let Some(result) = unused {
            self.release_results(vec![(call.pool.clone(), result)]);
        }
    }

    fn handle_item_error(
        &mut self,
        now: Time,
        call: &Call,
        (job, stage): StageRef,
        error: ItemError,
        bytes: u64,
        out: &mut Vec<Command>,
    ) {
        let Some(running) = self.jobs.get_mut(&job) else {
            return;
        };
        match error {
            ItemError::Late => self.refuse(now, job, Refusal::Late, out),
            ItemError::Gone => {
                running.failures += 1;
                for &from in &running.job.stages[stage].after {
                    running.stages[from].reset();
                }
            }
            // The target was out of memory, so this does not count against the job.
            ItemError::Room => {
                let pool_state = self.pool_state(&call.pool);
                let call_time = pool_state.expected_call_time();
                if let Some(stage_target) = pool_state.target_mut(&call.target) {
                    stage_target.reserve(bytes, now + call_time.mul_f64(ROOM_RESERVATION_CALLS));
                }
            }
            ItemError::Failed => running.failures += 1,
        }
    }

    /// Releases the target of a failed call and pauses it. If the call may have run, memory is
    /// reserved for its results until they would expire.
    pub(super) fn handle_failed_call(&mut self, now: Time, call: &Call, may_have_run: bool) {
        let pool_state = self.pool_state(&call.pool);
        let result_ttl = pool_state
            .limits
            .map_or(Duration::ZERO, |limits| limits.result_ttl);
        let call_time = pool_state.expected_call_time();
        if let Some(stage_target) = pool_state.target_mut(&call.target) {
            stage_target.call = None;
            stage_target.record_failure(now, call_time);
            if may_have_run {
                stage_target.reserve(call.bytes.iter().sum(), now + result_ttl);
            }
        }
    }
}
