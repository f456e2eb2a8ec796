//! Registered targets and editions of the configuration across returns of the store from an older
//! copy.

use policy::{
    id::Time,
    relay::{
        builds::BuildRecords,
        history::{Edition, Version},
        registry::{
            Build, REGISTRATION_GRACE, Registration, Registry, Start, Target, TargetChange,
        },
    },
};
use rstest::rstest;
use std::time::Duration;

const NOW: Time = Duration::from_secs(100);

fn entry(era: u64, started: u64, sequence: u64, is_ready: bool) -> Registration {
    Registration {
        target: Target {
            id: "i-1".into(),
            pool: "stage".into(),
            address: "10.0.0.1:80".into(),
            domain: "a".into(),
            slots: 1,
            is_ready,
            build: "v1".into(),
            started_unix_ms: started,
        },
        sequence,
        version: Version { era, number: 1 },
        cold_for: Duration::ZERO,
    }
}

fn has_ready_target(registry: &Registry) -> bool {
    registry.ready("stage").count() > 0
}

#[rstest]
#[case::drained_in_the_lost_seconds(entry(1, 5, 7, false), entry(2, 5, 6, true), false)]
#[case::draining_written_again(entry(1, 5, 7, false), entry(2, 5, 8, false), false)]
#[case::unchanged(entry(1, 5, 7, true), entry(2, 5, 7, true), true)]
#[case::ready_in_the_copy(entry(1, 5, 7, true), entry(2, 5, 3, true), true)]
#[case::restarted(entry(1, 5, 7, false), entry(2, 6, 1, true), true)]
#[case::earlier_start_in_the_copy(entry(1, 6, 1, false), entry(2, 5, 9, true), false)]
#[case::same_era(entry(2, 5, 7, false), entry(2, 5, 1, true), true)]
fn entry_of_an_older_copy_does_not_replace_a_later_one(
    #[case] known: Registration,
    #[case] offered: Registration,
    #[case] is_ready: bool,
) {
    let mut registry = Registry::default();
    registry.upsert(NOW, entry(1, 1, 1, true));
    registry.upsert(NOW, known);
    registry.upsert(NOW, offered);
    assert_eq!(has_ready_target(&registry), is_ready);
}

/// A daemon that started after the return of the store knows the copy, and learns from its peers what was
/// written in the lost seconds.
#[rstest]
#[case::drained(entry(2, 5, 6, true), entry(1, 5, 7, false), true)]
#[case::restarted(entry(2, 5, 6, true), entry(1, 6, 1, true), true)]
#[case::in_the_copy(entry(2, 5, 6, true), entry(1, 5, 6, true), false)]
#[case::before_the_copy(entry(2, 5, 6, true), entry(1, 5, 5, false), false)]
#[case::earlier_start(entry(2, 6, 1, true), entry(1, 5, 9, false), false)]
#[case::written_since(entry(2, 5, 8, true), entry(1, 5, 7, false), false)]
#[case::restarted_since(entry(2, 6, 1, true), entry(1, 5, 7, false), false)]
#[case::same_era(entry(2, 5, 6, true), entry(2, 5, 7, false), false)]
#[case::start_not_known(entry(2, 0, 6, true), entry(1, 5, 7, false), false)]
fn lost_write_replaces_the_entry_of_the_copy(
    #[case] known: Registration,
    #[case] offered: Registration,
    #[case] is_lost_write: bool,
) {
    let mut registry = Registry::default();
    assert!(!registry.is_lost_write(&offered), "nothing is known yet");
    registry.upsert(NOW, known.clone());
    assert_eq!(registry.is_lost_write(&offered), is_lost_write);
    if is_lost_write {
        registry.upsert(NOW, offered.clone());
        registry.upsert(NOW, known);
        assert_eq!(registry.get("i-1"), Some(&offered.target));
        assert!(!registry.is_lost_write(&offered));
    }
}

/// An earlier start whose entries go on is the one that runs: the clock of its target was set back, or the
/// later start is that of another writer.
#[rstest]
#[case::no_entry(&[], false)]
#[case::late_write(&[(2, 5, 9)], false)]
#[case::two_entries(&[(2, 5, 1), (2, 5, 2)], false)]
#[case::three_entries(&[(2, 5, 1), (2, 5, 2), (2, 5, 3)], true)]
#[case::same_sequence(&[(2, 5, 1), (2, 5, 1), (2, 5, 1), (2, 5, 2)], false)]
#[case::several_starts(&[(2, 3, 1), (2, 4, 2), (2, 5, 3)], false)]
#[case::several_eras(&[(1, 5, 1), (2, 5, 2), (3, 5, 3)], false)]
#[case::later_start_lives(&[(2, 5, 1), (2, 5, 2), (2, 6, 2), (2, 5, 3)], false)]
#[case::later_start_lived(&[(2, 6, 2), (2, 5, 1), (2, 5, 2), (2, 5, 3)], true)]
fn earlier_start_that_goes_on_replaces_a_later_one(
    #[case] entries: &[(u64, u64, u64)],
    #[case] is_replaced: bool,
    #[values(false, true)] is_doubtful: bool,
) {
    let mut registry = Registry::default();
    registry.upsert(NOW, entry(2, 6, 1, true));
    if is_doubtful {
        registry.record_ending(NOW, &start(6));
        registry.record_departure(NOW, &start(6));
    }
    for (number, &(era, started, sequence)) in (2..).zip(entries) {
        let mut offered = entry(era, started, sequence, true);
        offered.version.number = number;
        let build = if started == 6 { "v1" } else { "v2" };
        offered.target.build = build.into();
        // Several readers tell of the same entry.
        registry.upsert(NOW, offered.clone());
        registry.upsert(NOW, offered);
    }
    let target = registry.get("i-1").expect("target is registered");
    assert_eq!(target.build == "v2", is_replaced);
    if is_replaced {
        assert!(target.is_ready && !registry.has_ended(target));
    }
}

#[rstest]
#[case::in_the_copy(entry(2, 5, 6, true), false)]
#[case::last_entry(entry(2, 5, 7, true), false)]
#[case::earlier_start(entry(2, 4, 9, true), false)]
#[case::written_since(entry(2, 5, 8, true), true)]
#[case::restarted(entry(2, 6, 1, true), true)]
fn removed_target_returns_only_with_a_later_entry(
    #[case] offered: Registration,
    #[case] is_ready: bool,
) {
    let mut registry = Registry::default();
    registry.upsert(NOW, entry(1, 5, 7, true));
    let change = registry.remove(NOW, "i-1", false);
    assert!(matches!(change, Some(TargetChange::Gone(_))));
    registry.upsert(NOW, offered);
    assert_eq!(has_ready_target(&registry), is_ready);
}

#[test]
fn removed_target_is_remembered_but_not_used() {
    let mut registry = Registry::default();
    registry.upsert(NOW, entry(1, 5, 7, true));
    registry.remove(NOW, "i-1", false);
    assert!(registry.get("i-1").is_none());
    let remembered = registry.get_or_removed("i-1");
    assert_eq!(remembered, Some(&entry(1, 5, 7, true).target));
    registry.expire(NOW + Duration::from_secs(60));
    assert!(registry.get_or_removed("i-1").is_none());
}

/// A daemon that did not notice an outage learns of it from the reader that removes the target.
#[test]
fn target_missing_from_the_copy_is_kept_until_it_may_have_registered_again() {
    let mut registry = Registry::default();
    registry.upsert(NOW, entry(1, 5, 7, true));
    registry.remove(NOW, "i-1", true);
    assert!(registry.expire(NOW + REGISTRATION_GRACE / 2).is_empty());
    assert!(has_ready_target(&registry));
    assert_eq!(registry.expire(NOW + REGISTRATION_GRACE).len(), 1);
    assert!(!has_ready_target(&registry));
}

#[rstest]
#[case::later_in_the_era((2, 9, 4), (2, 10, 5), true)]
#[case::earlier_in_the_era((2, 9, 4), (2, 8, 5), false)]
#[case::older_copy((1, 9, 4), (2, 6, 3), false)]
#[case::written_again((1, 9, 4), (2, 7, 4), false)]
#[case::written_since((1, 9, 4), (2, 7, 5), true)]
#[case::kept_by_a_peer((2, 6, 3), (1, 9, 4), true)]
#[case::from_a_peer_that_knows_no_eras((0, 6, 3), (0, 7, 0), true)]
fn edition_replaces_an_older_one(
    #[case] current: (u64, u64, u64),
    #[case] offered: (u64, u64, u64),
    #[case] is_replaced: bool,
) {
    let edition = |(era, number, revision)| Edition {
        version: Version { era, number },
        revision,
    };
    assert_eq!(edition(offered).supersedes(&edition(current)), is_replaced);
}

/// Period in which a stream of unknown origin may have begun.
const PERIOD: Duration = Duration::from_secs(40);
/// Present time by the system clock, in milliseconds since the Unix epoch.
const UNIX_NOW: u64 = 1_000_000;
/// A start before that period.
const EARLY_START: u64 = 900_000;
/// A start within that period.
const LATE_START: u64 = 980_000;

fn target(id: &str, build: &str, started: u64) -> Registration {
    let mut registration = entry(1, started, 1, true);
    registration.target.id = id.into();
    registration.target.build = build.into();
    registration
}

#[rstest]
#[case::one_build(&[("i-1", "v1", EARLY_START), ("i-2", "v1", EARLY_START)], Some("v1"))]
#[case::two_builds(&[("i-1", "v1", EARLY_START), ("i-2", "v2", EARLY_START)], None)]
#[case::target_may_have_replaced_another_build(&[("i-1", "v1", EARLY_START), ("i-2", "v1", LATE_START)], None)]
#[case::same_id_with_another_build(&[("i-1", "v1", EARLY_START), ("i-1", "v2", EARLY_START + 1)], None)]
#[case::no_target(&[], None)]
fn daemon_that_has_just_started_finds_a_single_build(
    #[case] targets: &[(&str, &str, u64)],
    #[case] expected: Option<&str>,
) {
    let mut registry = Registry::default();
    for (id, build, started) in targets {
        registry.upsert(NOW, target(id, build, *started));
    }
    let found = registry.single_build(NOW, UNIX_NOW, "stage", PERIOD, &BuildRecords::default());
    assert_eq!(found.map(Build::as_str), expected);
}

/// What is missing from an older copy registers again within the grace period, which may have begun at the
/// start of the daemon.
#[test]
fn store_may_show_a_copy_for_the_grace_period_after_the_start() {
    let registry_in = |era| {
        let mut registry = Registry::default();
        registry.upsert(NOW, entry(era, 5, 7, true));
        registry.upsert(NOW + REGISTRATION_GRACE, entry(era, 5, 8, true));
        registry
    };
    let after = NOW + REGISTRATION_GRACE + Duration::from_millis(1);
    assert!(registry_in(1).may_show_copy(NOW + REGISTRATION_GRACE));
    assert!(!registry_in(1).may_show_copy(after));
    assert!(!registry_in(0).may_show_copy(NOW), "it never came back");
}

/// A build that was removed counts for the period, whatever has started since.
#[test]
fn removed_build_counts_for_the_period() {
    let mut registry = Registry::default();
    registry.upsert(Duration::ZERO, target("i-1", "v1", EARLY_START));
    registry.upsert(NOW, target("i-2", "v2", LATE_START));
    registry.remove(NOW, "i-1", false);
    let single = |registry: &Registry, now| {
        let build = registry.single_build(now, UNIX_NOW, "stage", PERIOD, &BuildRecords::default());
        build.map(ToString::to_string)
    };
    assert_eq!(single(&registry, NOW + PERIOD), None);
    let after = NOW + PERIOD + Duration::from_millis(1);
    assert_eq!(single(&registry, after).as_deref(), Some("v2"));
}

fn start(started: u64) -> Start {
    Start {
        target: "i-1".into(),
        started_unix_ms: started,
    }
}

/// The word of a target that it leaves holds against later entries of the same start, in whatever
/// order they arrive, also after the entry was removed and shown again.
#[rstest]
#[case::unchanged(entry(1, 5, 8, true), false)]
#[case::later_era(entry(2, 5, 9, true), false)]
#[case::later_start(entry(1, 6, 1, true), true)]
fn departure_holds_against_entries(
    #[case] offered: Registration,
    #[case] is_ready: bool,
    #[values(false, true)] is_told_first: bool,
    #[values(false, true)] is_removed: bool,
) {
    let mut registry = Registry::default();
    if is_told_first {
        assert_eq!(registry.record_departure(NOW, &start(5)), None);
    }
    registry.upsert(NOW, entry(1, 5, 7, true));
    if !is_told_first {
        let change = registry.record_departure(NOW, &start(5));
        assert!(matches!(change, Some(TargetChange::Draining(_))));
    }
    assert!(!has_ready_target(&registry));
    if is_removed {
        registry.remove(NOW, "i-1", false);
    }
    registry.upsert(NOW, offered);
    assert_eq!(has_ready_target(&registry), is_ready);
}

/// A report about an earlier start does not concern the present one.
#[test]
fn departure_of_an_earlier_start_is_ignored() {
    let mut registry = Registry::default();
    registry.upsert(NOW, entry(1, 6, 1, true));
    assert_eq!(registry.record_departure(NOW, &start(5)), None);
    assert!(has_ready_target(&registry));
}

/// Without start times, a target that was removed and registers again counts as started again.
#[test]
fn departure_without_start_time_ends_with_the_entry() {
    let mut registry = Registry::default();
    registry.upsert(NOW, entry(1, 0, 7, true));
    registry.record_departure(NOW, &start(0));
    registry.upsert(NOW, entry(1, 0, 8, true));
    assert!(!has_ready_target(&registry));
    registry.remove(NOW, "i-1", false);
    registry.upsert(NOW, entry(1, 0, 1, true));
    assert!(has_ready_target(&registry));
}

/// A target that seems to have ended is believed to live after two more entries of the same start, or
/// one of a later start. The first of the two may have been written before.
#[rstest]
#[case::no_entry(&[], true)]
#[case::one_entry(&[(5, 8)], true)]
#[case::same_entry_again(&[(5, 8), (5, 8)], true)]
#[case::two_entries(&[(5, 8), (5, 9)], false)]
#[case::later_start(&[(6, 1)], false)]
fn ending_holds_until_the_target_shows_that_it_lives(
    #[case] entries: &[(u64, u64)],
    #[case] has_ended: bool,
) {
    let mut registry = Registry::default();
    registry.upsert(NOW, entry(1, 5, 7, true));
    assert!(registry.record_ending(NOW, &start(5)));
    assert!(!registry.record_ending(NOW, &start(5)), "it is not new");
    for &(started, sequence) in entries {
        registry.upsert(NOW, entry(1, started, sequence, true));
    }
    let target = registry.get("i-1").expect("target is registered");
    assert_eq!(registry.has_ended(target), has_ended);
    assert!(has_ready_target(&registry), "it still takes new requests");
}

/// Only an answer to a question that was asked later shows that the process lives.
#[rstest]
#[case::same_start(5, PERIOD, false)]
#[case::asked_before(5, Time::ZERO, true)]
#[case::later_start(6, PERIOD, true)]
#[case::earlier_start(4, PERIOD, true)]
fn ending_is_refuted_by_an_answer(
    #[case] started: u64,
    #[case] asked_after: Time,
    #[case] has_ended: bool,
) {
    let mut registry = Registry::default();
    registry.upsert(NOW, entry(1, 5, 7, true));
    registry.record_ending(NOW + PERIOD / 2, &start(5));
    let is_refuted = registry.record_answer(NOW + asked_after, &start(started));
    assert_eq!(is_refuted, !has_ended);
    let target = registry.get("i-1").expect("target is registered");
    assert_eq!(registry.has_ended(target), has_ended);
}

/// What a peer tells of an earlier start does not concern the present one.
#[test]
fn ending_of_an_earlier_start_is_ignored() {
    let mut registry = Registry::default();
    registry.upsert(NOW, entry(1, 6, 1, true));
    registry.record_ending(NOW, &start(5));
    let target = registry.get("i-1").expect("target is registered");
    assert!(!registry.has_ended(target));
}

/// A process that has ended may have been replaced by one of another build.
#[test]
fn pool_with_an_ended_target_has_no_single_build() {
    let mut registry = Registry::default();
    registry.upsert(NOW, entry(1, 5, 7, true));
    let is_single = |registry: &Registry| {
        let now = NOW + PERIOD * 2;
        let build = registry.single_build(now, UNIX_NOW, "stage", PERIOD, &BuildRecords::default());
        build.is_some()
    };
    assert!(is_single(&registry));
    registry.record_ending(NOW, &start(5));
    assert!(!is_single(&registry));
}

/// A request that was sent to a target may be answered by a later process of another build.
#[rstest]
#[case::same_entry("v1", 5, false, false)]
#[case::later_start_of_the_build("v1", 6, false, false)]
#[case::later_start_of_another_build("v2", 6, false, true)]
#[case::ended("v1", 5, true, true)]
fn answer_may_come_from_another_build(
    #[case] build: &str,
    #[case] started: u64,
    #[case] has_ended: bool,
    #[case] may_be_replaced: bool,
) {
    let mut registry = Registry::default();
    registry.upsert(NOW, target("i-1", "v1", 5));
    let selected = registry.get("i-1").expect("target is registered").clone();
    registry.upsert(NOW, target("i-1", build, started));
    if has_ended {
        registry.record_ending(NOW, &start(5));
    }
    assert_eq!(registry.may_be_replaced(&selected), may_be_replaced);
    registry.remove(NOW, "i-1", false);
    assert_eq!(registry.may_be_replaced(&selected), has_ended);
}
