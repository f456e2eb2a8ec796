//! Records of builds across starts of all daemons.

use policy::{
    id::Time,
    relay::{
        builds::{BuildRecords, Key, Presence},
        history::Version,
        registry::{Registration, Registry, Target},
    },
};
use rstest::rstest;
use std::{collections::BTreeMap, time::Duration};

/// Present time by the system clock, in milliseconds since the Unix epoch.
const UNIX_NOW: u64 = 100_000_000;
/// Period in which a stream of unknown origin may have begun.
const PERIOD: Duration = Duration::from_secs(40);
const HOUR_MS: u64 = 3_600_000;

/// Store that keeps the records, and the clock of a daemon that writes them.
#[derive(Default)]
struct Store(BTreeMap<Key, Presence>);

impl Store {
    /// Lets a daemon that knows these targets bring the records up to date.
    fn update(&mut self, unix_now: u64, targets: &[Target]) {
        let records = self.load();
        for (key, presence) in records.pending(unix_now, targets.iter()) {
            match presence {
                Some(presence) => self.0.insert(key, presence),
                None => self.0.remove(&key),
            };
        }
    }

    fn load(&self) -> BuildRecords {
        let mut records = BuildRecords::default();
        records.load(self.0.clone());
        records
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

/// Returns the single build that a daemon finds which has just started.
fn single_build(records: &BuildRecords, unix_now: u64, targets: &[Target]) -> Option<String> {
    let mut registry = Registry::default();
    for target in targets {
        let registration = Registration {
            target: target.clone(),
            sequence: 1,
            version: Version { era: 1, number: 1 },
        };
        registry.upsert(Time::ZERO, registration);
    }
    let build = registry.single_build(Time::ZERO, unix_now, "model", PERIOD, records);
    build.map(ToString::to_string)
}

/// A crashed target that is back does not hide that the pool has had one build all the time.
#[test]
fn pool_with_one_build_has_no_records() {
    let mut store = Store::default();
    let targets = [target("i-1", "v1", 1), target("i-2", "v1", UNIX_NOW)];
    store.update(UNIX_NOW, &targets);
    assert!(store.0.is_empty());
    let found = single_build(&store.load(), UNIX_NOW, &targets);
    assert_eq!(found.as_deref(), Some("v1"));
    let without_records = single_build(&BuildRecords::default(), UNIX_NOW, &targets);
    assert_eq!(without_records, None);
}

/// A build that left shortly before all daemons started counts, whatever the targets' start times.
#[rstest]
#[case::just_left(1_000, None)]
#[case::left_long_ago(41_000, Some("v2"))]
fn former_build_counts_for_the_period(#[case] since_ms: u64, #[case] expected: Option<&str>) {
    let mut store = Store::default();
    let (old, new) = (target("i-1", "v1", 1), target("i-2", "v2", 1));
    store.update(UNIX_NOW, &[old, new.clone()]);
    store.update(UNIX_NOW, std::slice::from_ref(&new));
    let found = single_build(&store.load(), UNIX_NOW + since_ms, &[new]);
    assert_eq!(found.as_deref(), expected);
}

/// If no daemon saw a build leave, it may have left at any time.
#[test]
fn build_that_left_unseen_counts() {
    let mut store = Store::default();
    let (old, new) = (target("i-1", "v1", 1), target("i-2", "v2", 1));
    store.update(UNIX_NOW, &[old, new.clone()]);
    assert_eq!(
        single_build(&store.load(), UNIX_NOW + HOUR_MS, &[new]),
        None
    );
}

/// Records follow the builds, and those of former builds are removed in the end.
#[test]
fn records_follow_the_builds() {
    let mut store = Store::default();
    let (old, new) = (target("i-1", "v1", 1), target("i-2", "v2", 1));
    let key = |build: &str| ("model".into(), build.into());
    store.update(UNIX_NOW, &[old.clone(), new.clone()]);
    assert_eq!(store.0.get(&key("v1")), Some(&Presence::Present));
    store.update(UNIX_NOW, std::slice::from_ref(&new));
    assert_eq!(store.0.get(&key("v1")), Some(&Presence::Left(UNIX_NOW)));
    store.update(UNIX_NOW, &[old, new.clone()]);
    assert_eq!(store.0.get(&key("v1")), Some(&Presence::Present));
    store.update(UNIX_NOW, std::slice::from_ref(&new));
    store.update(UNIX_NOW + HOUR_MS + 1, &[new]);
    assert_eq!(store.0.get(&key("v1")), None);
    assert_eq!(store.0.get(&key("v2")), Some(&Presence::Present));
}
