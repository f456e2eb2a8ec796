//! Kinds of requests and pools of the sites.

use super::{CHAIN, FIRST_EVENT_LATENCY, LARGE_RESULTS, Simulation, UNEVEN_SLOWDOWNS, pool};
use policy::{
    id::Time,
    relay::scheduler::{Job, JobId, StageSpec, Stages},
};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Kind {
    /// Requests a second.
    pub rate: f64,
    /// In seconds after arrival, like the deadline.
    pub objective: f64,
    pub deadline: f64,
    /// 0 is the highest.
    pub priority: u8,
}

const fn kind(rate: f64, objective: f64, deadline: f64, priority: u8) -> Kind {
    Kind {
        rate,
        objective,
        deadline,
        priority,
    }
}

pub(super) const EARLIER_KINDS: [Kind; 3] = [
    kind(9.44, 1.1, 4.4, 1),
    kind(11.5, 1.8, 6.0, 0),
    kind(8.15, 1.7, 6.8, 2),
];
/// Long reports, explanations and drafts.
const KINDS_OF_A: [Kind; 3] = [
    kind(75.0, 1.0, 6.0, 0),
    kind(159.0, 4.0, 6.0, 1),
    kind(30.0, 2.0, 20.0, 2),
];
/// Digests, advice and chat.
const KINDS_OF_B: [Kind; 3] = [
    kind(90.0, 1.1, 6.0, 1),
    kind(60.0, 1.9, 6.0, 0),
    kind(53.0, 1.8, 20.0, 2),
];

impl Simulation {
    /// Creates deployment A of `docs/design/demand.md`.
    pub fn deployment_a(seed: u64) -> Self {
        let pools = [
            (18, 14, 12.0, 32e6),
            (15, 50, 3.4, 6.5e6),
            (18, 68, 2.5, 0.9e6),
        ];
        let mut simulation = Self::with_pools(seed, 3, pools);
        simulation.kinds = KINDS_OF_A;
        simulation.read_time = Duration::from_millis(300);
        simulation
    }

    /// Creates deployment B of `docs/design/demand.md`.
    pub fn deployment_b(seed: u64) -> Self {
        let pools = [
            (17, 12, 14.0, 27e6),
            (15, 50, 3.4, 6.5e6),
            (18, 68, 2.5, 0.9e6),
        ];
        let mut simulation = Self::with_pools(seed, 3, pools);
        simulation.kinds = KINDS_OF_B;
        simulation.read_time = Duration::from_millis(300);
        simulation
    }

    /// Makes the targets of each pool differ in speed.
    pub fn with_uneven_targets(mut self) -> Self {
        for (number, target_state) in self.targets.values_mut().enumerate() {
            target_state.slowdown = UNEVEN_SLOWDOWNS[number % UNEVEN_SLOWDOWNS.len()];
        }
        self
    }

    /// Lists the stages of each request in the opposite order.
    pub fn with_stages_backwards(mut self) -> Self {
        self.lists_backwards = true;
        self
    }

    pub(super) fn job(&mut self, now: Time, kind: usize) -> Job {
        let spec = |index: usize, after: Vec<usize>, bytes: u64, pieces: u32| StageSpec {
            pool: pool(index),
            after: after.into_iter().map(Into::into).collect(),
            bytes,
            pieces,
        };
        let large = |rng: &mut ChaCha8Rng, share: f64, max: u32| {
            if rng.random_bool(share) {
                rng.random_range(1..=max)
            } else {
                0
            }
        };
        let last = self.rng.random_range(6..=14);
        let stages = match kind {
            LARGE_RESULTS => vec![spec(0, vec![], 1_500_000, large(&mut self.rng, 0.7, 4))],
            CHAIN => vec![
                spec(0, vec![], 8_000, 1),
                spec(1, vec![0], 60_000, 6),
                spec(2, vec![1], 6_000, last),
            ],
            _ => vec![
                spec(0, vec![], 1_500_000, large(&mut self.rng, 0.4, 2)),
                spec(0, vec![], 8_000, 1),
                spec(1, vec![1], 60_000, 6),
                spec(2, vec![2], 6_000, last),
            ],
        };
        let stages = if self.lists_backwards {
            backwards(stages)
        } else {
            stages
        };
        self.next += 1;
        let Kind {
            objective,
            deadline,
            priority,
            ..
        } = self.kinds[kind];
        Job {
            id: JobId {
                origin: 0,
                number: self.next,
            },
            request: format!("r-{}", self.next).into(),
            identity: self.next,
            key: "key".into(),
            priority,
            objective: now + Duration::from_secs_f64(objective),
            deadline: now + Duration::from_secs_f64(deadline),
            first_event_latency: FIRST_EVENT_LATENCY,
            preferred_domain: None,
            stages: Stages::new(stages.into()).expect("stages have an order"),
            workspace: None,
            is_resubmitted: false,
        }
    }
}

/// Returns stages that are listed in the opposite order.
fn backwards(stages: Vec<StageSpec>) -> Vec<StageSpec> {
    let last = stages.len() - 1;
    let stages = stages.into_iter().rev().map(|mut spec| {
        for input in &mut spec.after {
            *input = (last - usize::from(*input)).into();
        }
        spec
    });
    stages.collect()
}
