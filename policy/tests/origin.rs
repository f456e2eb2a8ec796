//! Builds at which streams began, as daemons come and go.

use policy::{
    id::HostId,
    relay::origin::{MAX_STORED_STREAMS, Origin, Origins, asked_daemons, keepers, stream_hash},
};
use rstest::rstest;
use std::time::Duration;

const STREAMS: usize = 200;

fn origin(pool: Option<&str>, build: &str) -> Origin {
    Origin {
        pool: pool.map(Into::into),
        build: build.into(),
    }
}

fn fleet(size: usize) -> Vec<HostId> {
    (0..size).map(|index| format!("h{index}").into()).collect()
}

fn without(fleet: &[HostId], excluded: &[&HostId]) -> Vec<HostId> {
    let others = fleet.iter().filter(|host| !excluded.contains(host));
    others.cloned().collect()
}

/// A caller takes its stream up at any other daemon after the one that forwarded it has failed alone
/// or together with another one. That daemon is a keeper itself or asks one.
#[rstest]
#[case::small_fleet(7, STREAMS)]
#[case::large_fleet(90, 10)]
fn build_is_found_after_failures(#[case] size: usize, #[case] streams: usize) {
    let fleet = fleet(size);
    for number in 0..streams {
        let stream = format!("s{number}");
        let forwarder = &fleet[number % size];
        let keepers = keepers(&stream, without(&fleet, &[forwarder]));
        for second in &fleet {
            let failed = [forwarder, second];
            for asking in without(&fleet, &failed) {
                let peers = without(&fleet, &[forwarder, second, &asking]);
                let asked = asked_daemons(&stream, peers);
                let is_found = keepers.contains(&asking)
                    || keepers.iter().any(|keeper| asked.contains(keeper));
                assert!(
                    is_found,
                    "{stream} at {asking} after the loss of {failed:?}"
                );
            }
        }
    }
}

/// The keepers are spread over the fleet.
#[test]
fn keepers_share_the_load() {
    let fleet = fleet(10);
    for host in &fleet {
        let kept = (0..STREAMS).filter(|number| {
            let keepers = keepers(&format!("s{number}"), fleet.clone());
            keepers.contains(host)
        });
        let kept = kept.count();
        assert!(
            (20..=60).contains(&kept),
            "{host} keeps {kept} of {STREAMS}"
        );
    }
}

/// Old entries make room for new ones.
#[test]
fn number_of_streams_is_bounded() {
    let mut origins = Origins::default();
    let insert = |origins: &mut Origins, at: u64, number: usize| {
        let stream = format!("s{number}").into();
        origins.insert(Duration::from_secs(at), stream, origin(None, "v1"));
    };
    for number in 0..20_000 {
        insert(&mut origins, 0, number);
    }
    assert!(origins.get("s0").is_some());
    assert!(origins.get("s19999").is_none());
    insert(&mut origins, 61, 20_000);
    assert!(origins.get("s0").is_none());
    assert!(origins.get("s20000").is_some());
}

/// A build that turned out to be wrong is replaced by an empty one.
#[test]
fn withdrawn_build_is_unknown() {
    let mut origins = Origins::default();
    let now = Duration::from_secs(1);
    origins.insert(now, "s-1".into(), origin(None, "v1"));
    origins.insert(now, "s-1".into(), origin(None, ""));
    assert_eq!(origins.get("s-1"), None);
    // Whoever keeps it next must not go on with the former build either.
    assert_eq!(origins.recent(now).count(), 1);
}

/// A peer of an earlier version tells the build alone.
#[rstest]
#[case::same_build("v1", Some("model"))]
#[case::other_build("v2", None)]
fn known_pool_is_kept_with_its_build(#[case] build: &str, #[case] expected: Option<&str>) {
    let mut origins = Origins::default();
    origins.insert_forwarded(NOW, "s-1".into(), origin(Some("model"), "v1"));
    origins.insert(NOW, "s-1".into(), origin(None, build));
    assert_eq!(origins.get("s-1"), Some(&origin(expected, build)));
}

/// Time for which streams may be taken up.
const MAX_AGE: Duration = Duration::from_secs(40);
const NOW: Duration = Duration::from_secs(100);
/// A moment at which a stream began that may not be taken up any more at [`NOW`].
const LONG_AGO: Duration = Duration::from_secs(59);

/// Returns the hashes of the streams to store, whose pool has several builds.
fn stored(origins: &Origins, now: Duration) -> Vec<u64> {
    let stored = origins.stored(now, MAX_AGE, |pool| pool == "model");
    stored.into_iter().map(|(stream, ..)| stream).collect()
}

#[test]
fn streams_that_may_be_taken_up_are_stored() {
    let mut origins = Origins::default();
    let mut forward = |at, stream: &str, build: &str, pool: &str| {
        origins.insert_forwarded(at, stream.into(), origin(Some(pool), build));
    };
    forward(LONG_AGO, "old", "v1", "model");
    forward(LONG_AGO + MAX_AGE, "open", "v1", "model");
    forward(NOW, "newest", "v2", "model");
    forward(NOW, "of_a_pool_with_one_build", "v1", "other");
    forward(NOW, "of_unknown_build", "", "model");
    origins.insert(NOW, "of_a_peer".into(), origin(Some("model"), "v1"));
    origins.insert(NOW, "newest".into(), origin(None, "v2"));
    let expected = ["newest", "open"].map(stream_hash);
    assert_eq!(stored(&origins, NOW), expected);
    // Its last bytes may not have reached the caller.
    origins.record_completion(NOW, "newest");
    assert_eq!(stored(&origins, NOW + Duration::from_secs(1)), expected);
    assert_eq!(
        stored(&origins, NOW + Duration::from_secs(2)),
        expected[1..]
    );
}

/// The newest streams are stored if there are too many for a row.
#[test]
fn stored_streams_are_bounded() {
    let mut origins = Origins::default();
    for number in 0..=MAX_STORED_STREAMS as u64 {
        let at = Duration::from_millis(number);
        let stream = format!("s{number}").into();
        origins.insert_forwarded(at, stream, origin(Some("model"), "v1"));
    }
    let stored = stored(&origins, Duration::from_secs(6));
    assert_eq!(stored.len(), MAX_STORED_STREAMS);
    assert!(!stored.contains(&stream_hash("s0")));
}
