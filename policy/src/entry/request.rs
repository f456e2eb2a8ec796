//! What an entry keeps of one request.

use super::state::{ATTEMPT, AttemptState, AttemptStep, REQUEST, RequestState, RequestStep};
use crate::{
    hash,
    id::{AttemptId, BlockHash, Key, Payload, PoolId, TargetId, Time},
    input,
    outcome::{Effects, Reason},
};
use compact_str::{CompactString, format_compact};
use std::{sync::Arc, time::Duration};

/// One request at one entry.
#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is an independent fact"
)]
pub struct Request {
    /// Name of the request.
    pub key: Key,
    /// Fingerprint of the payload.
    pub fingerprint: BlockHash,
    /// What the caller sent.
    pub payload: Payload,
    /// Whether another copy of the request may exist.
    pub retry: bool,
    /// When the deadline passes.
    pub deadline: Time,
    /// Strict priority; higher goes first.
    pub priority: i32,
    /// Share of the workspace.
    pub share: f64,
    /// Pools of the stages.
    pub stages: Arc<[PoolId]>,
    /// Results of the stages that are done.
    pub results: Vec<Payload>,
    /// Whether the ceilings count a start of the request.
    pub admitted: bool,
    /// Whether the first stage has begun.
    pub started: bool,
    /// Input of the current stage.
    pub input: Payload,
    /// Attempts at the current stage.
    pub attempts: Vec<Attempt>,
    /// Targets that the current stage may not use again.
    pub failed_targets: Vec<TargetId>,
    /// Targets that were full or refused the connection a moment ago.
    pub full_targets: Vec<TargetId>,
    /// Whether it was logged that the current stage waits.
    pub wait_recorded: bool,
    /// Text that the current stage has streamed.
    pub text: String,
    /// Parts that were passed on to the caller.
    pub emitted_parts: u64,
    /// Whether a byte for any stage may have left.
    pub dispatched: bool,
    /// Side effects of the stages that are done.
    pub effects: Effects,
    /// The attempt at the current stage that ended without a result, if it held a claim.
    pub broken_attempt: Option<Attempt>,
    /// The attempt of another copy that holds the claim of the current stage.
    pub claim_holder: Option<AttemptId>,
    /// Why the request is being refused.
    pub refusal_reason: Option<Reason>,
    /// Pause before the next try of what failed last.
    pub backoff: Duration,
    /// Number of state changes.
    pub epoch: u64,
    state: RequestState,
}

/// One attempt to run one stage.
#[derive(Debug)]
pub struct Attempt {
    /// Name of the attempt.
    pub id: AttemptId,
    /// Target of the attempt.
    pub target: TargetId,
    /// Address of the target.
    pub address: CompactString,
    state: AttemptState,
}

/// Pause after the first failure of a step that is tried again.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(25);

/// Longest pause between two tries.
pub const MAX_BACKOFF: Duration = Duration::from_secs(1);

impl Request {
    /// Creates a request that waits for its first stage.
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

    /// Returns the state.
    pub fn state(&self) -> RequestState {
        self.state
    }

    /// Takes a step if the chart allows it, and returns whether it did.
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

    /// Returns the position of the current stage.
    pub fn stage(&self) -> usize {
        self.results.len()
    }

    /// Returns the pool of the current stage.
    pub fn pool(&self) -> &PoolId {
        &self.stages[self.stage().min(self.stages.len() - 1)]
    }

    /// Returns whether the current stage is the last one.
    pub fn is_last_stage(&self) -> bool {
        self.stage() + 1 == self.stages.len()
    }

    /// Returns the idempotency key of the current stage.
    pub fn idempotency_key(&self) -> CompactString {
        crate::claim::row_key(&self.key, self.stage())
    }

    /// Returns the fingerprint of the payload in the pool of the current stage.
    ///
    /// Deaths of targets are counted for a payload and a pool, so that the same payload's success
    /// in another pool proves nothing.
    pub fn pool_fingerprint(&self) -> BlockHash {
        pool_fingerprint(self.fingerprint, self.pool())
    }

    /// Returns the fingerprints of the payload in the pools of the stages that are left.
    pub fn remaining_pool_fingerprints(&self) -> impl Iterator<Item = BlockHash> {
        self.stages[self.stage()..]
            .iter()
            .map(|pool| pool_fingerprint(self.fingerprint, pool))
    }

    /// Prepares the current stage, whose targets speak the protocol of engines if `engine`.
    pub fn prepare(&mut self, engine: bool) {
        let compose = if engine { input::prompt } else { input::call };
        self.started = true;
        self.input = compose(&self.payload, &self.stages[..self.stage()], &self.results);
    }

    /// Takes in the result of the current stage and forgets what only that stage needed.
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

    /// Returns the pause before the next try and doubles it.
    pub fn next_backoff(&mut self) -> Duration {
        let backoff = self.backoff;
        self.backoff = (backoff * 2).min(MAX_BACKOFF);
        backoff
    }

    /// Returns the attempt of that name.
    pub fn attempt(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.attempts.iter_mut().find(|attempt| attempt.id == id)
    }

    /// Takes the attempt of that name out.
    pub fn remove_attempt(&mut self, id: AttemptId) -> Option<Attempt> {
        let at = self.attempts.iter().position(|attempt| attempt.id == id)?;
        Some(self.attempts.remove(at))
    }

    /// Returns the targets that the current stage may not use now.
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
    /// Creates an attempt that has room at its target and has not been sent.
    pub fn new(id: AttemptId, target: TargetId, address: CompactString) -> Self {
        Self {
            id,
            target,
            address,
            state: ATTEMPT.start(),
        }
    }

    /// Returns whether a byte of the call may have left.
    pub fn is_sent(&self) -> bool {
        self.state != AttemptState::Reserved
    }

    /// Takes a step if the chart allows it, and returns whether it did.
    pub fn step(&mut self, step: AttemptStep) -> bool {
        let next = ATTEMPT.next(self.state, step);
        self.state = next.unwrap_or(self.state);
        next.is_some()
    }
}

fn pool_fingerprint(fingerprint: BlockHash, pool: &PoolId) -> BlockHash {
    hash::texts(&[pool, &format_compact!("{fingerprint:x}")])
}
