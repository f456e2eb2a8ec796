//! Load balancing: selects a target for one stage of a request.
//!
//! Targets are scored by their estimated time to the result: the queueing delay at the target, the
//! prefill of prompt tokens that its prefix cache does not hold, the generation of the output, and
//! penalties for failures and network distance. The candidates are a small random sample of the
//! targets, plus those that cache the prompt's prefix. Sampling keeps entries that act on the same
//! stale reports from all selecting the same target.

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
    host::{CacheChange, Host, Report, State},
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

/// Constraints and inputs for the selection of a target.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Pool that the stage runs in.
    pub pool: &'a PoolId,
    /// Workspace of the caller.
    pub workspace: &'a WorkspaceId,
    /// Hashes of the prompt's blocks, each of which covers all blocks before it; empty for pools of
    /// plain services.
    pub prefix: &'a [BlockHash],
    /// Expected number of generated tokens.
    pub tokens: u32,
    /// Targets that must not be selected.
    pub excluded: &'a [TargetId],
    /// Whether the target must have no other call from this entry in flight.
    pub exclusive: bool,
}

/// A selected target and the candidates that it was compared with.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// The selected target.
    pub target: TargetId,
    /// IP address and port of the target.
    pub address: CompactString,
    /// Estimated time to the result, without penalties.
    pub expected: Duration,
    /// All candidates with their scores, the selected one included.
    pub candidates: Vec<Candidate>,
}

/// Reason why no target was selected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PickError {
    /// The pool has no live target that meets the requirements.
    NoTarget,
    /// All targets that meet the requirements are at capacity or ejected.
    AtCapacity,
}

/// How a call to a target ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// The target returned the complete result.
    Succeeded,
    /// The call ended without a result.
    Failed(Fault),
    /// The entry cancelled the call.
    Cancelled,
}

/// Load-balancing rule.
#[derive(Clone, Copy, Debug, Default, Display, EnumString, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Rule {
    /// Lowest estimated time to the result, penalties included.
    #[default]
    Scored,
    /// Round robin over the targets below their reported width. Serves as a baseline.
    RoundRobin,
    /// Fewest calls in flight from this entry, among the targets below their reported width. Serves
    /// as a baseline.
    LeastInFlight,
}

/// Default number of targets per pool that one entry routes to.
pub const SUBSET_SIZE: usize = 16;

/// Number of targets sampled at random for one selection.
const SAMPLE_SIZE: usize = 4;

/// Ratio of expected to received tokens above which a stream counts as slow.
const SLOW_RATIO: f64 = 3.0;

/// Load balancer of one entry, with the state of all known targets.
#[derive(Debug)]
pub struct Router {
    domain: DomainId,
    region: Option<RegionId>,
    /// Key of this entry in the rendezvous hash that orders its subsets.
    identity: HostId,
    subset_size: usize,
    rule: Rule,
    targets: Vec<TargetState>,
    /// Elements of `targets` that can be reused.
    free_indices: Vec<u32>,
    indices: HashMap<TargetId, u32>,
    pools: BTreeMap<PoolId, PoolState>,
    domain_ejections: HashMap<DomainId, health::DomainEjections>,
    /// Weights and ceilings, also of targets that are not on the host list yet.
    table_rows: BTreeMap<TargetId, table::Target>,
    prefixes: PrefixIndex,
    calls: HashMap<AttemptId, Call>,
    /// Candidate buffer, reused to save an allocation per selection.
    scratch: Vec<u32>,
}

/// A call in flight.
#[derive(Clone, Debug)]
struct Call {
    target: u32,
    started: Time,
    /// `None` if there was no measurement to base an estimate on.
    estimate: Option<Estimate>,
    /// Tokens received so far.
    tokens: u32,
    first_part_at: Option<Time>,
}

impl Router {
    /// Creates a router for an entry in the failure domain `domain`.
    ///
    /// Pools on the host list that are missing from `pools` get default settings.
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

    /// Limits each pool to a stable subset of `size` targets, selected by a hash of `host`.
    #[must_use]
    pub fn with_subset(mut self, host: impl Into<HostId>, size: usize) -> Self {
        self.identity = host.into();
        self.subset_size = size.max(1);
        self
    }

    /// Sets the load-balancing rule.
    #[must_use]
    pub fn with_rule(mut self, rule: Rule) -> Self {
        self.rule = rule;
        self
    }

    /// Replaces the list of hosts.
    ///
    /// A target that is no longer listed gets no new calls. It is dropped by the first update after
    /// its calls have ended.
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

    /// Replaces the weights and ceilings of targets.
    pub fn set_table(&mut self, _now: Time, table: &Table) {
        self.table_rows.clone_from(&table.targets);
        for target in &mut self.targets {
            target.set_table_row(self.table_rows.get(&target.host.target));
        }
    }

    /// Applies a load report of a target. Reports of unknown targets are ignored.
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

    /// Applies a prefix cache event of a target. Events of unknown targets are ignored.
    pub fn record_cache_change(&mut self, now: Time, target: &TargetId, change: &CacheChange) {
        if let Some(&index) = self.indices.get(target) {
            self.prefixes.apply(now, index, change);
        }
    }

    /// Returns the address of a target, or `None` if it is not on the host list.
    pub fn address(&self, target: &TargetId) -> Option<&CompactString> {
        let target = self.target(target)?;
        target.listed.then_some(&target.host.address)
    }

    /// Returns the failure domain of a target, or `None` if the target is unknown.
    pub fn domain(&self, target: &TargetId) -> Option<&DomainId> {
        Some(&self.target(target)?.host.domain)
    }

    /// Returns all targets that share both pool and failure domain with one of `targets`.
    ///
    /// The result includes the known ones of `targets` themselves.
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

    /// Returns the targets of `pool` that this entry currently routes to.
    pub fn subset(&self, pool: &PoolId) -> impl Iterator<Item = &TargetId> {
        self.pools
            .get(pool)
            .map_or(&[][..], |pool| pool.subset.active())
            .iter()
            .map(|&index| &self.targets[index as usize].host.target)
    }

    /// Returns the number of calls in flight from this entry to `target`.
    pub fn in_flight(&self, target: &TargetId) -> u32 {
        self.target(target).map_or(0, |target| target.in_flight)
    }

    /// Returns the limit of calls in flight from this entry to `target`, at least 1.
    ///
    /// `None` if the target is unknown.
    pub fn limit(&self, target: &TargetId) -> Option<u32> {
        self.target(target).map(|target| target.limit.get())
    }

    /// Returns a quantile, between 0 and 1, of the duration of successful calls in `pool`.
    ///
    /// `None` until enough calls have succeeded.
    pub fn call_time_quantile(&self, pool: &PoolId, quantile: f64) -> Option<Duration> {
        self.pools.get(pool)?.call_time.quantile(quantile)
    }

    /// Records the duration of a stage in `pool`, queueing and retries included.
    pub fn record_stage(&mut self, pool: &PoolId, time: Duration) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.stage_time.add(time);
        }
    }

    /// Returns a quantile, between 0 and 1, of the duration of stages in `pool`, queueing and
    /// retries included.
    ///
    /// `None` until enough stages were recorded with [`record_stage`](Self::record_stage).
    pub fn stage_time_quantile(&self, pool: &PoolId, quantile: f64) -> Option<Duration> {
        self.pools.get(pool)?.stage_time.quantile(quantile)
    }

    /// Returns a quantile, between 0 and 1, of the time from the dispatch of a call in `pool` to
    /// the first part of its result.
    ///
    /// `None` until enough calls have returned a first part.
    pub fn first_part_quantile(&self, pool: &PoolId, quantile: f64) -> Option<Duration> {
        self.pools.get(pool)?.first_part_time.quantile(quantile)
    }

    /// Returns how many concurrent calls the targets of `pool` can take from this entry.
    ///
    /// Calls already in flight from this entry are not subtracted.
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

    /// Records that a call was dispatched to `target`.
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

    /// Records that a part of the result with `tokens` tokens was received.
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

    /// Returns whether a call has received far fewer tokens than engines of the pool usually
    /// generate in the elapsed time.
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

    /// Records the end of a call.
    ///
    /// Failures can eject the target. If a failure shows that the target is lost, the entries of
    /// its prefix cache are dropped from the index, too.
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

    /// Frees the indices of targets that are no longer listed and have no call in flight.
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
