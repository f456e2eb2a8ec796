//! Mutable state of an entry daemon.

use super::{attempt::Attempt, buffer::ResponseBuffers, history::DecisionHistory};
use policy::{
    Table,
    command::Command,
    entry::Entry,
    host::Host,
    id::{AttemptId, Key, TargetId, Time},
};
use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

/// Mutable state of an entry daemon, protected by one mutex.
#[derive(Debug)]
pub(super) struct State {
    /// State machine that makes all decisions.
    pub(super) core: Entry,
    /// Empty command buffer, reused for each event.
    pub(super) commands: Vec<Command>,
    /// Time at which the timer task wakes up next.
    pub(super) timer_deadline: Option<Time>,
    /// Chunks and outcomes for callers.
    pub(super) buffers: ResponseBuffers,
    /// Calls to targets that are in flight.
    pub(super) attempts: HashMap<AttemptId, Attempt>,
    /// Targets on the host list.
    pub(super) hosts: HashMap<TargetId, Host>,
    /// Targets that were called since their last load report was read.
    pub(super) recently_called: HashSet<TargetId>,
    /// Table in force.
    pub(super) table: Option<Arc<Table>>,
    /// Most recent decisions.
    pub(super) decisions: DecisionHistory,
    /// Submission time and deadline of each request without a final outcome.
    pub(super) open_requests: HashMap<Key, (Time, Time)>,
}

impl State {
    pub(super) fn new(core: Entry) -> Self {
        Self {
            core,
            commands: Vec::new(),
            timer_deadline: None,
            buffers: ResponseBuffers::default(),
            attempts: HashMap::new(),
            hosts: HashMap::new(),
            recently_called: HashSet::new(),
            table: None,
            decisions: DecisionHistory::default(),
            open_requests: HashMap::new(),
        }
    }
}
