//! Submission of requests and delivery of their responses.

use super::{Daemon, state::State};
use policy::{
    Event, Outcome,
    entry::KeyStatus,
    id::{Key, Payload},
};
use std::time::Duration;
use tokio::sync::watch;

/// Request of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// Name of the request, which also identifies retries of it.
    pub key: Key,
    /// Time until the caller's deadline, counted from the submission.
    pub deadline: Duration,
    /// Whether the caller has sent this request before.
    pub retry: bool,
    /// Input of the request, as JSON text.
    pub payload: Payload,
    /// Number of chunks that the caller has received already; they are not delivered again.
    pub received_chunks: usize,
}

/// Subscription of one caller to the response to a request.
#[derive(Debug)]
pub struct Subscription {
    daemon: Daemon,
    key: Key,
    /// Number of outcomes that the request had when it was submitted; these are stale.
    outcomes_before: u64,
    next_chunk: usize,
    changed: watch::Receiver<()>,
}

/// Chunk or outcome that is delivered to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponseEvent {
    /// Streamed chunk of the response.
    Chunk {
        /// Zero-based index of the chunk.
        sequence: usize,
        /// Text of the chunk.
        text: Payload,
    },
    /// Final outcome, after which no event follows.
    Outcome(Outcome),
}

/// Reason why a request is not accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SubmitError {
    /// The daemon has not received a table yet.
    NotReady,
    /// The workspace is not in the table.
    UnknownWorkspace,
    /// The pipeline is not in the table.
    UnknownPipeline,
    /// The request identifier was used before with a different payload.
    IdReused,
}

impl Daemon {
    /// Submits a request and subscribes to its response.
    ///
    /// # Errors
    ///
    /// Fails if the request is not accepted, in which case the state is unchanged.
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
    /// Waits for the next chunk or the final outcome.
    pub async fn next(&mut self) -> ResponseEvent {
        loop {
            if let Some(event) = self.try_next() {
                return event;
            }
            if self.changed.changed().await.is_err() {
                // Unreachable: a buffer is not evicted while a subscription reads it.
                std::future::pending::<()>().await;
            }
        }
    }

    /// Waits for the final outcome and discards the chunks before it.
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
