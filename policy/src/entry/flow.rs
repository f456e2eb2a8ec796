//! Progress of a request through the stages of its pipeline.

use super::{
    Context, Entry,
    finish::MIN_RETRY_AFTER,
    request::{Attempt, Request},
    state::{AttemptStep, RequestState, RequestStep},
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
    router::{CallResult, Pick, PickError},
    table::Pipeline,
};
use std::{sync::Arc, time::Duration};

/// Queued stages that one placement pass skips for lack of a target before it stops.
const MAX_SKIPPED_STAGES: usize = 8;

/// Quantile of a pool's stage times that the queue uses as the cost of a stage.
const COST_QUANTILE: f64 = 0.5;

/// Cost of a stage while the stage times of its pool are unknown, in target seconds.
const DEFAULT_COST_SECONDS: f64 = 0.05;

impl Entry {
    /// Starts a request, or attaches its caller to the one in flight under the same key.
    ///
    /// A remembered answer is returned at once.
    pub(super) fn submit(
        &mut self,
        cx: &mut Context<'_>,
        key: Key,
        deadline: Duration,
        retry: bool,
        payload: Payload,
    ) {
        let deadline = cx.now + deadline;
        if self.requests.contains_key(&key) {
            self.with_request(&key, |entry, request| {
                entry.attach_caller(request, deadline, retry);
            });
            return;
        }
        if let Some(answer) = self
            .outcome_cache
            .get(&key)
            .and_then(|record| record.answer.clone())
        {
            cx.commands.push(Command::Finish {
                key,
                outcome: Outcome::Answered { answer },
            });
            return;
        }
        let unsettled = self
            .outcome_cache
            .get(&key)
            .is_some_and(|record| record.unsettled);
        let Some(mut request) = self.create_request(&key, deadline, retry || unsettled, payload)
        else {
            let (reason, retry_after) = (Reason::NoTarget, MIN_RETRY_AFTER);
            cx.commands.push(Command::Finish {
                key,
                outcome: Outcome::NotRun {
                    reason,
                    retry_after,
                },
            });
            return;
        };
        self.set_deadline_timer(&request);
        self.retries.deposit();
        self.hedges.deposit();
        self.start_request(cx, &mut request);
        self.put_back(request);
    }

    /// Creates a request, or returns `None` if the table has no row for its pipeline.
    fn create_request(
        &self,
        key: &Key,
        deadline: Time,
        retry: bool,
        payload: Payload,
    ) -> Option<Request> {
        let table = self.table.as_ref()?;
        let pipeline = table.pipelines.get(&key.pipeline)?;
        let workspace = table
            .workspaces
            .get(&key.workspace)
            .cloned()
            .unwrap_or_default();
        let stages = pipeline_stages(pipeline)?;
        let fingerprint = poison::fingerprint(&key.workspace, &key.pipeline, &payload);
        let mut request = Request::new(key.clone(), fingerprint, payload, stages, deadline);
        request.retry = retry;
        request.priority = workspace.priority.saturating_add(pipeline.priority);
        request.share = workspace.share;
        Some(request)
    }

    /// Attaches another caller to a request in flight.
    ///
    /// A repeated copy may already have run at another entry, so the request then counts as
    /// repeated too.
    fn attach_caller(&mut self, request: &mut Request, deadline: Time, retry: bool) {
        request.step(RequestStep::Attach);
        request.retry |= retry;
        if deadline > request.deadline {
            request.deadline = deadline;
            self.set_deadline_timer(request);
        }
    }

    fn start_request(&mut self, cx: &mut Context<'_>, request: &mut Request) {
        if self.is_leaving() {
            self.give_up(cx, request, Reason::Leaving);
        } else if request
            .remaining_pool_fingerprints()
            .any(|fingerprint| self.is_quarantined(fingerprint))
        {
            self.quarantine(cx, request);
        } else if !self.can_meet_deadline(cx.now, request) {
            self.give_up(cx, request, Reason::Infeasible);
        } else {
            self.admit(cx, request);
        }
    }

    /// Starts the current stage: queries for a checkpoint if one may exist, else queues the stage.
    pub(super) fn start_stage(&mut self, cx: &mut Context<'_>, request: &mut Request) {
        let Some(pool) = self.pool(request) else {
            self.fail(cx, request, Reason::NoTarget, None);
            return;
        };
        let may_have_checkpoint = pool.checkpoint && request.retry;
        request.prepare(pool.kind == Kind::Engine);
        if may_have_checkpoint && request.step(RequestStep::Restore) {
            cx.commands.push(Command::Restore {
                key: request.key.clone(),
                stage: request.stage(),
                input: input_hash(request),
            });
        } else {
            self.enqueue(cx, request);
        }
    }

    /// Handles the object store's reply to a query for a checkpoint.
    pub(super) fn checkpoint_replied(
        &mut self,
        cx: &mut Context<'_>,
        key: &Key,
        stage: usize,
        result: Option<Payload>,
    ) {
        self.with_request(key, |entry, request| {
            if request.state() != RequestState::Restoring || request.stage() != stage {
                return;
            }
            if let Some(result) = result {
                entry.record_decision(cx, request, Choice::Restored, None, Vec::new());
                entry.complete_stage(cx, request, result);
            } else if request.step(RequestStep::Miss) {
                entry.enqueue(cx, request);
            }
        });
    }

    /// Queues the current stage in its pool, and gives up the request that a full queue refuses.
    pub(super) fn enqueue(&mut self, cx: &mut Context<'_>, request: &mut Request) {
        let cost = self
            .router
            .call_time_quantile(request.pool(), COST_QUANTILE)
            .map_or(DEFAULT_COST_SECONDS, |time| time.as_secs_f64());
        let item = Item {
            key: request.key.clone(),
            priority: request.priority,
            share: request.share,
            deadline: request.deadline,
            cost,
        };
        let pool = request.pool().clone();
        let Some(pool_queue) = self.pool_queues.get_mut(&pool) else {
            return;
        };
        match pool_queue.queue.push(item) {
            Ok(()) => {}
            Err(refused) if refused.key == request.key => {
                self.give_up(cx, request, Reason::QueueFull);
            }
            Err(refused) => {
                self.with_request(&refused.key, |entry, other| {
                    entry.give_up(cx, other, Reason::QueueFull);
                });
            }
        }
        self.changed_pools.insert(pool);
    }

    /// Places queued stages of a pool while its targets have free capacity.
    pub(super) fn place_waiting(&mut self, cx: &mut Context<'_>, pool: &PoolId) {
        self.drop_infeasible(cx, pool);
        let mut skipped = Vec::new();
        while skipped.len() < MAX_SKIPPED_STAGES {
            let Some(item) = self
                .pool_queues
                .get_mut(pool)
                .and_then(|pool_queue| pool_queue.queue.pop())
            else {
                break;
            };
            let placed = self.with_request(&item.key, |entry, request| {
                request.state() != RequestState::Waiting || entry.place(cx, request)
            });
            if placed == Some(false) {
                self.with_request(&item.key, |entry, request| entry.record_wait(cx, request));
                skipped.push(item);
            }
        }
        if let Some(pool_queue) = self.pool_queues.get_mut(pool) {
            for item in skipped.into_iter().rev() {
                pool_queue.queue.requeue(item);
            }
        }
    }

    /// Records a wait decision, once per stage.
    fn record_wait(&self, cx: &mut Context<'_>, request: &mut Request) {
        if !request.wait_recorded {
            request.wait_recorded = true;
            self.record_decision(cx, request, Choice::Wait, None, Vec::new());
        }
    }

    /// Sends the current stage to a target, delays it or gives it up.
    ///
    /// Returns `false` if the stage has to stay in the queue.
    fn place(&mut self, cx: &mut Context<'_>, request: &mut Request) -> bool {
        if !self.is_feasible(cx.now, request) {
            self.give_up(cx, request, Reason::Infeasible);
            return true;
        }
        if self.is_quarantined(request.pool_fingerprint()) {
            self.quarantine(cx, request);
            return true;
        }
        if self.is_blocked(request.pool_fingerprint()) {
            self.record_wait(cx, request);
            self.schedule_retry(cx, request);
            return true;
        }
        if self.is_suspect(request) && !self.requests_running(request.pool_fingerprint()).is_empty()
        {
            return false;
        }
        match self.choose_target(cx, request) {
            Ok(pick) => {
                self.assign(cx, request, pick);
                true
            }
            Err(PickError::AtCapacity) => false,
            Err(PickError::NoTarget) => self.handle_no_target(cx, request),
        }
    }

    /// Handles a stage that may use none of the pool's targets.
    ///
    /// Returns `false` if the stage has to stay in the queue.
    fn handle_no_target(&mut self, cx: &mut Context<'_>, request: &mut Request) -> bool {
        if !request.full_targets.is_empty() {
            request.full_targets.clear();
            self.schedule_retry(cx, request);
            return true;
        }
        if request.failed_targets.is_empty() {
            return false;
        }
        self.give_up(cx, request, Reason::Attempts);
        true
    }

    /// Assigns the current stage to the picked target, and claims it first if not idempotent.
    fn assign(&mut self, cx: &mut Context<'_>, request: &mut Request, pick: Pick) {
        let choice = if self.is_suspect(request) {
            Choice::Isolate
        } else if !request.text.is_empty() {
            Choice::Resume
        } else if !request.failed_targets.is_empty() || !request.full_targets.is_empty() {
            Choice::Retry
        } else {
            Choice::Best
        };
        self.record_decision(
            cx,
            request,
            choice,
            Some(pick.target.clone()),
            pick.candidates.clone(),
        );
        let id = self.reserve(cx, request, pick);
        if self.pool(request).is_some_and(|pool| !pool.idempotent) {
            Self::insert_claim(cx, request, id);
        } else {
            self.send(cx, request, id);
        }
    }

    /// Creates an attempt and reserves capacity for it at its target.
    pub(super) fn reserve(
        &mut self,
        cx: &Context<'_>,
        request: &mut Request,
        pick: Pick,
    ) -> AttemptId {
        let id = self.next_attempt();
        let prefix = self.prefix(request);
        let requirements = self.requirements(request, &prefix, &[]);
        self.router
            .record_start(cx.now, id, &pick.target, &requirements);
        self.attempts.insert(id, request.key.clone());
        request
            .attempts
            .push(Attempt::new(id, pick.target, pick.address));
        id
    }

    /// Sends the call of an attempt.
    pub(super) fn send(&mut self, cx: &mut Context<'_>, request: &mut Request, id: AttemptId) {
        let Some(pool) = self.pool(request) else {
            return;
        };
        let left = request.deadline.saturating_sub(cx.now);
        let timeout = if pool.idempotent {
            pool.timeout.min(left)
        } else {
            pool.timeout
        };
        let (idle_timeout, hedged) = (pool.idle_timeout, pool.idempotent);
        let idempotency_key = request.idempotency_key();
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
        cx.commands.push(Command::Dispatch(Call {
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
        request.step(RequestStep::Send);
        if hedged {
            self.schedule_hedge_check(cx, request, id);
        }
    }

    /// Handles a chunk of a streamed answer: cancels the other attempts and forwards chunks of the
    /// last stage.
    pub(super) fn attempt_progressed(
        &mut self,
        cx: &mut Context<'_>,
        id: AttemptId,
        text: &str,
        tokens: u32,
    ) {
        let Some(key) = self.attempts.get(&id).cloned() else {
            return;
        };
        self.router.record_progress(cx.now, id, tokens);
        self.with_request(&key, |entry, request| {
            let is_streaming = request
                .attempt(id)
                .is_some_and(|attempt| attempt.step(AttemptStep::Progress));
            if !is_streaming || text.is_empty() {
                return;
            }
            entry.cancel_attempts(cx, request, Some(id));
            request.text.push_str(text);
            if request.is_last_stage() {
                let sequence = request.emitted_parts;
                request.emitted_parts += 1;
                cx.commands.push(Command::Emit {
                    key: request.key.clone(),
                    sequence,
                    text: text.into(),
                });
            }
        });
    }

    /// Handles the result of an attempt: settles its claim or writes its checkpoint.
    pub(super) fn attempt_done(&mut self, cx: &mut Context<'_>, id: AttemptId, result: Payload) {
        let Some(key) = self.attempts.remove(&id) else {
            return;
        };
        self.with_request(&key, |entry, request| {
            let Some(attempt) = request.remove_attempt(id) else {
                return;
            };
            entry.router.record_end(cx.now, id, CallResult::Succeeded);
            entry.changed_pools.insert(request.pool().clone());
            entry.record_survival(cx, request);
            let Some(pool) = entry.pool(request) else {
                return;
            };
            let (idempotent, is_checkpointed) = (pool.idempotent, pool.checkpoint);
            if !idempotent {
                let row = Row::Done {
                    attempt: id,
                    result: Arc::clone(&result),
                    payload: request.fingerprint,
                };
                let operation = Operation::Settle {
                    attempt: attempt.id,
                    row,
                };
                cx.send_claim_operation(request, operation);
            } else if is_checkpointed {
                cx.commands.push(Command::SaveCheckpoint {
                    key: request.key.clone(),
                    stage: request.stage(),
                    input: input_hash(request),
                    result: Arc::clone(&result),
                });
            }
            entry.complete_stage(cx, request, result);
        });
    }

    /// Completes the current stage, then starts the next one or answers the caller.
    pub(super) fn complete_stage(
        &mut self,
        cx: &mut Context<'_>,
        request: &mut Request,
        result: Payload,
    ) {
        self.cancel_attempts(cx, request, None);
        if self.pool(request).is_some_and(|pool| !pool.idempotent) {
            request.effects = Effects::Done;
        }
        if request.state() == RequestState::Detached {
            self.complete_detached(cx.now, request, result);
            return;
        }
        if request.is_last_stage() {
            self.answer(cx, request, result);
            return;
        }
        if request.state() != RequestState::Waiting && !request.step(RequestStep::Done) {
            return;
        }
        request.complete(result);
        self.start_stage(cx, request);
    }

    /// Cancels all attempts at the current stage except `keep`.
    pub(super) fn cancel_attempts(
        &mut self,
        cx: &mut Context<'_>,
        request: &mut Request,
        keep: Option<AttemptId>,
    ) {
        for mut attempt in std::mem::take(&mut request.attempts) {
            if Some(attempt.id) == keep {
                request.attempts.push(attempt);
                continue;
            }
            self.attempts.remove(&attempt.id);
            self.router
                .record_end(cx.now, attempt.id, CallResult::Cancelled);
            self.changed_pools.insert(request.pool().clone());
            if attempt.is_sent() {
                cx.commands.push(Command::Cancel {
                    attempt: attempt.id,
                });
            }
            attempt.step(AttemptStep::End);
        }
    }
}

fn pipeline_stages(pipeline: &Pipeline) -> Option<Arc<[PoolId]>> {
    (!pipeline.stages.is_empty()).then(|| pipeline.stages.as_slice().into())
}

/// Returns the input hash that identifies a checkpoint of the current stage.
fn input_hash(request: &Request) -> BlockHash {
    hash::bytes(request.input.as_bytes())
}
