//! Attribution of crashes to a payload or a part of a prompt, among crashes of other causes.

use policy::{
    id::Time,
    relay::{
        crash::{
            Change, CrashTracker, Feature, MAX_QUARANTINED, MAX_SUSPECTS, QUARANTINE_TTL,
            Quarantine, Report, TRIAL_DELAY, Verdict,
        },
        quarantine::{Record, Records},
    },
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::time::Duration;

/// Part that crashes targets.
const CRASHING: Feature = 1;
/// Part that requests with the crashing one share with others.
const SHARED: Feature = 2;
/// Crashes after which requests with the part must not reach targets any more.
const ALLOWED_CRASHES: usize = 5;

fn at(seconds: f64) -> Time {
    Duration::from_secs_f64(seconds)
}

fn report(target: &str, suspects: &[Feature]) -> Report {
    Report {
        target: target.into(),
        suspects: suspects.to_vec(),
        served: Vec::new(),
    }
}

/// Records crashes of different targets at these seconds.
fn crash(tracker: &mut CrashTracker, seconds: &[f64], suspects: &[Feature]) -> Change {
    let mut change = Change::default();
    for &second in seconds {
        let report = report(&format!("t-{second}"), suspects);
        change = tracker.record_crash(at(second), Duration::ZERO, &report);
    }
    change
}

fn is_refused(tracker: &mut CrashTracker, seconds: f64, features: &[Feature]) -> bool {
    let verdict = tracker.judge(at(seconds), features, |_| false);
    matches!(verdict, Verdict::Refused(_))
}

fn quarantine(feature: Feature) -> Quarantine {
    Quarantine {
        feature,
        age: Duration::ZERO,
        is_confirmed: false,
    }
}

#[test]
fn part_of_several_crashes_is_quarantined() {
    let mut tracker = CrashTracker::default();
    for number in 0..3 {
        assert!(!is_refused(&mut tracker, 10.0, &[CRASHING]));
        let suspects = [CRASHING, 100 + number, 200 + number];
        crash(&mut tracker, &[f64::from(number as u32)], &suspects);
    }
    assert!(is_refused(&mut tracker, 10.0, &[300, CRASHING]));
    assert!(!is_refused(&mut tracker, 10.0, &[100, 200]));
}

/// Each daemon reports a crash that it sees; a target that is back crashes again.
#[test]
fn reports_of_one_crash_count_once() {
    let mut tracker = CrashTracker::default();
    for second in [0.0, 0.3, 0.9, 1.4] {
        let report = report("t", &[CRASHING]);
        tracker.record_crash(at(second), Duration::ZERO, &report);
    }
    assert!(!is_refused(&mut tracker, 2.0, &[CRASHING]));
    for second in [4.0, 8.0] {
        let report = report("t", &[CRASHING]);
        tracker.record_crash(at(second), Duration::ZERO, &report);
    }
    assert!(is_refused(&mut tracker, 9.0, &[CRASHING]));
}

/// The requests of all targets of a failed rack are broken off at once.
#[test]
fn simultaneous_crashes_count_once() {
    let mut tracker = CrashTracker::default();
    crash(&mut tracker, &[5.0, 5.01, 5.02, 5.03, 5.04], &[SHARED]);
    assert!(!is_refused(&mut tracker, 6.0, &[SHARED]));
}

/// While targets crash, popular parts are among the requests that each of them breaks off.
#[test]
fn served_part_is_cleared() {
    let mut tracker = CrashTracker::default();
    crash(&mut tracker, &[1.0, 2.0], &[SHARED]);
    let change = tracker.record_served(at(2.5), None, &[SHARED]);
    assert_eq!(change.cleared, [SHARED]);
    crash(&mut tracker, &[3.0, 4.0, 5.0, 6.0, 7.0], &[SHARED]);
    assert!(!is_refused(&mut tracker, 8.0, &[SHARED]));
    // A part that was served once may crash a new build.
    crash(&mut tracker, &[9.0], &[SHARED]);
    assert!(is_refused(&mut tracker, 10.0, &[SHARED]));
}

/// Two parts were in all requests that crashed targets. Requests with both are refused, and those with
/// one of them show which it is.
#[rstest]
#[case::shared_part_is_served(true)]
#[case::crashing_part_alone(false)]
fn parts_that_occur_together_are_told_apart(#[case] is_shared_served: bool) {
    let mut tracker = CrashTracker::default();
    crash(&mut tracker, &[1.0, 2.0, 3.0], &[CRASHING, SHARED]);
    assert!(is_refused(&mut tracker, 4.0, &[9, SHARED, CRASHING]));
    // One request at a time may show it.
    let mut judge = |features: &[Feature]| tracker.judge(at(4.0), features, |_| false);
    assert_eq!(judge(&[9, SHARED]), Verdict::Tried(SHARED));
    assert_eq!(judge(&[10, SHARED]), Verdict::Refused(SHARED));
    assert_eq!(judge(&[11, CRASHING]), Verdict::Tried(CRASHING));
    let change = if is_shared_served {
        tracker.record_served(at(4.0), None, &[9, SHARED])
    } else {
        crash(&mut tracker, &[4.0], &[CRASHING])
    };
    assert_eq!(change.quarantined, [CRASHING]);
    assert!(is_refused(&mut tracker, 5.0, &[CRASHING]));
    assert!(!is_refused(&mut tracker, 5.0, &[SHARED]));
}

/// A request of the quarantined feature that was under way is served after all.
#[test]
fn quarantine_ends_when_a_request_is_served() {
    let mut tracker = CrashTracker::default();
    crash(&mut tracker, &[1.0, 2.0, 3.0], &[SHARED]);
    assert!(tracker.is_quarantined(SHARED));
    let change = tracker.record_served(at(3.5), None, &[SHARED]);
    assert_eq!(change.released, [SHARED]);
    assert!(!is_refused(&mut tracker, 4.0, &[SHARED]));
    // A peer's announcement of before arrives late.
    assert!(!tracker.record_quarantine(at(4.0), quarantine(SHARED)));
}

/// One daemon tries one request. If its target crashes, no other is tried.
#[test]
fn quarantined_part_is_tried_once() {
    let mut tracker = CrashTracker::default();
    crash(&mut tracker, &[1.0, 2.0, 3.0], &[CRASHING]);
    let due = at(3.0) + TRIAL_DELAY;
    let mut judge = |time, is_tester| tracker.judge(time, &[CRASHING], |_| is_tester);
    assert_eq!(judge(at(32.9), true), Verdict::Refused(CRASHING));
    assert_eq!(judge(due, false), Verdict::Refused(CRASHING));
    assert_eq!(judge(due, true), Verdict::Tried(CRASHING));
    assert_eq!(judge(due + at(0.1), true), Verdict::Refused(CRASHING));
    crash(&mut tracker, &[(due + at(0.5)).as_secs_f64()], &[CRASHING]);
    let verdict = tracker.judge(due * 10, &[CRASHING], |_| true);
    assert_eq!(verdict, Verdict::Refused(CRASHING));
}

/// A trial of one feature says nothing of another one that the request has, too.
#[test]
fn request_with_another_quarantined_part_is_not_tried() {
    let mut tracker = CrashTracker::default();
    tracker.record_quarantine(Time::ZERO, quarantine(SHARED));
    let confirmed = Quarantine {
        is_confirmed: true,
        ..quarantine(CRASHING)
    };
    tracker.record_quarantine(Time::ZERO, confirmed);
    let mut judge = |features: &[Feature]| tracker.judge(TRIAL_DELAY, features, |_| true);
    assert_eq!(judge(&[SHARED, CRASHING]), Verdict::Refused(CRASHING));
    assert_eq!(judge(&[SHARED]), Verdict::Tried(SHARED));
}

/// A daemon that joins after two crashes finds the cause with the third.
#[test]
fn reports_carry_over_to_a_new_daemon() {
    let mut tracker = CrashTracker::default();
    crash(&mut tracker, &[100.0, 110.0], &[CRASHING, SHARED]);
    tracker.record_served(at(111.0), None, &[SHARED]);
    let mut joined = CrashTracker::default();
    for (report, age) in tracker.reports(at(112.0)) {
        joined.record_crash(at(20.0), age, &report);
    }
    let change = crash(&mut joined, &[30.0], &[CRASHING]);
    assert_eq!(change.quarantined, [CRASHING]);
}

/// Daemons that start one after the other hand the report of one crash on, which is older than they are.
#[test]
fn reports_keep_their_age() {
    let mut reports = vec![(report("t", &[CRASHING]), Duration::from_secs(20))];
    let mut former = CrashTracker::default();
    former.record_crash(at(100.0), Duration::ZERO, &reports[0].0);
    for start in 0..4 {
        let mut started = CrashTracker::default();
        for (report, age) in &reports {
            started.record_crash(at(0.5), *age, report);
        }
        reports = started.reports(at(1.5));
        let age = Duration::from_secs(21 + start);
        assert_eq!(reports, [(report("t", &[CRASHING]), age)]);
        let delay = Duration::from_secs(2);
        former.record_crash(at(100.0) + age + delay, age, &reports[0].0);
    }
    assert!(!is_refused(&mut former, 130.0, &[CRASHING]));
}

#[test]
fn quarantine_lasts_while_requests_come() {
    let mut tracker = CrashTracker::default();
    tracker.record_quarantine(Time::ZERO, quarantine(CRASHING));
    tracker.record_quarantine(Time::ZERO, quarantine(SHARED));
    for day in [0.6, 1.2, 1.8, 2.4] {
        let verdict = tracker.judge(QUARANTINE_TTL.mul_f64(day), &[CRASHING], |_| false);
        assert_eq!(verdict, Verdict::Extended(quarantine(CRASHING)));
    }
    let verdict = tracker.judge(QUARANTINE_TTL * 2, &[SHARED], |_| false);
    assert_eq!(verdict, Verdict::Allowed);
}

#[test]
fn memory_is_bounded() {
    let mut tracker = CrashTracker::default();
    for number in 0..2_000_u64 {
        let suspects: Vec<Feature> = (0..1_000).map(|part| number << 32 | part).collect();
        let second = number as f64;
        crash(&mut tracker, &[second], &suspects);
        tracker.record_quarantine(at(second), quarantine(number));
        tracker.record_served(at(second), None, &suspects);
    }
    assert_eq!(tracker.quarantined(at(2_000.0)).count(), MAX_QUARANTINED);
    let reports = tracker.reports(at(2_000.0));
    assert!(
        reports
            .iter()
            .all(|(report, _)| report.suspects.len() <= MAX_SUSPECTS)
    );
}

#[test]
fn records_follow_the_quarantine() {
    let mut tracker = CrashTracker::default();
    tracker.record_quarantine(at(50.0), quarantine(CRASHING));
    let record = |since| Record {
        since,
        is_confirmed: false,
    };
    let mut records = Records::default();
    assert!(records.pending(at(60.0), 1_000_000, &tracker).is_empty());
    records.load([(SHARED, record(900_000))]);
    let pending = records.pending(at(60.0), 1_000_000, &tracker);
    assert_eq!(pending, [(CRASHING, Some(record(990_000))), (SHARED, None)]);
    for (feature, since) in pending {
        records.confirm(feature, since);
    }
    assert!(records.pending(at(61.0), 1_001_000, &tracker).is_empty());
}

/// Request of the simulated load: its features, and whether it crashes its target.
struct Request {
    features: Vec<Feature>,
    target: usize,
    started: Time,
}

/// Load of a pool whose targets crash under requests with one part, and for other reasons too. All
/// requests share one of a few first parts, and most of them one of many second ones.
#[rstest]
#[case::small_pool(9, 25.0, 1.0)]
#[case::often(9, 25.0, 5.0)]
#[case::large_pool(40, 150.0, 3.0)]
fn only_the_crashing_part_is_refused(
    #[case] targets: usize,
    #[case] sound_per_second: f64,
    #[case] crashing_per_second: f64,
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] seed: u64,
) {
    const STEP: f64 = 0.005;
    const DOWNTIME: f64 = 3.0;
    const ATTACK_START: f64 = 20.0;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut tracker = CrashTracker::default();
    let mut down_until = vec![0.0; targets];
    let mut running: Vec<Request> = Vec::new();
    let mut next_payload = 10_000;
    let (mut crashes, mut reached_later, mut refused_popular) = (0, 0, 0);
    for step in 0..12_000 {
        let second = f64::from(step) * STEP;
        let is_attacked = second >= ATTACK_START;
        let rates = [(sound_per_second, false), (crashing_per_second, true)];
        for (rate, is_crashing) in rates {
            let is_sent = random.random_bool(rate * STEP);
            if !is_sent || is_crashing && !is_attacked {
                continue;
            }
            next_payload += 1;
            let first = 100 + random.random_range(0..8);
            let second_part = 1_000 + random.random_range(0..170);
            let mut features = vec![next_payload, first, second_part];
            if is_crashing {
                features.insert(2, CRASHING);
            }
            let up: Vec<usize> = (0..targets)
                .filter(|&target| down_until[target] <= second)
                .collect();
            let verdict = tracker.judge(at(second), &features, |_| true);
            if let Verdict::Refused(feature) = verdict {
                let is_popular = (100..1_000).contains(&feature);
                refused_popular += usize::from(is_popular);
            } else if !up.is_empty() {
                reached_later += usize::from(is_crashing && crashes >= ALLOWED_CRASHES);
                let target = up[random.random_range(0..up.len())];
                running.push(Request {
                    features,
                    target,
                    started: at(second),
                });
            }
        }
        // A request crashes its target when its response begins; others take up to a second.
        let is_begun = |request: &Request| at(second) >= request.started + at(0.1);
        let mut failed: Vec<usize> = running
            .iter()
            .filter(|request| request.features.contains(&CRASHING) && is_begun(request))
            .map(|request| request.target)
            .collect();
        crashes += failed.len();
        if random.random_bool(0.001) {
            let first = random.random_range(0..targets);
            failed.extend((0..=targets / 4).map(|offset| (first + offset) % targets));
        }
        failed.sort_unstable();
        failed.dedup();
        for target in failed {
            let broken: Vec<Feature> = running
                .iter()
                .filter(|request| request.target == target)
                .flat_map(|request| request.features.iter().copied())
                .collect();
            running.retain(|request| request.target != target);
            down_until[target] = second + DOWNTIME;
            let report = report(&format!("t-{target}"), &broken);
            tracker.record_crash(at(second), Duration::ZERO, &report);
        }
        running.retain(|request| {
            let is_served = at(second) >= request.started + at(1.0);
            if is_served {
                let (payload, parts) = (request.features[0], &request.features[1..]);
                tracker.record_served(at(second), Some(payload), parts);
            }
            !is_served
        });
    }
    assert!(crashes >= 3, "only {crashes} crashes");
    assert!(tracker.is_quarantined(CRASHING));
    assert!(
        reached_later <= 3,
        "{reached_later} requests reached targets later"
    );
    assert_eq!(refused_popular, 0);
    // Others were in several crashes by chance, and are tried when a request has them.
    let others = tracker
        .quarantined(at(60.0))
        .filter(|other| other.feature != CRASHING);
    assert!(others.count() <= 1);
}
