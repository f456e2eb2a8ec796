//! Tests of [`policy::relay::reach`].

use policy::{
    id::{TargetId, Time},
    relay::{
        reach::{Change, MIN_UNREACHED, Reach},
        registry::Target,
    },
};
use std::{collections::BTreeSet, time::Duration};

/// Interval at which the daemon asks for targets to try.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time until a try that hangs has failed.
const HANG_TIME: Duration = Duration::from_millis(300);
/// Pools of the fleet and targets in each.
const POOLS: [(&str, usize); 4] = [("desk", 3), ("model", 9), ("stage-a", 6), ("stage-b", 5)];

/// A daemon, the targets that it can't reach, and those that no daemon can.
struct Fleet {
    reach: Reach,
    now: Time,
    targets: Vec<Target>,
    unreached: BTreeSet<TargetId>,
    crashed: BTreeSet<TargetId>,
    /// Whether peers can reach the targets.
    has_peers: bool,
    /// Whether connections hang instead of being refused.
    hangs: bool,
    /// Tries that have not failed yet, with the time at which they do.
    hanging: Vec<(Time, TargetId)>,
    /// Number of requests for which peers were asked.
    asked: usize,
    began: Vec<Time>,
    ended: Vec<Time>,
}

impl Fleet {
    fn new() -> Self {
        let targets = POOLS.iter().flat_map(|(pool, count)| {
            (0..*count).map(move |number| Target {
                id: format!("{pool}-{number}").into(),
                pool: (*pool).into(),
                address: "127.0.0.1:1".into(),
                domain: "a".into(),
                build: "v1".into(),
                slots: 8,
                is_ready: true,
                started_unix_ms: 0,
            })
        });
        Self {
            reach: Reach::new(),
            now: Time::ZERO,
            targets: targets.collect(),
            unreached: BTreeSet::new(),
            crashed: BTreeSet::new(),
            has_peers: true,
            hangs: false,
            hanging: Vec::new(),
            asked: 0,
            began: Vec::new(),
            ended: Vec::new(),
        }
    }

    fn partition(&mut self, is_partitioned: bool) {
        self.unreached.clear();
        if is_partitioned {
            let ids = self.targets.iter().map(|target| target.id.clone());
            self.unreached.extend(ids);
        }
    }

    fn crash(&mut self, matches: impl Fn(&Target) -> bool) {
        let crashed = self.targets.iter().filter(|target| matches(target));
        self.crashed = crashed.map(|target| target.id.clone()).collect();
    }

    fn note(&mut self, change: Option<Change>) {
        match change {
            Some(Change::Began) => self.began.push(self.now),
            Some(Change::Ended) => self.ended.push(self.now),
            None => {}
        }
    }

    fn fail(&mut self, target: &TargetId) {
        let count = self.targets.len();
        let change = self.reach.record_unreached(self.now, target, count);
        self.note(change);
    }

    fn connect(&mut self, target: &TargetId) {
        if self.crashed.contains(target) {
            self.fail(target);
        } else if !self.unreached.contains(target) {
            let change = self.reach.record_reached(self.now, target);
            self.note(change);
        } else if self.hangs {
            self.hanging.push((self.now + HANG_TIME, target.clone()));
        } else {
            self.fail(target);
        }
    }

    /// Sends a request over a new connection, as the daemon does.
    fn send(&mut self, target: usize) {
        let target = self.targets[target % self.targets.len()].id.clone();
        if !self.reach.is_partitioned() {
            self.connect(&target);
        }
        let is_unreached = self.unreached.contains(&target) || self.crashed.contains(&target);
        if is_unreached && self.reach.may_relay(self.now, &target) {
            self.asked += 1;
            if self.has_peers && !self.crashed.contains(&target) {
                let count = self.targets.len();
                let change = self.reach.record_relayed(self.now, &target, count);
                self.note(change);
            } else {
                self.reach.record_unrelayed(self.now, &target);
            }
        }
    }

    /// Lets time pass, with a request to each of `requests` in turn in each interval.
    fn run(&mut self, duration: Duration, requests: &[usize]) {
        let end = self.now + duration;
        let mut turn = 0;
        while self.now < end {
            self.now += POLL_INTERVAL;
            let (failed, hanging) = std::mem::take(&mut self.hanging)
                .into_iter()
                .partition(|(at, _)| *at <= self.now);
            self.hanging = hanging;
            for (_, target) in failed {
                self.fail(&target);
            }
            if let Some(target) = requests.get(turn % requests.len().max(1)) {
                self.send(*target);
            }
            turn += 1;
            let targets: Vec<&Target> = self.targets.iter().collect();
            let probes = self.reach.probes(self.now, &targets);
            let probes: Vec<TargetId> = probes.iter().map(|target| target.id.clone()).collect();
            for target in probes {
                self.connect(&target);
            }
        }
    }
}

const SECOND: Duration = Duration::from_secs(1);
/// Time from the beginning of a partition until the daemon has to know of it without requests.
const MAX_IDLE_DETECTION: Duration = Duration::from_millis(2_500);
/// Time from the end of a partition until the daemon has to know.
const MAX_RECOVERY: Duration = SECOND;

/// A partition is detected with and without requests, whether connections hang or are refused, and
/// whether or not peers reach the targets; so is its end.
#[test]
fn partition_is_detected() {
    for requests in [&[][..], &[0, 4, 13, 19]] {
        for hangs in [false, true] {
            for has_peers in [false, true] {
                let mut fleet = Fleet::new();
                (fleet.hangs, fleet.has_peers) = (hangs, has_peers);
                fleet.run(5 * SECOND, requests);
                assert_eq!(fleet.began, []);
                for repetition in 0..3 {
                    fleet.partition(true);
                    let began = fleet.now;
                    fleet.run(8 * SECOND, requests);
                    assert_eq!(fleet.began.len(), repetition + 1, "{requests:?} {hangs}");
                    assert!(fleet.began[repetition] <= began + MAX_IDLE_DETECTION);
                    assert_eq!(fleet.ended.len(), repetition);
                    fleet.partition(false);
                    let ended = fleet.now;
                    fleet.run(5 * SECOND, requests);
                    assert_eq!(fleet.ended.len(), repetition + 1);
                    assert!(fleet.ended[repetition] <= ended + MAX_RECOVERY);
                }
            }
        }
    }
}

/// With requests to several targets that a peer reaches, the first ones tell.
#[test]
fn relayed_requests_reveal_a_partition() {
    let mut fleet = Fleet::new();
    fleet.run(SECOND, &[0, 4, 13]);
    fleet.partition(true);
    let began = fleet.now;
    fleet.run(SECOND, &[0, 4, 13]);
    assert!(fleet.began[0] <= began + 3 * POLL_INTERVAL);
}

/// Targets that crash, also a whole pool that is released at once, are no partition, even if all
/// requests go there.
#[test]
fn crashes_are_no_partition() {
    let crashes: [fn(&Target) -> bool; 4] = [
        |target| target.id == "model-0",
        |target| ["desk-1", "model-3", "stage-a-0", "stage-b-4"].contains(&target.id.as_str()),
        |target| target.pool == "model",
        |target| target.pool != "desk",
    ];
    for crash in crashes {
        let mut fleet = Fleet::new();
        fleet.run(2 * SECOND, &[0, 4, 13]);
        fleet.crash(crash);
        fleet.run(10 * SECOND, &[3, 4, 5, 6, 7, 8, 9, 10, 11]);
        assert_eq!(fleet.began, [], "{:?}", fleet.crashed);
    }
}

/// If only the path to one target is lost, the daemon is not partitioned, and peers are asked for
/// that target without delay until it is reached again.
#[test]
fn single_lost_path() {
    let mut fleet = Fleet::new();
    fleet.unreached.insert("desk-0".into());
    fleet.run(5 * SECOND, &[0, 4, 13]);
    assert_eq!(fleet.began, []);
    assert!(fleet.reach.is_relayed(fleet.now, &"desk-0".into()));
    assert!(!fleet.reach.is_relayed(fleet.now, &"model-1".into()));
    fleet.unreached.clear();
    fleet.run(SECOND, &[0, 4, 13]);
    assert!(!fleet.reach.is_relayed(fleet.now, &"desk-0".into()));
}

/// While a target is down, peers are asked for it a few times a second only.
#[test]
fn peers_are_not_asked_for_each_request_to_a_crashed_target() {
    let mut fleet = Fleet::new();
    fleet.crash(|target| target.id == "desk-0");
    fleet.run(5 * SECOND, &[0]);
    assert!((10..=20).contains(&fleet.asked), "{}", fleet.asked);
}

/// A path that comes and goes within less than a second does not leave the daemon with a wrong view
/// for longer than that.
#[test]
fn flapping_path() {
    let mut fleet = Fleet::new();
    for _ in 0..10 {
        fleet.partition(true);
        fleet.run(Duration::from_millis(700), &[0, 4, 13]);
        assert!(fleet.reach.is_partitioned());
        fleet.partition(false);
        fleet.run(Duration::from_millis(700), &[0, 4, 13]);
        assert!(!fleet.reach.is_partitioned());
    }
}

/// In a fleet with fewer targets than usually tell, all of them do.
#[test]
fn few_targets() {
    let mut fleet = Fleet::new();
    fleet.targets.truncate(2);
    assert!(fleet.targets.len() < MIN_UNREACHED);
    fleet.has_peers = false;
    fleet.partition(true);
    fleet.run(3 * SECOND, &[0]);
    assert!(fleet.reach.is_partitioned());
    fleet.partition(false);
    fleet.run(SECOND, &[0]);
    assert!(!fleet.reach.is_partitioned());
}
