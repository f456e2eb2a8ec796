//! Registered targets and editions of the configuration across returns of the store from an older
//! copy.

use policy::{
    id::Time,
    relay::{
        history::{Edition, Version},
        registry::{REGISTRATION_GRACE, Registration, Registry, Target, TargetChange},
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
    registry.upsert(entry(1, 1, 1, true));
    registry.upsert(known);
    registry.upsert(offered);
    assert_eq!(has_ready_target(&registry), is_ready);
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
    registry.upsert(entry(1, 5, 7, true));
    let change = registry.remove(NOW, "i-1", false);
    assert!(matches!(change, Some(TargetChange::Gone(_))));
    registry.upsert(offered);
    assert_eq!(has_ready_target(&registry), is_ready);
}

/// A daemon that did not notice an outage learns of it from the reader that removes the target.
#[test]
fn target_missing_from_the_copy_is_kept_until_it_may_have_registered_again() {
    let mut registry = Registry::default();
    registry.upsert(entry(1, 5, 7, true));
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
