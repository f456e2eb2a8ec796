//! Start-time fair queueing among the workspaces of one priority.

use crate::{
    id::WorkspaceId,
    queue::{Item, QueueOrder},
};
use std::{
    cmp::Ordering,
    collections::{BTreeSet, HashMap},
};

/// Lower bound of an item's cost, in target seconds.
const MIN_COST: f64 = 0.001;

/// Lower bound of a workspace's share, which is a divisor.
const MIN_SHARE: f64 = 0.000_001;

/// Idle workspaces are dropped once the workspaces outnumber twice those with waiting items by this
/// many.
const MAX_IDLE_FLOWS: usize = 64;

/// Waiting items of one priority, by workspace.
#[derive(Debug, Default)]
pub(super) struct Level {
    flows: HashMap<WorkspaceId, Flow>,
    /// Workspaces with waiting items by virtual start time; the first one is served next.
    by_start: BTreeSet<(TotalOrderF64, WorkspaceId)>,
    /// Workspaces with waiting items by waiting work per share; the last one is evicted from first.
    by_load: BTreeSet<(TotalOrderF64, WorkspaceId)>,
    /// Virtual start time of the item that was served last.
    virtual_time: f64,
    /// Waiting work, in target seconds.
    backlog: f64,
    /// Sum of the shares of the workspaces with waiting items.
    total_share: f64,
}

/// Waiting items of one workspace.
#[derive(Debug)]
struct Flow {
    items: BTreeSet<QueueOrder>,
    share: f64,
    /// Virtual start time of the next item.
    start: f64,
    /// Waiting work, in target seconds.
    cost: f64,
    /// Key of the flow in `by_load` of its level.
    load: TotalOrderF64,
}

/// Floating-point number ordered by [`f64::total_cmp`].
#[derive(Clone, Copy, Debug)]
struct TotalOrderF64(f64);

impl Level {
    pub fn is_empty(&self) -> bool {
        self.by_start.is_empty()
    }

    /// Returns the waiting work, in target seconds.
    pub const fn backlog(&self) -> f64 {
        self.backlog
    }

    /// Returns the estimated work that is served before a new item of `workspace`, in target
    /// seconds.
    ///
    /// While the waiting items of `workspace` are served, the other workspaces are served in
    /// proportion to their shares.
    pub fn work_ahead(&self, workspace: &WorkspaceId) -> f64 {
        self.flows.get(workspace).map_or(0.0, |flow| {
            (flow.cost * self.total_share / flow.share).min(self.backlog)
        })
    }

    /// Returns the number of waiting items of `workspace`.
    pub fn count(&self, workspace: &WorkspaceId) -> usize {
        self.flows.get(workspace).map_or(0, |flow| flow.items.len())
    }

    /// Returns the sequence number of the next item.
    pub fn peek(&self) -> Option<i64> {
        let (_, workspace) = self.by_start.first()?;
        let (_, sequence) = self.flows.get(workspace)?.items.first()?;
        Some(*sequence)
    }

    /// Returns the sequence number of the item to evict from a full queue.
    ///
    /// It is the item with the latest deadline of the workspace with the most waiting work per
    /// share.
    pub fn eviction_candidate(&self) -> Option<i64> {
        let (_, workspace) = self.by_load.last()?;
        let (_, sequence) = self.flows.get(workspace)?.items.last()?;
        Some(*sequence)
    }

    pub fn push(&mut self, sequence: i64, item: &Item) {
        let virtual_time = self.virtual_time;
        self.backlog += cost(item);
        self.update_flow(item, |flow| {
            if flow.items.is_empty() {
                flow.start = flow.start.max(virtual_time);
            }
            flow.share = item.share.max(MIN_SHARE);
            flow.items.insert((item.deadline, sequence));
            flow.cost += cost(item);
        });
    }

    /// Removes an item without charging its workspace.
    pub fn remove(&mut self, sequence: i64, item: &Item) {
        self.backlog -= cost(item);
        self.update_flow(item, |flow| {
            flow.items.remove(&(item.deadline, sequence));
            flow.cost -= cost(item);
        });
        if self.is_empty() {
            self.backlog = 0.0;
            self.total_share = 0.0;
        }
        self.remove_idle_flows();
    }

    /// Charges an item that is about to be served to its workspace.
    pub fn charge(&mut self, item: &Item) {
        let mut virtual_time = self.virtual_time;
        self.update_flow(item, |flow| {
            virtual_time = virtual_time.max(flow.start);
            flow.start += cost(item) / flow.share;
        });
        self.virtual_time = virtual_time;
    }

    /// Reverts the charge for an item that was not served after all.
    pub fn refund(&mut self, item: &Item) {
        let mut start = self.virtual_time;
        self.update_flow(item, |flow| {
            flow.start = (flow.start - cost(item) / flow.share).max(0.0);
            start = flow.start;
        });
        self.virtual_time = self.virtual_time.min(start);
    }

    /// Changes the flow of an item's workspace and updates the indexes and totals of the level.
    fn update_flow(&mut self, item: &Item, change: impl FnOnce(&mut Flow)) {
        let workspace = &item.key.workspace;
        let virtual_time = self.virtual_time;
        let flow = self
            .flows
            .entry(workspace.clone())
            .or_insert_with(|| Flow::new(virtual_time, item.share.max(MIN_SHARE)));
        if !flow.items.is_empty() {
            self.by_start
                .remove(&(TotalOrderF64(flow.start), workspace.clone()));
            self.by_load.remove(&(flow.load, workspace.clone()));
            self.total_share -= flow.share;
        }
        change(flow);
        if flow.items.is_empty() {
            flow.cost = 0.0;
        } else {
            flow.load = TotalOrderF64(flow.cost / flow.share);
            self.by_start
                .insert((TotalOrderF64(flow.start), workspace.clone()));
            self.by_load.insert((flow.load, workspace.clone()));
            self.total_share += flow.share;
        }
    }

    /// Drops idle workspaces whose virtual time has passed, once there are many.
    fn remove_idle_flows(&mut self) {
        if self.flows.len() > 2 * self.by_start.len() + MAX_IDLE_FLOWS {
            let virtual_time = self.virtual_time;
            self.flows
                .retain(|_, flow| !flow.items.is_empty() || flow.start > virtual_time);
        }
    }
}

impl Flow {
    const fn new(start: f64, share: f64) -> Self {
        Self {
            items: BTreeSet::new(),
            share,
            start,
            cost: 0.0,
            load: TotalOrderF64(0.0),
        }
    }
}

impl PartialEq for TotalOrderF64 {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for TotalOrderF64 {}

impl PartialOrd for TotalOrderF64 {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TotalOrderF64 {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

fn cost(item: &Item) -> f64 {
    item.cost.max(MIN_COST)
}
