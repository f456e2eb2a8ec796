//! Choice of a target for one stage of a request.
//!
//! Targets are compared by the expected time to the result: the wait for a place at the target,
//! the prompt tokens that are not in its prefix cache, the tokens to generate, and penalties for
//! failures and for distance. Of a few targets that are drawn at random, and of those that hold
//! the prompt's prefix, the best one is taken, so that entries with the same stale reports do not
//! all choose the same target.

mod choice;
mod health;
mod pool_state;
mod prefix;
mod score;
mod subset;
mod target_state;

use crate::{
    decision::Candidate,
    fault::Fault,
    host::{Change, Host, Report, State},
    id::{AttemptId, BlockHash, DomainId, HostId, PoolId, RegionId, TargetId, Time, WorkspaceId},
    pool::Pool,
    router::{
        pool_state::PoolState,
        prefix::PrefixIndex,
        subset::Subset,
        target_state::{CallEnd, Estimate, TargetState},
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

/// TargetState that was chosen, with those it was compared with.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// The target.
    pub target: TargetId,
    /// Address of the target.
    pub address: CompactString,
    /// Estimate time to the result.
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
const SAMPLE_SIZE: usize = 4;

/// Ratio of the usual tokens to those that have come at which a call counts as slow.
const SLOW_RATIO: f64 = 3.0;

/// Knowledge of all targets, and the choice among them.
#[derive(Debug)]
pub struct Router {
    domain: DomainId,
    region: Option<RegionId>,
    identity: HostId,
    subset_size: usize,
    rule: Rule,
    targets: Vec<TargetState>,
    free_indices: Vec<u32>,
    indices: HashMap<TargetId, u32>,
    pools: BTreeMap<PoolId, PoolState>,
    domain_ejections: HashMap<DomainId, health::DomainEjections>,
    table_rows: BTreeMap<TargetId, table::Target>,
    prefixes: PrefixIndex,
    calls: HashMap<AttemptId, Call>,
    scratch: Vec<u32>,
}

/// One call in flight.
#[derive(Clone, Debug)]
struct Call {
    target: u32,
    started: Time,
    /// What was expected, unless nothing is known of the pool yet.
    estimate: Option<Estimate>,
    /// Tokens that have come.
    tokens: u32,
    /// When the first of them came.
    first_part_at: Option<Time>,
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
            free_indices: Vec::new(),
            indices: HashMap::new(),
            pools: pools
                .iter()
                .map(|pool| (pool.name.clone(), PoolState::new(pool.clone())))
                .collect(),
            domain_ejections: HashMap::new(),
            table_rows: BTreeMap::new(),
            prefixes: PrefixIndex::new(),
            calls: HashMap::new(),
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
            self.upsert_host(now, host);
        }
        self.region = hosts
            .iter()
            .find(|host| host.domain == self.domain)
            .map(|host| host.region.clone());
        self.remove_unlisted();
        self.rebuild_subsets();
    }

    /// Takes in the weights and ceilings of targets.
    pub fn set_table(&mut self, _now: Time, table: &Table) {
        self.table_rows.clone_from(&table.targets);
        for target in &mut self.targets {
            target.set_table_row(self.table_rows.get(&target.host.target));
        }
    }

    /// Takes in a target's report of its load.
    pub fn record_report(&mut self, now: Time, target: &TargetId, report: &Report) {
        let Some(&index) = self.indices.get(target) else {
            return;
        };
        let target = &mut self.targets[index as usize];
        let Some(pool) = self.pools.get_mut(&target.host.pool) else {
            return;
        };
        target.record_report(now, report, pool.settings.idempotent);
        pool.record_report(now, target.reported_other_load(), report.tokens_per_second);
    }

    /// Takes in a change of a target's prefix cache.
    pub fn record_cache_change(&mut self, now: Time, target: &TargetId, change: &Change) {
        if let Some(&index) = self.indices.get(target) {
            self.prefixes.apply(now, index, change);
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
        let locations: Vec<_> = targets
            .iter()
            .filter_map(|name| self.target(name))
            .map(|target| (&target.host.pool, &target.host.domain))
            .collect();
        self.targets
            .iter()
            .filter(|target| locations.contains(&(&target.host.pool, &target.host.domain)))
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
        self.pools.get(pool)?.call_time.quantile(quantile)
    }

    /// Notes the time of a whole stage in `pool`, waiting and repeated attempts included.
    pub fn record_stage(&mut self, pool: &PoolId, time: Duration) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.stage_time.add(time);
        }
    }

    /// Returns the time of a whole stage in `pool`, waiting included, at `quantile`.
    ///
    /// `None` until enough stages were noted with [`record_stage`](Self::record_stage).
    pub fn stage_time_quantile(&self, pool: &PoolId, quantile: f64) -> Option<Duration> {
        self.pools.get(pool)?.stage_time.quantile(quantile)
    }

    /// Returns the time from the dispatch of a call in `pool` to its first part, at `quantile`.
    ///
    /// `None` until enough calls have given a first part.
    pub fn first_part_quantile(&self, pool: &PoolId, quantile: f64) -> Option<Duration> {
        self.pools.get(pool)?.first_part_time.quantile(quantile)
    }

    /// Returns the calls that the live targets of `pool` can take at once from this entry.
    pub fn available_capacity(&self, pool: &PoolId) -> u32 {
        let Some(pool) = self.pools.get(pool) else {
            return 0;
        };
        let members = pool.subset.active().iter();
        members
            .map(|&index| &self.targets[index as usize])
            .filter(|target| target.accepts_calls(&pool.settings))
            .map(TargetState::available_capacity)
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
        let Some(&index) = self.indices.get(target) else {
            return;
        };
        let is_known = self.has_service_estimate(index, requirements);
        let estimate = is_known.then(|| self.estimate(now, index, requirements));
        self.prefixes.record_sent(now, index, requirements.prefix);
        self.targets[index as usize].record_start(now, attempt, estimate, requirements.exclusive);
        let call = Call {
            target: index,
            started: now,
            estimate,
            tokens: 0,
            first_part_at: None,
        };
        self.calls.insert(attempt, call);
    }

    /// Notes a part of a result.
    pub fn record_progress(&mut self, now: Time, attempt: AttemptId, tokens: u32) {
        let Some(call) = self.calls.get_mut(&attempt) else {
            return;
        };
        let target = &mut self.targets[call.target as usize];
        target.record_progress(now, attempt, tokens.max(1));
        let is_first = call.first_part_at.is_none();
        call.first_part_at.get_or_insert(now);
        call.tokens = call.tokens.saturating_add(tokens.max(1));
        if is_first && let Some(pool) = self.pools.get_mut(&target.host.pool) {
            let elapsed = now.saturating_sub(call.started);
            pool.first_part_time.add(elapsed);
            if let Some(estimate) = call.estimate.filter(Estimate::is_streamed) {
                let waited = elapsed.as_secs_f64() - estimate.prefill;
                target.record_wait(now, waited, pool.mean_call_seconds.get());
            }
        }
    }

    /// Returns whether an engine has given far fewer tokens for a call than engines of the pool
    /// usually do in that time.
    pub fn is_slow(&self, now: Time, attempt: AttemptId) -> bool {
        let Some(call) = self.calls.get(&attempt) else {
            return false;
        };
        let pool = self
            .pools
            .get(&self.targets[call.target as usize].host.pool);
        let Some(rate) = pool.and_then(|pool| pool.token_rate.get()) else {
            return false;
        };
        let age = now.saturating_sub(call.started).as_secs_f64();
        let generating = age - call.estimate.map_or(0.0, |estimate| estimate.prefill);
        f64::from(call.tokens) * SLOW_RATIO < generating * rate
    }

    /// Notes that a call ended.
    pub fn record_end(&mut self, now: Time, attempt: AttemptId, result: CallResult) {
        let Some(call) = self.calls.remove(&attempt) else {
            return;
        };
        let target = &mut self.targets[call.target as usize];
        let Some(pool) = self.pools.get_mut(&target.host.pool) else {
            return;
        };
        let seconds = now.saturating_sub(call.started).as_secs_f64();
        let slowdown = call.estimate.and_then(|estimate| {
            estimate.slowdown(now, call.started, call.first_part_at, call.tokens)
        });
        if result == CallResult::Succeeded {
            pool.record_success(seconds, slowdown, call.tokens);
        }
        let mean_slowdown = pool.mean_slowdown();
        let end = CallEnd {
            slowdown: slowdown.unwrap_or(mean_slowdown),
            mean_slowdown,
            wait_recorded: call.tokens > 0,
            result,
        };
        let ejected = target.record_end(now, attempt, &end);
        let lost = matches!(result, CallResult::Failed(fault) if health::is_target_loss(fault));
        if ejected {
            let ejections = self
                .domain_ejections
                .entry(target.host.domain.clone())
                .or_default();
            ejections.add(now);
        }
        if lost {
            self.prefixes.clear_target(call.target);
        }
    }

    fn target(&self, name: &TargetId) -> Option<&TargetState> {
        self.indices
            .get(name)
            .map(|&index| &self.targets[index as usize])
    }

    fn upsert_host(&mut self, now: Time, host: &Host) {
        if let Some(&index) = self.indices.get(&host.target) {
            self.targets[index as usize].update_host(host);
            return;
        }
        let mut target = TargetState::new(now, host.clone());
        target.set_table_row(self.table_rows.get(&host.target));
        let index = self.free_indices.pop().unwrap_or(self.targets.len() as u32);
        if index as usize == self.targets.len() {
            self.targets.push(target);
        } else {
            self.targets[index as usize] = target;
        }
        self.prefixes.clear_target(index);
        self.indices.insert(host.target.clone(), index);
    }

    /// Frees the places of targets that are off the list and have no call in flight.
    fn remove_unlisted(&mut self) {
        for (index, target) in self.targets.iter().enumerate() {
            let is_removable = !target.listed && target.in_flight == 0;
            if is_removable && self.indices.remove(&target.host.target).is_some() {
                self.free_indices.push(index as u32);
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
            subset::rank(&mut members, &self.targets, &self.identity);
            self.pools
                .entry(name.clone())
                .or_insert_with(|| PoolState::new(Pool::new(name.clone())))
                .subset
                .set(members, self.subset_size);
        }
    }
}
