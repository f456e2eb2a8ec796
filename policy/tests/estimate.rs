//! Histogram quantiles, moving averages and adaptive concurrency limits.

use policy::{
    estimate::{Histogram, MovingAverage},
    id::Time,
    limit::ConcurrencyLimit,
};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};
use rstest::rstest;
use std::time::Duration;

#[rstest]
#[case(0.5, 500)]
#[case(0.95, 950)]
#[case(0.99, 990)]
#[case(1.0, 1_000)]
fn quantiles_are_within_ten_percent(#[case] quantile: f64, #[case] expected: u64) {
    let mut histogram = Histogram::new();
    (1..=1_000).for_each(|sample| histogram.add(Duration::from_millis(sample)));
    let found = histogram.quantile(quantile).unwrap().as_secs_f64() * 1_000.0;
    let ratio = found / expected as f64;
    assert!((0.9..1.1).contains(&ratio), "{found} ms");
}

#[rstest]
#[case(15, None)]
#[case(16, Some(true))]
fn quantiles_need_samples(#[case] samples: u64, #[case] expected: Option<bool>) {
    let mut histogram = Histogram::new();
    (0..samples).for_each(|_| histogram.add(Duration::from_millis(10)));
    let near = |found: Duration| found.abs_diff(Duration::from_millis(10)).as_millis() == 0;
    assert_eq!(histogram.quantile(0.5).map(near), expected);
}

#[test]
fn old_samples_decay() {
    let mut histogram = Histogram::new();
    (0..10_000).for_each(|_| histogram.add(Duration::from_secs(9)));
    (0..10_000).for_each(|_| histogram.add(Duration::from_millis(9)));
    assert!(histogram.quantile(0.95).unwrap() < Duration::from_millis(10));
}

#[test]
fn extreme_samples_are_kept_in_range() {
    let mut histogram = Histogram::new();
    (0..16).for_each(|_| histogram.add(Duration::MAX));
    (0..16).for_each(|_| histogram.add(Duration::ZERO));
    assert!(histogram.quantile(0.0).unwrap() < Duration::from_millis(1));
    assert!(histogram.quantile(1.0).unwrap() > Duration::from_secs(60));
}

#[test]
fn moving_average_weighs_samples_by_alpha() {
    let mut average = MovingAverage::new(0.5);
    assert_eq!(average.get(), None);
    average.add(4.0);
    average.add(8.0);
    assert_eq!(average.get(), Some(6.0));
}

#[rstest]
#[case::reported(12, None, 12)]
#[case::unknown(0, None, 8)]
#[case::ceiling(12, Some(5), 5)]
#[case::zero_ceiling(12, Some(0), 1)]
fn limits_start_at_the_reported_concurrency(
    #[case] concurrency: u32,
    #[case] ceiling: Option<u32>,
    #[case] expected: u32,
) {
    let mut limit = ConcurrencyLimit::new();
    limit.set_ceiling(ceiling);
    limit.set_reported_concurrency(concurrency);
    assert_eq!(limit.get(), expected);
}

#[rstest]
#[case::never(0, 16, 16)]
#[case::one_in_ten(10, 2, 5)]
#[case::always(1, 1, 1)]
fn limits_adapt_to_queued_calls(#[case] every: u32, #[case] least: u32, #[case] most: u32) {
    let mut limit = ConcurrencyLimit::new();
    limit.set_reported_concurrency(8);
    for call in 1..=200 {
        if every > 0 && call % every == 0 {
            limit.decrease(Time::from_secs(call.into()));
        } else {
            limit.increase(limit.get());
        }
    }
    assert!((least..=most).contains(&limit.get()), "{}", limit.get());
}

#[test]
fn an_unused_limit_does_not_increase() {
    let mut limit = ConcurrencyLimit::new();
    (0..100).for_each(|_| limit.increase(1));
    assert_eq!(limit.get(), 8);
}

#[test]
fn busy_responses_within_the_interval_count_once() {
    let mut limit = ConcurrencyLimit::new();
    limit.set_reported_concurrency(100);
    (0..10).for_each(|_| limit.back_off(Time::from_secs(1)));
    assert_eq!(limit.get(), 70);
    limit.back_off(Time::from_secs(2));
    assert_eq!(limit.get(), 49);
}

#[test]
fn slow_start_increases_by_one_per_call() {
    let mut limit = ConcurrencyLimit::new();
    limit.set_reported_concurrency(8);
    limit.restart_slowly();
    let mut seen = vec![limit.get()];
    while limit.is_warming_up() {
        limit.increase(limit.get());
        seen.push(limit.get());
    }
    assert_eq!(seen, [1, 2, 3, 4, 5, 6, 7, 8]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    #[test]
    fn limits_stay_in_range(
        steps in vec((0..5_u8, 0..100_u32), 0..200),
        ceiling in 0..20_u32,
    ) {
        let mut limit = ConcurrencyLimit::new();
        limit.set_ceiling(Some(ceiling));
        for (at, (kind, number)) in steps.into_iter().enumerate() {
            match kind {
                0 => limit.increase(number),
                1 => limit.back_off(Time::from_millis(at as u64 * 60)),
                2 => limit.decrease(Time::from_millis(at as u64 * 60)),
                3 => limit.set_reported_concurrency(number),
                _ => limit.restart_slowly(),
            }
            prop_assert!((1..=ceiling.max(1)).contains(&limit.get()));
        }
    }
}
