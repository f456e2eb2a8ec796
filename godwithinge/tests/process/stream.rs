//! Answers are complete even if connections, entries or engines fail mid-stream.

use crate::common::{ClientRequest, ENGINE, IDEMPOTENT, TestCluster, wait_until};
use rstest::rstest;
use serde_json::{Value, json};
use std::sync::atomic::Ordering;
use tokio::task::JoinSet;

const TOKENS: u64 = 30;

fn summary(request: &str) -> ClientRequest {
    ClientRequest::new(ENGINE, request)
        .with_payload(json!({"prompt": format!("tokens={TOKENS} {request}")}))
}

fn join(parts: &[(u64, String)]) -> String {
    parts.iter().map(|(_, text)| text.as_str()).collect()
}

/// Returns the full text of an `answered` outcome.
fn text(outcome: &Value) -> &str {
    assert_eq!(outcome["outcome"], "answered", "{outcome}");
    outcome["answer"]["text"]
        .as_str()
        .expect("answer has a text")
}

/// The caller disconnects mid-stream and resumes at the same or another entry without gaps or
/// duplicates.
#[rstest]
#[case::same_entry(false)]
#[case::other_entry(true)]
#[tokio::test(flavor = "multi_thread")]
async fn stream_resumed(#[case] elsewhere: bool) {
    let cluster = TestCluster::start(2).await;
    let (one, two) = tokio::join!(
        cluster.start_ready_entry("e1"),
        cluster.start_ready_entry("e2")
    );
    let request = summary("r");
    let (mut parts, outcome) = request.stream(one.address().await, None, 7).await;
    assert_eq!((parts.len(), outcome), (7, None));
    let other = if elsewhere { &two } else { &one };
    let address = other.address().await;
    let (rest, outcome) = request
        .as_retry()
        .stream(address, Some(6), usize::MAX)
        .await;
    parts.extend(rest);
    let numbers: Vec<u64> = parts.iter().map(|(number, _)| *number).collect();
    assert_eq!(numbers, (0..TOKENS).collect::<Vec<_>>());
    assert_eq!(join(&parts), text(&outcome.expect("outcome comes")));
}

/// The entry is killed mid-stream, and the caller resumes at another one.
#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_mid_stream() {
    let cluster = TestCluster::start(2).await;
    let (one, two) = tokio::join!(
        cluster.start_ready_entry("e1"),
        cluster.start_ready_entry("e2")
    );
    let request = summary("r");
    let kill = async {
        wait_until("parts", || {
            request.parts_received.load(Ordering::Relaxed) > 4
        })
        .await;
        one.kill();
    };
    let address = one.address().await;
    let ((first, outcome), ()) = tokio::join!(request.stream(address, None, usize::MAX), kill);
    assert_eq!(outcome, None);
    let last = first.last().map(|(number, _)| *number);
    let (rest, outcome) = request
        .as_retry()
        .stream(two.address().await, last, usize::MAX)
        .await;
    let whole = join(&first) + &join(&rest);
    assert_eq!(whole, text(&outcome.expect("outcome comes")));
}

/// The engine dies or stalls mid-stream, and the stream continues on another engine.
#[rstest]
#[case::killed(true)]
#[case::stalled(false)]
#[tokio::test(flavor = "multi_thread")]
async fn engine_lost_mid_stream(#[case] killed: bool) {
    let cluster = TestCluster::start(2).await;
    let entry = cluster.start_ready_entry("e1").await;
    let request = summary("r").with_deadline(8000);
    let lose = async {
        let engines = cluster.engines();
        wait_until("parts", || {
            request.parts_received.load(Ordering::Relaxed) > 4
        })
        .await;
        let engine = engines.iter().find(|it| it.counters().calls > 0);
        let engine = engine.expect("one has a call");
        if killed {
            engine.stop().await;
        } else {
            engine.control(|it| it.faults.stall = true);
        }
    };
    let address = entry.address().await;
    let ((parts, outcome), ()) = tokio::join!(request.stream(address, None, usize::MAX), lose);
    assert_eq!(join(&parts), text(&outcome.expect("outcome comes")));
    assert_eq!(parts.len() as u64, TOKENS);
}

/// Two of three targets of a stage stall; all requests are answered.
#[tokio::test(flavor = "multi_thread")]
async fn stage_stalled() {
    let cluster = TestCluster::start(3).await;
    // The third target alone has too little concurrency for the load.
    cluster.configure_services("encoders", |it| {
        (it.time_ms, it.width) = (20.0, 2);
    });
    let entry = cluster.start_ready_entry("e1").await;
    let encoders = cluster.services("encoders");
    for stalled in &encoders[..2] {
        stalled.control(|it| it.faults.stall = true);
    }
    let address = entry.address().await;
    let mut burst = JoinSet::new();
    for number in 0..8 {
        let request = ClientRequest::new(IDEMPOTENT, &format!("r{number}"));
        burst.spawn(async move { request.send(address).await });
    }
    while let Some(reply) = burst.join_next().await {
        let reply = reply.expect("task does not panic");
        assert_eq!(reply.outcome(), "answered", "{reply:?}");
    }
    assert!(encoders[..2].iter().any(|it| it.counters().calls > 0));
}

/// Requests with the same identifier in different workspaces are independent.
#[tokio::test(flavor = "multi_thread")]
async fn equal_ids_in_two_workspaces() {
    let cluster = TestCluster::start(2).await;
    let entry = cluster.start_ready_entry("e1").await;
    let one = ClientRequest::new("order", "r");
    let mut two = one.clone();
    two.workspace = "fitters".into();
    let (first, second) = tokio::join!(entry.send(&one), entry.send(&two));
    for (reply, request) in [(first, &one), (second, &two)] {
        let crate::common::Reply::Body(200, body) = reply else {
            panic!("{reply:?}");
        };
        assert_eq!(body["answer"]["workspace"], request.workspace.as_str());
    }
    assert_eq!(cluster.effect_count("clerks", "r"), 2);
}
