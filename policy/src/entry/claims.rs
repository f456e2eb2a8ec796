//! Claims of non-idempotent stages.
//!
//! A claim is inserted before the first byte of its call leaves, and only the attempt that is
//! named in the row may send the call. A claim is deleted only when it is proved that no byte
//! left.

use super::{
    Entry, Turn,
    request::Request,
    state::{RequestState, RequestStep},
};
use crate::{
    claim::{Ask, Reply, Row},
    command::Command,
    decision::Choice,
    id::{AttemptId, Key, Payload, StageIndex, TargetId},
    outcome::Reason,
};

impl Entry {
    /// Asks for the claim of the current stage.
    pub(super) fn insert_claim(turn: &mut Turn<'_>, request: &mut Request, id: AttemptId) {
        let Some(target) = request.attempt(id).map(|attempt| attempt.target.clone()) else {
            return;
        };
        request.step(RequestStep::Claim);
        let row = Row::Held {
            attempt: id,
            target,
            payload: request.fingerprint,
        };
        turn.ask(request, Ask::Insert { row });
    }

    /// Takes in the platform's answer about a claim.
    pub(super) fn claim_replied(
        &mut self,
        turn: &mut Turn<'_>,
        key: &Key,
        stage: StageIndex,
        reply: Reply,
    ) {
        self.with(key, |entry, request| match request.state() {
            RequestState::Refusing => entry.refusal_replied(turn, request, &reply),
            _ if request.stage() != stage => {}
            RequestState::Claiming => entry.insert_replied(turn, request, reply),
            RequestState::Watching => entry.watch_replied(turn, request, reply),
            RequestState::Releasing => entry.release_replied(turn, request, reply),
            _ => {}
        });
    }

    fn insert_replied(&mut self, turn: &mut Turn<'_>, request: &mut Request, reply: Reply) {
        let Some(id) = request.attempts.first().map(|attempt| attempt.id) else {
            return;
        };
        match reply {
            Reply::Row {
                row: Row::Held { attempt, .. },
            } if attempt == id => {
                self.send(turn, request, id);
            }
            Reply::Row { row } => self.claim_taken(turn, request, row),
            Reply::Absent | Reply::Out => self.pause(turn, request),
        }
    }

    /// Goes on from a claim row that another attempt wrote.
    fn claim_taken(&mut self, turn: &mut Turn<'_>, request: &mut Request, row: Row) {
        self.cancel_others(turn, request, None);
        match row {
            Row::Held { payload, .. } | Row::Done { payload, .. }
                if payload != request.fingerprint =>
            {
                self.fail(turn, request, Reason::Reused, None);
            }
            Row::Held {
                attempt, target, ..
            } => {
                request.holder = Some(attempt);
                if request.step(RequestStep::Taken) {
                    let holder = Some(target.clone());
                    self.decide(turn, request, Choice::Claim, holder, Vec::new());
                }
                self.look_up(turn, request, target);
                self.pause(turn, request);
            }
            Row::Done { result, .. } => {
                self.decide(turn, request, Choice::Restored, None, Vec::new());
                self.complete(turn, request, result);
            }
            Row::Failed { .. } => self.fail(turn, request, Reason::Rejected, None),
            Row::Refused => self.fail(turn, request, Reason::Refused, None),
        }
    }

    fn watch_replied(&mut self, turn: &mut Turn<'_>, request: &mut Request, reply: Reply) {
        match reply {
            Reply::Row { row } => self.claim_taken(turn, request, row),
            Reply::Absent => {
                request.step(RequestStep::Free);
                self.enqueue(turn, request);
            }
            Reply::Out => self.pause(turn, request),
        }
    }

    fn release_replied(&mut self, turn: &mut Turn<'_>, request: &mut Request, reply: Reply) {
        match reply {
            Reply::Absent => {
                request.step(RequestStep::Free);
                self.enqueue(turn, request);
            }
            Reply::Row { row } => self.claim_taken(turn, request, row),
            Reply::Out => self.pause(turn, request),
        }
    }

    /// Asks a target what became of the call of the current stage, if it can tell.
    pub(super) fn look_up(&self, turn: &mut Turn<'_>, request: &Request, target: TargetId) {
        let can_tell = self.pool(request).is_some_and(|pool| pool.lookup);
        if let Some(address) = self.router.address(&target).filter(|_| can_tell) {
            turn.out.push(Command::Lookup {
                key: request.key.clone(),
                stage: request.stage(),
                address: address.clone(),
                target,
                token: request.token(),
            });
        }
    }

    /// Takes in what a target said about a call.
    pub(super) fn looked(
        &mut self,
        turn: &mut Turn<'_>,
        key: &Key,
        stage: StageIndex,
        result: Option<Payload>,
    ) {
        self.with(key, |entry, request| {
            let waits = matches!(
                request.state(),
                RequestState::Looking | RequestState::Watching
            );
            if !waits || request.stage() != stage {
                return;
            }
            if let Some(result) = result {
                Self::settle_lookup(turn, request, &result);
                entry.complete(turn, request, result);
            } else if request.state() == RequestState::Looking {
                entry.pause(turn, request);
            }
        });
    }

    /// Records what a lookup told of the call that holds the claim.
    fn settle_lookup(turn: &mut Turn<'_>, request: &Request, result: &Payload) {
        let own = request.broken.as_ref().map(|broken| broken.id);
        if let Some(attempt) = own.or(request.holder) {
            let result = Payload::clone(result);
            let row = Row::Done {
                attempt,
                result,
                payload: request.fingerprint,
            };
            turn.ask(request, Ask::Settle { attempt, row });
        }
    }

    /// Tries again what the request paused for.
    pub(super) fn resume(&mut self, turn: &mut Turn<'_>, key: &Key, epoch: u64) {
        self.with(key, |entry, request| {
            if request.epoch != epoch {
                return;
            }
            match request.state() {
                RequestState::Waiting if !request.begun => entry.enter_stage(turn, request),
                RequestState::Waiting => entry.enqueue(turn, request),
                RequestState::Claiming => Self::ask_for_claim_again(turn, request),
                RequestState::Watching => turn.ask(request, Ask::Read),
                RequestState::Looking => entry.look_again(turn, request),
                RequestState::Releasing => Self::release_again(turn, request),
                RequestState::Held => entry.send_again(turn, request),
                _ => {}
            }
        });
    }

    fn ask_for_claim_again(turn: &mut Turn<'_>, request: &Request) {
        if let Some(attempt) = request.attempts.first() {
            let (attempt, target) = (attempt.id, attempt.target.clone());
            let row = Row::Held {
                attempt,
                target,
                payload: request.fingerprint,
            };
            turn.ask(request, Ask::Insert { row });
        }
    }

    fn look_again(&self, turn: &mut Turn<'_>, request: &Request) {
        if let Some(broken) = &request.broken {
            self.look_up(turn, request, broken.target.clone());
        }
    }

    fn release_again(turn: &mut Turn<'_>, request: &Request) {
        if let Some(broken) = &request.broken {
            turn.ask(request, Ask::Release { attempt: broken.id });
        }
    }

    fn send_again(&mut self, turn: &mut Turn<'_>, request: &mut Request) {
        if let Some(id) = request.attempts.first().map(|attempt| attempt.id) {
            self.send(turn, request, id);
        }
    }
}
