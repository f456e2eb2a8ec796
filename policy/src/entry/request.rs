//! State of one request and of its attempts.

use super::state::{ATTEMPT, AttemptState, AttemptStep, REQUEST, RequestState, RequestStep};
use crate::{
    hash,
    id::{AttemptId, BlockHash, Key, Payload, PoolId, TargetId, Time},
    input,
    outcome::{Effects, Reason},
};
use compact_str::{CompactString, format_compact};
use std::{sync::Arc, time::Duration};

/// State of one request at one entry.
#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
pub struct Request {
    /// Workspace, pipeline and identifier of the request.
    pub key: Key,
    /// Fingerprint of the payload, independent of the request id.
    pub fingerprint: BlockHash,
    /// Body of the request, as the caller sent it.
    pub payload: Payload,
    /// Whether the caller sent the request before, so that another copy may be in flight or done.
    pub retry: bool,
    /// Time of the deadline; a later copy can extend it.
    pub deadline: Time,
    /// Strict priority; higher values go first.
    pub priority: i32,
    /// Weight of the workspace in fair queueing.
    pub share: f64,
    /// Pool of each stage, in order.
    pub stages: Arc<[PoolId]>,
    /// Results of the completed stages, in order.
    pub results: Vec<Payload>,
    /// Whether the request counts against the ceilings of its workspace and pipeline.
    pub admitted: bool,
    /// Whether the first stage has been started.
    pub started: bool,
    /// Input of the current stage: JSON, or the prompt of an engine.
    pub input: Payload,
    /// Attempts at the current stage that have not ended.
    pub attempts: Vec<Attempt>,
    /// Targets at which the current stage failed or was too slow; they are not used for it again.
    pub failed_targets: Vec<TargetId>,
    /// Targets that recently were full or refused the connection; they are skipped for now.
    pub full_targets: Vec<TargetId>,
    /// Whether a wait decision was recorded for the current stage, which is done once per stage.
    pub wait_recorded: bool,
    /// Text that the current stage has streamed, over all attempts.
    pub text: String,
    /// Number of parts that were sent to the caller.
    pub emitted_parts: u64,
    /// Whether a call of any stage may have been sent, even in part.
    pub dispatched: bool,
    /// Whether a completed stage had a side effect.
    pub effects: Effects,
    /// Attempt that ended without a result while it held the claim of the current stage.
    pub broken_attempt: Option<Attempt>,
    /// Attempt of another copy that holds the claim of the current stage.
    pub claim_holder: Option<AttemptId>,
    /// Reason of the refusal that is being recorded, reported once the platform has replied.
    pub refusal_reason: Option<Reason>,
    /// Delay before the next retry.
    pub backoff: Duration,
    /// Number of state changes; timers compare it to detect that the request has moved on.
    pub epoch: u64,
    state: RequestState,
}

/// One attempt to run one stage.
#[derive(Debug)]
pub struct Attempt {
    /// Unique identifier of the attempt.
    pub id: AttemptId,
    /// Target that the call goes to.
    pub target: TargetId,
    /// Address of the target: IP number and port.
    pub address: CompactString,
    state: AttemptState,
}

/// Delay before the first retry.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(25);

/// Upper bound of the delay between two retries.
pub const MAX_BACKOFF: Duration = Duration::from_secs(1);

impl Request {
    /// Creates a request that waits for its first stage.
    ///
    /// It counts as the first copy, with default priority and share.
    pub fn new(
        key: Key,
        fingerprint: BlockHash,
        payload: Payload,
        stages: Arc<[PoolId]>,
        deadline: Time,
    ) -> Self {
        Self {
            key,
            fingerprint,
            admitted: false,
            started: false,
            input: Arc::clone(&payload),
            payload,
            retry: false,
            deadline,
            priority: 0,
            share: 1.0,
            stages,
            results: Vec::new(),
            attempts: Vec::new(),
            failed_targets: Vec::new(),
            full_targets: Vec::new(),
            wait_recorded: false,
            text: String::new(),
            emitted_parts: 0,
            dispatched: false,
            effects: Effects::None,
            broken_attempt: None,
            claim_holder: None,
            refusal_reason: None,
            backoff: INITIAL_BACKOFF,
            epoch: 0,
            state: REQUEST.start(),
        }
    }

    /// Returns the state in the chart `charts/request.toml`.
    pub fn state(&self) -> RequestState {
        self.state
    }

    /// Takes the transition `step` if the chart has it in this state, and returns whether it did.
    pub fn step(&mut self, step: RequestStep) -> bool {
        let Some(next) = REQUEST.next(self.state, step) else {
            return false;
        };
        self.state = next;
        self.epoch += 1;
        true
    }

    /// Returns whether the request has its final outcome.
    pub fn is_ended(&self) -> bool {
        REQUEST.is_final(self.state)
    }

    /// Returns the index of the current stage, which is the number of completed stages.
    pub fn stage(&self) -> usize {
        self.results.len()
    }

    /// Returns the pool of the current stage, or of the last one if all are completed.
    pub fn pool(&self) -> &PoolId {
        &self.stages[self.stage().min(self.stages.len() - 1)]
    }

    /// Returns whether the current stage is the last one.
    pub fn is_last_stage(&self) -> bool {
        self.stage() + 1 == self.stages.len()
    }

    /// Returns the idempotency key of the current stage's call, the same for each attempt and copy.
    pub fn idempotency_key(&self) -> CompactString {
        crate::claim::row_key(&self.key, self.stage())
    }

    /// Returns the fingerprint of the payload and the pool of the current stage.
    ///
    /// Deaths of targets are counted per payload and pool, because success of the payload in one
    /// pool says nothing about another pool.
    pub fn pool_fingerprint(&self) -> BlockHash {
        pool_fingerprint(self.fingerprint, self.pool())
    }

    /// Returns the fingerprints of the payload and the pool of each stage that is not completed.
    pub fn remaining_pool_fingerprints(&self) -> impl Iterator<Item = BlockHash> {
        self.stages[self.stage()..]
            .iter()
            .map(|pool| pool_fingerprint(self.fingerprint, pool))
    }

    /// Composes the input of the current stage: a prompt if `engine`, else JSON for a service.
    pub fn prepare(&mut self, engine: bool) {
        let compose = if engine { input::prompt } else { input::call };
        self.started = true;
        self.input = compose(&self.payload, &self.stages[..self.stage()], &self.results);
    }

    /// Stores the result of the current stage and resets all state that belongs to that stage.
    pub fn complete(&mut self, result: Payload) {
        self.results.push(result);
        self.attempts.clear();
        self.failed_targets.clear();
        self.full_targets.clear();
        self.text.clear();
        self.wait_recorded = false;
        self.broken_attempt = None;
        self.claim_holder = None;
        self.backoff = INITIAL_BACKOFF;
    }

    /// Returns the delay before the next retry, and doubles it up to [`MAX_BACKOFF`].
    pub fn next_backoff(&mut self) -> Duration {
        let backoff = self.backoff;
        self.backoff = (backoff * 2).min(MAX_BACKOFF);
        backoff
    }

    /// Returns the attempt `id` at the current stage.
    pub fn attempt(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.attempts.iter_mut().find(|attempt| attempt.id == id)
    }

    /// Removes the attempt `id` from the current stage and returns it.
    pub fn remove_attempt(&mut self, id: AttemptId) -> Option<Attempt> {
        let at = self.attempts.iter().position(|attempt| attempt.id == id)?;
        Some(self.attempts.remove(at))
    }

    /// Returns the targets that the current stage may not use now: failed, full or in use by it.
    pub fn excluded_targets(&self) -> Vec<TargetId> {
        let running = self.attempts.iter().map(|attempt| &attempt.target);
        self.failed_targets
            .iter()
            .chain(&self.full_targets)
            .chain(running)
            .cloned()
            .collect()
    }
}

impl Attempt {
    /// Creates an attempt with capacity reserved at its target and no call sent.
    pub fn new(id: AttemptId, target: TargetId, address: CompactString) -> Self {
        Self {
            id,
            target,
            address,
            state: ATTEMPT.start(),
        }
    }

    /// Returns whether the call may have been sent, even in part.
    ///
    /// False again after the target replied that it was full and did not run the call.
    pub fn is_sent(&self) -> bool {
        self.state != AttemptState::Reserved
    }

    /// Takes the transition `step` if the chart has it in this state, and returns whether it did.
    pub fn step(&mut self, step: AttemptStep) -> bool {
        let next = ATTEMPT.next(self.state, step);
        self.state = next.unwrap_or(self.state);
        next.is_some()
    }
}

fn pool_fingerprint(fingerprint: BlockHash, pool: &PoolId) -> BlockHash {
    hash::texts(&[pool, &format_compact!("{fingerprint:x}")])
}
