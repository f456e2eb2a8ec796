//! Distribution of the table of weights and limits to the entries.

use crate::common::{ClientRequest, IDEMPOTENT, TestCluster, wait_until};
use standin::platform::Server;

/// Writes the unchanged table with a higher revision.
fn write_revision(platform: &Server, cluster: &TestCluster, revision: u64) {
    let mut table = cluster.fleet.deployment().table.clone();
    table.revision = revision;
    platform.set_table(&table);
}

/// An entry that starts during a platform outage gets the table and the host list from its peers.
#[tokio::test(flavor = "multi_thread")]
async fn started_in_outage() {
    let cluster = TestCluster::start(1).await;
    let one = cluster.start_ready_entry("e1").await;
    cluster.fleet.platform().control(|it| it.outage = true);
    let seeds = one.peer_address().await.to_string();
    let two = cluster.start_entry_with("e2", "peers", &format!("seeds = {seeds}"));
    wait_until("table", || two.log_count("table in force") == 1).await;
    let status = two.status().await;
    assert_eq!(
        (&status["ready"], &status["revision"]),
        (&true.into(), &1.into()),
        "{status}"
    );
    wait_until("host list", || two.log_count("hosts in force") == 1).await;
    let reply = two.send(&ClientRequest::new(IDEMPOTENT, "r")).await;
    assert_eq!(reply.outcome(), "answered", "{reply:?}");
}

/// The platform returns an older table; the entry keeps the newer one and logs an alarm.
#[tokio::test(flavor = "multi_thread")]
async fn older_answer() {
    let cluster = TestCluster::start(1).await;
    let entry = cluster.start_ready_entry("e1").await;
    let platform = cluster.fleet.platform();
    let old = platform
        .row("weights", "revision")
        .expect("table is written");
    write_revision(platform, &cluster, 2);
    wait_until("higher revision", || entry.log_count("table in force") == 2).await;
    platform.control(|it| it.stale = old.version);
    let alarm = "platform answered a lower revision of the table";
    wait_until("alarm", || entry.log_count(alarm) > 0).await;
    assert_eq!(entry.status().await["revision"], 2);
    let reply = entry.send(&ClientRequest::new(IDEMPOTENT, "r")).await;
    assert_eq!(reply.outcome(), "answered", "{reply:?}");
    assert_eq!(entry.log_count("table in force"), 2);
}
