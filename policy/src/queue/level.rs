//! Items of one priority, in fair shares of their workspaces.

use crate::{
    id::WorkspaceId,
    queue::{Item, Rank},
};
use std::{
    cmp::Ordering,
    collections::{BTreeSet, HashMap},
};

/// Smallest cost of an item, in target seconds.
const LEAST_COST: f64 = 0.001;

/// Smallest share of a workspace.
const LEAST_SHARE: f64 = 0.000_001;

/// Workspaces without waiting items that are kept beside those with some.
const SPARE_FLOWS: usize = 64;

/// Items of one priority.
#[derive(Debug, Default)]
pub(super) struct Level {
    flows: HashMap<WorkspaceId, Flow>,
    /// Workspaces with waiting items by virtual time; the first one goes next.
    turns: BTreeSet<(Measure, WorkspaceId)>,
    /// Workspaces with waiting items by their work over their share.
    loads: BTreeSet<(Measure, WorkspaceId)>,
    /// Virtual time of the workspace that was served last.
    served: f64,
    cost: f64,
    /// Shares of the workspaces with waiting items.
    shares: f64,
}

/// Waiting items of one workspace.
#[derive(Debug)]
struct Flow {
    items: BTreeSet<Rank>,
    share: f64,
    /// Virtual time at which the next item starts.
    start: f64,
    cost: f64,
    /// Entry of the flow in the loads of its level.
    load: Measure,
}

/// Floating-point number with a total order.
#[derive(Clone, Copy, Debug)]
struct Measure(f64);

impl Level {
    /// Returns whether no item waits.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }

    /// Returns the waiting work, in target seconds.
    pub const fn cost(&self) -> f64 {
        self.cost
    }

    /// Returns the work that goes before a new item of `workspace`, in target seconds.
    ///
    /// For each item of its own, the other workspaces get theirs in proportion to their shares.
    pub fn ahead(&self, workspace: &WorkspaceId) -> f64 {
        self.flows.get(workspace).map_or(0.0, |flow| {
            (flow.cost * self.shares / flow.share).min(self.cost)
        })
    }

    /// Returns how many items of `workspace` wait.
    pub fn count(&self, workspace: &WorkspaceId) -> usize {
        self.flows.get(workspace).map_or(0, |flow| flow.items.len())
    }

    /// Returns the number of the item that goes next.
    pub fn next(&self) -> Option<i64> {
        let (_, workspace) = self.turns.first()?;
        let (_, number) = self.flows.get(workspace)?.items.first()?;
        Some(*number)
    }

    /// Returns the number of the item with the weakest right to its place.
    pub fn weakest(&self) -> Option<i64> {
        let (_, workspace) = self.loads.last()?;
        let (_, number) = self.flows.get(workspace)?.items.last()?;
        Some(*number)
    }

    /// Adds an item.
    pub fn push(&mut self, number: i64, item: &Item) {
        let served = self.served;
        self.cost += cost(item);
        self.update(item, |flow| {
            if flow.items.is_empty() {
                flow.start = flow.start.max(served);
            }
            flow.share = item.share.max(LEAST_SHARE);
            flow.items.insert((item.deadline, number));
            flow.cost += cost(item);
        });
    }

    /// Takes an item out, without a charge to its workspace.
    pub fn remove(&mut self, number: i64, item: &Item) {
        self.cost -= cost(item);
        self.update(item, |flow| {
            flow.items.remove(&(item.deadline, number));
            flow.cost -= cost(item);
        });
        if self.is_empty() {
            self.cost = 0.0;
            self.shares = 0.0;
        }
        self.drop_idle();
    }

    /// Charges the workspace for an item that is served.
    pub fn charge(&mut self, item: &Item) {
        let mut served = self.served;
        self.update(item, |flow| {
            served = served.max(flow.start);
            flow.start += cost(item) / flow.share;
        });
        self.served = served;
    }

    /// Takes back the charge for an item that was not served after all.
    pub fn refund(&mut self, item: &Item) {
        let mut start = self.served;
        self.update(item, |flow| {
            flow.start = (flow.start - cost(item) / flow.share).max(0.0);
            start = flow.start;
        });
        self.served = self.served.min(start);
    }

    /// Changes the flow of an item's workspace and keeps the orders of the level true.
    fn update(&mut self, item: &Item, change: impl FnOnce(&mut Flow)) {
        let workspace = &item.key.workspace;
        let served = self.served;
        let flow = self
            .flows
            .entry(workspace.clone())
            .or_insert_with(|| Flow::new(served, item.share.max(LEAST_SHARE)));
        if !flow.items.is_empty() {
            self.turns.remove(&(Measure(flow.start), workspace.clone()));
            self.loads.remove(&(flow.load, workspace.clone()));
            self.shares -= flow.share;
        }
        change(flow);
        if flow.items.is_empty() {
            flow.cost = 0.0;
        } else {
            flow.load = Measure(flow.cost / flow.share);
            self.turns.insert((Measure(flow.start), workspace.clone()));
            self.loads.insert((flow.load, workspace.clone()));
            self.shares += flow.share;
        }
    }

    /// Forgets workspaces without waiting items whose virtual time has passed.
    fn drop_idle(&mut self) {
        if self.flows.len() > 2 * self.turns.len() + SPARE_FLOWS {
            let served = self.served;
            self.flows
                .retain(|_, flow| !flow.items.is_empty() || flow.start > served);
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
            load: Measure(0.0),
        }
    }
}

impl PartialEq for Measure {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Measure {}

impl PartialOrd for Measure {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Measure {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

fn cost(item: &Item) -> f64 {
    item.cost.max(LEAST_COST)
}
