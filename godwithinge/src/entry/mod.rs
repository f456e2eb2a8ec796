//! Runtime of an entry daemon: performs the I/O around the state machine.
//!
//! All decisions are made by [`policy::entry::Entry`], which is protected by one mutex. The
//! commands that result from an event are started before the mutex is released, so that they
//! start in the order in which the state machine issued them.

mod attempt;
mod buffer;
mod claim;
mod directory;
mod drain;
mod error;
mod history;
mod keep;
mod peer;
mod perform;
mod poll;
mod report;
mod state;
mod submission;
mod sweep;

pub use self::{
    drain::Phase,
    error::Error,
    submission::{ResponseEvent, Submission, SubmitError, Subscription},
};

use self::{claim::ClaimClient, keep::CheckpointStore, state::State};
use crate::{api, metrics::Metrics, peer::Links, platform, settings::Settings, target};
use policy::{
    Event, Table,
    command::Command,
    decision::Decision,
    entry,
    host::Host,
    id::{Incarnation, Key, Time},
};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
    time::Instant,
};
use tokio::{
    sync::{Notify, watch},
    task::JoinSet,
    time,
};

/// Handle of a running entry daemon; clones refer to the same daemon.
#[derive(Clone, Debug)]
pub struct Daemon {
    shared: Arc<Shared>,
}

/// State that is shared by all tasks of an entry daemon.
#[derive(Debug)]
struct Shared {
    settings: Settings,
    incarnation: Incarnation,
    started: Instant,
    state: Mutex<State>,
    timer: Notify,
    phase: watch::Sender<Phase>,
    endpoints: OnceLock<Endpoints>,
    targets: target::Client,
    platform: platform::Client,
    claims: ClaimClient,
    checkpoints: CheckpointStore,
    metrics: Metrics,
}

/// Listening endpoints of the daemon, set once they are open.
#[derive(Debug)]
struct Endpoints {
    address: SocketAddr,
    links: Links,
}

/// Entry daemon with its background tasks, which are aborted when it is dropped.
#[derive(Debug)]
pub struct Running {
    daemon: Daemon,
    server: api::Server,
    tasks: JoinSet<()>,
}

impl Running {
    /// Starts a daemon: opens its listeners and spawns its background tasks.
    ///
    /// # Errors
    ///
    /// Fails if the API server or the peer listener cannot be started.
    pub async fn start(settings: Settings) -> Result<Self, Error> {
        let (daemon, settler) = Daemon::new(settings)?;
        let server = api::start(&daemon).map_err(Error::Listen)?;
        let address = server.address();
        let (links, events) = peer::start(&daemon, address).await?;
        let shared = &daemon.shared;
        shared
            .endpoints
            .get_or_init(|| Endpoints { address, links });
        let mut tasks = JoinSet::new();
        tasks.spawn(peer::run(daemon.clone(), events));
        tasks.spawn(run_timer(daemon.clone()));
        tasks.spawn(poll::hosts(daemon.clone()));
        tasks.spawn(poll::table(daemon.clone()));
        tasks.spawn(report::run(daemon.clone()));
        tasks.spawn(poll::housekeeping(daemon.clone()));
        tasks.spawn(directory::run(daemon.clone()));
        tasks.spawn(settler.run(daemon.clone()));
        tasks.spawn(sweep::run(daemon.clone()));
        tracing::info!(
            host = %shared.settings.daemon.host,
            domain = %shared.settings.daemon.domain,
            incarnation = shared.incarnation,
            %address,
            peer_address = %daemon.links().address(),
            "entry started"
        );
        Ok(Self {
            daemon,
            server,
            tasks,
        })
    }

    /// Returns a handle that can be cloned.
    pub fn daemon(&self) -> &Daemon {
        &self.daemon
    }

    /// Returns the bound address of the API server for callers and operators.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Waits until the daemon is drained after [`Daemon::drain`], then shuts it down.
    pub async fn wait(mut self) {
        self.daemon.drained().await;
        self.server.close().await;
        self.tasks.shutdown().await;
        tracing::info!(host = %self.daemon.shared.settings.daemon.host, "entry stopped");
    }
}

impl Daemon {
    /// Creates a daemon without background tasks, and the settler task to spawn.
    fn new(settings: Settings) -> Result<(Self, claim::Settler), Error> {
        let incarnation = rand::random();
        let core = entry::Entry::new(entry::Settings {
            host: settings.daemon.host.clone(),
            domain: settings.daemon.domain.clone(),
            incarnation,
            seed: rand::random(),
            pools: settings.pools.clone(),
            queue: settings.entry.max_queue_len,
            remember: settings.entry.outcome_retention,
        })
        .with_rule(settings.entry.rule);
        let address = settings.platform.address.to_string();
        let metrics = Metrics::new().map_err(Error::Metrics)?;
        let platform = platform::Client::new(address, settings.platform.timeout)
            .with_byte_counter(metrics.control_bytes.clone());
        let (claims, settler) = claim::new(platform.clone(), incarnation, metrics.clone());
        let shared = Shared {
            incarnation,
            started: Instant::now(),
            state: Mutex::new(State::new(core)),
            timer: Notify::new(),
            phase: watch::Sender::new(Phase::Serving),
            endpoints: OnceLock::new(),
            targets: target::Client::new(),
            checkpoints: CheckpointStore::new(platform.clone()),
            platform,
            claims,
            metrics,
            settings,
        };
        let shared = Arc::new(shared);
        Ok((Self { shared }, settler))
    }

    /// Returns the settings that the daemon was started with.
    pub fn settings(&self) -> &Settings {
        &self.shared.settings
    }

    /// Returns the metrics of this daemon, which share one registry.
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Returns the random number that tells this run of the daemon from earlier ones.
    pub fn incarnation(&self) -> Incarnation {
        self.shared.incarnation
    }

    /// Returns the bound address of the API server.
    ///
    /// # Panics
    ///
    /// Panics if called before [`Running::start`] has opened the listeners.
    fn address(&self) -> SocketAddr {
        self.endpoints().address
    }

    /// Returns the links to the other daemons.
    ///
    /// # Panics
    ///
    /// Panics if called before [`Running::start`] has opened the listeners.
    pub fn links(&self) -> &Links {
        &self.endpoints().links
    }

    fn endpoints(&self) -> &Endpoints {
        let endpoints = self.shared.endpoints.get();
        endpoints.expect("endpoints are set before they are used")
    }

    /// Returns the table in force; `None` until the first one has been received.
    pub fn table(&self) -> Option<Arc<Table>> {
        self.state().table.clone()
    }

    /// Returns whether a table has been received, without which no request is accepted.
    pub fn is_ready(&self) -> bool {
        self.state().core.is_ready()
    }

    /// Returns the number of requests that have work in flight.
    pub fn in_flight(&self) -> usize {
        self.state().core.in_flight()
    }

    /// Returns the routing decisions for a request, oldest first, without those already evicted.
    pub fn decisions(&self, key: &Key) -> Vec<Decision> {
        self.state().decisions.of_request(key)
    }

    /// Returns the targets on the host list, sorted by name.
    pub fn hosts(&self) -> Vec<Host> {
        let mut hosts: Vec<_> = self.state().hosts.values().cloned().collect();
        hosts.sort_by(|one, other| one.target.cmp(&other.target));
        hosts
    }

    /// Returns the monotonic time since the daemon was created.
    pub fn now(&self) -> Time {
        self.shared.started.elapsed()
    }

    /// Passes an event to the state machine and starts the resulting commands.
    pub fn handle(&self, event: Event) {
        let mut state = self.state();
        let decisions = self.handle_locked(&mut state, event);
        drop(state);
        for decision in &decisions {
            perform::log_decision(decision);
        }
    }

    /// Handles an event while the state is locked.
    ///
    /// Returns the decisions, which the caller logs after it has released the lock.
    fn handle_locked(&self, state: &mut State, event: Event) -> Vec<Decision> {
        let mut commands = std::mem::take(&mut state.commands);
        state.core.on(self.now(), event, &mut commands);
        let mut decisions = Vec::new();
        for command in commands.drain(..) {
            match command {
                Command::LogDecision(decision) => decisions.push(decision),
                command => self.perform(state, command),
            }
        }
        state.commands = commands;
        for decision in &decisions {
            self.record_decision(state, decision);
        }
        self.arm_timer(state);
        decisions
    }

    /// Wakes the timer task if the next wake-up is due earlier than its current deadline.
    fn arm_timer(&self, state: &mut State) {
        let wake = state.core.wake_at();
        let earlier = match (wake, state.timer_deadline) {
            (Some(wake), Some(deadline)) => wake < deadline,
            (wake, deadline) => wake.is_some() && deadline.is_none(),
        };
        if earlier {
            state.timer_deadline = wake;
            self.shared.timer.notify_one();
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends [`Event::Wake`] to the state machine whenever a wake-up is due.
async fn run_timer(daemon: Daemon) {
    loop {
        let wake = {
            let mut state = daemon.state();
            state.timer_deadline = state.core.wake_at();
            state.timer_deadline
        };
        let Some(wake) = wake else {
            daemon.shared.timer.notified().await;
            continue;
        };
        let at = time::Instant::from_std(daemon.shared.started + wake);
        tokio::select! {
            () = time::sleep_until(at) => daemon.handle(Event::Wake),
            () = daemon.shared.timer.notified() => {}
        }
    }
}
