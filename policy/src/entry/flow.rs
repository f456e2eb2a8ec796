//! The way of a request through the stages of its pipeline.

use super::{
    Entry, Turn,
    finish::LEAST_RETRY_AFTER,
    request::{Attempt, Request},
    state::{AttemptStep, Request as State, Step},
};
use crate::{
    claim::{Operation, Row},
    command::{Call, Command},
    decision::Choice,
    hash,
    id::{AttemptId, BlockHash, Key, Payload, PoolId, Time},
    outcome::{Effects, Outcome, Reason},
    poison,
    pool::Kind,
    queue::Item,
    router::{Pick, Shortage, Verdict},
    table::Pipeline,
};
use std::{sync::Arc, time::Duration};

/// Stages that can't be placed now and are passed over to look at later ones.
const PASSED_OVER: usize = 8;

/// Quantile of a stage's time that the queue counts as its work.
const COST_QUANTILE: f64 = 0.5;

/// Work that the queue counts for a stage whose time is not known yet, in target seconds.
const FIRST_COST: f64 = 0.05;

impl Entry {
    /// Takes in a request, or has its caller wait for the one that is known already.
    pub(super) fn submit(
        &mut self,
        turn: &mut Turn<'_>,
        key: Key,
        deadline: Duration,
        retry: bool,
        payload: Payload,
    ) {
        let deadline = turn.now + deadline;
        if self.requests.contains_key(&key) {
            self.with(&key, |entry, request| {
                entry.ask_again(request, deadline, retry);
            });
            return;
        }
        if let Some(answer) = self
            .memory
            .get(&key)
            .and_then(|record| record.answer.clone())
        {
            turn.out.push(Command::Finish {
                key,
                outcome: Outcome::Answered { answer },
            });
            return;
        }
        let unsettled = self.memory.get(&key).is_some_and(|record| record.unsettled);
        let Some(mut request) = self.open(&key, deadline, retry || unsettled, payload) else {
            let (reason, retry_after) = (Reason::NoTarget, LEAST_RETRY_AFTER);
            turn.out.push(Command::Finish {
                key,
                outcome: Outcome::NotRun {
                    reason,
                    retry_after,
                },
            });
            return;
        };
        self.set_deadline(&request);
        self.retries.deposit();
        self.hedges.deposit();
        self.begin(turn, &mut request);
        self.put_back(request);
    }

    /// Creates the request, unless the table has no row for its pipeline.
    fn open(&self, key: &Key, deadline: Time, retry: bool, payload: Payload) -> Option<Request> {
        let table = self.table.as_ref()?;
        let pipeline = table.pipelines.get(&key.pipeline)?;
        let workspace = table
            .workspaces
            .get(&key.workspace)
            .cloned()
            .unwrap_or_default();
        let stages = stages(pipeline)?;
        let fingerprint = poison::fingerprint(&key.workspace, &key.pipeline, &payload);
        let mut request = Request::new(key.clone(), fingerprint, payload, stages, deadline);
        request.retry = retry;
        request.priority = workspace.priority.saturating_add(pipeline.priority);
        request.share = workspace.share;
        Some(request)
    }

    /// Has a further caller wait for a request that is in flight.
    ///
    /// A repeated copy may have run at another entry meanwhile, so the request counts as repeated.
    fn ask_again(&mut self, request: &mut Request, deadline: Time, retry: bool) {
        request.step(Step::Attach);
        request.retry |= retry;
        if deadline > request.deadline {
            request.deadline = deadline;
            self.set_deadline(request);
        }
    }

    fn begin(&mut self, turn: &mut Turn<'_>, request: &mut Request) {
        if self.is_leaving() {
            self.give_up(turn, request, Reason::Leaving);
        } else if request.marks().any(|mark| self.is_quarantined(mark)) {
            self.quarantine(turn, request);
        } else if !self.is_promising(turn.now, request) {
            self.give_up(turn, request, Reason::Infeasible);
        } else {
            self.admit(turn, request);
        }
    }

    /// Begins the current stage: from a kept result if there may be one, else in the queue.
    pub(super) fn enter_stage(&mut self, turn: &mut Turn<'_>, request: &mut Request) {
        let Some(pool) = self.pool(request) else {
            self.fail(turn, request, Reason::NoTarget, None);
            return;
        };
        let kept = pool.checkpoint && request.retry;
        request.prepare(pool.kind == Kind::Engine);
        if kept && request.step(Step::Restore) {
            turn.out.push(Command::Restore {
                key: request.key.clone(),
                stage: request.stage(),
                input: input_hash(request),
            });
        } else {
            self.enqueue(turn, request);
        }
    }

    /// Takes in the object store's answer.
    pub(super) fn restored(
        &mut self,
        turn: &mut Turn<'_>,
        key: &Key,
        stage: usize,
        result: Option<Payload>,
    ) {
        self.with(key, |entry, request| {
            if request.state() != State::Restoring || request.stage() != stage {
                return;
            }
            if let Some(result) = result {
                entry.decide(turn, request, Choice::Restored, None, Vec::new());
                entry.complete(turn, request, result);
            } else if request.step(Step::Miss) {
                entry.enqueue(turn, request);
            }
        });
    }

    /// Puts the current stage into the queue of its pool.
    pub(super) fn enqueue(&mut self, turn: &mut Turn<'_>, request: &mut Request) {
        let cost = self
            .router
            .quantile(request.pool(), COST_QUANTILE)
            .map_or(FIRST_COST, |time| time.as_secs_f64());
        let item = Item {
            key: request.key.clone(),
            priority: request.priority,
            share: request.share,
            deadline: request.deadline,
            cost,
        };
        let pool = request.pool().clone();
        let Some(backlog) = self.backlogs.get_mut(&pool) else {
            return;
        };
        match backlog.queue.push(item) {
            Ok(()) => {}
            Err(refused) if refused.key == request.key => {
                self.give_up(turn, request, Reason::QueueFull);
            }
            Err(refused) => {
                self.with(&refused.key, |entry, other| {
                    entry.give_up(turn, other, Reason::QueueFull);
                });
            }
        }
        self.dirty.insert(pool);
    }

    /// Places waiting stages of a pool for as long as there is room.
    pub(super) fn pump(&mut self, turn: &mut Turn<'_>, pool: &PoolId) {
        self.drop_infeasible(turn, pool);
        let mut passed = Vec::new();
        while passed.len() < PASSED_OVER {
            let Some(item) = self
                .backlogs
                .get_mut(pool)
                .and_then(|backlog| backlog.queue.pop())
            else {
                break;
            };
            let placed = self.with(&item.key, |entry, request| {
                request.state() != State::Waiting || entry.place(turn, request)
            });
            if placed == Some(false) {
                self.with(&item.key, |entry, request| entry.log_wait(turn, request));
                passed.push(item);
            }
        }
        if let Some(backlog) = self.backlogs.get_mut(pool) {
            for item in passed.into_iter().rev() {
                backlog.queue.restore(item);
            }
        }
    }

    /// Logs that the current stage waits, once.
    fn log_wait(&self, turn: &mut Turn<'_>, request: &mut Request) {
        if !request.waited {
            request.waited = true;
            self.decide(turn, request, Choice::Wait, None, Vec::new());
        }
    }

    /// Sends the current stage to a target or gives it up; `false` leaves it in the queue.
    fn place(&mut self, turn: &mut Turn<'_>, request: &mut Request) -> bool {
        if !self.is_feasible(turn.now, request) {
            self.give_up(turn, request, Reason::Infeasible);
            return true;
        }
        if self.is_quarantined(request.mark()) {
            self.quarantine(turn, request);
            return true;
        }
        if self.is_barred(request.mark()) {
            self.log_wait(turn, request);
            self.pause(turn, request);
            return true;
        }
        if self.is_suspect(request) && !self.running(request.mark()).is_empty() {
            return false;
        }
        match self.choose(turn, request) {
            Ok(pick) => {
                self.assign(turn, request, pick);
                true
            }
            Err(Shortage::NoRoom) => false,
            Err(Shortage::NoTarget) => self.without_target(turn, request),
        }
    }

    /// Decides what to do with a stage that may use none of the pool's targets.
    fn without_target(&mut self, turn: &mut Turn<'_>, request: &mut Request) -> bool {
        if !request.full.is_empty() {
            request.full.clear();
            self.pause(turn, request);
            return true;
        }
        if request.spent.is_empty() {
            return false;
        }
        self.give_up(turn, request, Reason::Attempts);
        true
    }

    /// Gives the current stage to the target that was picked.
    fn assign(&mut self, turn: &mut Turn<'_>, request: &mut Request, pick: Pick) {
        let choice = if self.is_suspect(request) {
            Choice::Isolate
        } else if !request.text.is_empty() {
            Choice::Resume
        } else if !request.spent.is_empty() || !request.full.is_empty() {
            Choice::Retry
        } else {
            Choice::Best
        };
        self.decide(
            turn,
            request,
            choice,
            Some(pick.target.clone()),
            pick.candidates.clone(),
        );
        let id = self.reserve(turn, request, pick);
        if self.pool(request).is_some_and(|pool| !pool.idempotent) {
            Self::insert_claim(turn, request, id);
        } else {
            self.send(turn, request, id);
        }
    }

    /// Takes room at a target for a new attempt.
    pub(super) fn reserve(
        &mut self,
        turn: &Turn<'_>,
        request: &mut Request,
        pick: Pick,
    ) -> AttemptId {
        let id = self.next_attempt();
        let prefix = self.prefix(request);
        let need = self.need(request, &prefix, &[]);
        self.router.started(turn.now, id, &pick.target, &need);
        self.attempts.insert(id, request.key.clone());
        request
            .attempts
            .push(Attempt::new(id, pick.target, pick.address));
        id
    }

    /// Sends the call of an attempt.
    pub(super) fn send(&mut self, turn: &mut Turn<'_>, request: &mut Request, id: AttemptId) {
        let Some(pool) = self.pool(request) else {
            return;
        };
        let left = request.deadline.saturating_sub(turn.now);
        let timeout = if pool.idempotent {
            pool.timeout.min(left)
        } else {
            pool.timeout
        };
        let (idle_timeout, hedged) = (pool.idle_timeout, pool.idempotent);
        let idempotency_key = request.token();
        let (key, stage) = (request.key.clone(), request.stage());
        let input = Arc::clone(&request.input);
        let streamed_text: Payload = request.text.as_str().into();
        let priority = request.priority;
        let Some(attempt) = request.attempt(id) else {
            return;
        };
        if !attempt.step(AttemptStep::Send) {
            return;
        }
        turn.out.push(Command::Dispatch(Call {
            attempt: id,
            key,
            stage,
            target: attempt.target.clone(),
            address: attempt.address.clone(),
            input,
            streamed_text,
            priority,
            timeout,
            idle_timeout,
            idempotency_key,
        }));
        request.dispatched = true;
        request.step(Step::Send);
        if hedged {
            self.watch(turn, request, id);
        }
    }

    /// Passes on a streamed part, and abandons the other attempts at the stage.
    pub(super) fn progressed(
        &mut self,
        turn: &mut Turn<'_>,
        id: AttemptId,
        text: &str,
        tokens: u32,
    ) {
        let Some(key) = self.attempts.get(&id).cloned() else {
            return;
        };
        self.router.progressed(turn.now, id, tokens);
        self.with(&key, |entry, request| {
            let streams = request
                .attempt(id)
                .is_some_and(|it| it.step(AttemptStep::Progress));
            if !streams || text.is_empty() {
                return;
            }
            entry.cancel_others(turn, request, Some(id));
            request.text.push_str(text);
            if request.is_last() {
                let sequence = request.emitted;
                request.emitted += 1;
                turn.out.push(Command::Emit {
                    key: request.key.clone(),
                    sequence,
                    text: text.into(),
                });
            }
        });
    }

    /// Takes in the result of an attempt.
    pub(super) fn attempt_done(&mut self, turn: &mut Turn<'_>, id: AttemptId, result: Payload) {
        let Some(key) = self.attempts.remove(&id) else {
            return;
        };
        self.with(&key, |entry, request| {
            let Some(attempt) = request.take_attempt(id) else {
                return;
            };
            entry.router.ended(turn.now, id, Verdict::Done);
            entry.dirty.insert(request.pool().clone());
            entry.note_survival(turn, request);
            let Some(pool) = entry.pool(request) else {
                return;
            };
            let (idempotent, kept) = (pool.idempotent, pool.checkpoint);
            if !idempotent {
                let row = Row::Done {
                    attempt: id,
                    result: Arc::clone(&result),
                    payload: request.fingerprint,
                };
                let ask = Operation::Settle {
                    attempt: attempt.id,
                    row,
                };
                turn.ask(request, ask);
            } else if kept {
                turn.out.push(Command::SaveCheckpoint {
                    key: request.key.clone(),
                    stage: request.stage(),
                    input: input_hash(request),
                    result: Arc::clone(&result),
                });
            }
            entry.complete(turn, request, result);
        });
    }

    /// Goes on to the next stage, or answers the caller.
    pub(super) fn complete(&mut self, turn: &mut Turn<'_>, request: &mut Request, result: Payload) {
        self.cancel_others(turn, request, None);
        if self.pool(request).is_some_and(|pool| !pool.idempotent) {
            request.effects = Effects::Done;
        }
        if request.state() == State::Detached {
            self.settle_detached(turn.now, request, result);
            return;
        }
        if request.is_last() {
            self.answer(turn, request, result);
            return;
        }
        if request.state() != State::Waiting && !request.step(Step::Done) {
            return;
        }
        request.complete(result);
        self.enter_stage(turn, request);
    }

    /// Abandons all attempts at the current stage but one.
    pub(super) fn cancel_others(
        &mut self,
        turn: &mut Turn<'_>,
        request: &mut Request,
        keep: Option<AttemptId>,
    ) {
        for mut attempt in std::mem::take(&mut request.attempts) {
            if Some(attempt.id) == keep {
                request.attempts.push(attempt);
                continue;
            }
            self.attempts.remove(&attempt.id);
            self.router.ended(turn.now, attempt.id, Verdict::Cancelled);
            self.dirty.insert(request.pool().clone());
            if attempt.is_sent() {
                turn.out.push(Command::Cancel {
                    attempt: attempt.id,
                });
            }
            attempt.step(AttemptStep::End);
        }
    }
}

fn stages(pipeline: &Pipeline) -> Option<Arc<[PoolId]>> {
    (!pipeline.stages.is_empty()).then(|| pipeline.stages.as_slice().into())
}

/// Returns the hash under which a result of the current stage is kept.
fn input_hash(request: &Request) -> BlockHash {
    hash::bytes(request.input.as_bytes())
}
