//! Queue of the requests that wait for a target of one pool.
//!
//! Items go by strict priority, then by weighted fair shares of their workspaces, then by the
//! earliest deadline. Shares follow start-time fair queueing (Goyal, Vin and Cheng, 1996): each
//! workspace has a virtual time that its items advance by their cost over its share, and the
//! workspace that is furthest behind goes next.

mod level;

use crate::{
    id::{Key, Time, WorkspaceId},
    queue::level::Level,
};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap},
    ops::Bound,
};

/// One waiting stage of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Name of the request.
    pub key: Key,
    /// Strict priority; higher goes first.
    pub priority: i32,
    /// Share of the workspace among those of one priority.
    pub share: f64,
    /// When the request's deadline passes.
    pub deadline: Time,
    /// Expected work of the stage, in target seconds.
    pub cost: f64,
}

/// Priorities without waiting items that are kept for the shares of their workspaces.
const CLEANUP_LEVELS: usize = 16;

/// Order of an item in its workspace: by deadline, then by arrival.
type QueueOrder = (Time, i64);

/// Bounded queue of one pool.
///
/// # Performance
///
/// Adding and taking an item takes time logarithmic in the sequence of items. Counting the backlog
/// is linear in the sequence of priorities in use.
#[derive(Debug)]
pub struct Queue {
    items: HashMap<i64, Item>,
    keys: HashMap<Key, i64>,
    deadlines: BTreeSet<QueueOrder>,
    levels: BTreeMap<Reverse<i32>, Level>,
    capacity: usize,
    next_sequence: i64,
    front_sequence: i64,
}

impl Queue {
    /// Creates an empty queue that holds at most `capacity` items.
    pub fn new(capacity: usize) -> Self {
        Self {
            items: HashMap::new(),
            keys: HashMap::new(),
            deadlines: BTreeSet::new(),
            levels: BTreeMap::new(),
            capacity,
            next_sequence: 0,
            front_sequence: 0,
        }
    }

    /// Returns how many items wait.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether no item waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns how many items of `workspace` wait.
    pub fn count(&self, workspace: &WorkspaceId) -> usize {
        self.levels
            .values()
            .map(|level| level.count(workspace))
            .sum()
    }

    /// Adds an item.
    ///
    /// # Errors
    ///
    /// Gives the item to refuse when the queue is full: the new one, or a waiting one that has a
    /// weaker right to its place. That is an item of the lowest priority, there one of the
    /// workspace with the most waiting work for its share, and there the one with the latest
    /// deadline. An item whose key waits already is refused too.
    pub fn push(&mut self, item: Item) -> Result<(), Box<Item>> {
        if self.keys.contains_key(&item.key) {
            return Err(Box::new(item));
        }
        let key = item.key.clone();
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.insert(sequence, item);
        if self.items.len() <= self.capacity {
            return Ok(());
        }
        let eviction_candidate = self
            .levels
            .values()
            .rev()
            .find_map(Level::eviction_candidate);
        match eviction_candidate.and_then(|sequence| self.remove_by_sequence(sequence)) {
            Some(item) => Err(Box::new(item)),
            None => self.remove(&key).map_or(Ok(()), |item| Err(Box::new(item))),
        }
    }

    /// Takes the item that goes next.
    pub fn pop(&mut self) -> Option<Item> {
        let mut levels = self.levels.values_mut();
        let level = levels.find(|level| !level.is_empty())?;
        let sequence = level.peek()?;
        if let Some(item) = self.items.get(&sequence) {
            level.charge(item);
        }
        self.remove_by_sequence(sequence)
    }

    /// Puts an item back in front, after a [`pop`](Self::pop) that found no target.
    ///
    /// The workspace gets back what the item cost of its share. Several items are put back in
    /// the reverse order of their removal.
    pub fn requeue(&mut self, item: Item) {
        self.front_sequence -= 1;
        let level = self.levels.entry(Reverse(item.priority)).or_default();
        level.refund(&item);
        self.insert(self.front_sequence, item);
    }

    /// Takes the item of `key` out, if it waits.
    pub fn remove(&mut self, key: &Key) -> Option<Item> {
        let sequence = *self.keys.get(key)?;
        self.remove_by_sequence(sequence)
    }

    /// Takes out the items whose deadline is before `time`.
    pub fn expire(&mut self, time: Time) -> Vec<Item> {
        let mut expired = Vec::new();
        while let Some(&(deadline, sequence)) = self.deadlines.first()
            && deadline < time
        {
            expired.extend(self.remove_by_sequence(sequence));
        }
        expired
    }

    /// Returns when the first deadline of a waiting item passes.
    pub fn earliest_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Returns the work that waits before a new item of `priority`, in target seconds.
    pub fn backlog(&self, priority: i32) -> f64 {
        self.levels
            .range(..=Reverse(priority))
            .map(|(_, level)| level.backlog())
            .sum()
    }

    /// Returns the work that goes before a new item of `workspace` and `priority`, in target
    /// seconds.
    pub fn work_ahead(&self, workspace: &WorkspaceId, priority: i32) -> f64 {
        let higher = (Bound::Unbounded, Bound::Excluded(Reverse(priority)));
        let higher: f64 = self
            .levels
            .range(higher)
            .map(|(_, level)| level.backlog())
            .sum();
        let level = self.levels.get(&Reverse(priority));
        higher + level.map_or(0.0, |level| level.work_ahead(workspace))
    }

    fn insert(&mut self, sequence: i64, item: Item) {
        if self.levels.len() > CLEANUP_LEVELS {
            self.levels.retain(|_, level| !level.is_empty());
        }
        self.deadlines.insert((item.deadline, sequence));
        self.keys.insert(item.key.clone(), sequence);
        self.levels
            .entry(Reverse(item.priority))
            .or_default()
            .push(sequence, &item);
        self.items.insert(sequence, item);
    }

    /// Takes an item out without charging its workspace.
    fn remove_by_sequence(&mut self, sequence: i64) -> Option<Item> {
        let item = self.unindex(sequence)?;
        if let Some(level) = self.levels.get_mut(&Reverse(item.priority)) {
            level.remove(sequence, &item);
        }
        Some(item)
    }

    fn unindex(&mut self, sequence: i64) -> Option<Item> {
        let item = self.items.remove(&sequence)?;
        self.keys.remove(&item.key);
        self.deadlines.remove(&(item.deadline, sequence));
        Some(item)
    }
}
