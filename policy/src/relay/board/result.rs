//! What calls to stage targets brought.

use super::{
    Board, Call, Command, JobId, ROOM_PAUSE, Refusal, TIME_WEIGHT, Why,
    job::{Handle, Made},
};
use crate::id::{DomainId, Time};
use std::time::Duration;

impl Board {
    /// Takes the outcomes of a call's items.
    pub(super) fn take_items(
        &mut self,
        now: Time,
        call: &Call,
        items: Vec<Result<Handle, Why>>,
        out: &mut Vec<Command>,
    ) {
        let without_room = items.iter().filter(|item| **item == Err(Why::Room));
        let is_full = without_room.count() * 2 > items.len();
        let bench = self.bench(&call.pool);
        let limits = bench.limits;
        let keep = limits.map_or(Duration::ZERO, |limits| limits.keep);
        let taken = now.saturating_sub(call.started).as_secs_f64();
        // A call that made next to nothing says nothing of the time that calls take.
        if !is_full {
            let usual = bench.usual.get_or_insert(taken);
            *usual += TIME_WEIGHT * (taken - *usual);
        }
        let mut domain = DomainId::default();
        if let Some(press) = bench.press(&call.target) {
            press.call = None;
            domain.clone_from(&press.domain);
            match limits {
                // It holds results that this board has not heard of.
                Some(limits) if is_full => {
                    press.hold_unnamed(press.room(&limits), now + ROOM_PAUSE);
                }
                _ => press.note_done(taken / call.nominal.as_secs_f64().max(0.001)),
            }
        }
        let outcomes = call.items.iter().zip(&call.bytes).zip(items);
        for ((&(job, stage, piece), &bytes), outcome) in outcomes {
            match outcome {
                Ok(handle) => {
                    let made = Made {
                        handle,
                        target: call.target.clone(),
                        domain: domain.clone(),
                        until: now + keep,
                    };
                    self.take_result(call, (job, stage, piece), made, bytes);
                }
                Err(why) => self.take_failure(now, call, (job, stage), why, bytes, out),
            }
        }
    }

    fn take_result(
        &mut self,
        call: &Call,
        (job, stage, piece): (JobId, usize, usize),
        made: Made,
        bytes: u64,
    ) {
        let bench = self.bench(&call.pool);
        if let Some(press) = bench.press(&call.target) {
            press.hold(made.handle.clone(), bytes, made.until);
        }
        let running = self.jobs.get_mut(&job);
        match running.map(|running| &mut running.stages[stage].pieces[piece]) {
            Some(piece) if piece.made.is_none() => piece.made = Some(made),
            Some(_) | None => self.free(vec![(call.pool.clone(), made)]),
        }
    }

    fn take_failure(
        &mut self,
        now: Time,
        call: &Call,
        (job, stage): (JobId, usize),
        why: Why,
        bytes: u64,
        out: &mut Vec<Command>,
    ) {
        let Some(running) = self.jobs.get_mut(&job) else {
            return;
        };
        match why {
            Why::Late => self.refuse(now, job, Refusal::Late, out),
            Why::Gone => {
                running.failures += 1;
                for from in running.job.stages[stage].after.clone() {
                    running.forget_stage(from);
                }
            }
            // The piece was not made, for no fault of the job's.
            Why::Room => {
                if let Some(press) = self.bench(&call.pool).press(&call.target) {
                    press.hold_unnamed(bytes, now + ROOM_PAUSE);
                }
            }
            Why::Failed => running.failures += 1,
        }
    }

    /// Lets the pieces of a failed call wait again.
    pub(super) fn fail(&mut self, now: Time, call: &Call, may_have_run: bool) {
        let bench = self.bench(&call.pool);
        let keep = bench.limits.map_or(Duration::ZERO, |limits| limits.keep);
        if let Some(press) = bench.press(&call.target) {
            press.call = None;
            press.note_failed(now);
            if may_have_run {
                press.hold_unnamed(call.bytes.iter().sum(), now + keep);
            }
        }
    }
}
