//! Memory of requests that have ended at this entry.

use crate::id::{BlockHash, Key, Payload, Time};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Requests that are remembered at most.
const MAX_RECORDS: usize = 65_536;

/// Requests that have ended here, for callers that ask again.
#[derive(Debug)]
pub struct OutcomeCache {
    retention: Duration,
    records: HashMap<Key, Record>,
    expirations: VecDeque<(Time, Key)>,
}

/// What is remembered of a request.
#[derive(Clone, Debug)]
pub struct Record {
    /// Fingerprint of the payload.
    pub fingerprint: BlockHash,
    /// The answer, if the request was answered.
    pub answer: Option<Payload>,
    /// Whether a call of the request may have taken effect without a known result.
    pub unsettled: bool,
    until: Time,
}

impl OutcomeCache {
    /// Creates a memory that keeps each request for `retention`.
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            records: HashMap::new(),
            expirations: VecDeque::new(),
        }
    }

    /// Remembers a request.
    pub fn insert(
        &mut self,
        now: Time,
        key: Key,
        fingerprint: BlockHash,
        answer: Option<Payload>,
        unsettled: bool,
    ) {
        let until = now + self.retention;
        self.expirations.push_back((until, key.clone()));
        self.records.insert(
            key,
            Record {
                fingerprint,
                answer,
                unsettled,
                until,
            },
        );
        if self.expirations.len() > MAX_RECORDS {
            self.remove_oldest();
        }
    }

    /// Returns what is remembered of a request.
    pub fn get(&self, key: &Key) -> Option<&Record> {
        self.records.get(key)
    }

    /// Returns the fingerprint of a remembered request's payload.
    pub fn fingerprint(&self, key: &Key) -> Option<BlockHash> {
        self.get(key).map(|record| record.fingerprint)
    }

    /// Forgets the requests whose time is over.
    pub fn expire(&mut self, now: Time) {
        while self
            .expirations
            .front()
            .is_some_and(|(until, _)| *until <= now)
        {
            self.remove_oldest();
        }
    }

    /// Drops the oldest entry, and the record if no later entry renewed it.
    fn remove_oldest(&mut self) {
        if let Some((until, key)) = self.expirations.pop_front()
            && self
                .records
                .get(&key)
                .is_some_and(|record| record.until == until)
        {
            self.records.remove(&key);
        }
    }
}
