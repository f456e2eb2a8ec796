//! A workspace ceiling is enforced across several entry processes.

use crate::common::{ClientRequest, Entry, IDEMPOTENT, POLL_INTERVAL, TestCluster, with_timeout};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::{
    task::JoinSet,
    time::{self, Instant},
};

/// Ceiling of the workspace, in requests per second.
const CEILING: f64 = 20.0;
/// Offered load at the first and the second entry, in requests per second.
const OFFERED: [f64; 2] = [24.0, 6.0];
/// Warm-up until the entries' parts of the ceiling have followed the uneven demand.
const WARM_UP: Duration = Duration::from_secs(12);
/// Measurement window; not below the ten seconds over which the ceiling must hold.
const WINDOW: Duration = Duration::from_secs(20);

/// Sends requests at a constant rate until `end` and counts those answered from `from` on.
async fn offer(entry: Arc<Entry>, name: usize, from: Instant, end: Instant, count: Arc<AtomicU32>) {
    let mut requests = JoinSet::new();
    let mut ticks = time::interval(Duration::from_secs_f64(1.0 / OFFERED[name]));
    let mut number = 0;
    while ticks.tick().await < end {
        number += 1;
        let request = ClientRequest::new(IDEMPOTENT, &format!("c{name}-{number}"));
        let (entry, count) = (Arc::clone(&entry), Arc::clone(&count));
        requests.spawn(async move {
            let reply = entry.send(&request).await;
            let counted = (from..end).contains(&Instant::now());
            if counted && reply.outcome() == "answered" {
                count.fetch_add(1, Ordering::Relaxed);
            }
        });
    }
    while requests.join_next().await.is_some() {}
}

/// Two entries with uneven demand above the ceiling exceed it by at most 5%.
#[tokio::test(flavor = "multi_thread")]
async fn is_kept() {
    let utilization = ceiling_utilization().await;
    assert!(utilization <= 1.05, "{utilization} of the ceiling was used");
}

/// Two entries with uneven demand above the ceiling use at least 95% of it.
#[tokio::test(flavor = "multi_thread")]
async fn can_be_used() {
    let utilization = ceiling_utilization().await;
    assert!(utilization >= 0.95, "{utilization} of the ceiling was used");
}

/// Returns the utilization of the ceiling by two entries with uneven demand above it.
async fn ceiling_utilization() -> f64 {
    let cluster = TestCluster::start(2).await;
    let mut table = cluster.fleet.deployment().table.clone();
    table.revision = 2;
    let tailors = table
        .workspaces
        .get_mut("tailors")
        .expect("workspace has a row");
    tailors.ceiling = Some(CEILING);
    cluster.fleet.platform().set_table(&table);
    let one = Arc::new(cluster.start_ready_entry("e1").await);
    let seeds = one.peer_address().await.to_string();
    let two = Arc::new(cluster.start_entry_with("e2", "peers", &format!("seeds = {seeds}")));
    two.wait_ready().await;
    for entry in [&one, &two] {
        entry.wait_linked(1).await;
        let held = async {
            while entry.status().await["revision"] != 2 {
                time::sleep(POLL_INTERVAL).await;
            }
        };
        with_timeout("revision", held).await;
    }
    let (from, end) = (Instant::now() + WARM_UP, Instant::now() + WARM_UP + WINDOW);
    let count = Arc::new(AtomicU32::new(0));
    let offers = [one, two].into_iter().enumerate();
    let offers: Vec<_> = offers
        .map(|(name, entry)| tokio::spawn(offer(entry, name, from, end, Arc::clone(&count))))
        .collect();
    for offer in offers {
        offer.await.expect("task does not panic");
    }
    f64::from(count.load(Ordering::Relaxed)) / (CEILING * WINDOW.as_secs_f64())
}
