//! Claims are deleted after the retention period, not earlier.

use crate::common::{ClientRequest, NON_IDEMPOTENT, TestCluster, wait_until};
use std::time::{Duration, Instant};

/// Minimum retention that the settings permit: the call timeout of the non-idempotent pools.
const RETENTION: Duration = Duration::from_secs(4);

#[tokio::test(flavor = "multi_thread")]
async fn old_claims_are_deleted() {
    let cluster = TestCluster::start(2).await;
    let entry = cluster.start_entry_with("e1", "entry", "claim_retention = 4s");
    entry.wait_ready().await;
    let began = Instant::now();
    let reply = entry.send(&ClientRequest::new(NON_IDEMPOTENT, "r")).await;
    assert_eq!(reply.outcome(), "answered", "{reply:?}");
    assert!(cluster.claim_row(NON_IDEMPOTENT, "r").is_some());
    wait_until("end of the claim", || {
        cluster.claim_row(NON_IDEMPOTENT, "r").is_none()
    })
    .await;
    assert!(began.elapsed() >= RETENTION, "{:?}", began.elapsed());
}
