//! Parts and outcomes on their way to callers.

use policy::{
    Outcome,
    id::{Key, Payload, Time},
};
use std::{collections::HashMap, time::Duration};
use tokio::sync::watch;

/// Parts and outcome of one request.
#[derive(Debug)]
pub(super) struct ResponseBuffer {
    /// Parts of the answer from number 0.
    pub(super) chunks: Vec<Payload>,
    /// The latest outcome.
    pub(super) outcome: Option<Outcome>,
    /// Number of outcomes that were given.
    pub(super) outcome_count: u64,
    /// Told of each change.
    pub(super) changed: watch::Sender<()>,
    ended_at: Option<Time>,
}

/// Buffers of all requests that callers wait for or may come back for.
#[derive(Debug, Default)]
pub(super) struct ResponseBuffers {
    buffers: HashMap<Key, ResponseBuffer>,
}

impl ResponseBuffer {
    fn new() -> Self {
        Self {
            chunks: Vec::new(),
            outcome: None,
            outcome_count: 0,
            changed: watch::Sender::new(()),
            ended_at: None,
        }
    }
}

impl ResponseBuffers {
    /// Returns the buffer of a request that a caller sent.
    ///
    /// Parts of an earlier run that gave no answer are dropped.
    pub(super) fn open(&mut self, key: &Key) -> &mut ResponseBuffer {
        let buffer = self
            .buffers
            .entry(key.clone())
            .or_insert_with(ResponseBuffer::new);
        let unanswered = matches!(&buffer.outcome, Some(outcome) if !is_answered(outcome));
        if unanswered {
            buffer.chunks.clear();
        }
        buffer.ended_at = None;
        buffer
    }

    /// Returns the buffer of a request.
    pub(super) fn get(&self, key: &Key) -> Option<&ResponseBuffer> {
        self.buffers.get(key)
    }

    /// Adds a part; one that came before is dropped.
    pub(super) fn emit(&mut self, key: &Key, sequence: u64, text: Payload) {
        let Some(buffer) = self.buffers.get_mut(key) else {
            return;
        };
        if buffer.chunks.len() as u64 == sequence {
            buffer.chunks.push(text);
            buffer.changed.send_replace(());
        }
    }

    /// Gives the final outcome to all callers that wait.
    pub(super) fn finish(&mut self, now: Time, key: &Key, outcome: Outcome) {
        let Some(buffer) = self.buffers.get_mut(key) else {
            return;
        };
        buffer.outcome = Some(outcome);
        buffer.outcome_count += 1;
        buffer.ended_at = Some(now);
        buffer.changed.send_replace(());
    }

    /// Drops the buffers that ended longer than `keep` ago and that nobody reads.
    pub(super) fn evict_expired(&mut self, now: Time, keep: Duration) {
        self.buffers.retain(|_, buffer| {
            let kept = buffer.ended_at.is_none_or(|ended_at| now < ended_at + keep);
            kept || buffer.changed.receiver_count() > 0
        });
    }
}

fn is_answered(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Answered { .. })
}
