//! Selection of expired claims for garbage collection.

use policy::{
    id::HostId,
    sweep::{Watermarks, is_sweeper},
};
use rstest::rstest;
use std::time::Duration;

const HOUR: Duration = Duration::from_secs(3600);
const DAY: Duration = Duration::from_secs(24 * 3600);

/// One commit per second; the commit number is offered as a watermark once a minute.
#[rstest]
#[case::first_day(DAY, 0)]
#[case::oldest_watermark_expired(DAY + HOUR, 3600)]
#[case::ten_days(DAY * 10, 9 * 24 * 3600)]
fn horizon_is_never_younger_than_the_retention(#[case] now: Duration, #[case] expected: u64) {
    let mut marks = Watermarks::default();
    for second in (0..=now.as_secs()).step_by(60) {
        marks.record(Duration::from_secs(second), second, DAY);
    }
    let horizon = marks.horizon(now, DAY);
    assert!(Duration::from_secs(horizon) + DAY <= now || horizon == 0);
    assert_eq!(horizon, expected);
}

#[test]
fn a_lower_commit_number_is_not_recorded() {
    let mut marks = Watermarks::default();
    assert!(marks.record(HOUR, 100, DAY));
    assert!(!marks.record(HOUR * 3, 50, DAY));
    assert!(!marks.record(HOUR + HOUR / 2, 200, DAY));
    assert!(marks.record(HOUR * 3, 200, DAY));
}

#[test]
fn each_workspace_has_one_sweeper() {
    let hosts: Vec<HostId> = (0..7).map(|n| format!("e{n}").into()).collect();
    let mut counts = [0; 7];
    for number in 0..700 {
        let workspace = format!("w{number}").into();
        let own = hosts
            .iter()
            .map(|host| is_sweeper(host, &hosts, &workspace));
        let sweepers: Vec<_> = own.enumerate().filter(|(_, sweeps)| *sweeps).collect();
        assert_eq!(sweepers.len(), 1);
        counts[sweepers[0].0] += 1;
    }
    assert!(counts.iter().all(|count| *count > 50), "{counts:?}");
}
