//! Planner daemon, which orders the engines of a region to load and unload models.
//!
//! Only the planner that holds the region's lease sends orders. One task owns the lease and the
//! placement state machines of crate `policy`. Each request to the platform, an entry or an engine
//! runs in a task of its own, which returns its result over a channel.

mod clock;
mod engine;
mod error;
mod lease;
mod metrics;
mod order;
mod preview;
mod queue;

pub use self::{
    error::Error,
    lease::TABLE,
    metrics::Metrics,
    preview::{PlannedOrder, preview},
};

use self::{clock::Clock, engine::EngineEndpoint, order::Limits, queue::QueueMonitor};
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

/// Average time between two load requests to engines; limits the control traffic.
const REPORT_SPACING: Duration = Duration::from_millis(50);

/// Result of a spawned task.
#[derive(Debug)]
enum TaskResult {
    Lease(lease_policy::Event),
    Placement(Event),
    Hosts(BTreeMap<TargetId, EngineEndpoint>),
    /// A load request to an engine ended; the event is its report, `None` if the request failed.
    Polled(TargetId, Option<Event>),
    Queues(queue::ReadResult),
}

/// Planner daemon.
#[derive(Debug)]
pub struct Planner {
    settings: Arc<Settings>,
    clock: Clock,
    client: Client,
    targets: Targets,
    connections: Connections,
    lease: Lease,
    placement: Placement,
    engines: BTreeMap<TargetId, EngineEndpoint>,
    /// Engines with a load request in flight.
    polls_in_flight: BTreeSet<TargetId>,
    /// Engine selected last for a load request; the next round continues after it.
    last_polled: Option<TargetId>,
    queues: QueueMonitor,
    /// Number of orders in flight; the lease is released only after they end.
    orders_in_flight: usize,
    tasks: JoinSet<()>,
    metrics: Metrics,
    result_sender: UnboundedSender<TaskResult>,
    result_receiver: UnboundedReceiver<TaskResult>,
}

impl Planner {
    /// Creates a planner that holds no lease.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be registered.
    pub fn new(settings: Settings) -> Result<Self, Error> {
        let platform = &settings.platform;
        let incarnation: Incarnation = rand::rng().next_u64();
        let lease = Lease::new(lease_policy::Settings {
            holder: format_compact!("{}/{incarnation:x}", settings.daemon.host),
            duration: settings.planner.lease,
            order_timeout: settings.planner.order_timeout,
        });
        let (result_sender, result_receiver) = mpsc::unbounded_channel();
        Ok(Self {
            clock: Clock::new(),
            client: Client::new(platform.address.to_string(), platform.timeout),
            targets: Targets::new(),
            connections: Connections::new(settings.planner.order_timeout),
            lease,
            placement: Placement::new(model_settings(&settings)),
            engines: BTreeMap::new(),
            polls_in_flight: BTreeSet::new(),
            last_polled: None,
            queues: QueueMonitor::default(),
            orders_in_flight: 0,
            tasks: JoinSet::new(),
            metrics: Metrics::new()?,
            result_sender,
            result_receiver,
            settings: Arc::new(settings),
        })
    }

    /// Runs the planner until `shutdown` completes, then releases the lease.
    ///
    /// # Errors
    ///
    /// Fails if the listening address of the metrics cannot be bound.
    pub async fn run(mut self, shutdown: impl Future<Output = ()>) -> Result<(), Error> {
        let listen = self.settings.planner.listen;
        let server = metrics::serve(self.metrics.clone(), listen)?;
        tracing::info!(address = %server.local_addr(), "planner started");
        tokio::pin!(shutdown);
        let mut ticks = time::interval(self.settings.planner.interval);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            let wake = self.lease.wake_at().map(|time| self.clock.instant(time));
            tokio::select! {
                () = &mut shutdown => break,
                Some(result) = self.result_receiver.recv() => self.handle_result(result),
                () = sleep_until(wake) => self.on_lease(lease_policy::Event::Wake),
                _ = ticks.tick() => self.tick(),
                Some(_) = self.tasks.join_next() => {}
            }
        }
        self.release().await;
        Ok(())
    }

    /// Waits for the orders in flight, then releases the lease.
    async fn release(&mut self) {
        while self.orders_in_flight > 0 {
            let Some(result) = self.result_receiver.recv().await else {
                break;
            };
            self.handle_result(result);
        }
        self.on_lease(lease_policy::Event::Release);
        while self.tasks.join_next().await.is_some() {}
        tracing::info!("planner stopped");
    }

    fn handle_result(&mut self, result: TaskResult) {
        match result {
            TaskResult::Lease(event) => self.on_lease(event),
            TaskResult::Placement(event) => {
                if let Event::Answer {
                    target,
                    order,
                    answer,
                } = &event
                {
                    self.orders_in_flight -= 1;
                    let name = <&str>::from(*answer);
                    self.metrics.answers.with_label_values(&[name]).inc();
                    tracing::info!(%target, order, %answer, "order ended");
                }
                self.on_placement(event);
            }
            TaskResult::Hosts(engines) => self.set_engines(engines),
            TaskResult::Polled(target, event) => {
                self.polls_in_flight.remove(&target);
                if let Some(event) = event {
                    self.on_placement(event);
                }
            }
            TaskResult::Queues(result) => {
                for (model, requests) in self.queues.apply(self.clock.now(), result) {
                    self.on_placement(Event::Waiting { model, requests });
                }
            }
        }
    }

    /// Reads hosts, queues and loads while the lease is held, and triggers a planning round.
    fn tick(&mut self) {
        let now = self.clock.now();
        if self.lease.permit(now, true).is_some() {
            self.read_hosts();
            self.read_queues();
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
        let result_sender = self.result_sender.clone();
        let reply_to_lease = move |operation, reply| {
            let _ = result_sender.send(TaskResult::Lease(lease_policy::Event::Reply {
                operation,
                reply,
            }));
        };
        match command {
            lease_policy::Command::Read { operation } => {
                let task =
                    async move { reply_to_lease(operation, lease::read(&client, &region).await) };
                self.tasks.spawn(task);
            }
            lease_policy::Command::Write {
                operation,
                version,
                row,
            } => {
                let task = async move {
                    reply_to_lease(
                        operation,
                        lease::write(&client, &region, version, &row).await,
                    );
                };
                self.tasks.spawn(task);
            }
            lease_policy::Command::Gained { fence } => {
                tracing::info!(%region, fence, "lease gained");
                self.metrics.lease_held.set(1);
                self.metrics.fence.set(fence.cast_signed());
            }
            lease_policy::Command::Lost { fence } => {
                tracing::warn!(%region, fence, "lease lost");
                self.metrics.lease_held.set(0);
            }
        }
    }

    fn on_placement(&mut self, event: Event) {
        let mut commands = Vec::new();
        self.placement.on(self.clock.now(), event, &mut commands);
        for Command::Order(order) in commands {
            self.send_order(order);
        }
    }

    fn send_order(&mut self, order: Order) {
        let Some(endpoint) = self.engines.get(&order.target) else {
            return;
        };
        log_order(&order);
        let reason = <&str>::from(order.reason);
        self.metrics.orders.with_label_values(&[reason]).inc();
        let address = endpoint.address;
        let (connections, clock) = (self.connections.clone(), self.clock);
        let limits = Limits {
            latest_start: self.lease.latest_order_start(),
            timeout: self.settings.planner.order_timeout,
        };
        let result_sender = self.result_sender.clone();
        self.orders_in_flight += 1;
        self.tasks.spawn(async move {
            let answer = order::send(&connections, clock, address, &order, limits).await;
            let _ = result_sender.send(TaskResult::Placement(Event::Answer {
                target: order.target,
                order: order.number,
                answer,
            }));
        });
    }

    fn read_hosts(&mut self) {
        let (client, result_sender) = (self.client.clone(), self.result_sender.clone());
        let settings = Arc::clone(&self.settings);
        self.tasks.spawn(async move {
            match client.hosts().await {
                Ok(hosts) => {
                    let region = &settings.daemon.region;
                    let engines = engine::from_hosts(&hosts.hosts, region, &settings.pools);
                    let _ = result_sender.send(TaskResult::Hosts(engines));
                }
                Err(error) => tracing::warn!(%error, "reading the host list failed"),
            }
        });
    }

    fn set_engines(&mut self, engines: BTreeMap<TargetId, EngineEndpoint>) {
        let listed = engines.values().map(|endpoint| endpoint.engine.clone());
        let engines_event = Event::Engines {
            engines: listed.collect(),
        };
        let count = engines.len() as u64;
        self.metrics.engines.set(count.cast_signed());
        self.engines = engines;
        self.on_placement(engines_event);
    }

    fn read_queues(&mut self) {
        let Some(query) = self.queues.next_query(self.clock.now()) else {
            return;
        };
        let (client, result_sender) = (self.client.clone(), self.result_sender.clone());
        let connections = self.connections.clone();
        let settings = Arc::clone(&self.settings);
        self.tasks.spawn(async move {
            let region = &settings.daemon.region;
            let timeout = settings.planner.order_timeout;
            let read = queue::read(
                &client,
                &connections,
                region,
                &settings.pools,
                query,
                timeout,
            );
            let _ = result_sender.send(TaskResult::Queues(read.await));
        });
    }

    /// Requests the loads of the next engines in cyclic order.
    ///
    /// Their number per tick is chosen such that requests are [`REPORT_SPACING`] apart on average,
    /// but is at least one.
    fn poll(&mut self) {
        let per_round = self
            .settings
            .planner
            .interval
            .div_duration_f64(REPORT_SPACING);
        let count = (per_round as usize).clamp(1, self.engines.len().max(1));
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
            if self.polls_in_flight.insert(target.clone()) {
                self.poll_one(target);
            }
        }
    }

    fn poll_one(&mut self, target: TargetId) {
        let Some(endpoint) = self.engines.get(&target) else {
            return;
        };
        let (targets, result_sender) = (self.targets.clone(), self.result_sender.clone());
        let address = endpoint.address.to_string();
        let (clock, timeout) = (self.clock, self.settings.planner.order_timeout);
        self.tasks.spawn(async move {
            let asked = clock.now();
            let load = targets.read_load(&address, timeout).await.ok();
            let event = load.map(|(mut report, _)| {
                // The engine may have created the report at any time since the request was sent.
                report.age += clock.now().saturating_sub(asked);
                let target = target.clone();
                Event::Report { target, report }
            });
            let _ = result_sender.send(TaskResult::Polled(target, event));
        });
    }
}

/// Returns the settings of the placement, with the models of all engine pools.
///
/// A model without a section of its own has a minimum of one engine and no adapters.
fn model_settings(settings: &Settings) -> placement_policy::Settings {
    const PERCENT: f64 = 100.0;
    let planner = &settings.planner;
    let pools = settings.pools.iter();
    let models = pools.filter(|pool| pool.kind == Kind::Engine).map(|pool| {
        let model = planner.models.get(&pool.model).cloned();
        let default = Model {
            min_engines: 1,
            adapters: Vec::new(),
        };
        (pool.model.clone(), model.unwrap_or(default))
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

fn log_order(order: &Order) {
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
