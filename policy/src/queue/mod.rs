//! Queue of the requests that wait for a target of one pool.
//!
//! Items are ordered by strict priority, then by weighted fair shares of their workspaces, then by
//! earliest deadline. The shares follow start-time fair queueing (Goyal, Vin and Cheng, 1996): each
//! workspace has a virtual time that every served item advances by its cost divided by the
//! workspace's share, and the workspace with the lowest virtual time is served next.

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
    /// Key of the request; unique within a queue.
    pub key: Key,
    /// Strict priority; higher values are served first.
    pub priority: i32,
    /// Weight of the workspace relative to the other workspaces of the same priority.
    pub share: f64,
    /// Deadline of the request.
    pub deadline: Time,
    /// Estimated work of the stage, in target seconds.
    pub cost: f64,
}

/// Number of priorities above which those without waiting items are dropped.
///
/// Until then they keep the virtual times of their workspaces.
const CLEANUP_LEVELS: usize = 16;

/// Sort key of items: deadline, then sequence number.
type QueueOrder = (Time, i64);

/// Bounded priority queue with fair shares.
///
/// # Performance
///
/// Adding and removing an item takes time logarithmic in the number of items. Computing the backlog
/// is linear in the number of priorities in use.
#[derive(Debug)]
pub struct Queue {
    items: HashMap<i64, Item>,
    keys: HashMap<Key, i64>,
    deadlines: BTreeSet<QueueOrder>,
    levels: BTreeMap<Reverse<i32>, Level>,
    capacity: usize,
    next_sequence: i64,
    /// Sequence number of the last requeued item. It decreases, so that requeued items come first
    /// among equal deadlines.
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

    /// Returns the number of waiting items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether there are no waiting items.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the number of waiting items of `workspace`, over all priorities.
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
    /// Returns the new item if its key is already in the queue. If the queue is full, returns the
    /// item that was evicted, which can be the new one: of the items with the lowest priority,
    /// those of the workspace with the most waiting work per share, and of these the one with the
    /// latest deadline.
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

    /// Removes the next item and charges its cost to its workspace.
    pub fn pop(&mut self) -> Option<Item> {
        let mut levels = self.levels.values_mut();
        let level = levels.find(|level| !level.is_empty())?;
        let sequence = level.peek()?;
        if let Some(item) = self.items.get(&sequence) {
            level.charge(item);
        }
        self.remove_by_sequence(sequence)
    }

    /// Returns an item from [`pop`](Self::pop) to its position, because no target can take it.
    ///
    /// The charge to its workspace is reverted. Several items must be requeued in the reverse order
    /// of their removal.
    pub fn requeue(&mut self, item: Item) {
        self.front_sequence -= 1;
        let level = self.levels.entry(Reverse(item.priority)).or_default();
        level.refund(&item);
        self.insert(self.front_sequence, item);
    }

    /// Removes the item with `key` without charging its workspace.
    ///
    /// `None` if the item is not in the queue.
    pub fn remove(&mut self, key: &Key) -> Option<Item> {
        let sequence = *self.keys.get(key)?;
        self.remove_by_sequence(sequence)
    }

    /// Removes the items whose deadline is before `time`, the earliest first.
    pub fn expire(&mut self, time: Time) -> Vec<Item> {
        let mut expired = Vec::new();
        while let Some(&(deadline, sequence)) = self.deadlines.first()
            && deadline < time
        {
            expired.extend(self.remove_by_sequence(sequence));
        }
        expired
    }

    /// Returns the earliest deadline of the waiting items, or `None` if the queue is empty.
    pub fn earliest_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Returns the waiting work of `priority` and all higher priorities, in target seconds.
    pub fn backlog(&self, priority: i32) -> f64 {
        self.levels
            .range(..=Reverse(priority))
            .map(|(_, level)| level.backlog())
            .sum()
    }

    /// Returns the estimated work that is served before a new item of `workspace` and `priority`,
    /// in target seconds.
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

    /// Removes an item without charging its workspace.
    fn remove_by_sequence(&mut self, sequence: i64) -> Option<Item> {
        let item = self.unindex(sequence)?;
        if let Some(level) = self.levels.get_mut(&Reverse(item.priority)) {
            level.remove(sequence, &item);
        }
        Some(item)
    }

    /// Removes an item from all indexes but its level.
    fn unindex(&mut self, sequence: i64) -> Option<Item> {
        let item = self.items.remove(&sequence)?;
        self.keys.remove(&item.key);
        self.deadlines.remove(&(item.deadline, sequence));
        Some(item)
    }
}
