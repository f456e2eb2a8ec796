//! Choice of a target for one stage of a request.
//!
//! Targets are compared by the expected time to the result: the wait for a place at the target,
//! the prompt tokens that are not in its prefix cache, the tokens to generate, and penalties for
//! failures and for distance. Of a few targets that are drawn at random, and of those that hold
//! the prompt's prefix, the best one is taken, so that entries with the same stale reports do not
//! all choose the same target.

mod choice;
mod health;
mod member;
mod prefix;
mod score;
mod subset;
mod target;

use crate::{
    decision::Candidate,
    fault::Fault,
    host::{Change, Host, Report, State},
    id::{AttemptId, BlockHash, DomainId, HostId, PoolId, RegionId, TargetId, Time, WorkspaceId},
    pool::Pool,
    router::{
        member::Member,
        prefix::Index,
        subset::Subset,
        target::{End, Expected, Target},
    },
    table::{self, Table},
};
use compact_str::CompactString;
use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};
use strum::{Display, EnumString, IntoStaticStr};

/// What a stage needs of a target.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Pool that the stage runs in.
    pub pool: &'a PoolId,
    /// Workspace of the caller.
    pub workspace: &'a WorkspaceId,
    /// Hashes of the prompt's blocks, each with all blocks before it; empty for plain services.
    pub prefix: &'a [BlockHash],
    /// Tokens that the stage is expected to generate.
    pub tokens: u32,
    /// Targets that the request may not use again.
    pub excluded: &'a [TargetId],
    /// Whether the call must have the target to itself among this entry's calls.
    pub exclusive: bool,
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
pub enum PickError {
    /// The pool has no live target that the request may use.
    NoTarget,
    /// Every usable target is at its limit.
    AtCapacity,
}

/// How a call to a target ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// The target answered in full.
    Succeeded,
    /// The call ended without a result.
    Failed(Fault),
    /// The call was abandoned.
    Cancelled,
}

/// How targets are compared.
#[derive(Clone, Copy, Debug, Default, Display, EnumString, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Rule {
    /// By the expected time to the result.
    #[default]
    Scored,
    /// In turn, each up to its reported width; a baseline.
    RoundRobin,
    /// By the calls in flight from this entry, each up to its reported width; a baseline.
    LeastInFlight,
}

/// Targets of a pool that one entry works with, unless set otherwise.
pub const SUBSET_SIZE: usize = 16;

/// Targets that are drawn for one choice.
const DRAWN: usize = 4;

/// Ratio of the usual tokens to those that have come at which a call counts as slow.
const SLOW: f64 = 3.0;

/// Knowledge of all targets, and the choice among them.
#[derive(Debug)]
pub struct Router {
    domain: DomainId,
    region: Option<RegionId>,
    identity: HostId,
    subset_size: usize,
    rule: Rule,
    targets: Vec<Target>,
    free: Vec<u32>,
    names: HashMap<TargetId, u32>,
    pools: BTreeMap<PoolId, Member>,
    domains: HashMap<DomainId, health::Outage>,
    weights: BTreeMap<TargetId, table::Target>,
    prefixes: Index,
    running: HashMap<AttemptId, Call>,
    scratch: Vec<u32>,
}

/// One call in flight.
#[derive(Clone, Debug)]
struct Call {
    target: u32,
    started: Time,
    /// What was expected, unless nothing is known of the pool yet.
    expected: Option<Expected>,
    /// Tokens that have come.
    tokens: u32,
    /// When the first of them came.
    first: Option<Time>,
}

impl Router {
    /// Creates a router for an entry in `domain` that serves `pools`.
    pub fn new(domain: DomainId, pools: &[Pool]) -> Self {
        Self {
            identity: domain.clone(),
            domain,
            region: None,
            subset_size: SUBSET_SIZE,
            rule: Rule::default(),
            targets: Vec::new(),
            free: Vec::new(),
            names: HashMap::new(),
            pools: pools
                .iter()
                .map(|pool| (pool.name.clone(), Member::new(pool.clone())))
                .collect(),
            domains: HashMap::new(),
            weights: BTreeMap::new(),
            prefixes: Index::new(),
            running: HashMap::new(),
            scratch: Vec::new(),
        }
    }

    /// Works with a stable subset of `size` targets of each pool, which `host` determines.
    #[must_use]
    pub fn with_subset(mut self, host: impl Into<HostId>, size: usize) -> Self {
        self.identity = host.into();
        self.subset_size = size.max(1);
        self
    }

    /// Compares targets by `rule`.
    #[must_use]
    pub fn with_rule(mut self, rule: Rule) -> Self {
        self.rule = rule;
        self
    }

    /// Takes in the platform's host list.
    pub fn set_hosts(&mut self, now: Time, hosts: &[Host]) {
        for target in &mut self.targets {
            target.listed = false;
        }
        for host in hosts {
            self.list(now, host);
        }
        self.region = hosts
            .iter()
            .find(|host| host.domain == self.domain)
            .map(|host| host.region.clone());
        self.drop_unlisted();
        self.rebuild_subsets();
    }

    /// Takes in the weights and ceilings of targets.
    pub fn set_table(&mut self, _now: Time, table: &Table) {
        self.weights.clone_from(&table.targets);
        for target in &mut self.targets {
            target.set_row(self.weights.get(&target.host.target));
        }
    }

    /// Takes in a target's report of its load.
    pub fn record_report(&mut self, now: Time, target: &TargetId, report: &Report) {
        let Some(&index) = self.names.get(target) else {
            return;
        };
        let target = &mut self.targets[index as usize];
        let Some(pool) = self.pools.get_mut(&target.host.pool) else {
            return;
        };
        target.report(now, report, pool.settings.idempotent);
        pool.reported(now, target.others_reported(), report.tokens_per_second);
    }

    /// Takes in a change of a target's prefix cache.
    pub fn record_cache_change(&mut self, now: Time, target: &TargetId, change: &Change) {
        if let Some(&index) = self.names.get(target) {
            self.prefixes.change(now, index, change);
        }
    }

    /// Returns the address of a target, if it is on the host list.
    pub fn address(&self, target: &TargetId) -> Option<&CompactString> {
        let target = self.target(target)?;
        target.listed.then_some(&target.host.address)
    }

    /// Returns the failure domain of a target.
    pub fn domain(&self, target: &TargetId) -> Option<&DomainId> {
        Some(&self.target(target)?.host.domain)
    }

    /// Returns all targets of the pools and failure domains of some targets.
    pub fn sharing_domain(&self, targets: &[TargetId]) -> Vec<TargetId> {
        let known: Vec<_> = targets
            .iter()
            .filter_map(|name| self.target(name))
            .map(|target| (&target.host.pool, &target.host.domain))
            .collect();
        self.targets
            .iter()
            .filter(|target| known.contains(&(&target.host.pool, &target.host.domain)))
            .map(|target| target.host.target.clone())
            .collect()
    }

    /// Returns the targets of `pool` that this entry works with now.
    pub fn subset(&self, pool: &PoolId) -> impl Iterator<Item = &TargetId> {
        self.pools
            .get(pool)
            .map_or(&[][..], |pool| pool.subset.active())
            .iter()
            .map(|&index| &self.targets[index as usize].host.target)
    }

    /// Returns the calls in flight from this entry to `target`.
    pub fn in_flight(&self, target: &TargetId) -> u32 {
        self.target(target).map_or(0, |target| target.in_flight)
    }

    /// Returns the calls that `target` may have in flight from this entry; at least 1.
    pub fn limit(&self, target: &TargetId) -> Option<u32> {
        self.target(target).map(|target| target.limit.get())
    }

    /// Returns the time that a stage takes in `pool`, at `quantile` between 0 and 1.
    ///
    /// `None` until enough calls have ended.
    pub fn call_time_quantile(&self, pool: &PoolId, quantile: f64) -> Option<Duration> {
        self.pools.get(pool)?.service.quantile(quantile)
    }

    /// Notes the time of a whole stage in `pool`, waiting and repeated attempts included.
    pub fn record_stage(&mut self, pool: &PoolId, time: Duration) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.stage.add(time);
        }
    }

    /// Returns the time of a whole stage in `pool`, waiting included, at `quantile`.
    ///
    /// `None` until enough stages were noted with [`record_stage`](Self::record_stage).
    pub fn stage_time_quantile(&self, pool: &PoolId, quantile: f64) -> Option<Duration> {
        self.pools.get(pool)?.stage.quantile(quantile)
    }

    /// Returns the time from the dispatch of a call in `pool` to its first part, at `quantile`.
    ///
    /// `None` until enough calls have given a first part.
    pub fn first_part_quantile(&self, pool: &PoolId, quantile: f64) -> Option<Duration> {
        self.pools.get(pool)?.first.quantile(quantile)
    }

    /// Returns the calls that the live targets of `pool` can take at once from this entry.
    pub fn available_capacity(&self, pool: &PoolId) -> u32 {
        let Some(pool) = self.pools.get(pool) else {
            return 0;
        };
        let members = pool.subset.active().iter();
        members
            .map(|&index| &self.targets[index as usize])
            .filter(|target| target.is_offered(&pool.settings))
            .map(Target::free_width)
            .sum()
    }

    /// Notes that a call was sent.
    pub fn record_start(
        &mut self,
        now: Time,
        attempt: AttemptId,
        target: &TargetId,
        requirements: &Requirements<'_>,
    ) {
        let Some(&index) = self.names.get(target) else {
            return;
        };
        let known = self.is_known(index, requirements);
        let expected = known.then(|| self.expected(now, index, requirements));
        self.prefixes.sent(now, index, requirements.prefix);
        self.targets[index as usize].started(now, attempt, expected, requirements.exclusive);
        let call = Call {
            target: index,
            started: now,
            expected,
            tokens: 0,
            first: None,
        };
        self.running.insert(attempt, call);
    }

    /// Notes a part of a result.
    pub fn record_progress(&mut self, now: Time, attempt: AttemptId, tokens: u32) {
        let Some(call) = self.running.get_mut(&attempt) else {
            return;
        };
        let target = &mut self.targets[call.target as usize];
        target.progressed(now, attempt, tokens.max(1));
        let is_first = call.first.is_none();
        call.first.get_or_insert(now);
        call.tokens = call.tokens.saturating_add(tokens.max(1));
        if is_first && let Some(pool) = self.pools.get_mut(&target.host.pool) {
            let took = now.saturating_sub(call.started);
            pool.first.add(took);
            if let Some(expected) = call.expected.filter(Expected::is_streamed) {
                let waited = took.as_secs_f64() - expected.prefill;
                target.waited(now, waited, pool.mean.get());
            }
        }
    }

    /// Returns whether an engine has given far fewer tokens for a call than engines of the pool
    /// usually do in that time.
    pub fn is_slow(&self, now: Time, attempt: AttemptId) -> bool {
        let Some(call) = self.running.get(&attempt) else {
            return false;
        };
        let pool = self
            .pools
            .get(&self.targets[call.target as usize].host.pool);
        let Some(rate) = pool.and_then(|pool| pool.rate.get()) else {
            return false;
        };
        let age = now.saturating_sub(call.started).as_secs_f64();
        let generating = age - call.expected.map_or(0.0, |expected| expected.prefill);
        f64::from(call.tokens) * SLOW < generating * rate
    }

    /// Notes that a call ended.
    pub fn record_end(&mut self, now: Time, attempt: AttemptId, result: CallResult) {
        let Some(call) = self.running.remove(&attempt) else {
            return;
        };
        let target = &mut self.targets[call.target as usize];
        let Some(pool) = self.pools.get_mut(&target.host.pool) else {
            return;
        };
        let took = now.saturating_sub(call.started).as_secs_f64();
        let stretch = call
            .expected
            .and_then(|expected| expected.stretch(now, call.started, call.first, call.tokens));
        if result == CallResult::Succeeded {
            pool.done(took, stretch, call.tokens);
        }
        let usual = pool.usual_stretch();
        let end = End {
            stretch: stretch.unwrap_or(usual),
            usual,
            waited: call.tokens > 0,
            result,
        };
        let ejected = target.ended(now, attempt, &end);
        let lost = matches!(result, CallResult::Failed(fault) if health::is_loss(fault));
        if ejected {
            let domain = self.domains.entry(target.host.domain.clone()).or_default();
            domain.add(now);
        }
        if lost {
            self.prefixes.forget(call.target);
        }
    }

    fn target(&self, name: &TargetId) -> Option<&Target> {
        self.names
            .get(name)
            .map(|&index| &self.targets[index as usize])
    }

    fn list(&mut self, now: Time, host: &Host) {
        if let Some(&index) = self.names.get(&host.target) {
            self.targets[index as usize].relist(host);
            return;
        }
        let mut target = Target::new(now, host.clone());
        target.set_row(self.weights.get(&host.target));
        let index = self.free.pop().unwrap_or(self.targets.len() as u32);
        if index as usize == self.targets.len() {
            self.targets.push(target);
        } else {
            self.targets[index as usize] = target;
        }
        self.prefixes.forget(index);
        self.names.insert(host.target.clone(), index);
    }

    /// Frees the places of targets that are off the list and have no call in flight.
    fn drop_unlisted(&mut self) {
        for (index, target) in self.targets.iter().enumerate() {
            let gone = !target.listed && target.in_flight == 0;
            if gone && self.names.remove(&target.host.target).is_some() {
                self.free.push(index as u32);
            }
        }
    }

    fn rebuild_subsets(&mut self) {
        let mut pools: BTreeMap<&PoolId, Vec<u32>> = BTreeMap::new();
        for (index, target) in self.targets.iter().enumerate() {
            if target.listed && target.host.state == State::Live {
                pools
                    .entry(&target.host.pool)
                    .or_default()
                    .push(index as u32);
            }
        }
        for pool in self.pools.values_mut() {
            pool.subset.clear();
        }
        for (name, mut members) in pools {
            subset::order(&mut members, &self.targets, &self.identity);
            self.pools
                .entry(name.clone())
                .or_insert_with(|| Member::new(Pool::new(name.clone())))
                .subset
                .set(members, self.subset_size);
        }
    }
}
