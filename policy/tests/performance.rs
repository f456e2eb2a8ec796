//! Selection of targets that differ in speed, on a model of them, and the same choices as before without
//! that knowledge.

mod fleet;

use fleet::{A, B, Knowledge, Load, Report, TARGETS, simulate, target};
use policy::{
    hash,
    id::Time,
    relay::{
        performance::PaceSample,
        registry::Target,
        selection::{Criteria, Part, TargetSelector},
    },
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::{cmp::Reverse, time::Duration};

fn compare(load: &Load, seed: u64) -> [Report; 2] {
    let [before, own, shared] = [Knowledge::None, Knowledge::Own, Knowledge::Shared]
        .map(|knowledge| simulate(load, knowledge, seed));
    before.print("before");
    own.print("own   ");
    shared.print("shared");
    [before, shared]
}

/// Learned speeds must make first events and answers come sooner. Daemons that all send to the target
/// that they hold to be the fastest make them later.
#[rstest]
fn answers_come_sooner(#[values(&A, &B)] load: &Load, #[values(1, 2, 3)] seed: u64) {
    let [before, shared] = compare(load, seed);
    assert!(shared.mean() < before.mean());
    assert!(shared.p99() < before.p99());
    assert!(shared.rest < before.rest);
}

/// Targets that are avoided must not cost the parts that are cached.
#[rstest]
fn shared_parts_are_read_no_more_often(
    #[values(&A, &B)] load: &Load,
    #[values(1, 2, 3)] seed: u64,
) {
    let [before, shared] = compare(load, seed);
    assert!(shared.shared_read <= before.shared_read);
}

/// The cost of a target by the constants alone, as it was before speeds were learned: shared tokens that
/// were not sent there in the last 30 s, and reported load.
fn constant_cost(
    now: Time,
    sent: Option<Time>,
    rank: Option<usize>,
    load: Option<(Time, u32, u32)>,
    slots: u32,
) -> f64 {
    let is_cached = sent.is_some_and(|sent| now < sent + Duration::from_secs(30));
    let share = rank.map_or(1.0, |rank| [0.2, 0.5, 0.8][rank]);
    let tokens = if is_cached { 0.0 } else { 3_780.0 * share };
    let (at, running, waiting) = load.unwrap_or_default();
    let age = load.map_or(f64::INFINITY, |_| now.saturating_sub(at).as_secs_f64());
    let weight = 0.5_f64.powf(age / 0.5);
    let running = f64::from(running) * weight;
    let over = (running + 1.0 - f64::from(slots)).max(0.0);
    tokens / 40_000.0 + running * 0.004 + (f64::from(waiting) * weight + over) * 0.03
}

/// Without samples and figures, and with those that no target can have or that are minutes old, targets
/// must be chosen as by the constants alone: most deployments state neither.
#[rstest]
#[case::none(None, Duration::ZERO)]
#[case::zero(Some((0.0, Duration::ZERO)), Duration::from_secs(1))]
#[case::huge(Some((1e7, Duration::from_nanos(1))), Duration::from_secs(1))]
#[case::not_a_number(Some((f64::NAN, Duration::from_secs(3_600))), Duration::from_secs(1))]
#[case::usual(Some((1.0, Duration::ZERO)), Duration::from_secs(1))]
#[case::stale(Some((2.5, Duration::from_millis(20))), Duration::from_secs(900))]
fn choice_without_knowledge_is_that_of_the_constants(
    #[case] observed: Option<(f64, Duration)>,
    #[case] age: Duration,
    #[values(1, 2, 3)] seed: u64,
) {
    let rng = &mut ChaCha8Rng::seed_from_u64(seed);
    let targets: Vec<Target> = (0..TARGETS).map(|number| target(number, 20)).collect();
    for _ in 0..300 {
        let mut selector = TargetSelector::default();
        let observed_at = Duration::from_secs(1);
        for target in targets.iter().filter(|_| rng.random_bool(0.5)) {
            if let Some((factor, interval)) = observed {
                let sample = PaceSample {
                    target: target.id.clone(),
                    interval,
                    events: 1_000,
                };
                let performance = selector.performance_mut();
                performance.record_factor(observed_at, &target.pool, &target.id, factor);
                performance.record_own_pace(observed_at, &target.pool, sample);
            }
        }
        let now = observed_at + age + Duration::from_secs(100);
        let part: Part = Part {
            id: format!("part-{}", rng.random_range(0..1_000)).into(),
            tokens: 3_780,
        };
        let parts = [
            part.clone(),
            Part {
                id: "own".into(),
                tokens: 2_890,
            },
        ];
        let mut owners: Vec<&Target> = targets.iter().collect();
        owners.sort_by_key(|target| Reverse((hash::texts(&[&part.id, &target.id]), &target.id)));
        let mut costs = Vec::new();
        for target in &targets {
            let sent = rng
                .random_bool(0.05)
                .then(|| now.saturating_sub(Duration::from_millis(rng.random_range(1..60_000))));
            if let Some(sent) = sent {
                selector.start_call(sent, target, &parts[..1]);
                selector.end_call(&target.id);
            }
            let load = rng.random_bool(0.8).then(|| {
                let at = now.saturating_sub(Duration::from_millis(rng.random_range(0..3_000)));
                (at, rng.random_range(0..25), rng.random_range(0..5))
            });
            if let Some((at, running, waiting)) = load {
                selector.record_load(at, &target.id, running, waiting);
            }
            let rank = owners
                .iter()
                .take(3)
                .position(|owner| owner.id == target.id);
            costs.push((constant_cost(now, sent, rank, load, target.slots), target));
        }
        let criteria = Criteria {
            parts: &parts,
            max_in_flight: 100,
            events: 100,
            time_left: Some(Duration::from_secs(6)),
            draw: rng.random(),
            ..Criteria::default()
        };
        let chosen = selector
            .choose(now, targets.iter(), &criteria)
            .expect("targets are open");
        let expected = costs
            .iter()
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .expect("there are targets");
        assert_eq!(chosen.target.id, expected.1.id);
        assert!((chosen.cost - expected.0).abs() < 1e-9);
    }
}
