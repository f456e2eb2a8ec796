//! Records of builds across starts of all daemons.

use policy::{
    id::Time,
    relay::{
        builds::{BuildRecords, Key, Presence},
        history::{Era, Version},
        registry::{Registration, Registry, Start, Target},
    },
};
use rstest::rstest;
use std::{collections::BTreeMap, time::Duration};

/// Present time by the system clock, in milliseconds since the Unix epoch.
const UNIX_NOW: u64 = 100_000_000;
/// Period in which a stream of unknown origin may have begun.
const PERIOD: Duration = Duration::from_secs(40);
/// Time for which the record of a build that has left is kept.
const RETENTION: Duration = Duration::from_secs(120);

/// Store that keeps the records.
#[derive(Clone, Default)]
struct Store(BTreeMap<Key, Presence>);

/// A daemon that writes records.
#[derive(Default)]
struct Daemon {
    now: Time,
    records: BuildRecords,
}

impl Store {
    /// Lets a daemon that has read the records and knows these targets bring them up to date.
    fn update(&mut self, daemon: &mut Daemon, unix_now: u64, targets: &[Target]) {
        let records = &mut daemon.records;
        let pending = records.pending(daemon.now, unix_now, RETENTION, targets.iter());
        for (key, presence) in pending {
            match presence {
                Some(presence) => self.0.insert(key.clone(), presence),
                None => self.0.remove(&key),
            };
            daemon.records.confirm(key, presence);
        }
    }

    fn load(&self, era: Era) -> BuildRecords {
        let mut records = BuildRecords::default();
        records.load(era, self.0.clone());
        records
    }

    /// Returns a daemon that has just read the records.
    fn daemon(&self) -> Daemon {
        Daemon {
            now: Time::ZERO,
            records: self.load(1),
        }
    }
}

fn target(id: &str, build: &str, started_unix_ms: u64) -> Target {
    Target {
        id: id.into(),
        pool: "model".into(),
        address: "10.0.0.1:80".into(),
        domain: "a".into(),
        build: build.into(),
        slots: 1,
        is_ready: true,
        started_unix_ms,
    }
}

fn key(build: &str) -> Key {
    ("model".into(), build.into())
}

fn registry(targets: &[Target]) -> Registry {
    let mut registry = Registry::default();
    for target in targets {
        let registration = Registration {
            target: target.clone(),
            sequence: 1,
            version: Version { era: 1, number: 1 },
            cold_for: Duration::ZERO,
        };
        registry.upsert(Time::ZERO, registration);
    }
    registry
}

/// Returns the single build that a daemon finds which has just started.
fn single_build(records: &BuildRecords, unix_now: u64, targets: &[Target]) -> Option<String> {
    let registry = registry(targets);
    let build = registry.single_build(Time::ZERO, unix_now, "model", PERIOD, records);
    let recorded = registry.recorded_build("model", records);
    if records.is_loaded() {
        assert_eq!(build, recorded);
    }
    build.map(ToString::to_string)
}

/// A crashed target that is back does not hide that the pool has had one build all the time. Without its
/// record, nothing is known of the builds before.
#[test]
fn only_build_of_a_pool_is_recorded() {
    let mut store = Store::default();
    let targets = [target("i-1", "v1", 1), target("i-2", "v1", UNIX_NOW)];
    assert_eq!(single_build(&store.load(1), UNIX_NOW, &targets), None);
    store.update(&mut store.clone().daemon(), UNIX_NOW, &targets);
    assert_eq!(store.0, BTreeMap::from([(key("v1"), Presence::Present)]));
    let found = single_build(&store.load(1), UNIX_NOW, &targets);
    assert_eq!(found.as_deref(), Some("v1"));
    let without_records = single_build(&BuildRecords::default(), UNIX_NOW, &targets);
    assert_eq!(without_records, None);
}

/// The targets of a pool change their build between two looks, and back: no two builds are ever present at
/// the same moment.
#[test]
fn pool_that_changed_its_build_at_once_has_had_two() {
    let mut store = Store::default();
    let (old, new) = (target("i-1", "v1", 1), target("i-1", "v2", 2));
    let mut daemon = store.daemon();
    store.update(&mut daemon, UNIX_NOW, std::slice::from_ref(&old));
    store.update(&mut daemon, UNIX_NOW, std::slice::from_ref(&new));
    assert_eq!(single_build(&store.load(1), UNIX_NOW, &[new]), None);
    let back = target("i-1", "v1", 3);
    store.update(&mut daemon, UNIX_NOW, std::slice::from_ref(&back));
    assert_eq!(single_build(&store.load(1), UNIX_NOW, &[back]), None);
}

/// A build that left before all daemons started counts as long as its record is kept, whatever the targets'
/// start times and the clocks of hosts.
#[rstest]
#[case::just_left(1_000)]
#[case::clock_set_forward(3_600_000_000)]
#[case::clock_set_back(0)]
fn former_build_counts_while_it_is_recorded(#[case] unix_later: u64) {
    let mut store = Store::default();
    let (old, new) = (target("i-1", "v1", 1), target("i-2", "v2", 1));
    let mut daemon = store.daemon();
    store.update(&mut daemon, UNIX_NOW, &[old, new.clone()]);
    store.update(&mut daemon, UNIX_NOW, std::slice::from_ref(&new));
    let found = single_build(&store.load(1), unix_later, std::slice::from_ref(&new));
    assert_eq!(found, None);
    for seconds in [0, 60, 120] {
        daemon.now = Duration::from_secs(seconds);
        store.update(&mut daemon, unix_later, std::slice::from_ref(&new));
        assert!(
            store.0.contains_key(&key("v1")),
            "removed after {seconds} s"
        );
    }
    daemon.now = RETENTION + Duration::from_millis(1);
    store.update(&mut daemon, unix_later, std::slice::from_ref(&new));
    let found = single_build(&store.load(1), UNIX_NOW, &[new]);
    assert_eq!(found.as_deref(), Some("v2"));
}

/// If no daemon saw a build leave, it may have left at any time.
#[test]
fn build_that_left_unseen_counts() {
    let mut store = Store::default();
    let (old, new) = (target("i-1", "v1", 1), target("i-2", "v2", 1));
    store.update(&mut store.clone().daemon(), UNIX_NOW, &[old, new.clone()]);
    let hour_later = UNIX_NOW + 3_600_000;
    assert_eq!(single_build(&store.load(1), hour_later, &[new]), None);
}

/// Records follow the builds, and those of former builds are removed in the end. A daemon that starts
/// meanwhile counts the time for itself.
#[test]
fn records_follow_the_builds() {
    let mut store = Store::default();
    let (old, new) = (target("i-1", "v1", 1), target("i-2", "v2", 1));
    let mut daemon = store.daemon();
    store.update(&mut daemon, UNIX_NOW, &[old.clone(), new.clone()]);
    assert_eq!(store.0.get(&key("v1")), Some(&Presence::Present));
    store.update(&mut daemon, UNIX_NOW, std::slice::from_ref(&new));
    assert_eq!(store.0.get(&key("v1")), Some(&Presence::Left(UNIX_NOW)));
    daemon.now = RETENTION;
    store.update(&mut daemon, UNIX_NOW, &[old, new.clone()]);
    assert_eq!(store.0.get(&key("v1")), Some(&Presence::Present));
    daemon.now = RETENTION * 2;
    store.update(&mut daemon, UNIX_NOW, std::slice::from_ref(&new));
    let mut restarted = store.daemon();
    store.update(&mut restarted, UNIX_NOW, std::slice::from_ref(&new));
    assert!(store.0.contains_key(&key("v1")), "just left");
    restarted.now = RETENTION + Duration::from_millis(1);
    store.update(&mut restarted, UNIX_NOW, &[new]);
    assert_eq!(store.0, BTreeMap::from([(key("v2"), Presence::Present)]));
}

/// A store that came back from an older copy lacks records, which are written again; within an era, a record
/// that is missing was removed.
#[rstest]
#[case::later_era(2, true)]
#[case::same_era(1, false)]
fn lost_record_is_written_again(#[case] era: Era, #[case] is_written: bool) {
    let mut store = Store::default();
    let (old, new) = (target("i-1", "v1", 1), target("i-2", "v2", 1));
    let mut daemon = store.daemon();
    let copy = store.clone();
    store.update(&mut daemon, UNIX_NOW, &[old, new.clone()]);
    store.update(&mut daemon, UNIX_NOW, std::slice::from_ref(&new));
    store = copy;
    daemon.records.load(era, store.0.clone());
    assert_eq!(daemon.records.has_other("model", &"v2".into()), is_written);
    store.update(&mut daemon, UNIX_NOW, &[new]);
    assert_eq!(store.0.contains_key(&key("v1")), is_written);
    assert!(store.0.contains_key(&key("v2")));
}

/// Streams begin at a build that is recorded, or at any one of a pool without records.
#[rstest]
#[case::nothing_recorded(&[], "v1", true)]
#[case::recorded(&["v1"], "v1", true)]
#[case::not_yet(&["v1"], "v2", false)]
#[case::second_recorded(&["v1", "v2"], "v2", true)]
fn streams_begin_at_recorded_builds(
    #[case] recorded: &[&str],
    #[case] build: &str,
    #[case] may_begin: bool,
) {
    let mut records = BuildRecords::default();
    let other_pool = ("other".into(), "v9".into());
    records.confirm(other_pool, Some(Presence::Present));
    for build in recorded {
        records.confirm(key(build), Some(Presence::Present));
    }
    assert_eq!(records.may_begin(&"model".into(), &build.into()), may_begin);
}

/// A target of another build that is known, but has no record yet, is in doubt: a daemon of an earlier
/// release beside this one may have begun a stream there.
#[test]
fn unrecorded_target_is_a_doubt() {
    let mut store = Store::default();
    let (old, new) = (target("i-1", "v1", 1), target("i-2", "v2", 1));
    store.update(
        &mut store.clone().daemon(),
        UNIX_NOW,
        std::slice::from_ref(&old),
    );
    let records = store.load(1);
    let recorded = |targets: &[Target]| {
        let registry = registry(targets);
        let build = registry.recorded_build("model", &records);
        build.map(ToString::to_string)
    };
    assert_eq!(recorded(std::slice::from_ref(&old)).as_deref(), Some("v1"));
    assert_eq!(recorded(&[old, new]), None);
}

/// A target whose process has ended may have been replaced by one of another build, at which streams begin
/// before its entry is known.
#[test]
fn ended_target_is_a_doubt() {
    let mut store = Store::default();
    let targets = [target("i-1", "v1", 1), target("i-2", "v1", 1)];
    store.update(&mut store.clone().daemon(), UNIX_NOW, &targets);
    let records = store.load(1);
    let mut registry = registry(&targets);
    assert!(registry.recorded_build("model", &records).is_some());
    let ending = Start {
        target: "i-1".into(),
        started_unix_ms: 1,
    };
    registry.record_ending(Time::ZERO, &ending);
    assert_eq!(registry.recorded_build("model", &records), None);
}
