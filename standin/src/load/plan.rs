//! Named cases: what is offered, to which fakes and with which faults.

use super::{
    caller::Patience,
    chaos::{Action, Step},
    schedule::{Class, Schedule},
};
use crate::{
    engine,
    fleet::{self, Deployment, Name, Size},
    platform, service,
};
use policy::table::Pipeline;
use std::time::Duration;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Named case.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Scenario {
    /// The load is steady.
    Steady,
    /// Three times the load comes for 10 s.
    Burst,
    /// One engine is ten times slower from the first quarter on.
    Slow,
    /// One engine dies without notice in the first quarter and comes back cold 8 s later.
    Dead,
    /// A failure domain dies in the first quarter, and leaves the host list 5 s later.
    Domain,
    /// One workspace sends as much as the fleet can carry on top, for half of the time.
    Flood,
    /// Load reports are 5 s late.
    Reports,
    /// Long drafting at low priority runs beside short fittings.
    Mixed,
    /// The burst, with callers that send again at once after every refusal.
    Impatient,
    /// Three entries die without notice, one after another.
    Entries,
    /// The same, with no stage result kept in the object store.
    Unkept,
}

/// What is offered, to which fakes and with which faults.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Name of the case.
    pub scenario: Scenario,
    /// Shape of the fakes.
    pub deployment: Deployment,
    /// Settings of the fakes.
    pub fakes: fleet::Settings,
    /// What is offered.
    pub schedule: Schedule,
    /// Faults, in order of time.
    pub steps: Vec<Step>,
    /// What callers do after a refusal.
    pub patience: Patience,
    /// Time at the begin that isn't measured.
    pub warmup: Duration,
    /// Number of entries.
    pub entries: usize,
    /// Requests that the healthy fleet can carry in a second.
    pub capacity: f64,
}

/// Time at the begin that isn't measured.
const WARMUP: Duration = Duration::from_secs(3);

/// Length of a burst.
const BURST: Duration = Duration::from_secs(10);

/// Time that an engine stays dead.
const OUTAGE: Duration = Duration::from_secs(8);

/// Lag of the host list behind a lost domain.
const LIST_LAG: Duration = Duration::from_secs(5);

/// Failure domain that is lost: the second, which holds three of ten engines.
const LOST: usize = 1;

/// Engine that becomes slow or dies.
const VICTIM: usize = 1;

/// Entries that die one after another.
const VICTIMS: u32 = 3;

/// Entry hosts of a deployment.
const ENTRIES: usize = 7;

/// Arrivals over which the mean work of a request is taken.
const SAMPLE: f64 = 4000.0;

impl Plan {
    /// Creates the plan of a case; `load` is the offered share of what the fleet can carry.
    pub fn new(scenario: Scenario, name: Name, load: f64, span: Duration, seed: u64) -> Self {
        let mut deployment = Deployment::new(name, Size::Full);
        let mut classes = match name {
            Name::Wasfi => fittings(),
            Name::Addis => filings(),
        };
        if scenario == Scenario::Mixed {
            add_drafting(&mut deployment, &mut classes);
        }
        let fakes = fakes(scenario);
        let schedule = Schedule {
            seed,
            span: WARMUP + span,
            rate: 1.0,
            classes,
            workspaces: workspaces(&deployment),
            bursts: Vec::new(),
            floods: Vec::new(),
        };
        let mut plan = Self {
            scenario,
            deployment,
            fakes,
            schedule,
            steps: Vec::new(),
            patience: Patience::Never,
            warmup: WARMUP,
            entries: ENTRIES,
            capacity: 0.0,
        };
        plan.capacity = plan.capacity();
        plan.schedule.rate = load * plan.capacity;
        plan.disturb(span);
        plan
    }

    fn disturb(&mut self, span: Duration) {
        let begin = WARMUP + span / 4;
        match self.scenario {
            Scenario::Steady | Scenario::Reports | Scenario::Mixed => (),
            Scenario::Burst => self.schedule.bursts.push((begin, begin + BURST, 3.0)),
            Scenario::Impatient => {
                self.schedule.bursts.push((begin, begin + BURST, 3.0));
                self.patience = Patience::None;
            }
            Scenario::Entries => self.kill_entries(begin, span),
            Scenario::Unkept => {
                self.kill_entries(begin, span);
                for group in &mut self.deployment.groups {
                    group.pool.checkpoint = false;
                }
            }
            Scenario::Slow => self.step(begin, Action::Slow(VICTIM, 10.0)),
            Scenario::Dead => {
                self.step(begin, Action::Kill(VICTIM));
                self.step(begin + OUTAGE, Action::Restart(VICTIM));
            }
            Scenario::Domain => {
                let domain = self.deployment.domains.get(LOST).cloned();
                let domain = domain.unwrap_or_default();
                self.step(begin, Action::KillDomain(domain.clone()));
                self.step(begin + LIST_LAG, Action::Unlist(domain));
            }
            Scenario::Flood => {
                let last = self.schedule.workspaces.last().cloned();
                let (workspace, _) = last.unwrap_or_default();
                let flood = (begin, begin + span / 2, workspace, self.capacity);
                self.schedule.floods.push(flood);
            }
        }
    }

    fn kill_entries(&mut self, begin: Duration, span: Duration) {
        for number in 0..VICTIMS {
            let at = begin + span / 2 * number / VICTIMS;
            self.step(at, Action::KillEntry(number as usize));
        }
    }

    fn step(&mut self, at: Duration, action: Action) {
        self.steps.push(Step { at, action });
    }

    /// Returns the requests that the healthy fleet can carry in a second, all classes together.
    ///
    /// The engines are the bottleneck; their prompts count as unread but for half a prefix.
    fn capacity(&self) -> f64 {
        let mut sample = self.schedule.clone();
        sample.span = Duration::from_secs_f64(SAMPLE / sample.rate);
        let arrivals = sample.arrivals();
        let work: f64 = arrivals
            .iter()
            .filter(|arrival| arrival.tokens > 0)
            .map(|arrival| self.work(arrival.tokens))
            .sum();
        let engines = self.deployment.groups.iter();
        let engines: usize = engines
            .filter(|group| !group.pool.model.is_empty())
            .map(|group| group.count)
            .sum();
        let slots = engines as f64 * f64::from(self.fakes.engine.width);
        slots / (work / arrivals.len() as f64)
    }

    /// Returns the seconds that a request of so many tokens holds a place in a batch.
    pub(super) fn work(&self, tokens: u32) -> f64 {
        let engine = &self.fakes.engine;
        f64::from(tokens) / engine.tokens_per_second + PREFILL_TOKENS / engine.prefill_per_second
    }
}

/// Prompt tokens that are read for a usual request.
const PREFILL_TOKENS: f64 = 250.0;

fn fakes(scenario: Scenario) -> fleet::Settings {
    let late = if scenario == Scenario::Reports {
        5000
    } else {
        300
    };
    fleet::Settings {
        platform: platform::Settings {
            hosts_delay_ms: 1000,
            ..platform::Settings::default()
        },
        engine: engine::Settings {
            tokens_per_second: 40.0,
            prefill_per_second: 4000.0,
            width: 4,
            queue: 16,
            cache_blocks: 256,
            report_delay_ms: late,
            cache_delay_ms: 500,
            lose_cache_events: 0.05,
            ..engine::Settings::default()
        },
        service: service::Settings {
            time_ms: 8.0,
            spread: 0.5,
            width: 16,
            report_delay_ms: late,
            ..service::Settings::default()
        },
    }
}

fn fittings() -> Vec<Class> {
    let deadline = Duration::from_secs(4);
    vec![
        class("fitting", 0.6, (8, 64), deadline, true),
        class("size-lookup", 0.3, (0, 0), deadline, false),
        class("alteration", 0.1, (0, 0), deadline, false),
    ]
}

fn filings() -> Vec<Class> {
    let short = Duration::from_secs(8);
    let long = Duration::from_secs(20);
    vec![
        class("dossier", 0.5, (30, 160), long, true),
        class("lodgement", 0.3, (0, 0), short, false),
        class("filing", 0.2, (30, 160), long, false),
    ]
}

fn add_drafting(deployment: &mut Deployment, classes: &mut Vec<Class>) {
    let mut pipeline = Pipeline::new(["encoders", "fitting-engines"]);
    pipeline.priority = -1;
    deployment
        .table
        .pipelines
        .insert("drafting".into(), pipeline);
    for group in &mut deployment.groups {
        if !group.pool.model.is_empty() {
            group.pool.max_tokens = 256;
            group.pool.timeout = Duration::from_secs(20);
        }
    }
    classes.push(class(
        "drafting",
        0.1,
        (100, 256),
        Duration::from_secs(20),
        true,
    ));
}

fn class(
    pipeline: &str,
    share: f64,
    tokens: (u32, u32),
    deadline: Duration,
    streamed: bool,
) -> Class {
    Class {
        pipeline: pipeline.into(),
        share,
        tokens,
        deadline,
        streamed,
    }
}

/// Returns the workspaces with their part of the arrivals, a few of them large.
fn workspaces(deployment: &Deployment) -> Vec<(policy::id::WorkspaceId, f64)> {
    let mut rows: Vec<_> = deployment.table.workspaces.iter().collect();
    rows.sort_by(|one, other| other.1.share.total_cmp(&one.1.share));
    let parts = [0.4, 0.3, 0.15, 0.1, 0.05];
    rows.iter()
        .zip(parts)
        .map(|((name, _), part)| ((*name).clone(), part))
        .collect()
}
