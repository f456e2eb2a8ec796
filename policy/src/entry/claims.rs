//! Claims of non-idempotent stages.
//!
//! A claim row is inserted before its call is sent, and only the attempt that is named in the row
//! may send the call. A claim is deleted only if it is certain that no part of the call was sent.

use super::{
    Context, Entry,
    request::Request,
    state::{RequestState, RequestStep},
};
use crate::{
    claim::{Operation, Reply, Row},
    command::Command,
    decision::Choice,
    id::{AttemptId, Key, Payload, StageIndex, TargetId},
    outcome::Reason,
};

impl Entry {
    /// Inserts the claim row of the current stage.
    pub(super) fn insert_claim(cx: &mut Context<'_>, request: &mut Request, id: AttemptId) {
        let Some(target) = request.attempt(id).map(|attempt| attempt.target.clone()) else {
            return;
        };
        request.step(RequestStep::Claim);
        let row = Row::Held {
            attempt: id,
            target,
            payload: request.fingerprint,
        };
        cx.send_claim_operation(request, Operation::Insert { row });
    }

    /// Handles the platform's reply about a claim row.
    pub(super) fn claim_replied(
        &mut self,
        cx: &mut Context<'_>,
        key: &Key,
        stage: StageIndex,
        reply: Reply,
    ) {
        self.with_request(key, |entry, request| match request.state() {
            RequestState::Refusing => entry.refusal_replied(cx, request, &reply),
            _ if request.stage() != stage => {}
            RequestState::Claiming => entry.insert_replied(cx, request, reply),
            RequestState::Watching => entry.watch_replied(cx, request, reply),
            RequestState::Releasing => entry.release_replied(cx, request, reply),
            _ => {}
        });
    }

    fn insert_replied(&mut self, cx: &mut Context<'_>, request: &mut Request, reply: Reply) {
        let Some(id) = request.attempts.first().map(|attempt| attempt.id) else {
            return;
        };
        match reply {
            Reply::Row {
                row: Row::Held { attempt, .. },
            } if attempt == id => {
                self.send(cx, request, id);
            }
            Reply::Row { row } => self.claim_taken(cx, request, row),
            Reply::Absent | Reply::Out => self.schedule_retry(cx, request),
        }
    }

    /// Continues according to a claim row that another attempt wrote.
    fn claim_taken(&mut self, cx: &mut Context<'_>, request: &mut Request, row: Row) {
        self.cancel_attempts(cx, request, None);
        match row {
            Row::Held { payload, .. } | Row::Done { payload, .. }
                if payload != request.fingerprint =>
            {
                self.fail(cx, request, Reason::Reused, None);
            }
            Row::Held {
                attempt, target, ..
            } => {
                request.claim_holder = Some(attempt);
                if request.step(RequestStep::Taken) {
                    let holder = Some(target.clone());
                    self.record_decision(cx, request, Choice::Claim, holder, Vec::new());
                }
                self.look_up(cx, request, target);
                self.schedule_retry(cx, request);
            }
            Row::Done { result, .. } => {
                self.record_decision(cx, request, Choice::Restored, None, Vec::new());
                self.complete_stage(cx, request, result);
            }
            Row::Failed { .. } => self.fail(cx, request, Reason::Rejected, None),
            Row::Refused => self.fail(cx, request, Reason::Refused, None),
        }
    }

    fn watch_replied(&mut self, cx: &mut Context<'_>, request: &mut Request, reply: Reply) {
        match reply {
            Reply::Row { row } => self.claim_taken(cx, request, row),
            Reply::Absent => {
                request.step(RequestStep::Free);
                self.enqueue(cx, request);
            }
            Reply::Out => self.schedule_retry(cx, request),
        }
    }

    fn release_replied(&mut self, cx: &mut Context<'_>, request: &mut Request, reply: Reply) {
        match reply {
            Reply::Absent => {
                request.step(RequestStep::Free);
                self.enqueue(cx, request);
            }
            Reply::Row { row } => self.claim_taken(cx, request, row),
            Reply::Out => self.schedule_retry(cx, request),
        }
    }

    /// Queries a target for the result of the current stage's call, if the pool supports lookups.
    pub(super) fn look_up(&self, cx: &mut Context<'_>, request: &Request, target: TargetId) {
        let has_lookup = self.pool(request).is_some_and(|pool| pool.lookup);
        if let Some(address) = self.router.address(&target).filter(|_| has_lookup) {
            cx.commands.push(Command::Lookup {
                key: request.key.clone(),
                stage: request.stage(),
                address: address.clone(),
                target,
                idempotency_key: request.idempotency_key(),
            });
        }
    }

    /// Handles a target's reply to the lookup of a call.
    pub(super) fn lookup_replied(
        &mut self,
        cx: &mut Context<'_>,
        key: &Key,
        stage: StageIndex,
        result: Option<Payload>,
    ) {
        self.with_request(key, |entry, request| {
            let is_waiting = matches!(
                request.state(),
                RequestState::Looking | RequestState::Watching
            );
            if !is_waiting || request.stage() != stage {
                return;
            }
            if let Some(result) = result {
                Self::settle_from_lookup(cx, request, &result);
                entry.complete_stage(cx, request, result);
            } else if request.state() == RequestState::Looking {
                entry.schedule_retry(cx, request);
            }
        });
    }

    /// Settles the claim with the result that a lookup returned.
    fn settle_from_lookup(cx: &mut Context<'_>, request: &Request, result: &Payload) {
        let failed_attempt = request.broken_attempt.as_ref().map(|broken| broken.id);
        if let Some(attempt) = failed_attempt.or(request.claim_holder) {
            let result = Payload::clone(result);
            let row = Row::Done {
                attempt,
                result,
                payload: request.fingerprint,
            };
            cx.send_claim_operation(request, Operation::Settle { attempt, row });
        }
    }

    /// Repeats the operation for which the request was delayed.
    ///
    /// Does nothing if the request has changed its state since the timer was set.
    pub(super) fn delay_elapsed(&mut self, cx: &mut Context<'_>, key: &Key, epoch: u64) {
        self.with_request(key, |entry, request| {
            if request.epoch != epoch {
                return;
            }
            match request.state() {
                RequestState::Waiting if !request.started => entry.start_stage(cx, request),
                RequestState::Waiting => entry.enqueue(cx, request),
                RequestState::Claiming => Self::retry_claim_insert(cx, request),
                RequestState::Watching => cx.send_claim_operation(request, Operation::Read),
                RequestState::Looking => entry.retry_lookup(cx, request),
                RequestState::Releasing => Self::retry_release(cx, request),
                RequestState::Held => entry.resend(cx, request),
                _ => {}
            }
        });
    }

    fn retry_claim_insert(cx: &mut Context<'_>, request: &Request) {
        if let Some(attempt) = request.attempts.first() {
            let (attempt, target) = (attempt.id, attempt.target.clone());
            let row = Row::Held {
                attempt,
                target,
                payload: request.fingerprint,
            };
            cx.send_claim_operation(request, Operation::Insert { row });
        }
    }

    fn retry_lookup(&self, cx: &mut Context<'_>, request: &Request) {
        if let Some(broken) = &request.broken_attempt {
            self.look_up(cx, request, broken.target.clone());
        }
    }

    fn retry_release(cx: &mut Context<'_>, request: &Request) {
        if let Some(broken) = &request.broken_attempt {
            cx.send_claim_operation(request, Operation::Release { attempt: broken.id });
        }
    }

    fn resend(&mut self, cx: &mut Context<'_>, request: &mut Request) {
        if let Some(id) = request.attempts.first().map(|attempt| attempt.id) {
            self.send(cx, request, id);
        }
    }
}
