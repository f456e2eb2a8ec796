//! Load and faults of a simulation.

use policy::{
    hash,
    id::{TargetId, Time, WorkspaceId},
};

/// Fractions of the requests that the largest workspaces send; the other ones send the rest in equal parts.
const LARGE_WORKSPACES: [f64; 3] = [0.25, 0.15, 0.1];
const WORKSPACES: usize = 16;

/// A time in which some targets of a pool are slow.
#[derive(Clone, Debug)]
pub(super) struct SlowPeriod {
    /// Index of the pool.
    pub pool: usize,
    /// Numbers of the targets.
    pub targets: Vec<usize>,
    pub factor: f64,
    /// In seconds.
    pub begin: f64,
    pub end: f64,
}

impl SlowPeriod {
    /// Returns when, in seconds, the speed of which target changes, and the factor on its slowdown.
    pub fn changes(&self) -> impl Iterator<Item = (f64, TargetId, f64)> {
        self.targets.iter().flat_map(|number| {
            let id: TargetId = format!("t-{}-{number}", self.pool).into();
            let slow = (self.begin, id.clone(), self.factor);
            [slow, (self.end, id, self.factor.recip())]
        })
    }
}

/// Load of a site, with optional faults.
#[derive(Clone, Debug)]
pub struct Workload {
    pub(super) bursts: Vec<(usize, f64, f64, f64)>,
    /// Workspace that sends more than usual, with the factor, the begin and the end in seconds.
    flood: Option<(usize, f64, f64, f64)>,
    pub(super) deaths: Option<(f64, f64)>,
    pub(super) slow: Option<(f64, f64)>,
    pub(super) slow_period: Option<SlowPeriod>,
    pub(super) scheduler_loss: Option<f64>,
    pub(super) scheduler_fault: Option<f64>,
    /// Factor on the arrival rates of all kinds.
    pub(super) load: f64,
    /// Whether refused callers come back.
    pub(super) has_returns: bool,
    /// Whether some targets are slow at any moment.
    pub(super) has_noise: bool,
}

impl Workload {
    /// Creates the mean load of a site, without faults.
    pub fn typical_site() -> Self {
        Self {
            bursts: Vec::new(),
            flood: None,
            deaths: None,
            slow: None,
            slow_period: None,
            scheduler_loss: None,
            scheduler_fault: None,
            load: 1.0,
            has_returns: false,
            has_noise: false,
        }
    }

    /// Multiplies the arrival rate of one kind by `factor` from `begin` to `end`, in seconds. Bursts may
    /// overlap.
    pub fn with_burst(mut self, kind: usize, factor: f64, begin: f64, end: f64) -> Self {
        self.bursts.push((kind, factor, begin, end));
        self
    }

    /// Multiplies the requests of one workspace by `factor` from `begin` to `end`, in seconds.
    pub fn with_flood(mut self, workspace: usize, factor: f64, begin: f64, end: f64) -> Self {
        self.flood = Some((workspace, factor, begin, end));
        self
    }

    /// Multiplies the arrival rates of all kinds by `load`.
    pub fn with_load(mut self, load: f64) -> Self {
        self.load = load;
        self
    }

    /// Crashes one target of each pool from `begin` to `end`, in seconds.
    pub fn with_deaths(mut self, begin: f64, end: f64) -> Self {
        self.deaths = Some((begin, end));
        self
    }

    /// Slows one target of the second pool down by `factor` from `begin` on, in seconds.
    pub fn with_slow_target(mut self, factor: f64, begin: f64) -> Self {
        self.slow = Some((factor, begin));
        self
    }

    /// Slows some targets of a pool down by `factor` from `begin` to `end`, in seconds.
    pub fn with_slow_period(
        mut self,
        pool: usize,
        targets: impl IntoIterator<Item = usize>,
        factor: f64,
        (begin, end): (f64, f64),
    ) -> Self {
        self.slow_period = Some(SlowPeriod {
            pool,
            targets: targets.into_iter().collect(),
            factor,
            begin,
            end,
        });
        self
    }

    /// Loses the scheduler and its state `at` seconds into the simulation.
    pub fn with_scheduler_loss(mut self, at: f64) -> Self {
        self.scheduler_loss = Some(at);
        self
    }

    /// Makes the scheduler abandon its jobs `at` seconds into the simulation.
    pub fn with_scheduler_fault(mut self, at: f64) -> Self {
        self.scheduler_fault = Some(at);
        self
    }

    /// Makes refused callers come back.
    pub fn with_returns(mut self) -> Self {
        self.has_returns = true;
        self
    }

    /// Slows changing targets down.
    pub fn with_noise(mut self) -> Self {
        self.has_noise = true;
        self
    }

    /// Returns the workspace of a request with this number.
    pub(super) fn workspace(&self, at: Time, number: u64) -> WorkspaceId {
        let weights = self.workspace_weights(at);
        let mut rest = hash::mix(number) as f64 / u64::MAX as f64 * weights.iter().sum::<f64>();
        let last = weights.len() - 1;
        let chosen = weights.iter().position(|weight| {
            rest -= weight;
            rest < 0.0
        });
        workspace(chosen.unwrap_or(last))
    }

    /// Returns the requests that each workspace sends, relative to those of all in usual times.
    fn workspace_weights(&self, at: Time) -> [f64; WORKSPACES] {
        let small = WORKSPACES - LARGE_WORKSPACES.len();
        let rest = 1.0 - LARGE_WORKSPACES.iter().sum::<f64>();
        let at = at.as_secs_f64();
        std::array::from_fn(|index| {
            let weight = LARGE_WORKSPACES.get(index).copied();
            let flood = self
                .flood
                .filter(|&(of, _, begin, end)| of == index && (begin..end).contains(&at));
            weight.unwrap_or(rest / small as f64) * flood.map_or(1.0, |(_, factor, ..)| factor)
        })
    }

    /// Returns the factor on the arrival rate of a kind.
    pub(super) fn factor(&self, kind: usize, at: Time) -> f64 {
        let flood: f64 = self.workspace_weights(at).iter().sum();
        let at = at.as_secs_f64();
        let bursts = self.bursts.iter();
        let current =
            bursts.filter(|&&(of, _, begin, end)| of == kind && (begin..end).contains(&at));
        current.map(|&(_, factor, ..)| factor).product::<f64>() * self.load * flood
    }
}

/// Returns the name of a workspace.
pub(super) fn workspace(index: usize) -> WorkspaceId {
    format!("workspace-{index}").into()
}
