//! Buffers of chunks and outcomes that are delivered to callers.

use policy::{
    Outcome,
    id::{Key, Payload, Time},
};
use std::{collections::HashMap, time::Duration};
use tokio::sync::watch;

/// Chunks and latest outcome of one request.
#[derive(Debug)]
pub(super) struct ResponseBuffer {
    /// Chunks of the response, ordered by index.
    pub(super) chunks: Vec<Payload>,
    /// Latest outcome; a request that is retried may get another one.
    pub(super) outcome: Option<Outcome>,
    /// Number of outcomes that the request has had.
    pub(super) outcome_count: u64,
    /// Notifies subscribers of each change.
    pub(super) changed: watch::Sender<()>,
    ended_at: Option<Time>,
}

/// Buffers of all requests that are open or may still be retried.
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
    /// Returns the buffer of a submitted request, and creates it if there is none.
    ///
    /// Chunks of an earlier run that ended without an answer are discarded.
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

    pub(super) fn get(&self, key: &Key) -> Option<&ResponseBuffer> {
        self.buffers.get(key)
    }

    /// Appends a chunk; one whose index is not the next one, such as a duplicate, is ignored.
    pub(super) fn emit(&mut self, key: &Key, sequence: u64, text: Payload) {
        let Some(buffer) = self.buffers.get_mut(key) else {
            return;
        };
        if buffer.chunks.len() as u64 == sequence {
            buffer.chunks.push(text);
            buffer.changed.send_replace(());
        }
    }

    /// Stores the final outcome and notifies all subscribers.
    pub(super) fn finish(&mut self, now: Time, key: &Key, outcome: Outcome) {
        let Some(buffer) = self.buffers.get_mut(key) else {
            return;
        };
        buffer.outcome = Some(outcome);
        buffer.outcome_count += 1;
        buffer.ended_at = Some(now);
        buffer.changed.send_replace(());
    }

    /// Evicts the buffers without subscribers whose requests ended at least `keep` ago.
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
