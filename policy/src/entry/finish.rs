//! Final outcomes of requests.
//!
//! A request that is given up gets its outcome at once. `not_run` is reported only for the first
//! copy of a request, and only if none of its calls was sent. A repeated request first records its
//! refusal in the claim row, so that a delayed copy can't run afterwards.

use super::{
    Context, Entry,
    request::Request,
    state::{RequestState, RequestStep},
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

/// Lower bound of the retry delay that is suggested to a caller.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Upper bound of the retry delay that is suggested to a caller, before jitter is added.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

impl Entry {
    /// Answers the caller with the result of the last stage.
    pub(super) fn answer(&mut self, cx: &mut Context<'_>, request: &mut Request, answer: Payload) {
        self.finish(cx, request, Outcome::Answered { answer });
    }

    /// Records the decision to give up a request, and ends it.
    pub(super) fn give_up(&mut self, cx: &mut Context<'_>, request: &mut Request, reason: Reason) {
        self.record_decision(cx, request, Choice::GiveUp, None, Vec::new());
        self.conclude(cx, request, reason);
    }

    /// Ends a request without an answer, with the strongest guarantee about its effects that holds.
    ///
    /// A draining entry records no refusal, so that another entry can still run the request.
    pub(super) fn conclude(&mut self, cx: &mut Context<'_>, request: &mut Request, reason: Reason) {
        let retry_after = reason.is_transient().then(|| self.retry_after(request));
        self.conclude_with_retry_after(cx, request, reason, retry_after);
    }

    /// Ends a request as [`conclude`](Self::conclude) does, with the given retry delay.
    pub(super) fn conclude_with_retry_after(
        &mut self,
        cx: &mut Context<'_>,
        request: &mut Request,
        reason: Reason,
        retry_after: Option<Duration>,
    ) {
        match self.next_non_idempotent_stage(request) {
            Some(_) if request.retry && reason == Reason::Leaving => {
                self.finish_unknown(cx, request);
            }
            Some(stage) if request.retry && !self.holds_claim(request) => {
                self.record_refusal(cx, request, stage, reason);
            }
            _ => self.fail(cx, request, reason, retry_after),
        }
    }

    /// Ends a request that is known to have no further side effect.
    pub(super) fn fail(
        &mut self,
        cx: &mut Context<'_>,
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
        self.finish(cx, request, outcome);
    }

    /// Ends a request whose non-idempotent call may have taken effect.
    pub(super) fn finish_unknown(&mut self, cx: &mut Context<'_>, request: &mut Request) {
        let stage = request.pool().clone();
        self.finish(cx, request, Outcome::Unknown { stage });
    }

    /// Ends or detaches a request whose deadline has passed.
    ///
    /// Does nothing if a later copy has extended the deadline.
    pub(super) fn deadline_passed(&mut self, cx: &mut Context<'_>, key: &Key) {
        self.with_request(key, |entry, request| {
            if request.deadline > cx.now {
                return;
            }
            match request.state() {
                RequestState::Running if entry.holds_claim(request) => Self::detach(cx, request),
                RequestState::Held => entry.fail_held_call(cx, request),
                RequestState::Watching | RequestState::Looking | RequestState::Refusing => {
                    entry.finish_unknown(cx, request);
                }
                RequestState::Detached | RequestState::Ended => {}
                _ => entry.fail_at_deadline(cx, request),
            }
        });
    }

    fn fail_at_deadline(&mut self, cx: &mut Context<'_>, request: &mut Request) {
        let retry_after = Some(self.retry_after(request));
        if request.retry
            && self.next_non_idempotent_stage(request).is_some()
            && !self.holds_claim(request)
        {
            self.finish_unknown(cx, request);
        } else if request.state() == RequestState::Claiming {
            self.fail(cx, request, Reason::Platform, retry_after);
        } else {
            self.fail(cx, request, Reason::Deadline, retry_after);
        }
    }

    /// Gives up a call that its target was too full to run, and settles its claim as failed.
    fn fail_held_call(&mut self, cx: &mut Context<'_>, request: &mut Request) {
        if let Some(attempt) = request.attempts.first().map(|attempt| attempt.id) {
            cx.send_claim_operation(
                request,
                Operation::Settle {
                    attempt,
                    row: Row::Failed { attempt },
                },
            );
        }
        let retry_after = Some(self.retry_after(request));
        self.fail(cx, request, Reason::Deadline, retry_after);
    }

    /// Reports an unknown outcome to the caller while a non-idempotent call is still running.
    fn detach(cx: &mut Context<'_>, request: &mut Request) {
        if request.step(RequestStep::Detach) {
            let stage = request.pool().clone();
            let outcome = Outcome::Unknown { stage };
            cx.commands.push(Command::Finish {
                key: request.key.clone(),
                outcome,
            });
        }
    }

    /// Ends a detached request whose call returned a result.
    pub(super) fn complete_detached(&mut self, now: Time, request: &mut Request, result: Payload) {
        let answer = request.is_last_stage().then_some(result);
        self.outcome_cache
            .insert(now, request.key.clone(), request.fingerprint, answer, false);
        request.step(RequestStep::End);
    }

    /// Ends a detached request whose call returned no result.
    pub(super) fn end_detached_without_result(
        &mut self,
        now: Time,
        request: &mut Request,
        unsettled: bool,
    ) {
        self.outcome_cache.insert(
            now,
            request.key.clone(),
            request.fingerprint,
            None,
            unsettled,
        );
        request.step(RequestStep::End);
    }

    /// Ends a detached request whose target was too full to run the call.
    pub(super) fn detached_call_busy(&mut self, cx: &mut Context<'_>, request: &mut Request) {
        if let Some(attempt) = request.attempts.first().map(|attempt| attempt.id) {
            cx.send_claim_operation(
                request,
                Operation::Settle {
                    attempt,
                    row: Row::Failed { attempt },
                },
            );
        }
        self.cancel_attempts(cx, request, None);
        self.end_detached_without_result(cx.now, request, false);
    }

    /// Inserts a refusal into the claim row, so that no copy of the request can take effect.
    fn record_refusal(
        &mut self,
        cx: &mut Context<'_>,
        request: &mut Request,
        stage: StageIndex,
        reason: Reason,
    ) {
        self.cancel_attempts(cx, request, None);
        if !request.step(RequestStep::Refuse) {
            self.finish_unknown(cx, request);
            return;
        }
        request.refusal_reason = Some(reason);
        let operation = Operation::Insert { row: Row::Refused };
        cx.commands.push(Command::Claim {
            key: request.key.clone(),
            stage,
            operation,
        });
    }

    /// Handles the platform's reply to the insertion of a refusal.
    pub(super) fn refusal_replied(
        &mut self,
        cx: &mut Context<'_>,
        request: &mut Request,
        reply: &Reply,
    ) {
        let reason = request.refusal_reason.unwrap_or(Reason::Refused);
        let retry_after = reason.is_transient().then(|| self.retry_after(request));
        match reply {
            Reply::Row {
                row: Row::Refused | Row::Failed { .. },
            } => {
                self.fail(cx, request, reason, retry_after);
            }
            Reply::Row {
                row: Row::Done { .. },
            } => {
                request.effects = Effects::Done;
                self.fail(cx, request, reason, retry_after);
            }
            Reply::Row {
                row: Row::Held { .. },
            }
            | Reply::Absent
            | Reply::Out => {
                self.finish_unknown(cx, request);
            }
        }
    }

    /// Reports the final outcome, and releases all that the request holds.
    fn finish(&mut self, cx: &mut Context<'_>, request: &mut Request, outcome: Outcome) {
        if !request.step(RequestStep::End) {
            return;
        }
        self.return_admission(cx.now, request);
        self.release_unsent_claims(cx, request);
        self.cancel_attempts(cx, request, None);
        if let Some(pool_queue) = self.pool_queues.get_mut(request.pool()) {
            pool_queue.queue.remove(&request.key);
        }
        let (answer, unsettled) = match &outcome {
            Outcome::Answered { answer } => (Some(Payload::clone(answer)), false),
            Outcome::Unknown { .. } => (None, true),
            Outcome::NotRun { .. } | Outcome::Failed { .. } => (None, false),
        };
        if !matches!(outcome, Outcome::NotRun { .. }) {
            let key = request.key.clone();
            self.outcome_cache
                .insert(cx.now, key, request.fingerprint, answer, unsettled);
        }
        cx.commands.push(Command::Finish {
            key: request.key.clone(),
            outcome,
        });
    }

    /// Deletes the claims of attempts whose calls were never sent.
    fn release_unsent_claims(&self, cx: &mut Context<'_>, request: &Request) {
        let claims = self.pool(request).is_some_and(|pool| !pool.idempotent);
        for attempt in request
            .attempts
            .iter()
            .filter(|attempt| claims && !attempt.is_sent())
        {
            cx.send_claim_operation(
                request,
                Operation::Release {
                    attempt: attempt.id,
                },
            );
        }
    }

    /// Returns the first non-idempotent stage that is not completed.
    fn next_non_idempotent_stage(&self, request: &Request) -> Option<StageIndex> {
        (request.stage()..request.stages.len()).find(|stage| {
            self.pool_queues
                .get(&request.stages[*stage])
                .is_some_and(|pool_queue| !pool_queue.pool.idempotent)
        })
    }

    /// Returns whether the request holds the claim of its current stage.
    fn holds_claim(&self, request: &Request) -> bool {
        let holds = matches!(
            request.state(),
            RequestState::Running | RequestState::Held | RequestState::Releasing
        );
        holds && self.pool(request).is_some_and(|pool| !pool.idempotent)
    }

    /// Returns the suggested retry delay: the expected queueing time, with jitter.
    fn retry_after(&mut self, request: &Request) -> Duration {
        let wait = self
            .expected_wait(request)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        self.jitter(wait)
    }

    /// Sets the timer for the request's deadline.
    pub(super) fn set_deadline_timer(&mut self, request: &Request) {
        self.timers
            .set(request.deadline, Due::Deadline(request.key.clone()));
    }
}
