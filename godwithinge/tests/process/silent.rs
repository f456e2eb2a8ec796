//! Established connections stop responding while new ones work.

use crate::common::{ClientRequest, Entry, IDEMPOTENT, NON_IDEMPOTENT, TestCluster, wait_until};
use rstest::rstest;
use std::sync::Arc;
use tokio::task::JoinSet;

/// Number of concurrent requests.
const CONCURRENT_REQUESTS: usize = 12;

/// Sends concurrent requests to a pipeline and asserts that all are answered.
async fn burst(entry: &Entry, pipeline: &str, name: &str, deadline_ms: u64) {
    let address = entry.address().await;
    let mut burst = JoinSet::new();
    for number in 0..CONCURRENT_REQUESTS {
        let request =
            ClientRequest::new(pipeline, &format!("{name}{number}")).with_deadline(deadline_ms);
        burst.spawn(async move { request.send(address).await });
    }
    while let Some(reply) = burst.join_next().await {
        let reply = reply.expect("task does not panic");
        assert_eq!(reply.outcome(), "answered", "{reply:?}");
    }
}

/// All open connections to the only target of a stage, or to the platform, stop responding.
#[rstest]
#[case::target(true)]
#[case::platform(false)]
#[tokio::test(flavor = "multi_thread")]
async fn open_connections(#[case] target: bool) {
    let cluster = TestCluster::start(1).await;
    let entry = cluster.start_ready_entry("e1").await;
    burst(&entry, NON_IDEMPOTENT, "before", 4000).await;
    if target {
        cluster.services("encoders")[0].server_handle().silence();
    } else {
        cluster.fleet.platform().server_handle().silence();
    }
    burst(&entry, NON_IDEMPOTENT, "after", 2000).await;
    for number in 0..CONCURRENT_REQUESTS {
        assert_eq!(cluster.effect_count("clerks", &format!("after{number}")), 1);
    }
}

/// Reading load reports detects a silent connection before a call uses it.
#[tokio::test(flavor = "multi_thread")]
async fn found_by_reports() {
    let cluster = TestCluster::start(1).await;
    let entry = cluster.start_ready_entry("e1").await;
    burst(&entry, IDEMPOTENT, "before", 4000).await;
    let encoder = Arc::clone(&cluster.services("encoders")[0]);
    encoder.server_handle().silence();
    wait_until("silent connections are closed", || {
        entry.log_count("silent connection was closed") > 0
    })
    .await;
}
