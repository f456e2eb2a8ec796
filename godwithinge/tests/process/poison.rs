//! A payload that crashes every target that runs it is quarantined.

use crate::common::{ClientRequest, ENGINE, IDEMPOTENT, Reply, TestCluster};
use rstest::rstest;
use serde_json::json;
use standin::fleet::Node;

/// Maximum number of targets that one payload may crash in the whole fleet.
const MAX_CRASHES: usize = 2;
/// Targets in each pool.
const TARGET_COUNT: usize = 6;

fn crashed_targets(cluster: &TestCluster, pool: &str) -> usize {
    let services = cluster.fleet.pool(pool).map(Node::server);
    let services = services
        .filter(|it| it.server_handle().is_terminated())
        .count();
    let engines = cluster.engines();
    let engines = engines
        .iter()
        .filter(|it| it.server_handle().is_terminated())
        .count();
    services + engines
}

/// The caller resends the payload with the same and with new request identifiers through all
/// entries.
#[rstest]
#[case::service(IDEMPOTENT, "encoders")]
#[case::engine(ENGINE, "engines")]
#[tokio::test(flavor = "multi_thread")]
async fn sent_again(#[case] pipeline: &str, #[case] pool: &str) {
    let cluster = TestCluster::start(TARGET_COUNT).await;
    let entries = tokio::join!(
        cluster.start_ready_entry("e1"),
        cluster.start_ready_entry("e2"),
        cluster.start_ready_entry("e3")
    );
    let entries = [entries.0, entries.1, entries.2];
    for entry in &entries {
        entry.wait_linked(entries.len() - 1).await;
    }
    let request = ClientRequest::new(pipeline, "r").with_payload(json!({"crash": pool}));
    let mut new = request.clone();
    for (number, entry) in entries.iter().cycle().take(6).enumerate() {
        new.id = format!("r{number}");
        for request in [request.as_retry(), new.clone()] {
            let reply = entry.send(&request).await;
            let Reply::Body(502, body) = &reply else {
                panic!("{reply:?}");
            };
            assert_eq!(body["reason"], "quarantined", "{body}");
        }
    }
    let crashed = crashed_targets(&cluster, pool);
    assert!(
        (1..=MAX_CRASHES).contains(&crashed),
        "{crashed} targets crashed"
    );
    let other = ClientRequest::new(pipeline, "other").with_payload(json!({"prompt": "tokens=4"}));
    for entry in &entries {
        let reply = entry.send(&other).await;
        assert_eq!(reply.outcome(), "answered", "{reply:?}");
    }
}
