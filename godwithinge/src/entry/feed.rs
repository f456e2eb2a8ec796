//! Parts and outcomes on their way to callers.

use policy::{
    Outcome,
    id::{Key, Payload, Time},
};
use std::{collections::HashMap, time::Duration};
use tokio::sync::watch;

/// Parts and outcome of one request.
#[derive(Debug)]
pub(super) struct Feed {
    /// Parts of the answer from number 0.
    pub(super) parts: Vec<Payload>,
    /// The latest outcome.
    pub(super) outcome: Option<Outcome>,
    /// Number of outcomes that were given.
    pub(super) outcomes: u64,
    /// Told of each change.
    pub(super) changed: watch::Sender<()>,
    ended: Option<Time>,
}

/// Feeds of all requests that callers wait for or may come back for.
#[derive(Debug, Default)]
pub(super) struct Feeds {
    feeds: HashMap<Key, Feed>,
}

impl Feed {
    fn new() -> Self {
        Self {
            parts: Vec::new(),
            outcome: None,
            outcomes: 0,
            changed: watch::Sender::new(()),
            ended: None,
        }
    }
}

impl Feeds {
    /// Returns the feed of a request that a caller sent.
    ///
    /// Parts of an earlier run that gave no answer are dropped.
    pub(super) fn open(&mut self, key: &Key) -> &mut Feed {
        let feed = self.feeds.entry(key.clone()).or_insert_with(Feed::new);
        let unanswered = matches!(&feed.outcome, Some(outcome) if !is_answer(outcome));
        if unanswered {
            feed.parts.clear();
        }
        feed.ended = None;
        feed
    }

    /// Returns the feed of a request.
    pub(super) fn get(&self, key: &Key) -> Option<&Feed> {
        self.feeds.get(key)
    }

    /// Adds a part; one that came before is dropped.
    pub(super) fn emit(&mut self, key: &Key, sequence: u64, text: Payload) {
        let Some(feed) = self.feeds.get_mut(key) else {
            return;
        };
        if feed.parts.len() as u64 == sequence {
            feed.parts.push(text);
            feed.changed.send_replace(());
        }
    }

    /// Gives the final outcome to all callers that wait.
    pub(super) fn finish(&mut self, now: Time, key: &Key, outcome: Outcome) {
        let Some(feed) = self.feeds.get_mut(key) else {
            return;
        };
        feed.outcome = Some(outcome);
        feed.outcomes += 1;
        feed.ended = Some(now);
        feed.changed.send_replace(());
    }

    /// Drops the feeds that ended longer than `keep` ago and that nobody reads.
    pub(super) fn sweep(&mut self, now: Time, keep: Duration) {
        self.feeds.retain(|_, feed| {
            let kept = feed.ended.is_none_or(|ended| now < ended + keep);
            kept || feed.changed.receiver_count() > 0
        });
    }
}

fn is_answer(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Answered { .. })
}
