//! Handling of attempts that ended without a result.

use super::{
    Context, Entry,
    request::{Attempt, Request},
    state::{AttemptStep, RequestState, RequestStep},
};
use crate::{
    claim::{Operation, Row},
    fault::Fault,
    id::AttemptId,
    outcome::Reason,
    router::CallResult,
};

impl Entry {
    /// Handles the end of an attempt that has no result.
    pub(super) fn attempt_failed(&mut self, cx: &mut Context<'_>, id: AttemptId, fault: Fault) {
        let Some(key) = self.attempts.get(&id).cloned() else {
            return;
        };
        self.with_request(&key, |entry, request| {
            let idempotent = entry.pool(request).is_none_or(|pool| pool.idempotent);
            if !idempotent && matches!(fault, Fault::Busy { .. }) {
                entry.hold_claim(cx, request, id);
                return;
            }
            entry.attempts.remove(&id);
            let Some(mut attempt) = request.remove_attempt(id) else {
                return;
            };
            attempt.step(AttemptStep::End);
            entry
                .router
                .record_end(cx.now, id, CallResult::Failed(fault));
            entry.changed_pools.insert(request.pool().clone());
            entry.record_death(cx, request, &attempt, fault);
            if idempotent {
                entry.retry(cx, request, &attempt, fault);
            } else {
                entry.claimed_call_failed(cx, request, attempt, fault);
            }
        });
    }

    /// Retries an idempotent stage at another target, or gives up the request.
    fn retry(
        &mut self,
        cx: &mut Context<'_>,
        request: &mut Request,
        attempt: &Attempt,
        fault: Fault,
    ) {
        if request.state() != RequestState::Running || !request.attempts.is_empty() {
            return;
        }
        if fault == Fault::Rejected {
            self.give_up(cx, request, Reason::Rejected);
            return;
        }
        if fault.is_not_executed() {
            request.full_targets.push(attempt.target.clone());
        } else {
            request.failed_targets.push(attempt.target.clone());
        }
        if self.is_quarantined(request.pool_fingerprint()) {
            self.quarantine(cx, request);
        } else if !fault.is_not_executed() && !self.retries.try_spend() {
            self.give_up(cx, request, Reason::Attempts);
        } else if request.step(RequestStep::Retry) {
            self.enqueue(cx, request);
        }
    }

    /// Keeps the claim of a call that its target was too full to run, and schedules a resend.
    fn hold_claim(&mut self, cx: &mut Context<'_>, request: &mut Request, id: AttemptId) {
        let held = request
            .attempt(id)
            .is_some_and(|attempt| attempt.step(AttemptStep::Busy));
        if !held {
            return;
        }
        if request.step(RequestStep::Hold) {
            self.schedule_retry(cx, request);
        } else {
            self.detached_call_busy(cx, request);
        }
    }

    /// Settles or releases the claim of a call that ended without a result.
    ///
    /// If the call may have taken effect, its target is queried; if the pool has no lookup, the
    /// outcome stays unknown.
    fn claimed_call_failed(
        &mut self,
        cx: &mut Context<'_>,
        request: &mut Request,
        attempt: Attempt,
        fault: Fault,
    ) {
        let id = attempt.id;
        let target = attempt.target.clone();
        if request.state() == RequestState::Detached {
            self.detached_call_failed(cx, request, id, fault);
            return;
        }
        request.broken_attempt = Some(attempt);
        match fault {
            Fault::Unsent => {
                request.full_targets.push(target);
                request.step(RequestStep::Release);
                cx.send_claim_operation(request, Operation::Release { attempt: id });
            }
            Fault::Rejected => {
                cx.send_claim_operation(
                    request,
                    Operation::Settle {
                        attempt: id,
                        row: Row::Failed { attempt: id },
                    },
                );
                self.fail(cx, request, Reason::Rejected, None);
            }
            _ if self.pool(request).is_some_and(|pool| pool.lookup) => {
                request.step(RequestStep::Look);
                self.look_up(cx, request, target);
                self.schedule_retry(cx, request);
            }
            _ => self.finish_unknown(cx, request),
        }
    }

    /// Settles the claim of a call whose caller already has its outcome, and ends the request.
    fn detached_call_failed(
        &mut self,
        cx: &mut Context<'_>,
        request: &mut Request,
        id: AttemptId,
        fault: Fault,
    ) {
        match fault {
            Fault::Unsent => cx.send_claim_operation(request, Operation::Release { attempt: id }),
            Fault::Rejected => {
                cx.send_claim_operation(
                    request,
                    Operation::Settle {
                        attempt: id,
                        row: Row::Failed { attempt: id },
                    },
                );
            }
            _ => {}
        }
        let unsettled = !matches!(fault, Fault::Unsent | Fault::Rejected);
        self.end_detached_without_result(cx.now, request, unsettled);
    }
}
