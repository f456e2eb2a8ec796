//! The entry daemon: turns bytes into events and commands into bytes.
//!
//! All decisions are made by [`policy::entry::Entry`], which stands behind one mutex. An event
//! is handed to it, and the commands that it gives are begun before the mutex is freed, so that
//! they begin in the order in which they were decided.

mod attempt;
mod claim;
mod directory;
mod drain;
mod error;
mod feed;
mod keep;
mod peer;
mod perform;
mod poll;
mod report;
mod ring;
mod state;
mod sweep;
mod ticket;

pub use self::{
    drain::Phase,
    error::Error,
    ticket::{Item, Refusal, Submission, Ticket},
};

use self::{claim::Claims, keep::Store, state::State};
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

/// Handle of a running entry daemon; clones stand for the same daemon.
#[derive(Clone, Debug)]
pub struct Daemon {
    shared: Arc<Shared>,
}

/// What all tasks of an entry daemon share.
#[derive(Debug)]
struct Shared {
    settings: Settings,
    incarnation: Incarnation,
    started: Instant,
    state: Mutex<State>,
    timer: Notify,
    phase: watch::Sender<Phase>,
    place: OnceLock<Place>,
    targets: target::Client,
    platform: platform::Client,
    claims: Claims,
    store: Store,
    metrics: Metrics,
}

/// Where the daemon is reached, known once its interfaces are open.
#[derive(Debug)]
struct Place {
    address: SocketAddr,
    links: Links,
}

/// A daemon with its tasks; they end when it is dropped.
#[derive(Debug)]
pub struct Running {
    daemon: Daemon,
    server: api::Server,
    tasks: JoinSet<()>,
}

impl Running {
    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// Fails if the interface for callers or that for peers can't be opened.
    pub async fn start(settings: Settings) -> Result<Self, Error> {
        let (daemon, settler) = Daemon::new(settings)?;
        let server = api::start(&daemon).map_err(Error::Listen)?;
        let address = server.address();
        let (links, events) = peer::start(&daemon, address).await?;
        let shared = &daemon.shared;
        shared.place.get_or_init(|| Place { address, links });
        let mut tasks = JoinSet::new();
        tasks.spawn(peer::run(daemon.clone(), events));
        tasks.spawn(run_timer(daemon.clone()));
        tasks.spawn(poll::hosts(daemon.clone()));
        tasks.spawn(poll::table(daemon.clone()));
        tasks.spawn(report::run(daemon.clone()));
        tasks.spawn(poll::sweep(daemon.clone()));
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

    /// Returns the handle of the daemon.
    pub fn daemon(&self) -> &Daemon {
        &self.daemon
    }

    /// Returns the address of the interface for callers and operators.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Waits until the daemon has left after [`Daemon::drain`].
    pub async fn wait(mut self) {
        self.daemon.left().await;
        self.server.close().await;
        self.tasks.shutdown().await;
        tracing::info!(host = %self.daemon.shared.settings.daemon.host, "entry ended");
    }
}

impl Daemon {
    /// Creates a daemon that has no tasks yet.
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
            .with_bytes(metrics.control_bytes.clone());
        let (claims, settler) = claim::new(platform.clone(), incarnation, metrics.clone());
        let shared = Shared {
            incarnation,
            started: Instant::now(),
            state: Mutex::new(State::new(core)),
            timer: Notify::new(),
            phase: watch::Sender::new(Phase::Serving),
            place: OnceLock::new(),
            targets: target::Client::new(),
            store: Store::new(platform.clone()),
            platform,
            claims,
            metrics,
            settings,
        };
        let shared = Arc::new(shared);
        Ok((Self { shared }, settler))
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.shared.settings
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Returns the number that was drawn at the start.
    pub fn incarnation(&self) -> Incarnation {
        self.shared.incarnation
    }

    /// Returns the address of the interface for callers and operators.
    ///
    /// # Panics
    ///
    /// Never: no handle is given out before the interfaces are open.
    fn address(&self) -> SocketAddr {
        self.place().address
    }

    /// Returns the links to the other daemons.
    ///
    /// # Panics
    ///
    /// Never, as [`address`](Self::address).
    pub fn links(&self) -> &Links {
        &self.place().links
    }

    fn place(&self) -> &Place {
        let place = self.shared.place.get();
        place.expect("interfaces are open before the handle is used")
    }

    /// Returns the table in force, if one is held.
    pub fn table(&self) -> Option<Arc<Table>> {
        self.state().table.clone()
    }

    /// Returns whether requests are served.
    pub fn is_ready(&self) -> bool {
        self.state().core.is_ready()
    }

    /// Returns how many requests have work in flight.
    pub fn in_flight(&self) -> usize {
        self.state().core.in_flight()
    }

    /// Returns the decisions about a request that are still remembered.
    pub fn decisions(&self, key: &Key) -> Vec<Decision> {
        self.state().decisions.of(key)
    }

    /// Returns the targets on the host list, in the order of their names.
    pub fn hosts(&self) -> Vec<Host> {
        let mut hosts: Vec<_> = self.state().hosts.values().cloned().collect();
        hosts.sort_by(|one, other| one.target.cmp(&other.target));
        hosts
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Time {
        self.shared.started.elapsed()
    }

    /// Hands an event to the decisions and begins what they command.
    pub fn handle(&self, event: Event) {
        let mut state = self.state();
        let decisions = self.handle_locked(&mut state, event);
        drop(state);
        for decision in &decisions {
            perform::log(decision);
        }
    }

    /// Hands over an event while the state is locked, and returns the decisions to log.
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
            self.note(state, decision);
        }
        self.arm_timer(state);
        decisions
    }

    /// Has the timer look again if the decisions want to be woken earlier than before.
    fn arm_timer(&self, state: &mut State) {
        let wake = state.core.wake_at();
        let earlier = match (wake, state.armed) {
            (Some(wake), Some(armed)) => wake < armed,
            (wake, armed) => wake.is_some() && armed.is_none(),
        };
        if earlier {
            state.armed = wake;
            self.shared.timer.notify_one();
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }
}

/// Wakes the decisions whenever they want it.
async fn run_timer(daemon: Daemon) {
    loop {
        let wake = {
            let mut state = daemon.state();
            state.armed = state.core.wake_at();
            state.armed
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
