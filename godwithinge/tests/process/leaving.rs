//! A target in state `leaving` receives no new calls.

use crate::common::{ClientRequest, IDEMPOTENT, NON_IDEMPOTENT, TestCluster};
use policy::host::State;
use rstest::rstest;
use std::time::Duration;
use tokio::time;

/// Maximum time from the change of the host list until the target receives no new calls.
const MAX_REACTION_TIME: Duration = Duration::from_secs(3);

/// The host list marks a target as leaving under load, optionally followed by a platform outage.
#[rstest]
#[case::platform_up(IDEMPOTENT, "encoders", false)]
#[case::platform_out(IDEMPOTENT, "encoders", true)]
#[case::claims(NON_IDEMPOTENT, "clerks", false)]
#[tokio::test(flavor = "multi_thread")]
async fn leaving(#[case] pipeline: &str, #[case] pool: &str, #[case] outage: bool) {
    let cluster = TestCluster::start(2).await;
    // One target alone has too little concurrency for the load, so calls would go to the leaving
    // one if it were still eligible.
    cluster.configure_services(pool, |it| {
        (it.time_ms, it.width) = (20.0, 2);
    });
    let entry = cluster.start_ready_entry("e1").await;
    let leaving_target = &cluster.services(pool)[0];
    let name = leaving_target.settings().target;
    let load = |from: usize, count: usize| {
        let requests = (from..from + count).map(|n| ClientRequest::new(pipeline, &format!("r{n}")));
        let requests: Vec<_> = requests.collect();
        let entry = &entry;
        async move {
            for chunk in requests.chunks(8) {
                let mut sent = tokio::task::JoinSet::new();
                let address = entry.address().await;
                for request in chunk {
                    let request = request.clone();
                    sent.spawn(async move { request.send(address).await });
                }
                while let Some(reply) = sent.join_next().await {
                    let reply = reply.expect("task does not panic");
                    assert_eq!(reply.outcome(), "answered", "{reply:?}");
                }
            }
        }
    };
    load(0, 40).await;
    assert!(leaving_target.counters().calls > 0, "the target was in use");
    let mut hosts = cluster.fleet.platform().hosts();
    let host = hosts.iter_mut().find(|host| host.target == name);
    host.expect("target is listed").state = State::Leaving;
    cluster.fleet.platform().set_hosts(hosts);
    let end = time::Instant::now() + MAX_REACTION_TIME;
    if outage {
        // The test cluster polls the host list every 100 ms, so the entry has read the change.
        load(100, 40).await;
        time::sleep(Duration::from_millis(500)).await;
        cluster.fleet.platform().control(|it| it.outage = true);
    }
    let mut number = 1000;
    while time::Instant::now() < end {
        load(number, 16).await;
        number += 16;
    }
    let calls = leaving_target.counters().calls;
    load(100_000, 80).await;
    assert_eq!(leaving_target.counters().calls, calls);
}
