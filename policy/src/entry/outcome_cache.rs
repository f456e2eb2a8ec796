//! Cache of the outcomes of requests that have ended at this entry.

use crate::id::{BlockHash, Key, Payload, Time};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Records that the cache keeps at most, counted with those that a later one has replaced.
const MAX_RECORDS: usize = 65_536;

/// Outcomes by request key, for callers that repeat a request.
#[derive(Debug)]
pub struct OutcomeCache {
    retention: Duration,
    records: HashMap<Key, Record>,
    expirations: VecDeque<(Time, Key)>,
}

/// Outcome of a request.
#[derive(Clone, Debug)]
pub struct Record {
    /// Fingerprint of the payload.
    pub fingerprint: BlockHash,
    /// Answer, or `None` if the request ended without one.
    pub answer: Option<Payload>,
    /// Whether a call of the request may have had a side effect whose result is unknown.
    pub unsettled: bool,
    until: Time,
}

impl OutcomeCache {
    /// Creates a cache that keeps each record for `retention`.
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            records: HashMap::new(),
            expirations: VecDeque::new(),
        }
    }

    /// Adds the outcome of a request, and replaces an older one under the same key.
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

    /// Returns the record of a request, or `None` if it is unknown or has expired.
    pub fn get(&self, key: &Key) -> Option<&Record> {
        self.records.get(key)
    }

    /// Returns the fingerprint of the payload that was sent under `key`.
    pub fn fingerprint(&self, key: &Key) -> Option<BlockHash> {
        self.get(key).map(|record| record.fingerprint)
    }

    /// Removes the records whose retention period has passed.
    pub fn expire(&mut self, now: Time) {
        while self
            .expirations
            .front()
            .is_some_and(|(until, _)| *until <= now)
        {
            self.remove_oldest();
        }
    }

    /// Removes the oldest expiration, and its record unless the record was renewed since.
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
