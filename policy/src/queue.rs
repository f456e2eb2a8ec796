//! Queue of the requests that wait for a target of one pool.

use crate::id::{Key, Time, WorkspaceId};
use std::collections::VecDeque;

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

/// Bounded queue of one pool.
#[derive(Debug)]
pub struct Queue {
    items: VecDeque<Item>,
    capacity: usize,
}

impl Queue {
    /// Creates an empty queue that holds at most `capacity` items.
    pub fn new(capacity: usize) -> Self {
        Self {
            items: VecDeque::new(),
            capacity,
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
        self.items
            .iter()
            .filter(|item| item.key.workspace == *workspace)
            .count()
    }

    /// Adds an item.
    ///
    /// # Errors
    ///
    /// Gives the item to refuse when the queue is full: the new one, or a waiting one that has a
    /// weaker right to its place.
    pub fn push(&mut self, item: Item) -> Result<(), Box<Item>> {
        if self.items.len() >= self.capacity {
            return Err(Box::new(item));
        }
        self.items.push_back(item);
        Ok(())
    }

    /// Takes the item that goes next.
    pub fn pop(&mut self) -> Option<Item> {
        self.items.pop_front()
    }

    /// Puts an item back in front, after a [`pop`](Self::pop) that found no target.
    pub fn restore(&mut self, item: Item) {
        self.items.push_front(item);
    }

    /// Takes the item of `key` out, if it waits.
    pub fn remove(&mut self, key: &Key) -> Option<Item> {
        let at = self.items.iter().position(|item| item.key == *key)?;
        self.items.remove(at)
    }

    /// Takes out the items whose deadline is before `time`.
    pub fn expire(&mut self, time: Time) -> Vec<Item> {
        let (late, kept) = self.items.drain(..).partition(|item| item.deadline < time);
        self.items = kept;
        Vec::from(late)
    }

    /// Returns the work that waits before a new item of `priority`, in target seconds.
    pub fn backlog(&self, priority: i32) -> f64 {
        self.items
            .iter()
            .filter(|item| item.priority >= priority)
            .map(|item| item.cost)
            .sum()
    }
}
