//! Final outcomes.
//!
//! A request that is given up gets its outcome at once. `not_run` is given only to the first copy
//! of a request of which no byte left; a repeated request records its refusal first, so that a
//! delayed copy can't run after it.

use super::{
    Entry, Turn,
    request::Request,
    state::{Request as State, Step},
    timer::Due,
};
use crate::{
    claim::{Operation, Reply, Row},
    command::Command,
    decision::Choice,
    id::{Key, Payload, StageIndex, Time},
    outcome::{Effects, Outcome, Reason},
};
use std::time::Duration;

/// Shortest time after which a caller is asked to come back.
pub(super) const LEAST_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Longest time after which a caller is asked to come back.
const MOST_RETRY_AFTER: Duration = Duration::from_secs(30);

impl Entry {
    /// Answers the caller with the result of the last stage.
    pub(super) fn answer(&mut self, turn: &mut Turn<'_>, request: &mut Request, answer: Payload) {
        self.finish(turn, request, Outcome::Answered { answer });
    }

    /// Gives a request up that can't get its answer.
    pub(super) fn give_up(&mut self, turn: &mut Turn<'_>, request: &mut Request, reason: Reason) {
        self.decide(turn, request, Choice::GiveUp, None, Vec::new());
        self.conclude(turn, request, reason);
    }

    /// Ends a request that can't get its answer, with the strongest promise that is true.
    ///
    /// A leaving entry records no refusal, so that another entry can still run the request.
    pub(super) fn conclude(&mut self, turn: &mut Turn<'_>, request: &mut Request, reason: Reason) {
        let retry_after = reason.is_transient().then(|| self.retry_after(request));
        self.conclude_after(turn, request, reason, retry_after);
    }

    /// Ends a request as [`conclude`](Self::conclude) does, with the time to come back after.
    pub(super) fn conclude_after(
        &mut self,
        turn: &mut Turn<'_>,
        request: &mut Request,
        reason: Reason,
        retry_after: Option<Duration>,
    ) {
        match self.open_claim(request) {
            Some(_) if request.retry && reason == Reason::Leaving => {
                self.leave_unknown(turn, request);
            }
            Some(stage) if request.retry && !self.holds_claim(request) => {
                self.refuse(turn, request, stage, reason);
            }
            _ => self.fail(turn, request, reason, retry_after),
        }
    }

    /// Ends a request of which it is proved that it has no further effect.
    pub(super) fn fail(
        &mut self,
        turn: &mut Turn<'_>,
        request: &mut Request,
        reason: Reason,
        retry_after: Option<Duration>,
    ) {
        let outcome = match retry_after {
            Some(retry_after) if !request.dispatched && !request.retry => Outcome::NotRun {
                reason,
                retry_after,
            },
            _ => Outcome::Failed {
                stage: request.pool().clone(),
                effects: request.effects,
                reason,
                retry_after,
            },
        };
        self.finish(turn, request, outcome);
    }

    /// Ends a request whose non-idempotent call may have taken effect.
    pub(super) fn leave_unknown(&mut self, turn: &mut Turn<'_>, request: &mut Request) {
        let stage = request.pool().clone();
        self.finish(turn, request, Outcome::Unknown { stage });
    }

    /// Ends or detaches a request whose deadline has passed.
    pub(super) fn expire(&mut self, turn: &mut Turn<'_>, key: &Key) {
        self.with(key, |entry, request| {
            if request.deadline > turn.now {
                return;
            }
            match request.state() {
                State::Running if entry.holds_claim(request) => Self::detach(turn, request),
                State::Held => entry.drop_held(turn, request),
                State::Watching | State::Looking | State::Refusing => {
                    entry.leave_unknown(turn, request);
                }
                State::Detached | State::Ended => {}
                _ => entry.miss_deadline(turn, request),
            }
        });
    }

    fn miss_deadline(&mut self, turn: &mut Turn<'_>, request: &mut Request) {
        let retry_after = Some(self.retry_after(request));
        if request.retry && self.open_claim(request).is_some() && !self.holds_claim(request) {
            self.leave_unknown(turn, request);
        } else if request.state() == State::Claiming {
            self.fail(turn, request, Reason::Platform, retry_after);
        } else {
            self.fail(turn, request, Reason::Deadline, retry_after);
        }
    }

    /// Gives up a call that its target never had room for; the claim settles as without effect.
    fn drop_held(&mut self, turn: &mut Turn<'_>, request: &mut Request) {
        if let Some(attempt) = request.attempts.first().map(|attempt| attempt.id) {
            turn.ask(
                request,
                Operation::Settle {
                    attempt,
                    row: Row::Failed { attempt },
                },
            );
        }
        let retry_after = Some(self.retry_after(request));
        self.fail(turn, request, Reason::Deadline, retry_after);
    }

    /// Answers the caller while a non-idempotent call goes on.
    fn detach(turn: &mut Turn<'_>, request: &mut Request) {
        if request.step(Step::Detach) {
            let stage = request.pool().clone();
            let outcome = Outcome::Unknown { stage };
            turn.out.push(Command::Finish {
                key: request.key.clone(),
                outcome,
            });
        }
    }

    /// Ends a detached request whose call has its result.
    pub(super) fn settle_detached(&mut self, now: Time, request: &mut Request, result: Payload) {
        let answer = request.is_last().then_some(result);
        self.memory
            .insert(now, request.key.clone(), request.fingerprint, answer, false);
        request.step(Step::End);
    }

    /// Ends a detached request whose call has no result.
    pub(super) fn forget_detached(&mut self, now: Time, request: &mut Request, unsettled: bool) {
        self.memory.insert(
            now,
            request.key.clone(),
            request.fingerprint,
            None,
            unsettled,
        );
        request.step(Step::End);
    }

    /// Ends a detached request whose call the target was too full to run.
    pub(super) fn abandon_detached(&mut self, turn: &mut Turn<'_>, request: &mut Request) {
        if let Some(attempt) = request.attempts.first().map(|attempt| attempt.id) {
            turn.ask(
                request,
                Operation::Settle {
                    attempt,
                    row: Row::Failed { attempt },
                },
            );
        }
        self.cancel_others(turn, request, None);
        self.forget_detached(turn.now, request, false);
    }

    /// Records that the request is refused, so that no copy of it can take effect.
    fn refuse(
        &mut self,
        turn: &mut Turn<'_>,
        request: &mut Request,
        stage: StageIndex,
        reason: Reason,
    ) {
        self.cancel_others(turn, request, None);
        if !request.step(Step::Refuse) {
            self.leave_unknown(turn, request);
            return;
        }
        request.refusal = Some(reason);
        let operation = Operation::Insert { row: Row::Refused };
        turn.out.push(Command::Claim {
            key: request.key.clone(),
            stage,
            operation,
        });
    }

    /// Takes in the platform's answer to a refusal.
    pub(super) fn refusal_replied(
        &mut self,
        turn: &mut Turn<'_>,
        request: &mut Request,
        reply: &Reply,
    ) {
        let reason = request.refusal.unwrap_or(Reason::Refused);
        let retry_after = reason.is_transient().then(|| self.retry_after(request));
        match reply {
            Reply::Row {
                row: Row::Refused | Row::Failed { .. },
            } => {
                self.fail(turn, request, reason, retry_after);
            }
            Reply::Row {
                row: Row::Done { .. },
            } => {
                request.effects = Effects::Done;
                self.fail(turn, request, reason, retry_after);
            }
            Reply::Row {
                row: Row::Held { .. },
            }
            | Reply::Absent
            | Reply::Out => {
                self.leave_unknown(turn, request);
            }
        }
    }

    /// Gives the final outcome.
    fn finish(&mut self, turn: &mut Turn<'_>, request: &mut Request, outcome: Outcome) {
        if !request.step(Step::End) {
            return;
        }
        self.give_back_start(turn.now, request);
        self.release_unsent(turn, request);
        self.cancel_others(turn, request, None);
        if let Some(backlog) = self.backlogs.get_mut(request.pool()) {
            backlog.queue.remove(&request.key);
        }
        let (answer, unsettled) = match &outcome {
            Outcome::Answered { answer } => (Some(Payload::clone(answer)), false),
            Outcome::Unknown { .. } => (None, true),
            Outcome::NotRun { .. } | Outcome::Failed { .. } => (None, false),
        };
        if !matches!(outcome, Outcome::NotRun { .. }) {
            let key = request.key.clone();
            self.memory
                .insert(turn.now, key, request.fingerprint, answer, unsettled);
        }
        turn.out.push(Command::Finish {
            key: request.key.clone(),
            outcome,
        });
    }

    /// Deletes a claim whose call was never sent.
    fn release_unsent(&self, turn: &mut Turn<'_>, request: &Request) {
        let claims = self.pool(request).is_some_and(|pool| !pool.idempotent);
        for attempt in request
            .attempts
            .iter()
            .filter(|attempt| claims && !attempt.is_sent())
        {
            turn.ask(
                request,
                Operation::Release {
                    attempt: attempt.id,
                },
            );
        }
    }

    /// Returns the first non-idempotent stage that is not done.
    fn open_claim(&self, request: &Request) -> Option<StageIndex> {
        (request.stage()..request.stages.len()).find(|stage| {
            self.backlogs
                .get(&request.stages[*stage])
                .is_some_and(|backlog| !backlog.pool.idempotent)
        })
    }

    /// Returns whether the request holds the claim of its current stage.
    fn holds_claim(&self, request: &Request) -> bool {
        let holds = matches!(
            request.state(),
            State::Running | State::Held | State::Releasing
        );
        holds && self.pool(request).is_some_and(|pool| !pool.idempotent)
    }

    /// Returns when a caller should come back: when the queue before it is worked off.
    fn retry_after(&mut self, request: &Request) -> Duration {
        let wait = self
            .wait(request)
            .clamp(LEAST_RETRY_AFTER, MOST_RETRY_AFTER);
        self.jitter(wait)
    }

    /// Sets the timer of a deadline.
    pub(super) fn set_deadline(&mut self, request: &Request) {
        self.timers
            .set(request.deadline, Due::Deadline(request.key.clone()));
    }
}
