//! Tests of the selection of targets.

use policy::{
    fault::Fault,
    host::{CacheChange, Host, Report, State},
    id::{AttemptId, PoolId, TargetId, Time, WorkspaceId},
    pool::Pool,
    router::{CallResult, PickError, Requirements, Router, Rule},
    table::{self, Table},
};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::{collections::BTreeSet, time::Duration};

const POOL: &str = "slots";

/// Router with a simulated clock and a seeded random number generator.
struct Fixture {
    router: Router,
    rng: ChaCha8Rng,
    now: Time,
    sequence: u64,
    pool: PoolId,
    workspace: WorkspaceId,
}

impl Fixture {
    fn new(router: Router, hosts: &[Host]) -> Self {
        let mut fixture = Self {
            router,
            rng: ChaCha8Rng::seed_from_u64(6),
            now: Time::ZERO,
            sequence: 0,
            pool: POOL.into(),
            workspace: "tailors".into(),
        };
        fixture.router.set_hosts(Time::ZERO, hosts);
        fixture
    }

    fn services(hosts: &[Host]) -> Self {
        Self::new(Router::new("a".into(), &[Pool::new(POOL)]), hosts)
    }

    fn engines(hosts: &[Host]) -> Self {
        let pool = Pool::new(POOL).with_engine("m", 100);
        Self::new(Router::new("a".into(), &[pool]), hosts)
    }

    fn sleep(&mut self, milliseconds: u64) {
        self.now += Duration::from_millis(milliseconds);
    }

    fn report(&mut self, target: &str, report: &Report) {
        self.router.record_report(self.now, &target.into(), report);
    }

    fn choose_with(
        &mut self,
        prefix: &[u64],
        excluded: &[TargetId],
        exclusive: bool,
    ) -> ChooseResult {
        let requirements = Requirements {
            pool: &self.pool,
            workspace: &self.workspace,
            prefix,
            tokens: 20,
            excluded,
            exclusive,
        };
        let pick = self.router.choose(self.now, &requirements, &mut self.rng)?;
        self.sequence += 1;
        let attempt = AttemptId {
            incarnation: 1,
            sequence: self.sequence,
        };
        self.router
            .record_start(self.now, attempt, &pick.target, &requirements);
        Ok((attempt, pick.target))
    }

    fn choose(&mut self) -> ChooseResult {
        self.choose_with(&[], &[], false)
    }

    fn end(&mut self, attempt: AttemptId, result: CallResult) {
        self.router.record_end(self.now, attempt, result);
    }

    /// Makes sequential calls that take `took` milliseconds, and counts those sent to `target`.
    fn count(&mut self, target: &str, calls: usize, took: impl Fn(&str) -> u64) -> usize {
        let mut chosen = 0;
        for _ in 0..calls {
            let (attempt, at) = self.choose().unwrap();
            chosen += usize::from(at == target);
            self.sleep(took(&at));
            self.end(attempt, CallResult::Succeeded);
        }
        chosen
    }
}

type ChooseResult = Result<(AttemptId, TargetId), PickError>;

fn host(name: &str, domain: &str) -> Host {
    Host {
        host: name.into(),
        target: name.into(),
        pool: POOL.into(),
        address: "127.0.0.1:1".into(),
        domain: domain.into(),
        region: "amman".into(),
        state: State::Live,
    }
}

fn hosts(names: &[&str]) -> Vec<Host> {
    names.iter().map(|name| host(name, &name[..1])).collect()
}

fn engine(running: u32, tokens_per_second: f64) -> Report {
    Report {
        running,
        waiting: 0,
        max_concurrency: 8,
        tokens_per_second,
        prefill_per_second: 1_000.0,
        age: Duration::ZERO,
        models: vec!["m".into()],
        ..Report::default()
    }
}

fn failed(fault: Fault) -> CallResult {
    CallResult::Failed(fault)
}

#[rstest]
#[case::idle_before_busy(engine(7, 50.0), engine(1, 50.0), "a2")]
#[case::waiting_counts(Report { waiting: 9, ..engine(8, 50.0) }, engine(7, 50.0), "a2")]
#[case::fast_before_slow(engine(1, 5.0), engine(4, 50.0), "a2")]
#[case::cold_model(Report { models: vec![], ..engine(0, 50.0) }, engine(5, 50.0), "a2")]
fn reported_load_determines_the_choice(
    #[case] one: Report,
    #[case] two: Report,
    #[case] expected: &str,
) {
    let mut fixture = Fixture::engines(&hosts(&["a1", "a2"]));
    fixture.report("a1", &one);
    fixture.report("a2", &two);
    assert_eq!(fixture.choose().unwrap().1, expected);
}

#[rstest]
#[case::own_domain(&["a1", "b1"], "a1")]
#[case::other_domain(&["b1", "c1"], "b1")]
fn own_domain_is_preferred(#[case] names: &[&str], #[case] first: &str) {
    let mut fixture = Fixture::services(&hosts(names));
    let chosen = fixture.count(first, 20, |_| 10);
    let expects_all = first.starts_with('a');
    assert_eq!(chosen == 20, expects_all, "{chosen} of 20 calls at {first}");
}

#[rstest]
#[case::fresh(0, 0)]
#[case::old(5_000, 4)]
fn old_reports_are_discounted(#[case] age: u64, #[case] expected: usize) {
    let mut fixture = Fixture::engines(&hosts(&["a1", "a2"]));
    let age = Duration::from_millis(age);
    fixture.sleep(10_000);
    fixture.report(
        "a1",
        &Report {
            age,
            ..engine(12, 50.0)
        },
    );
    fixture.report(
        "a2",
        &Report {
            age,
            ..engine(0, 50.0)
        },
    );
    let chosen = (0..8)
        .filter(|_| fixture.choose().unwrap().1 == "a1")
        .count();
    assert_eq!(chosen, expected);
}

#[test]
fn prompt_is_routed_to_the_target_that_caches_its_prefix() {
    let mut fixture = Fixture::engines(&hosts(&["a1", "a2", "a3", "a4", "a5", "a6"]));
    for name in ["a1", "a2", "a3", "a4", "a5", "a6"] {
        fixture.report(name, &engine(2, 50.0));
    }
    let prefix: Vec<u64> = (1..60).collect();
    let (_, first) = fixture.choose_with(&prefix, &[], false).unwrap();
    for _ in 0..3 {
        assert_eq!(fixture.choose_with(&prefix, &[], false).unwrap().1, first);
    }
}

#[rstest]
#[case::stored(&[(true, 1)], true)]
#[case::removed(&[(true, 1), (false, 2)], false)]
#[case::one_gap(&[(true, 1), (true, 3)], true)]
fn cache_events_update_the_prefix_index(#[case] events: &[(bool, u64)], #[case] kept: bool) {
    let mut fixture = Fixture::engines(&hosts(&["a1", "a2"]));
    fixture.report("a1", &engine(4, 50.0));
    fixture.report("a2", &engine(3, 50.0));
    let blocks: Vec<u64> = (1..60).collect();
    for &(stored, sequence) in events {
        let blocks = blocks.clone();
        let change = if stored {
            CacheChange::Stored { sequence, blocks }
        } else {
            CacheChange::Removed { sequence, blocks }
        };
        fixture
            .router
            .record_cache_change(fixture.now, &"a1".into(), &change);
    }
    let (_, chosen) = fixture.choose_with(&blocks, &[], false).unwrap();
    assert_eq!(chosen == "a1", kept);
}

#[rstest]
#[case::late(0, true)]
#[case::in_time(3_000, false)]
fn delayed_removal_event_does_not_remove_newer_blocks(#[case] after: u64, #[case] kept: bool) {
    let mut fixture = Fixture::engines(&hosts(&["a1", "a2"]));
    fixture.report("a1", &engine(4, 50.0));
    fixture.report("a2", &engine(3, 50.0));
    let blocks: Vec<u64> = (1..60).collect();
    let excluded = [TargetId::from("a2")];
    let (attempt, _) = fixture.choose_with(&blocks, &excluded, false).unwrap();
    fixture.end(attempt, CallResult::Cancelled);
    fixture.sleep(after);
    let removed = CacheChange::Removed {
        sequence: 1,
        blocks: blocks.clone(),
    };
    fixture
        .router
        .record_cache_change(fixture.now, &"a1".into(), &removed);
    let (_, chosen) = fixture.choose_with(&blocks, &[], false).unwrap();
    assert_eq!(chosen == "a1", kept);
}

#[rstest]
#[case::refused(Fault::Unsent, 1)]
#[case::broken(Fault::Broken, 2)]
#[case::silent(Fault::Silent, 3)]
#[case::error(Fault::Error, 3)]
fn failing_targets_are_ejected(#[case] fault: Fault, #[case] calls: usize) {
    let mut fixture = Fixture::services(&hosts(&["a1"]));
    for _ in 0..calls {
        let (attempt, _) = fixture.choose().unwrap();
        fixture.end(attempt, failed(fault));
    }
    assert_eq!(fixture.choose().unwrap_err(), PickError::AtCapacity);
    fixture.sleep(250);
    let (probe, _) = fixture.choose().unwrap();
    assert_eq!(
        fixture.choose().unwrap_err(),
        PickError::AtCapacity,
        "more than one probe at a time"
    );
    fixture.end(probe, failed(fault));
    fixture.sleep(250);
    assert_eq!(
        fixture.choose().unwrap_err(),
        PickError::AtCapacity,
        "second ejection is not longer than the first"
    );
    fixture.sleep(250);
    let (probe, _) = fixture.choose().unwrap();
    fixture.end(probe, CallResult::Succeeded);
    assert_eq!(
        fixture.router.limit(&"a1".into()),
        Some(1),
        "limit does not restart from 1 after recovery"
    );
    fixture.count("a1", 20, |_| 10);
    assert!(fixture.router.limit(&"a1".into()) > Some(1));
}

#[rstest]
#[case::rejected(Fault::Rejected)]
#[case::busy(Fault::Busy { retry_after: None })]
fn busy_and_rejected_answers_do_not_eject(#[case] fault: Fault) {
    let mut fixture = Fixture::services(&hosts(&["a1"]));
    for _ in 0..20 {
        let (attempt, _) = fixture.choose().unwrap();
        fixture.end(attempt, failed(fault));
    }
}

#[test]
fn unreachable_target_stays_ejected_until_it_reports() {
    let mut fixture = Fixture::engines(&hosts(&["a1", "a2"]));
    fixture.report("a1", &engine(0, 50.0));
    fixture.report("a2", &engine(0, 50.0));
    fixture.router.record_end(
        fixture.now,
        AttemptId {
            incarnation: 0,
            sequence: 0,
        },
        CallResult::Succeeded,
    );
    let excluded = [TargetId::from("a2")];
    let (attempt, _) = fixture.choose_with(&[], &excluded, false).unwrap();
    fixture.end(attempt, failed(Fault::Unsent));
    for _ in 0..30 {
        fixture.sleep(100);
        let (attempt, target) = fixture.choose().unwrap();
        assert_eq!(target, "a2");
        fixture.end(attempt, CallResult::Succeeded);
    }
    fixture.report("a1", &engine(0, 50.0));
    assert_eq!(fixture.choose_with(&[], &excluded, false).unwrap().1, "a1");
    assert_eq!(
        fixture.choose_with(&[], &excluded, false).unwrap_err(),
        PickError::AtCapacity
    );
}

#[test]
fn recovered_target_regains_its_share() {
    let mut fixture = Fixture::services(&hosts(&["a1", "a2"]));
    let excluded = [TargetId::from("a2")];
    for _ in 0..4 {
        let (attempt, _) = fixture.choose_with(&[], &excluded, false).unwrap();
        fixture.end(attempt, failed(Fault::Broken));
        fixture.sleep(2_000);
    }
    fixture.report("a1", &Report::default());
    fixture.sleep(60_000);
    for _ in 0..10 {
        let calls = [fixture.choose().unwrap(), fixture.choose().unwrap()];
        fixture.sleep(50);
        assert_ne!(calls[0].1, calls[1].1);
        for (attempt, _) in calls {
            fixture.end(attempt, CallResult::Succeeded);
        }
    }
}

#[test]
fn remaining_targets_of_a_failed_domain_are_avoided() {
    let names = ["b1", "b2", "b3", "b4", "c1", "c2", "c3", "c4"];
    let mut fixture = Fixture::services(&hosts(&names));
    for lost in ["b1", "b2"] {
        let others = names
            .iter()
            .filter(|name| **name != lost)
            .copied()
            .map(Into::into);
        let others: Vec<TargetId> = others.collect();
        let (attempt, _) = fixture.choose_with(&[], &others, false).unwrap();
        fixture.end(attempt, failed(Fault::Unsent));
    }
    let mut domains = BTreeSet::new();
    for _ in 0..8 {
        domains.insert(fixture.choose().unwrap().1[..1].to_string());
    }
    assert_eq!(domains, BTreeSet::from(["c".to_string()]));
}

#[test]
fn slow_target_is_avoided_and_retried_later() {
    let mut fixture = Fixture::services(&hosts(&["a1", "a2", "a3"]));
    let took = |target: &str| if target == "a1" { 500 } else { 50 };
    fixture.count("a1", 30, took);
    assert!(fixture.count("a1", 100, took) <= 5);
    fixture.sleep(120_000);
    assert!(fixture.count("a1", 100, |_| 50) >= 10);
}

#[test]
fn first_call_does_not_penalize_its_target() {
    let mut fixture = Fixture::engines(&hosts(&["a1", "a2"]));
    fixture.report("a1", &engine(0, 50.0));
    fixture.report("a2", &engine(0, 50.0));
    let (attempt, first) = fixture.choose().unwrap();
    fixture.sleep(100);
    fixture.end(attempt, CallResult::Succeeded);
    let call = fixture.choose().unwrap();
    fixture.end(call.0, CallResult::Cancelled);
    let chosen = (0..8)
        .filter(|_| fixture.choose().unwrap().1 == first)
        .count();
    assert_eq!(chosen, 4);
}

#[test]
fn exclusive_call_has_its_target_to_itself() {
    let mut fixture = Fixture::services(&hosts(&["a1", "a2"]));
    let (first, used) = fixture.choose().unwrap();
    let (suspect, own) = fixture.choose_with(&[], &[], true).unwrap();
    assert_ne!(own, used);
    assert_eq!(
        fixture.choose_with(&[], &[], true).unwrap_err(),
        PickError::AtCapacity
    );
    for _ in 0..7 {
        assert_eq!(fixture.choose().unwrap().1, used);
    }
    fixture.end(first, CallResult::Succeeded);
    fixture.end(suspect, CallResult::Succeeded);
    assert_eq!(fixture.choose().unwrap().1, own);
}

#[rstest]
#[case::zero_weight(0.0, None, 0)]
#[case::default_weight(1.0, None, 8)]
#[case::ceiling(1.0, Some(3), 3)]
fn table_weight_and_ceiling_are_enforced(
    #[case] weight: f64,
    #[case] ceiling: Option<u32>,
    #[case] expected: usize,
) {
    let mut fixture = Fixture::services(&hosts(&["a1"]));
    let mut table = Table::default();
    let row = table::Target { weight, ceiling };
    table.targets.insert("a1".into(), row);
    fixture.router.set_table(fixture.now, &table);
    fixture.router.set_hosts(fixture.now, &hosts(&["a1"]));
    let chosen = std::iter::repeat_with(|| fixture.choose()).take_while(Result::is_ok);
    assert_eq!(chosen.count(), expected);
}

#[rstest]
#[case::round_robin(Rule::RoundRobin)]
#[case::least_in_flight(Rule::LeastInFlight)]
fn baseline_rules_distribute_calls_evenly(#[case] rule: Rule) {
    let names = ["a1", "a2", "a3"];
    let router = Router::new("a".into(), &[Pool::new(POOL)]).with_rule(rule);
    let mut fixture = Fixture::new(router, &hosts(&names));
    for round in 1..=3 {
        for _ in names {
            fixture.choose().unwrap();
        }
        for name in names {
            assert_eq!(fixture.router.in_flight(&name.into()), round);
        }
    }
}

fn subset_of(entry: &str, hosts: &[Host]) -> BTreeSet<TargetId> {
    let router = Router::new("a".into(), &[Pool::new(POOL)]).with_subset(entry, 12);
    let fixture = Fixture::new(router, hosts);
    fixture.router.subset(&fixture.pool).cloned().collect()
}

fn fleet(targets: usize) -> Vec<Host> {
    let named = |at: usize| host(&format!("t{at}"), &format!("d{}", at % 6));
    (0..targets).map(named).collect()
}

#[test]
fn subsets_are_stable_and_spread_over_domains() {
    let before = fleet(120);
    let after: Vec<_> = before.iter().skip(3).cloned().collect();
    let mut used = BTreeSet::new();
    for entry in 0..66 {
        let entry = format!("e{entry}");
        let (old, new) = (subset_of(&entry, &before), subset_of(&entry, &after));
        let gone = old
            .iter()
            .filter(|name| ["t0", "t1", "t2"].contains(&name.as_str()));
        assert_eq!(new.difference(&old).count(), gone.count());
        for domain in 0..6 {
            let of = |name: &&TargetId| name[1..].parse::<usize>().unwrap() % 6 == domain;
            assert_eq!(old.iter().filter(of).count(), 2);
        }
        used.extend(old);
    }
    assert!(used.len() > 110, "{} of 120 targets are used", used.len());
}

#[test]
fn saturated_subset_grows_and_shrinks_back() {
    let router = Router::new("a".into(), &[Pool::new(POOL)]).with_subset("e", 2);
    let mut fixture = Fixture::new(router, &fleet(12));
    let calls: Vec<_> = (0..24).map(|_| fixture.choose().unwrap().0).collect();
    assert_eq!(fixture.router.subset(&fixture.pool).count(), 4);
    for call in calls {
        fixture.end(call, CallResult::Succeeded);
    }
    fixture.sleep(30_000);
    fixture.choose().unwrap();
    assert_eq!(fixture.router.subset(&fixture.pool).count(), 2);
}

#[test]
fn removed_target_is_dropped_after_its_calls_end() {
    let mut fixture = Fixture::services(&hosts(&["a1", "a2"]));
    let calls = [fixture.choose().unwrap(), fixture.choose().unwrap()];
    fixture.router.set_hosts(fixture.now, &hosts(&["a2"]));
    assert_eq!(fixture.router.address(&"a1".into()), None);
    assert_eq!(fixture.choose().unwrap().1, "a2");
    for (attempt, _) in calls {
        fixture.end(attempt, CallResult::Succeeded);
    }
    fixture.router.set_hosts(fixture.now, &hosts(&["a2", "a3"]));
    assert_eq!(fixture.router.in_flight(&"a1".into()), 0);
    assert_eq!(fixture.router.in_flight(&"a3".into()), 0);
}

#[derive(Clone, Debug)]
enum Operation {
    Choose,
    End(usize, u8),
    DrainHost(usize),
    SetWeight(usize, bool),
    ReportLoad(usize, u32),
    Sleep(u64),
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        8 => Just(Operation::Choose),
        6 => (any::<usize>(), 0..9_u8).prop_map(|(call, how)| Operation::End(call, how)),
        1 => (0..6_usize).prop_map(Operation::DrainHost),
        1 => (0..6_usize, any::<bool>()).prop_map(|(target, used)| Operation::SetWeight(target, used)),
        2 => (0..6_usize, 0..20_u32).prop_map(|(target, load)| Operation::ReportLoad(target, load)),
        2 => (1..400_u64).prop_map(Operation::Sleep),
    ]
}

const CALL_RESULTS: [CallResult; 9] = [
    CallResult::Succeeded,
    CallResult::Succeeded,
    CallResult::Succeeded,
    CallResult::Cancelled,
    CallResult::Failed(Fault::Unsent),
    CallResult::Failed(Fault::Broken),
    CallResult::Failed(Fault::Silent),
    CallResult::Failed(Fault::Error),
    CallResult::Failed(Fault::Busy { retry_after: None }),
];

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    #[test]
    fn limits_and_states_are_respected(operations in vec(operation(), 0..200)) {
        const CEILING: u32 = 5;
        let mut listed = fleet(6);
        let mut table = Table::default();
        for host in &listed {
            let row = table::Target { weight: 1.0, ceiling: Some(CEILING) };
            table.targets.insert(host.target.clone(), row);
        }
        let mut fixture = Fixture::services(&listed);
        fixture.router.set_table(Time::ZERO, &table);
        let mut calls = Vec::new();
        for operation in operations {
            match operation {
                Operation::Choose => {
                    if let Ok((attempt, target)) = fixture.choose() {
                        let host = listed.iter().find(|host| host.target == target).unwrap();
                        prop_assert_eq!(host.state, State::Live);
                        prop_assert!(table.targets[&target].weight > 0.0);
                        prop_assert!(fixture.router.in_flight(&target) <= CEILING);
                        calls.push(attempt);
                    }
                }
                Operation::End(call, how) => {
                    if !calls.is_empty() {
                        let attempt = calls.swap_remove(call % calls.len());
                        fixture.end(attempt, CALL_RESULTS[usize::from(how)]);
                    }
                }
                Operation::DrainHost(target) => {
                    listed[target].state = State::Leaving;
                    fixture.router.set_hosts(fixture.now, &listed);
                }
                Operation::SetWeight(target, used) => {
                    let name = &listed[target].target;
                    table.targets.get_mut(name).unwrap().weight = f64::from(u8::from(used));
                    fixture.router.set_table(fixture.now, &table);
                }
                Operation::ReportLoad(target, running) => {
                    let name = listed[target].target.clone();
                    let report = Report { running, max_concurrency: 4, ..Report::default() };
                    fixture.report(&name, &report);
                }
                Operation::Sleep(milliseconds) => fixture.sleep(milliseconds),
            }
            let in_flight: u32 = listed.iter().map(|host| fixture.router.in_flight(&host.target)).sum();
            prop_assert_eq!(in_flight as usize, calls.len());
            for host in &listed {
                prop_assert!(fixture.router.limit(&host.target) >= Some(1));
            }
        }
    }
}
