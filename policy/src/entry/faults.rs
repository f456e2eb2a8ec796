//! What follows an attempt that ended without a result.

use super::{
    Entry, Turn,
    request::{Attempt, Request},
    state::{AttemptStep, Request as State, Step},
};
use crate::{
    claim::{Ask, Row},
    fault::Fault,
    id::AttemptId,
    outcome::Reason,
    router::CallResult,
};

impl Entry {
    /// Takes in the end of an attempt that has no result.
    pub(super) fn attempt_failed(&mut self, turn: &mut Turn<'_>, id: AttemptId, fault: Fault) {
        let Some(key) = self.attempts.get(&id).cloned() else {
            return;
        };
        self.with(&key, |entry, request| {
            let idempotent = entry.pool(request).is_none_or(|pool| pool.idempotent);
            if !idempotent && matches!(fault, Fault::Busy { .. }) {
                entry.hold(turn, request, id);
                return;
            }
            entry.attempts.remove(&id);
            let Some(mut attempt) = request.take_attempt(id) else {
                return;
            };
            attempt.step(AttemptStep::End);
            entry
                .router
                .record_end(turn.now, id, CallResult::Failed(fault));
            entry.dirty.insert(request.pool().clone());
            entry.note_death(turn, request, &attempt, fault);
            if idempotent {
                entry.retry(turn, request, &attempt, fault);
            } else {
                entry.claimed_call_failed(turn, request, attempt, fault);
            }
        });
    }

    /// Repeats an idempotent stage at another target, or gives the request up.
    fn retry(
        &mut self,
        turn: &mut Turn<'_>,
        request: &mut Request,
        attempt: &Attempt,
        fault: Fault,
    ) {
        if request.state() != State::Running || !request.attempts.is_empty() {
            return;
        }
        if fault == Fault::Rejected {
            self.give_up(turn, request, Reason::Rejected);
            return;
        }
        if fault.is_unrun() {
            request.full.push(attempt.target.clone());
        } else {
            request.spent.push(attempt.target.clone());
        }
        if self.is_quarantined(request.mark()) {
            self.quarantine(turn, request);
        } else if !fault.is_unrun() && !self.retries.try_spend() {
            self.give_up(turn, request, Reason::Attempts);
        } else if request.step(Step::Retry) {
            self.enqueue(turn, request);
        }
    }

    /// Keeps the claim of a call that its target was too full to run, and sends it again later.
    fn hold(&mut self, turn: &mut Turn<'_>, request: &mut Request, id: AttemptId) {
        let held = request
            .attempt(id)
            .is_some_and(|attempt| attempt.step(AttemptStep::Busy));
        if !held {
            return;
        }
        if request.step(Step::Hold) {
            self.pause(turn, request);
        } else {
            self.abandon_detached(turn, request);
        }
    }

    /// Settles the claim of a call that ended without a result, as far as that is known.
    fn claimed_call_failed(
        &mut self,
        turn: &mut Turn<'_>,
        request: &mut Request,
        attempt: Attempt,
        fault: Fault,
    ) {
        let id = attempt.id;
        let target = attempt.target.clone();
        if request.state() == State::Detached {
            self.end_detached(turn, request, id, fault);
            return;
        }
        request.broken = Some(attempt);
        match fault {
            Fault::Unsent => {
                request.full.push(target);
                request.step(Step::Release);
                turn.ask(request, Ask::Release { attempt: id });
            }
            Fault::Rejected => {
                turn.ask(
                    request,
                    Ask::Settle {
                        attempt: id,
                        row: Row::Failed { attempt: id },
                    },
                );
                self.fail(turn, request, Reason::Rejected, None);
            }
            _ if self.pool(request).is_some_and(|pool| pool.lookup) => {
                request.step(Step::Look);
                self.look_up(turn, request, target);
                self.pause(turn, request);
            }
            _ => self.leave_unknown(turn, request),
        }
    }

    /// Notes how the call of a request ended whose caller has its outcome already.
    fn end_detached(
        &mut self,
        turn: &mut Turn<'_>,
        request: &mut Request,
        id: AttemptId,
        fault: Fault,
    ) {
        match fault {
            Fault::Unsent => turn.ask(request, Ask::Release { attempt: id }),
            Fault::Rejected => {
                turn.ask(
                    request,
                    Ask::Settle {
                        attempt: id,
                        row: Row::Failed { attempt: id },
                    },
                );
            }
            _ => {}
        }
        let unsettled = !matches!(fault, Fault::Unsent | Fault::Rejected);
        self.forget_detached(turn.now, request, unsettled);
    }
}
