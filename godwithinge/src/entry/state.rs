//! What stands behind the mutex of an entry daemon.

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

/// What stands behind the mutex of an entry daemon.
#[derive(Debug)]
pub(super) struct State {
    /// The decisions.
    pub(super) core: Entry,
    /// Buffer for commands.
    pub(super) commands: Vec<Command>,
    /// When the timer is set to go off.
    pub(super) timer_deadline: Option<Time>,
    /// Parts and outcomes on their way to callers.
    pub(super) buffers: ResponseBuffers,
    /// Calls in flight.
    pub(super) attempts: HashMap<AttemptId, Attempt>,
    /// Targets on the host list.
    pub(super) hosts: HashMap<TargetId, Host>,
    /// Targets that got a call since their last report was read.
    pub(super) recently_called: HashSet<TargetId>,
    /// Table that was handed over last.
    pub(super) table: Option<Arc<Table>>,
    /// Decisions that were made last.
    pub(super) decisions: DecisionHistory,
    /// Requests that wait for their final outcome, with their submission and deadline.
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
