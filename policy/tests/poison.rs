//! Quarantine of payloads that crash targets.

use policy::{
    hash,
    id::{TargetId, Time},
    poison::{self, PoisonTracker, Status},
};
use rstest::rstest;

/// Fingerprint of the tested payload.
const FINGERPRINT: u64 = 7;

fn at(seconds: u64) -> Time {
    Time::from_secs(seconds)
}

fn names(targets: &[&str]) -> Vec<TargetId> {
    targets.iter().copied().map(Into::into).collect()
}

fn suspect(targets: &[&str]) -> Status {
    Status::Suspect {
        targets: names(targets),
    }
}

#[rstest]
#[case::none(&[], Status::Clear)]
#[case::one(&[(0, "a")], suspect(&["a"]))]
#[case::two(&[(0, "a"), (0, "b")], Status::Quarantined)]
#[case::two_reports_of_one_crash(&[(0, "a"), (0, "a")], suspect(&["a"]))]
#[case::same_target_after_its_restart(&[(0, "a"), (9, "a")], Status::Quarantined)]
fn two_crashes_quarantine(#[case] crashes: &[(u64, &str)], #[case] expected: Status) {
    let mut poison = PoisonTracker::new(8);
    for (time, target) in crashes {
        let status = poison.record_crash(at(*time), FINGERPRINT, &TargetId::from(*target));
        assert_eq!(status, poison.status(FINGERPRINT));
    }
    assert_eq!(poison.status(FINGERPRINT), expected);
}

#[rstest]
#[case::new(&[], &["a"], true, suspect(&["a"]))]
#[case::known(&["a"], &["a"], false, suspect(&["a"]))]
#[case::another(&["a"], &["b"], true, Status::Quarantined)]
#[case::peer_saw_two_crashes(&["a"], &["a", "a"], true, Status::Quarantined)]
#[case::nothing(&[], &[], false, Status::Clear)]
fn crashes_known_to_peers_are_merged(
    #[case] local: &[&str],
    #[case] remote: &[&str],
    #[case] is_new: bool,
    #[case] expected: Status,
) {
    let mut poison = PoisonTracker::new(8);
    poison.merge(at(0), FINGERPRINT, &names(local));
    assert_eq!(poison.merge(at(1), FINGERPRINT, &names(remote)), is_new);
    assert!(!poison.merge(at(2), FINGERPRINT, &names(remote)));
    assert_eq!(poison.status(FINGERPRINT), expected);
}

#[rstest]
#[case::suspect(&["a"], Status::Clear)]
#[case::quarantined(&["a", "b"], Status::Quarantined)]
fn a_completed_run_clears_only_a_suspect(#[case] crashes: &[&str], #[case] expected: Status) {
    let mut poison = PoisonTracker::new(8);
    poison.merge(at(0), FINGERPRINT, &names(crashes));
    poison.clear_suspect(FINGERPRINT);
    assert_eq!(poison.status(FINGERPRINT), expected);
}

#[rstest]
#[case::suspect(&["a"], 14 * 60, 1)]
#[case::old_suspect(&["a"], 15 * 60, 0)]
#[case::quarantined(&["a", "b"], 23 * 3_600, 1)]
#[case::old_quarantine(&["a", "b"], 24 * 3_600, 0)]
fn records_expire(#[case] crashes: &[&str], #[case] seconds: u64, #[case] left: usize) {
    let mut poison = PoisonTracker::new(8);
    poison.merge(at(0), FINGERPRINT, &names(crashes));
    poison.expire(at(seconds));
    assert_eq!(poison.len(), left);
}

#[test]
fn memory_is_bounded_and_quarantines_outlast_suspects() {
    let mut poison = PoisonTracker::new(3);
    poison.merge(at(0), FINGERPRINT, &names(&["a", "b"]));
    for fingerprint in 100..200 {
        poison.record_crash(at(fingerprint), fingerprint, &"c".into());
    }
    assert_eq!(poison.len(), 3);
    assert_eq!(poison.status(FINGERPRINT), Status::Quarantined);
    assert_eq!(poison.status(199), suspect(&["c"]));
}

#[rstest]
#[case("w", "p", "x", true)]
#[case("v", "p", "x", false)]
#[case("w", "px", "", false)]
#[case("wp", "", "x", false)]
fn fingerprints_depend_on_workspace_pipeline_and_payload(
    #[case] workspace: &str,
    #[case] pipeline: &str,
    #[case] payload: &str,
    #[case] same: bool,
) {
    let other = poison::fingerprint(&workspace.into(), &pipeline.into(), payload);
    let known = poison::fingerprint(&"w".into(), &"p".into(), "x");
    assert_eq!(other == known, same);
}

#[test]
fn hashes_are_those_of_fnv_1a() {
    assert_eq!(hash::bytes(b""), 0xcbf2_9ce4_8422_2325);
    assert_eq!(hash::bytes(b"a"), 0xaf63_dc4c_8601_ec8c);
    assert_eq!(hash::bytes(b"foobar"), 0x8594_4171_f739_67e8);
    let prompt = "x".repeat(130);
    let expected = [
        hash::bytes(&prompt.as_bytes()[..64]),
        hash::bytes(&prompt.as_bytes()[..128]),
    ];
    assert_eq!(hash::blocks(&prompt), expected);
}
