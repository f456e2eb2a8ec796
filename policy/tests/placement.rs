//! Tests of the placement of models: golden sessions, and a simulation with stale orders, lost
//! answers and engine restarts.

use policy::{
    chart::Chart,
    host::{Report, Role},
    id::{ModelId, Time},
    placement::{
        Answer, CHART, Command, Engine, Event, Model, Order, Placement, Reason, Settings, State,
        Step,
    },
};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use serde::Deserialize;
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
    fs,
    path::PathBuf,
    time::Duration,
};

const SECOND: Duration = Duration::from_secs(1);
const LOAD_INTERVAL: Duration = Duration::from_secs(3);
const COOLDOWN: Duration = Duration::from_secs(20);

fn settings() -> Settings {
    let model = |adapter: &str| Model {
        min_engines: 1,
        adapters: vec![adapter.into()],
    };
    Settings {
        models: [
            ("draft".into(), model("label")),
            ("fit".into(), model("crew")),
        ]
        .into(),
        models_per_engine: 1,
        max_changes: 2,
        load_interval: LOAD_INTERVAL,
        apply_timeout: Duration::from_secs(15),
        drain_timeout: Duration::from_secs(5),
        cooldown: COOLDOWN,
        smoothing: Duration::from_secs(2),
        report_ttl: Duration::from_secs(4),
        report_spacing: Duration::from_millis(50),
        raise_at: 0.8,
        lower_at: 0.5,
    }
}

fn engine(target: &str, fenced: bool) -> Engine {
    Engine {
        target: target.into(),
        fenced,
        models: vec!["draft".into(), "fit".into()],
    }
}

/// Input line of a golden session.
#[derive(Deserialize)]
struct Line {
    at: u64,
    #[serde(flatten)]
    event: Event,
}

/// Replays the input lines of a golden file and returns the whole file with current outputs.
fn replay(text: &str) -> String {
    let mut placement = Placement::new(settings());
    let mut out = String::new();
    for line in text.lines().filter(|line| line.starts_with("{\"at\"")) {
        let script: Line = serde_json::from_str(line).expect("an input line is an event");
        let mut commands = Vec::new();
        placement.on(
            Duration::from_millis(script.at),
            script.event,
            &mut commands,
        );
        writeln!(out, "{line}").unwrap();
        for command in &commands {
            writeln!(out, "  {}", serde_json::to_string(command).unwrap()).unwrap();
        }
    }
    out
}

#[rstest]
#[case("cold_engines")]
#[case("demand_moves")]
#[case("stale_order_undone")]
#[case("no_permit")]
#[case("lost_answer")]
#[case("all_draining")]
fn session_matches_its_golden_file(#[case] name: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join(format!("tests/golden/placement/{name}.txt"));
    let text = fs::read_to_string(&path).expect("the golden file is readable");
    let replayed = replay(&text);
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        fs::write(&path, &replayed).expect("the golden file is writable");
    }
    assert_eq!(replayed, text);
}

#[test]
fn chart_is_valid_and_an_unknown_engine_is_never_ordered() {
    let chart = Chart::<State, Step>::from_str(CHART).unwrap();
    assert_eq!(chart.next(State::Unknown, Step::Order), None);
    assert_eq!(chart.next(State::Applying, Step::Order), None);
}

/// Simulated engine that checks fencing tokens and takes time to load models.
#[derive(Default)]
struct FakeEngine {
    models: BTreeSet<ModelId>,
    loading: BTreeMap<ModelId, Time>,
    adapters: Vec<ModelId>,
    role: Role,
    fence: u64,
    fenced: bool,
    running: u32,
}

impl FakeEngine {
    fn held_or_loading(&self) -> BTreeSet<ModelId> {
        let loading = self.loading.keys().cloned();
        self.models.iter().cloned().chain(loading).collect()
    }

    fn handle_order(
        &mut self,
        now: Time,
        order: &Order,
        check_seen: bool,
        load: Duration,
    ) -> Answer {
        if self.fenced && order.fence < self.fence {
            return Answer::Refused;
        }
        let held = self.held_or_loading();
        if check_seen && order.seen.iter().cloned().collect::<BTreeSet<_>>() != held {
            return Answer::Mismatch;
        }
        self.fence = self.fence.max(order.fence);
        let wanted: BTreeSet<_> = order.models.iter().cloned().collect();
        self.models.retain(|model| wanted.contains(model));
        self.loading.retain(|model, _| wanted.contains(model));
        for model in wanted.difference(&held) {
            self.loading.insert(model.clone(), now + load);
        }
        self.adapters.clone_from(&order.adapters);
        self.role = order.role;
        Answer::Accepted
    }

    fn tick(&mut self, now: Time) {
        let ready: Vec<_> = self
            .loading
            .iter()
            .filter(|(_, ready)| **ready <= now)
            .collect();
        let ready: Vec<_> = ready.into_iter().map(|(model, _)| model.clone()).collect();
        self.loading.retain(|model, _| !ready.contains(model));
        self.models.extend(ready);
    }

    fn report(&self) -> Report {
        Report {
            running: self.running,
            max_concurrency: 8,
            models: self.models.iter().cloned().collect(),
            adapters: self.adapters.clone(),
            role: self.role,
            ..Report::default()
        }
    }
}

/// One planner and its engines, which restart, receive stale orders and lose answers.
struct Simulation {
    rng: ChaCha8Rng,
    placement: Placement,
    engines: BTreeMap<ModelId, FakeEngine>,
    demand: BTreeMap<ModelId, f64>,
    /// Reports that have not arrived yet.
    delayed: Vec<(Time, Event)>,
    /// When each engine was last ordered to load, and the models of that order.
    loaded: BTreeMap<ModelId, (Time, Vec<ModelId>)>,
    next_load: Time,
    orders: Vec<(Time, Order)>,
}

impl Simulation {
    fn new(seed: u64, count: usize) -> Self {
        let names: Vec<ModelId> = (0..count).map(|n| format!("e{n}").into()).collect();
        let engines = names.iter().enumerate().map(|(n, name)| {
            let fake = FakeEngine {
                models: [["draft", "fit"][n % 2].into()].into(),
                adapters: vec![["label", "crew"][n % 2].into()],
                fenced: n % 3 == 0,
                ..FakeEngine::default()
            };
            (name.clone(), fake)
        });
        let mut simulation = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            placement: Placement::new(settings()),
            engines: engines.collect(),
            demand: [("draft".into(), 6.0), ("fit".into(), 6.0)].into(),
            delayed: Vec::new(),
            loaded: BTreeMap::new(),
            next_load: Time::ZERO,
            orders: Vec::new(),
        };
        let engines = simulation
            .engines
            .iter()
            .map(|(name, fake)| engine(name, fake.fenced));
        let engines = engines.collect();
        simulation.event(Time::ZERO, Event::Engines { engines });
        simulation
    }

    fn event(&mut self, now: Time, event: Event) -> Vec<Order> {
        let mut commands = Vec::new();
        self.placement.on(now, event, &mut commands);
        commands
            .into_iter()
            .map(|Command::Order(order)| order)
            .collect()
    }

    /// Spreads the demand for each model evenly over the engines that serve it.
    fn share_load(&mut self) {
        for fake in self.engines.values_mut() {
            fake.running = 0;
        }
        for (model, demand) in &self.demand {
            let serves =
                |fake: &&mut FakeEngine| fake.models.contains(model) && fake.role == Role::Serving;
            let mut holders: Vec<_> = self.engines.values_mut().filter(serves).collect();
            let count = holders.len() as f64;
            for fake in &mut holders {
                fake.running = (demand / count).ceil() as u32;
            }
        }
    }

    /// Changes demand, restarts engines without models, and delivers orders of a former holder.
    fn inject_faults(&mut self, now: Time) {
        for demand in self.demand.values_mut() {
            if self.rng.random_range(0..30) == 0 {
                *demand = f64::from(self.rng.random_range(0..40));
            }
        }
        for (name, fake) in &mut self.engines {
            match self.rng.random_range(0..60) {
                0 => fake.models.clear(),
                1 | 2 => {
                    let stale = Order {
                        number: 0,
                        target: name.clone(),
                        fence: 1,
                        seen: fake.held_or_loading().into_iter().collect(),
                        models: vec![["draft", "fit"][self.rng.random_range(0..2)].into()],
                        adapters: Vec::new(),
                        role: Role::Serving,
                        reason: Reason::Load,
                        pressure: 0.0,
                    };
                    fake.handle_order(now, &stale, true, SECOND);
                }
                _ => {}
            }
        }
    }

    /// Runs one round at `now`; fails if an order exceeds a limit.
    fn tick(&mut self, now: Time, faults: bool) -> Result<(), TestCaseError> {
        if faults {
            self.inject_faults(now);
        }
        self.share_load();
        for name in self.engines.keys().cloned().collect::<Vec<_>>() {
            let fake = self.engines.get_mut(&name).unwrap();
            fake.tick(now);
            let mut report = fake.report();
            report.age = Duration::from_millis(self.rng.random_range(0..2_500));
            let at = now + report.age;
            self.delayed.push((
                at,
                Event::Report {
                    target: name,
                    report,
                },
            ));
        }
        let (due, delayed) = std::mem::take(&mut self.delayed)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.delayed = delayed;
        let due: Vec<(Time, Event)> = due;
        for (_, event) in due {
            self.event(now, event);
        }
        let orders = self.event(
            now,
            Event::Plan {
                fenced: Some(2),
                unfenced: Some(2),
            },
        );
        for order in orders {
            self.execute(now, &order, faults)?;
        }
        Ok(())
    }

    /// Delivers an order, unless it is lost, and returns its answer, unless that is lost.
    ///
    /// Fails if loads exceed the weight store's rate or an engine changes again within the
    /// cooldown. An order that repeats the last one is a retry and not a change.
    fn execute(&mut self, now: Time, order: &Order, faults: bool) -> Result<(), TestCaseError> {
        if order.reason == Reason::Load {
            prop_assert!(
                now >= self.next_load,
                "a load at {now:?} exceeds the weight store's rate"
            );
            self.next_load = now + LOAD_INTERVAL;
            let last = self.loaded.get(&order.target);
            let is_retry = last.is_some_and(|(_, models)| *models == order.models);
            let is_allowed = is_retry || last.is_none_or(|(at, _)| now >= *at + COOLDOWN);
            prop_assert!(is_allowed, "{} flaps at {now:?}", order.target);
            let value = (now, order.models.clone());
            self.loaded.insert(order.target.clone(), value);
        }
        self.orders.push((now, order.clone()));
        let lost = faults && self.rng.random_range(0..4) == 0;
        let arrives = !lost || self.rng.random();
        let load = Duration::from_secs(self.rng.random_range(1..6));
        let fake = self.engines.get_mut(&order.target).unwrap();
        let answer = if arrives {
            fake.handle_order(now, order, true, load)
        } else {
            Answer::Unavailable
        };
        let event = Event::Answer {
            target: order.target.clone(),
            order: order.number,
            answer: if lost { Answer::Unavailable } else { answer },
        };
        self.event(now, event);
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn limits_hold_and_engines_converge_to_their_plans(seed: u64, count in 3_usize..8) {
        let mut simulation = Simulation::new(seed, count);
        for second in 0..300 {
            simulation.tick(SECOND * second, true)?;
        }
        for second in 300..500 {
            simulation.tick(SECOND * second, false)?;
        }
        for (name, fake) in &simulation.engines {
            prop_assert_eq!(fake.role, Role::Serving);
            let planned = simulation.placement.planned(name);
            prop_assert_eq!(planned, Some(&fake.models), "{} does not conform to its plan", name);
            prop_assert_eq!(fake.models.len(), 1, "{} holds {:?}", name, &fake.models);
        }
        let late_orders = simulation.orders.iter().filter(|(at, _)| *at > SECOND * 440).count();
        prop_assert_eq!(late_orders, 0, "orders were sent long after demand became steady");
    }

    #[test]
    fn demand_oscillating_around_a_threshold_causes_no_flapping(seed: u64) {
        let mut simulation = Simulation::new(seed, 4);
        for second in 0..600 {
            let noise = f64::from(simulation.rng.random_range(-3..=3));
            simulation.demand = [("draft".into(), 12.8 + noise), ("fit".into(), 8.0 - noise)].into();
            simulation.tick(SECOND * second, false)?;
        }
        let loads = simulation.orders.iter().filter(|(_, order)| order.reason == Reason::Load);
        let loads = loads.count();
        prop_assert!(loads <= 1, "{loads} loads while demand oscillates around a threshold");
    }
}
