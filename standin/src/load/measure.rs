//! What one run of a schedule measures.

use super::caller::{Answer, Ending};
use crate::{fleet::Fleet, run::Run};
use compact_str::CompactString;
use policy::id::RequestId;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::Duration,
};

/// What one run of a schedule measures.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Measure {
    /// Requests that were offered after the warm-up.
    pub offered: u64,
    /// Share of those that were answered in full within their deadline.
    pub attainment: f64,
    /// Share that one queue before all healthy engines, with known sizes, could answer so.
    pub carriable: f64,
    /// The same where the queue knows only the mean size.
    pub carriable_blind: f64,
    /// Requests by how they ended.
    pub endings: BTreeMap<CompactString, u64>,
    /// Requests that were not attained, by ending and reason.
    pub reasons: BTreeMap<String, u64>,
    /// Attainment by workspace.
    pub workspaces: BTreeMap<CompactString, Group>,
    /// Attainment by pipeline.
    pub pipelines: BTreeMap<CompactString, Group>,
    /// Lowest attainment of a workspace over the highest.
    pub fairness: f64,
    /// Milliseconds from the first send to the answer, of attained requests.
    pub latency_ms: Quantiles,
    /// Milliseconds from the first send to the first part, of streamed requests.
    pub first_token_ms: Quantiles,
    /// Milliseconds between parts.
    pub gap_ms: Quantiles,
    /// Milliseconds from a send to a refusal that asks to send again later.
    pub refusal_ms: Quantiles,
    /// Cost by stage.
    pub stages: BTreeMap<CompactString, Cost>,
    /// Engine-seconds over those that attained requests needed once.
    pub engine_cost: f64,
    /// Calls beyond the first of a request at a stage, over all calls: retries and hedges.
    pub extra_calls: f64,
    /// Sends by callers for each request.
    pub sends: f64,
    /// Requests that took effect more than once at a service whose calls may not be repeated.
    pub duplicates: u64,
    /// Requests that were refused as not run though a call of theirs has run.
    pub false_refusals: u64,
}

/// Requests of one workspace or pipeline.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Group {
    /// Requests that were offered.
    pub offered: u64,
    /// Share that was answered in full within the deadline.
    pub attainment: f64,
}

/// Cost of one stage.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Cost {
    /// Calls that ran.
    pub calls: u64,
    /// Calls beyond the first of their request.
    pub extra: u64,
    /// Target-seconds of one complete call of each attained request.
    pub useful_seconds: f64,
    /// All other target-seconds.
    pub wasted_seconds: f64,
    /// Tokens of one complete call of each attained request.
    pub useful_tokens: u64,
    /// All other tokens.
    pub wasted_tokens: u64,
}

/// Quantiles of a sample.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

impl Measure {
    /// Measures from what callers saw and what the targets ran.
    pub fn new(answers: &[Answer], runs: &BTreeMap<CompactString, Vec<Run>>) -> Self {
        let attained: HashSet<_> = answers
            .iter()
            .filter(|answer| answer.ending == Ending::Attained)
            .map(|answer| answer.request.clone())
            .collect();
        let workspaces = groups(answers, |answer| &answer.workspace);
        let times = |time: fn(&Answer) -> Vec<Duration>| {
            Quantiles::new(answers.iter().flat_map(time).collect())
        };
        let mut measure = Self {
            offered: answers.len() as u64,
            attainment: ratio(attained.len() as f64, answers.len() as f64),
            fairness: fairness(&workspaces),
            workspaces,
            pipelines: groups(answers, |answer| &answer.pipeline),
            latency_ms: times(|answer| attained_time(answer).into_iter().collect()),
            first_token_ms: times(|answer| answer.first.into_iter().collect()),
            gap_ms: times(|answer| answer.gaps.clone()),
            refusal_ms: times(|answer| answer.refusals.clone()),
            sends: ratio(
                answers.iter().map(|answer| f64::from(answer.sends)).sum(),
                answers.len() as f64,
            ),
            false_refusals: false_refusals(answers, runs),
            ..Self::default()
        };
        measure.count(answers);
        measure.add_costs(answers, runs, &attained);
        measure
    }

    fn count(&mut self, answers: &[Answer]) {
        for answer in answers {
            let name: &str = answer.ending.into();
            *self.endings.entry(name.into()).or_default() += 1;
            if answer.ending != Ending::Attained {
                let reason = format!("{}: {}", answer.ending, answer.reason);
                *self.reasons.entry(reason).or_default() += 1;
            }
        }
    }

    fn add_costs(
        &mut self,
        answers: &[Answer],
        runs: &BTreeMap<CompactString, Vec<Run>>,
        attained: &HashSet<RequestId>,
    ) {
        let measured: HashSet<_> = answers.iter().map(|answer| &answer.request).collect();
        let mut calls = 0;
        let mut extra = 0;
        for (pool, runs) in runs {
            let runs = runs.iter().filter(|run| measured.contains(&run.request));
            let cost = Cost::new(runs, attained);
            calls += cost.calls;
            extra += cost.extra;
            self.stages.insert(pool.clone(), cost);
        }
        self.extra_calls = ratio(extra as f64, calls as f64);
        let engines = self.stages.values().filter(|cost| cost.tokens() > 0);
        let (useful, wasted) = engines.fold((0.0, 0.0), |(useful, wasted), cost| {
            (useful + cost.useful_seconds, wasted + cost.wasted_seconds)
        });
        self.engine_cost = ratio(useful + wasted, useful);
    }
}

impl Cost {
    fn new<'a>(runs: impl Iterator<Item = &'a Run>, attained: &HashSet<RequestId>) -> Self {
        let mut cost = Self::default();
        let mut seen = HashSet::new();
        let mut paid = HashSet::new();
        for run in runs {
            cost.calls += 1;
            if !seen.insert(&run.request) {
                cost.extra += 1;
            }
            let useful =
                run.completed && attained.contains(&run.request) && paid.insert(&run.request);
            if useful {
                cost.useful_seconds += run.seconds;
                cost.useful_tokens += u64::from(run.tokens);
            } else {
                cost.wasted_seconds += run.seconds;
                cost.wasted_tokens += u64::from(run.tokens);
            }
        }
        cost
    }

    fn tokens(&self) -> u64 {
        self.useful_tokens + self.wasted_tokens
    }
}

impl Quantiles {
    fn new(mut sample: Vec<Duration>) -> Self {
        sample.sort_unstable();
        let at = |quantile: f64| {
            let index = (sample.len() as f64 * quantile) as usize;
            let value = sample.get(index.min(sample.len().saturating_sub(1)));
            value.map_or(0.0, |value| value.as_secs_f64() * 1e3)
        };
        Self {
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
        }
    }
}

/// Takes out what each call has cost the targets, by pool.
pub(super) fn take_runs(fleet: &Fleet) -> BTreeMap<CompactString, Vec<Run>> {
    let mut runs: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for node in fleet.engines() {
        let taken = node
            .history()
            .into_iter()
            .flat_map(|server| server.take_runs());
        runs.entry(node.host().pool.clone())
            .or_default()
            .extend(taken);
    }
    for node in fleet.services() {
        let taken = node
            .history()
            .into_iter()
            .flat_map(|server| server.take_runs());
        runs.entry(node.host().pool.clone())
            .or_default()
            .extend(taken);
    }
    runs
}

/// Returns how many requests took effect more than once where they may not.
pub(super) fn duplicates(fleet: &Fleet) -> u64 {
    let pools = fleet.pools();
    let once = pools.iter().filter(|pool| !pool.idempotent);
    let mut doubled = 0;
    for pool in once {
        let mut effects: HashMap<_, u32> = HashMap::new();
        for server in fleet.pool(&pool.name).flat_map(crate::fleet::Node::history) {
            for effect in server.effects().into_values() {
                let request = (effect.workspace, effect.request);
                *effects.entry(request).or_default() += effect.count;
            }
        }
        doubled += effects.values().filter(|count| **count > 1).count() as u64;
    }
    doubled
}

fn attained_time(answer: &Answer) -> Option<Duration> {
    (answer.ending == Ending::Attained).then_some(answer.elapsed)
}

fn false_refusals(answers: &[Answer], runs: &BTreeMap<CompactString, Vec<Run>>) -> u64 {
    let ran: HashSet<_> = runs.values().flatten().map(|run| &run.request).collect();
    let refused = answers
        .iter()
        .filter(|answer| answer.ending == Ending::NotRun);
    refused
        .filter(|answer| ran.contains(&answer.request))
        .count() as u64
}

fn groups<'a>(
    answers: &'a [Answer],
    name: impl Fn(&'a Answer) -> &'a CompactString,
) -> BTreeMap<CompactString, Group> {
    let mut groups: BTreeMap<_, Group> = BTreeMap::new();
    for answer in answers {
        let group = groups.entry(name(answer).clone()).or_default();
        group.offered += 1;
        group.attainment += f64::from(u8::from(answer.ending == Ending::Attained));
    }
    for group in groups.values_mut() {
        group.attainment = ratio(group.attainment, group.offered as f64);
    }
    groups
}

fn fairness(groups: &BTreeMap<CompactString, Group>) -> f64 {
    let shares = groups.values().map(|group| group.attainment);
    let (low, high) = shares.fold((f64::INFINITY, 0.0_f64), |(low, high), share| {
        (low.min(share), high.max(share))
    });
    ratio(low, high)
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}
