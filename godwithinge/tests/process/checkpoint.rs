//! Checkpointed engine results are reused by another entry instead of being computed again.

use crate::common::{
    ClientRequest, ENGINE_CHECKPOINTED, ENGINE_UNCHECKPOINTED, TestCluster, wait_until,
    with_timeout,
};
use godwithinge::platform::Client;
use policy::{
    claim::{self, Row},
    hash,
    id::Key,
};
use rstest::rstest;
use serde_json::json;
use standin::fleet;
use std::time::Duration;
use tokio::time;

/// Number of requests whose entry is killed.
const KILL_COUNT: usize = 4;
/// Tokens generated per draft, the result of the engine stage.
const TOKENS: u32 = 40;

/// Each request's entry is killed after the draft, and its caller retries at another one; without a
/// checkpoint the draft is generated twice.
#[rstest]
#[case::kept(ENGINE_CHECKPOINTED, KILL_COUNT)]
#[case::not_kept(ENGINE_UNCHECKPOINTED, 2 * KILL_COUNT)]
#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_after_a_draft(#[case] pipeline: &str, #[case] drafts: usize) {
    let mut settings = fleet::Settings::default();
    settings.engine.tokens_per_second = 400.0;
    let cluster = TestCluster::start_with_settings(2, settings).await;
    let last = cluster.start_ready_entry("last").await;
    let address = cluster.fleet.platform().address().to_string();
    let platform = Client::new(address, Duration::from_secs(1));
    let hosts = cluster.fleet.hosts();
    for number in 0..KILL_COUNT {
        // The stage after the draft has no target until the entry is killed, so the request can't
        // complete before.
        let drafting = hosts.iter().filter(|host| host.pool != "clerks");
        cluster
            .fleet
            .platform()
            .set_hosts(drafting.cloned().collect());
        let entry = cluster.start_ready_entry(&format!("e{number}")).await;
        let payload = json!({"prompt": format!("tokens={TOKENS} of draft {number}")});
        let request = ClientRequest::new(pipeline, &format!("r{number}")).with_payload(payload);
        let kill = async {
            let before = number * drafts / KILL_COUNT;
            wait_until("draft", || completed_drafts(&cluster) == before + 1).await;
            if pipeline == ENGINE_CHECKPOINTED {
                with_timeout("kept draft", wait_for_checkpoint(&platform, &request)).await;
            }
            entry.kill();
        };
        let (reply, ()) = tokio::join!(entry.send(&request), kill);
        assert_eq!(reply.outcome(), "lost");
        cluster.fleet.platform().set_hosts(hosts.clone());
        let again = last.send(&request.as_retry()).await;
        assert_eq!(again.outcome(), "answered", "{again:?}");
        cluster
            .wait_for_claim(pipeline, &request.id, |row| matches!(row, Row::Done { .. }))
            .await;
    }
    let engines = cluster.engines();
    let engines = engines.iter().map(|it| it.counters().useful_seconds);
    let seconds: f64 = engines.sum();
    println!("{pipeline}: {seconds:.3} engine-seconds for {KILL_COUNT} answers");
    assert_eq!(completed_drafts(&cluster), drafts);
}

fn completed_drafts(cluster: &TestCluster) -> usize {
    let completed = cluster
        .engines()
        .into_iter()
        .map(|it| it.counters().completed);
    completed.sum::<u64>() as usize
}

/// Waits until the checkpoint of a request's draft is in the object store.
async fn wait_for_checkpoint(platform: &Client, request: &ClientRequest) {
    let key = Key::new(
        request.workspace.as_str(),
        request.pipeline.as_str(),
        request.id.as_str(),
    );
    let prompt = request.payload["prompt"]
        .as_str()
        .expect("payload has a prompt");
    let input = hash::bytes(prompt.as_bytes());
    let name = format!("results/{}/{input:016x}", claim::row_key(&key, 0));
    while !matches!(platform.object(&name).await, Ok(Some(_))) {
        time::sleep(Duration::from_millis(5)).await;
    }
}
