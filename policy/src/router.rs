//! Choice of a target for one stage of a request.

use crate::{
    decision::Candidate,
    fault::Fault,
    host::{Change, Host, Report, State},
    id::{AttemptId, BlockHash, DomainId, PoolId, TargetId, Time, WorkspaceId},
    pool::Pool,
    table::Table,
};
use compact_str::CompactString;
use rand::Rng;
use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

/// What a stage needs of a target.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// Pool that the stage runs in.
    pub pool: &'a PoolId,
    /// Workspace of the caller.
    pub workspace: &'a WorkspaceId,
    /// Hashes of the prompt's blocks, each with all blocks before it; empty for plain services.
    pub prefix: &'a [BlockHash],
    /// Tokens that the stage is expected to generate.
    pub tokens: u32,
    /// Targets that the request may not use again.
    pub avoid: &'a [TargetId],
    /// Whether the call must have the target to itself among this entry's calls.
    pub alone: bool,
}

/// Target that was chosen, with those it was compared with.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// The target.
    pub target: TargetId,
    /// Address of the target.
    pub address: CompactString,
    /// Expected time to the result.
    pub expected: Duration,
    /// Targets that were compared.
    pub candidates: Vec<Candidate>,
}

/// Why no target was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// The pool has no live target that the request may use.
    NoTarget,
    /// Every usable target is at its limit.
    NoRoom,
}

/// How a call to a target ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The target answered in full.
    Done,
    /// The call ended without a result.
    Failed(Fault),
    /// The call was abandoned.
    Cancelled,
}

/// Knowledge of all targets, and the choice among them.
#[derive(Debug)]
pub struct Router {
    domain: DomainId,
    targets: BTreeMap<TargetId, Target>,
    running: HashMap<AttemptId, (TargetId, Time)>,
}

#[derive(Debug)]
struct Target {
    host: Host,
    in_flight: u32,
    limit: u32,
}

/// Calls in flight that a target is given before it has reported a width.
const FIRST_LIMIT: u32 = 8;

impl Router {
    /// Creates a router for an entry in `domain` that serves `pools`.
    pub fn new(domain: DomainId, _pools: &[Pool]) -> Self {
        Self {
            domain,
            targets: BTreeMap::new(),
            running: HashMap::new(),
        }
    }

    /// Takes in the platform's host list.
    pub fn set_hosts(&mut self, _now: Time, hosts: &[Host]) {
        self.targets
            .retain(|name, _| hosts.iter().any(|host| host.target == *name));
        for host in hosts {
            let known = self.targets.remove(&host.target);
            let (in_flight, limit) =
                known.map_or((0, FIRST_LIMIT), |target| (target.in_flight, target.limit));
            self.targets.insert(
                host.target.clone(),
                Target {
                    host: host.clone(),
                    in_flight,
                    limit,
                },
            );
        }
    }

    /// Takes in the weights and ceilings of targets.
    pub fn set_table(&mut self, _now: Time, _table: &Table) {}

    /// Takes in a target's report of its load.
    pub fn report(&mut self, _now: Time, target: &TargetId, report: &Report) {
        if let Some(target) = self.targets.get_mut(target) {
            target.limit = report.width.max(1);
        }
    }

    /// Takes in a change of a target's prefix cache.
    pub fn cache(&mut self, _now: Time, _target: &TargetId, _change: &Change) {}

    /// Chooses a target with room.
    ///
    /// # Errors
    ///
    /// Fails if the pool has no usable target, or none with room.
    pub fn choose(
        &mut self,
        _now: Time,
        need: &Need<'_>,
        _rng: &mut impl Rng,
    ) -> Result<Pick, Shortage> {
        let usable: Vec<_> = self
            .targets
            .values()
            .filter(|target| target.host.pool == *need.pool)
            .filter(|target| target.host.state == State::Live)
            .filter(|target| !need.avoid.contains(&target.host.target))
            .collect();
        if usable.is_empty() {
            return Err(Shortage::NoTarget);
        }
        let room: Vec<_> = usable
            .into_iter()
            .filter(|target| target.in_flight < if need.alone { 1 } else { target.limit })
            .collect();
        let best = room
            .iter()
            .min_by_key(|target| (target.in_flight, target.host.domain != self.domain))
            .ok_or(Shortage::NoRoom)?;
        Ok(Pick {
            target: best.host.target.clone(),
            address: best.host.address.clone(),
            expected: Duration::ZERO,
            candidates: room
                .iter()
                .map(|target| Candidate {
                    target: target.host.target.clone(),
                    score: f64::from(target.in_flight),
                })
                .collect(),
        })
    }

    /// Returns the address of a target, if it is on the host list.
    pub fn address(&self, target: &TargetId) -> Option<&CompactString> {
        self.targets.get(target).map(|target| &target.host.address)
    }

    /// Notes that a call was sent.
    pub fn started(&mut self, now: Time, attempt: AttemptId, target: &TargetId, _need: &Need<'_>) {
        if let Some(known) = self.targets.get_mut(target) {
            known.in_flight += 1;
            self.running.insert(attempt, (target.clone(), now));
        }
    }

    /// Notes the first part of a result, for the time to the first token.
    pub fn progressed(&mut self, _now: Time, _attempt: AttemptId, _tokens: u32) {}

    /// Notes that a call ended.
    pub fn ended(&mut self, _now: Time, attempt: AttemptId, _verdict: Verdict) {
        if let Some((target, _)) = self.running.remove(&attempt)
            && let Some(target) = self.targets.get_mut(&target)
        {
            target.in_flight = target.in_flight.saturating_sub(1);
        }
    }

    /// Returns the time that a stage takes in `pool`, at `quantile` between 0 and 1.
    ///
    /// `None` until enough calls have ended.
    pub fn quantile(&self, _pool: &PoolId, _quantile: f64) -> Option<Duration> {
        None
    }

    /// Returns the calls that the live targets of `pool` can take at once from this entry.
    pub fn width(&self, pool: &PoolId) -> u32 {
        self.targets
            .values()
            .filter(|target| target.host.pool == *pool && target.host.state == State::Live)
            .map(|target| target.limit)
            .sum()
    }
}
