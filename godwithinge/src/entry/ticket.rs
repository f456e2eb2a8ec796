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
    pub after: usize,
}

/// A caller's wait for its request.
#[derive(Debug)]
pub struct Ticket {
    daemon: Daemon,
    key: Key,
    outcomes: u64,
    next: usize,
    changed: watch::Receiver<()>,
}

/// What a caller gets next.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// A part of the answer.
    Part {
        /// Number of the part, from 0.
        sequence: usize,
        /// Text of the part.
        text: Payload,
    },
    /// The final outcome.
    End(Outcome),
}

/// Why a request is not taken in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
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
    pub fn submit(&self, submission: Submission) -> Result<Ticket, Refusal> {
        let mut state = self.state();
        check(&state, &submission)?;
        let feed = state.feeds.open(&submission.key);
        let ticket = Ticket {
            daemon: self.clone(),
            key: submission.key.clone(),
            outcomes: feed.outcomes,
            next: submission.after,
            changed: feed.changed.subscribe(),
        };
        let now = self.now();
        let limits = (now, now + submission.deadline);
        state.open_requests.insert(submission.key.clone(), limits);
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
            super::perform::log(decision);
        }
        Ok(ticket)
    }
}

impl Ticket {
    /// Waits for the next part or the final outcome.
    pub async fn next(&mut self) -> Item {
        loop {
            if let Some(item) = self.ready() {
                return item;
            }
            if self.changed.changed().await.is_err() {
                // The feed is kept for as long as this ticket reads it.
                std::future::pending::<()>().await;
            }
        }
    }

    /// Waits for the final outcome.
    pub async fn outcome(&mut self) -> Outcome {
        loop {
            if let Item::End(outcome) = self.next().await {
                return outcome;
            }
        }
    }

    fn ready(&mut self) -> Option<Item> {
        self.changed.mark_unchanged();
        let state = self.daemon.state();
        let feed = state.feeds.get(&self.key)?;
        if let Some(text) = feed.parts.get(self.next) {
            let sequence = self.next;
            self.next += 1;
            let text = Payload::clone(text);
            return Some(Item::Part { sequence, text });
        }
        let outcome = feed.outcome.clone()?;
        (feed.outcomes > self.outcomes).then_some(Item::End(outcome))
    }
}

fn check(state: &State, submission: &Submission) -> Result<(), Refusal> {
    let table = state.table.as_ref().ok_or(Refusal::NotReady)?;
    if !state.core.is_ready() {
        return Err(Refusal::NotReady);
    }
    if !table.workspaces.contains_key(&submission.key.workspace) {
        return Err(Refusal::UnknownWorkspace);
    }
    if !table.pipelines.contains_key(&submission.key.pipeline) {
        return Err(Refusal::UnknownPipeline);
    }
    let status = state.core.key_status(&submission.key, &submission.payload);
    if status == KeyStatus::Reused {
        return Err(Refusal::IdReused);
    }
    Ok(())
}
