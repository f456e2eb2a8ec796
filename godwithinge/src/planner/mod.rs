//! Planner daemon: whoever holds the region's lease orders its engines to load models.
//!
//! One task owns the lease and the placement of crate `policy`. It hands each exchange with the
//! platform or an engine to a task of its own and takes the result in as an event.

mod clock;
mod engine;
mod error;
mod lease;
mod metrics;
mod order;
mod preview;
mod waiting;

pub use self::{
    error::Error,
    lease::TABLE,
    metrics::Metrics,
    preview::{Planned, preview},
};

use self::{clock::Clock, engine::Reached, order::Limits, waiting::Waiting};
use crate::{
    http::Pool as Connections, platform::Client, settings::Settings, target::Client as Targets,
};
use compact_str::format_compact;
use policy::{
    id::{Incarnation, TargetId},
    lease::{self as lease_policy, Lease},
    placement::{self as placement_policy, Command, Event, Model, Order, Placement},
    pool::Kind,
};
use rand::Rng;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};
use tokio::{
    sync::mpsc::{self, UnboundedReceiver, UnboundedSender},
    task::JoinSet,
    time,
};

/// Time between two reads of any engines' loads; it bounds the control traffic.
const REPORT_SPACING: Duration = Duration::from_millis(50);

/// What a task found out.
#[derive(Debug)]
enum Found {
    Lease(lease_policy::Event),
    Placement(Event),
    Hosts(BTreeMap<TargetId, Reached>),
    /// The load of an engine was asked for, with or without a report.
    Polled(TargetId, Option<Event>),
    Waiting(waiting::Answer),
}

/// The planner daemon.
#[derive(Debug)]
pub struct Planner {
    settings: Arc<Settings>,
    clock: Clock,
    client: Client,
    targets: Targets,
    connections: Connections,
    lease: Lease,
    placement: Placement,
    engines: BTreeMap<TargetId, Reached>,
    /// Engines that are being asked for their load.
    polled: BTreeSet<TargetId>,
    /// Engine that was asked last.
    last_polled: Option<TargetId>,
    waiting: Waiting,
    /// Orders that are under way, which a release must wait for.
    ordering: usize,
    tasks: JoinSet<()>,
    metrics: Metrics,
    found: UnboundedSender<Found>,
    inbox: UnboundedReceiver<Found>,
}

impl Planner {
    /// Creates a planner that holds no lease.
    ///
    /// # Errors
    ///
    /// Fails if the metrics can't be made.
    pub fn new(settings: Settings) -> Result<Self, Error> {
        let platform = &settings.platform;
        let incarnation: Incarnation = rand::rng().next_u64();
        let lease = Lease::new(lease_policy::Settings {
            holder: format_compact!("{}/{incarnation:x}", settings.daemon.host),
            duration: settings.planner.lease,
            order_timeout: settings.planner.order_timeout,
        });
        let (found, inbox) = mpsc::unbounded_channel();
        Ok(Self {
            clock: Clock::new(),
            client: Client::new(platform.address.to_string(), platform.timeout),
            targets: Targets::new(),
            connections: Connections::new(settings.planner.order_timeout),
            lease,
            placement: Placement::new(model_settings(&settings)),
            engines: BTreeMap::new(),
            polled: BTreeSet::new(),
            last_polled: None,
            waiting: Waiting::default(),
            ordering: 0,
            tasks: JoinSet::new(),
            metrics: Metrics::new()?,
            found,
            inbox,
            settings: Arc::new(settings),
        })
    }

    /// Plans until `ended` is done, then gives the lease back.
    ///
    /// # Errors
    ///
    /// Fails if the address for metrics can't be listened on.
    pub async fn run(mut self, ended: impl Future<Output = ()>) -> Result<(), Error> {
        let listen = self.settings.planner.listen;
        let server = metrics::serve(self.metrics.clone(), listen)?;
        tracing::info!(address = %server.local_addr(), "planner started");
        tokio::pin!(ended);
        let mut ticks = time::interval(self.settings.planner.interval);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            let wake = self.lease.wake_at().map(|time| self.clock.instant(time));
            tokio::select! {
                () = &mut ended => break,
                Some(found) = self.inbox.recv() => self.take_in(found),
                () = sleep_until(wake) => self.on_lease(lease_policy::Event::Wake),
                _ = ticks.tick() => self.round(),
                Some(_) = self.tasks.join_next() => {}
            }
        }
        self.release().await;
        Ok(())
    }

    /// Waits for the orders under way, then gives the lease back.
    async fn release(&mut self) {
        while self.ordering > 0 {
            let Some(found) = self.inbox.recv().await else {
                break;
            };
            self.take_in(found);
        }
        self.on_lease(lease_policy::Event::Release);
        while self.tasks.join_next().await.is_some() {}
        tracing::info!("planner ended");
    }

    fn take_in(&mut self, found: Found) {
        match found {
            Found::Lease(event) => self.on_lease(event),
            Found::Placement(event) => {
                if let Event::Answer {
                    target,
                    order,
                    answer,
                } = &event
                {
                    self.ordering -= 1;
                    let name = <&str>::from(*answer);
                    self.metrics.answers.with_label_values(&[name]).inc();
                    tracing::info!(%target, order, %answer, "order ended");
                }
                self.on_placement(event);
            }
            Found::Hosts(engines) => self.set_engines(engines),
            Found::Polled(target, event) => {
                self.polled.remove(&target);
                if let Some(event) = event {
                    self.on_placement(event);
                }
            }
            Found::Waiting(answer) => {
                for (model, requests) in self.waiting.take_in(self.clock.now(), answer) {
                    self.on_placement(Event::Waiting { model, requests });
                }
            }
        }
    }

    /// Asks for hosts and loads, and compares plans with reports.
    fn round(&mut self) {
        let now = self.clock.now();
        if self.lease.permit(now, true).is_some() {
            self.read_hosts();
            self.read_waiting();
            self.poll();
        }
        let fenced = self.lease.permit(now, true);
        let unfenced = self.lease.permit(now, false);
        self.on_placement(Event::Plan { fenced, unfenced });
    }

    fn on_lease(&mut self, event: lease_policy::Event) {
        let mut commands = Vec::new();
        self.lease.on(self.clock.now(), event, &mut commands);
        for command in commands {
            self.perform(command);
        }
    }

    fn perform(&mut self, command: lease_policy::Command) {
        let client = self.client.clone();
        let region = self.settings.daemon.region.clone();
        let found = self.found.clone();
        let tell = move |operation, reply| {
            let _ = found.send(Found::Lease(lease_policy::Event::Reply {
                operation,
                reply,
            }));
        };
        match command {
            lease_policy::Command::Read { operation } => {
                let task = async move { tell(operation, lease::read(&client, &region).await) };
                self.tasks.spawn(task);
            }
            lease_policy::Command::Write {
                operation,
                version,
                row,
            } => {
                let task = async move {
                    tell(
                        operation,
                        lease::write(&client, &region, version, &row).await,
                    );
                };
                self.tasks.spawn(task);
            }
            lease_policy::Command::Gained { fence } => {
                tracing::info!(%region, fence, "lease gained");
                self.metrics.held.set(1);
                self.metrics.fence.set(fence.cast_signed());
            }
            lease_policy::Command::Lost { fence } => {
                tracing::warn!(%region, fence, "lease lost");
                self.metrics.held.set(0);
            }
        }
    }

    fn on_placement(&mut self, event: Event) {
        let mut commands = Vec::new();
        self.placement.on(self.clock.now(), event, &mut commands);
        for Command::Order(order) in commands {
            self.give(order);
        }
    }

    fn give(&mut self, order: Order) {
        let Some(reached) = self.engines.get(&order.target) else {
            return;
        };
        log(&order);
        let reason = <&str>::from(order.reason);
        self.metrics.orders.with_label_values(&[reason]).inc();
        let address = reached.address;
        let (connections, clock) = (self.connections.clone(), self.clock);
        let limits = Limits {
            until: self.lease.latest_order_start(),
            timeout: self.settings.planner.order_timeout,
        };
        let found = self.found.clone();
        self.ordering += 1;
        self.tasks.spawn(async move {
            let answer = order::give(&connections, clock, address, &order, limits).await;
            let _ = found.send(Found::Placement(Event::Answer {
                target: order.target,
                order: order.number,
                answer,
            }));
        });
    }

    fn read_hosts(&mut self) {
        let (client, found) = (self.client.clone(), self.found.clone());
        let settings = Arc::clone(&self.settings);
        self.tasks.spawn(async move {
            match client.hosts().await {
                Ok(hosts) => {
                    let region = &settings.daemon.region;
                    let engines = engine::from_hosts(&hosts.hosts, region, &settings.pools);
                    let _ = found.send(Found::Hosts(engines));
                }
                Err(error) => tracing::warn!(%error, "host list can't be read"),
            }
        });
    }

    fn set_engines(&mut self, engines: BTreeMap<TargetId, Reached>) {
        let known = engines.values().map(|reached| reached.engine.clone());
        let engines_event = Event::Engines {
            engines: known.collect(),
        };
        let count = engines.len() as u64;
        self.metrics.engines.set(count.cast_signed());
        self.engines = engines;
        self.on_placement(engines_event);
    }

    fn read_waiting(&mut self) {
        let Some(ask) = self.waiting.next(self.clock.now()) else {
            return;
        };
        let (client, found) = (self.client.clone(), self.found.clone());
        let connections = self.connections.clone();
        let settings = Arc::clone(&self.settings);
        self.tasks.spawn(async move {
            let region = &settings.daemon.region;
            let timeout = settings.planner.order_timeout;
            let read = waiting::read(&client, &connections, region, &settings.pools, ask, timeout);
            let _ = found.send(Found::Waiting(read.await));
        });
    }

    /// Asks the engines for their loads in turn, so many each round that the spacing is kept.
    fn poll(&mut self) {
        let spaced = self
            .settings
            .planner
            .interval
            .div_duration_f64(REPORT_SPACING);
        let count = (spaced as usize).clamp(1, self.engines.len().max(1));
        let last = self.last_polled.take();
        let after = self
            .engines
            .keys()
            .filter(|target| last.as_ref() < Some(*target));
        let names: Vec<_> = after
            .chain(self.engines.keys())
            .take(count)
            .cloned()
            .collect();
        self.last_polled = names.last().cloned();
        for target in names {
            if self.polled.insert(target.clone()) {
                self.poll_one(target);
            }
        }
    }

    fn poll_one(&mut self, target: TargetId) {
        let Some(reached) = self.engines.get(&target) else {
            return;
        };
        let (targets, found) = (self.targets.clone(), self.found.clone());
        let address = reached.address.to_string();
        let (clock, timeout) = (self.clock, self.settings.planner.order_timeout);
        self.tasks.spawn(async move {
            let asked = clock.now();
            let load = targets.load(&address, timeout).await.ok();
            let event = load.map(|(mut report, _)| {
                // The report may be as old as the request for it.
                report.age += clock.now().saturating_sub(asked);
                let target = target.clone();
                Event::Report { target, report }
            });
            let _ = found.send(Found::Polled(target, event));
        });
    }
}

/// Returns the settings of placement, with each engine pool's model among the models.
fn model_settings(settings: &Settings) -> placement_policy::Settings {
    const PERCENT: f64 = 100.0;
    let planner = &settings.planner;
    let pools = settings.pools.iter();
    let models = pools.filter(|pool| pool.kind == Kind::Engine).map(|pool| {
        let model = planner.models.get(&pool.model).cloned();
        let usual = Model {
            min_engines: 1,
            adapters: Vec::new(),
        };
        (pool.model.clone(), model.unwrap_or(usual))
    });
    placement_policy::Settings {
        models: models.collect(),
        models_per_engine: planner.models_per_engine,
        max_changes: planner.max_changes,
        load_interval: planner.load_interval,
        apply_timeout: planner.load_timeout,
        drain_timeout: planner.drain_timeout,
        cooldown: planner.cooldown,
        smoothing: planner.smoothing,
        report_ttl: planner.report_ttl,
        report_spacing: REPORT_SPACING,
        raise_at: planner.raise_at as f64 / PERCENT,
        lower_at: planner.lower_at as f64 / PERCENT,
    }
}

/// Logs the decision for an order.
fn log(order: &Order) {
    tracing::info!(
        decision = "order",
        order = order.number,
        target = %order.target,
        reason = %order.reason,
        fence = order.fence,
        seen = ?order.seen,
        models = ?order.models,
        adapters = ?order.adapters,
        role = %order.role,
        pressure = order.pressure,
        "order"
    );
}

async fn sleep_until(wake: Option<time::Instant>) {
    match wake {
        Some(wake) => time::sleep_until(wake).await,
        None => std::future::pending().await,
    }
}
