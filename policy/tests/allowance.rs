//! Bandwidth allowance for load reports.

use policy::allowance::Allowance;
use rstest::rstest;
use std::time::Duration;

const TOTAL_RATE: f64 = 11e3;
const MIN_RATE: f64 = 2e3;
const MAX_RATE: f64 = 8e3;

/// Reads reports of 417 bytes as often as permitted, next to other traffic, for two minutes; the
/// rate is measured over the second minute.
#[rstest]
#[case::small_fleet(2500, MAX_RATE)]
#[case::large_fleet(6000, TOTAL_RATE - 6000.0)]
#[case::other_traffic_exceeds_limit(20_000, MIN_RATE)]
fn reports_use_the_remaining_bandwidth(#[case] other_rate: u64, #[case] expected: f64) {
    let mut allowance = Allowance::new(TOTAL_RATE, MIN_RATE, MAX_RATE);
    let mut bytes = 0;
    for tick in 0..4800_u64 {
        let now = Duration::from_millis(tick * 25);
        if tick % 40 == 0 {
            allowance.observe(now, other_rate * tick / 40);
        }
        if allowance.has_credit(now) {
            allowance.spend(417);
            bytes += if tick >= 2400 { 417 } else { 0 };
        }
    }
    let rate = f64::from(bytes) / 60.0;
    assert!(
        (rate - expected).abs() < expected * 0.05,
        "{rate} bytes a second"
    );
}
