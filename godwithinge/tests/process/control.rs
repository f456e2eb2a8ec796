//! Control traffic of a daemon stays below its limit.

use crate::common::{ClientRequest, ENGINE, Entry, TestCluster};
use serde_json::json;
use standin::fetch;
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{task::JoinSet, time};

/// Maximum control traffic of a daemon, in bytes per second.
const MAX_BYTES_PER_SECOND: f64 = 11e3;
/// Measurement window.
const WINDOW: Duration = Duration::from_secs(5);
/// Number of concurrent callers, each of which sends its requests sequentially.
const CALLER_COUNT: usize = 16;
/// Targets in each pool.
const TARGET_COUNT: usize = 24;

/// Returns the bytes of control traffic so far, without the transactions of claims and settlements.
async fn control_bytes(entry: &Entry) -> f64 {
    let body = fetch::get(entry.address().await, "/metrics").await;
    let text = String::from_utf8(body.expect("entry answers").to_vec()).expect("metrics are text");
    let lines = text
        .lines()
        .filter(|line| line.starts_with("gwi_control_bytes_total"));
    let lines = lines.filter(|line| !line.contains("platform_transactions"));
    let values = lines.filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok());
    values.sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_a_second() {
    let cluster = TestCluster::start(TARGET_COUNT).await;
    let entries = tokio::join!(
        cluster.start_entry_with_default_polling("e1"),
        cluster.start_entry_with_default_polling("e2")
    );
    entries.0.wait_linked(1).await;
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for caller in 0..CALLER_COUNT {
        let (stop, address) = (Arc::clone(&stop), entries.0.address().await);
        callers.spawn(async move {
            for number in 0.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let payload = json!({"prompt": format!("tokens=8 {caller} {number}")});
                let request = ClientRequest::new(ENGINE, &format!("r{caller}-{number}"))
                    .with_payload(payload);
                let reply = request.send(address).await;
                assert_eq!(reply.outcome(), "answered", "{reply:?}");
            }
        });
    }
    let before = control_bytes(&entries.0).await;
    time::sleep(WINDOW).await;
    let rate = (control_bytes(&entries.0).await - before) / WINDOW.as_secs_f64();
    stop.store(true, Ordering::Relaxed);
    while let Some(ended) = callers.join_next().await {
        ended.expect("task does not panic");
    }
    println!("control traffic: {rate:.0} bytes/s");
    assert!(
        rate <= MAX_BYTES_PER_SECOND,
        "control traffic of {rate} bytes/s exceeds {MAX_BYTES_PER_SECOND}"
    );
}
