//! Memory of requests that have ended at this entry.

use crate::id::{BlockHash, Key, Payload, Time};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Requests that are remembered at most.
const RECORDS: usize = 65_536;

/// Requests that have ended here, for callers that ask again.
#[derive(Debug)]
pub struct Memory {
    keep: Duration,
    records: HashMap<Key, Record>,
    order: VecDeque<(Time, Key)>,
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

impl Memory {
    /// Creates a memory that keeps each request for `keep`.
    pub fn new(keep: Duration) -> Self {
        Self {
            keep,
            records: HashMap::new(),
            order: VecDeque::new(),
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
        let until = now + self.keep;
        self.order.push_back((until, key.clone()));
        self.records.insert(
            key,
            Record {
                fingerprint,
                answer,
                unsettled,
                until,
            },
        );
        if self.order.len() > RECORDS {
            self.drop_first();
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
        while self.order.front().is_some_and(|(until, _)| *until <= now) {
            self.drop_first();
        }
    }

    /// Drops the oldest entry, and the record if no later entry renewed it.
    fn drop_first(&mut self) {
        if let Some((until, key)) = self.order.pop_front()
            && self
                .records
                .get(&key)
                .is_some_and(|record| record.until == until)
        {
            self.records.remove(&key);
        }
    }
}
