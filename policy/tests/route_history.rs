//! Pools in which streams can have begun, across changes of the configuration.

use policy::{
    id::Time,
    relay::{
        plan::{Kind, Limits, Plan, Route, WeightedPool},
        route_history::RouteHistory,
        stage::ByStage,
    },
};
use rstest::rstest;
use std::{collections::BTreeSet, time::Duration};

const HOST: &str = "fit.example";
const MAX_AGE: Duration = Duration::from_secs(40);
const CHANGE: Time = Duration::from_secs(100);

/// Returns a route, given as its path prefix and a letter for each of its pools.
fn route(spec: &str) -> Route {
    let (prefix, pools) = spec.split_once(':').expect("a prefix and pools");
    let split = pools.chars().map(|pool| WeightedPool {
        pool: pool.to_string().into(),
        weight: 1.0,
    });
    Route {
        name: prefix.into(),
        host: HOST.into(),
        prefix: prefix.into(),
        kind: Kind::Streaming,
        timeout: MAX_AGE / 2,
        objective: Duration::from_secs(1),
        priority: 0,
        split: split.collect(),
        max_attempts: 2,
        stages: ByStage::new(),
        is_public: true,
        is_resumable: true,
        gap: None,
    }
}

fn plan(routes: &str) -> Plan {
    let limits = Limits {
        header_bytes: 0,
        body_bytes: 0,
        header_timeout: Duration::ZERO,
        idle_timeout: Duration::ZERO,
    };
    let routes = routes.split_whitespace().map(route);
    Plan::new(1, limits, routes.collect(), Vec::new(), Vec::new())
}

#[rstest]
#[case::unchanged("/:a", "/:a", "a")]
#[case::other_route("/x/:a /y/:a", "/x/:a /y/:b", "a")]
#[case::split("/:ab", "/:ab", "ab")]
#[case::split_taken_away("/:ab", "/:a", "ab")]
#[case::moved("/:b", "/:a", "ab")]
#[case::longer_prefix_added("/:b", "/:b /x/:a", "ab")]
#[case::longer_prefix_removed("/:a /x/:b", "/:a", "ab")]
#[case::added("", "/x/:a", "a")]
fn pools_of_a_stream(#[case] former: &str, #[case] next: &str, #[case] expected: &str) {
    let (former, next) = (plan(former), plan(next));
    let mut history = RouteHistory::default();
    history.record(Time::ZERO, None, &former, MAX_AGE);
    history.record(CHANGE, Some(&former), &next, MAX_AGE);
    let place = (HOST, "/x/7");
    let (route, _) = next.admit(HOST, place.1, None).expect("a route matches");
    let pools = history.pools(CHANGE + MAX_AGE, route, place, MAX_AGE);
    let expected = expected.chars().map(|pool| pool.to_string().into());
    let expected: BTreeSet<_> = expected.collect();
    assert_eq!(pools, expected);
    // Streams of these pools are stored while they can be told apart by nothing else.
    let shared: Vec<_> = history.shared_pools(CHANGE + MAX_AGE, MAX_AGE).collect();
    assert_eq!(shared.contains(&&expected), expected.len() > 1);
    let later = CHANGE + MAX_AGE + Duration::from_millis(1);
    let pools = history.pools(later, route, place, MAX_AGE);
    let current = route.split.iter().map(|share| share.pool.clone());
    assert_eq!(pools, current.collect());
}
