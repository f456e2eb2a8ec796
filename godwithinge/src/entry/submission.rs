//! A caller's wait for its request.

use super::{Daemon, state::State};
use policy::{
    Event, Outcome,
    entry::KeyStatus,
    id::{Key, Payload},
};
use std::time::Duration;
use tokio::sync::watch;

/// A request as a caller sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// Name of the request.
    pub key: Key,
    /// Time that remains until the caller's deadline.
    pub deadline: Duration,
    /// Whether the caller sent this request before.
    pub retry: bool,
    /// What the caller sent.
    pub payload: Payload,
    /// Number of parts that the caller has already.
    pub received_chunks: usize,
}

/// A caller's wait for its request.
#[derive(Debug)]
pub struct Subscription {
    daemon: Daemon,
    key: Key,
    outcomes_before: u64,
    next_chunk: usize,
    changed: watch::Receiver<()>,
}

/// What a caller gets next.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponseEvent {
    /// A part of the answer.
    Chunk {
        /// Number of the part, from 0.
        sequence: usize,
        /// Text of the part.
        text: Payload,
    },
    /// The final outcome.
    Outcome(Outcome),
}

/// Why a request is not taken in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SubmitError {
    /// The entry holds no table.
    NotReady,
    /// The table has no such workspace.
    UnknownWorkspace,
    /// The table has no such pipeline.
    UnknownPipeline,
    /// The identifier was used with another payload.
    IdReused,
}

impl Daemon {
    /// Takes a request in and returns the caller's wait for it.
    ///
    /// # Errors
    ///
    /// Fails if the request can't be one of this entry; nothing was done then.
    pub fn submit(&self, submission: Submission) -> Result<Subscription, SubmitError> {
        let mut state = self.state();
        validate(&state, &submission)?;
        let buffer = state.buffers.open(&submission.key);
        let subscription = Subscription {
            daemon: self.clone(),
            key: submission.key.clone(),
            outcomes_before: buffer.outcome_count,
            next_chunk: submission.received_chunks,
            changed: buffer.changed.subscribe(),
        };
        let now = self.now();
        let times = (now, now + submission.deadline);
        state.open_requests.insert(submission.key.clone(), times);
        self.count_submitted(&submission.key);
        let event = Event::Submit {
            key: submission.key,
            deadline: submission.deadline,
            retry: submission.retry,
            payload: submission.payload,
        };
        let decisions = self.handle_locked(&mut state, event);
        drop(state);
        for decision in &decisions {
            super::perform::log_decision(decision);
        }
        Ok(subscription)
    }
}

impl Subscription {
    /// Waits for the next part or the final outcome.
    pub async fn next(&mut self) -> ResponseEvent {
        loop {
            if let Some(event) = self.try_next() {
                return event;
            }
            if self.changed.changed().await.is_err() {
                // The buffer is kept for as long as this subscription reads it.
                std::future::pending::<()>().await;
            }
        }
    }

    /// Waits for the final outcome.
    pub async fn outcome(&mut self) -> Outcome {
        loop {
            if let ResponseEvent::Outcome(outcome) = self.next().await {
                return outcome;
            }
        }
    }

    fn try_next(&mut self) -> Option<ResponseEvent> {
        self.changed.mark_unchanged();
        let state = self.daemon.state();
        let buffer = state.buffers.get(&self.key)?;
        if let Some(text) = buffer.chunks.get(self.next_chunk) {
            let sequence = self.next_chunk;
            self.next_chunk += 1;
            let text = Payload::clone(text);
            return Some(ResponseEvent::Chunk { sequence, text });
        }
        let outcome = buffer.outcome.clone()?;
        (buffer.outcome_count > self.outcomes_before).then_some(ResponseEvent::Outcome(outcome))
    }
}

fn validate(state: &State, submission: &Submission) -> Result<(), SubmitError> {
    let table = state.table.as_ref().ok_or(SubmitError::NotReady)?;
    if !state.core.is_ready() {
        return Err(SubmitError::NotReady);
    }
    if !table.workspaces.contains_key(&submission.key.workspace) {
        return Err(SubmitError::UnknownWorkspace);
    }
    if !table.pipelines.contains_key(&submission.key.pipeline) {
        return Err(SubmitError::UnknownPipeline);
    }
    let status = state.core.key_status(&submission.key, &submission.payload);
    if status == KeyStatus::Reused {
        return Err(SubmitError::IdReused);
    }
    Ok(())
}
