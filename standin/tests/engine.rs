//! Tests of an engine's fake.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Method, Response, body::Incoming};
use rstest::rstest;
use serde_json::{Value, json};
use standin::{
    engine::{self, text},
    fetch,
};
use std::time::Duration;

/// Bound on each wait for a state.
const PATIENCE: Duration = Duration::from_secs(10);

async fn start(change: impl FnOnce(&mut engine::Settings)) -> engine::Server {
    let mut settings = engine::Settings {
        tokens_per_second: 1000.0,
        ..engine::Settings::default()
    };
    change(&mut settings);
    engine::start(settings).await.expect("a free port")
}

async fn open(
    server: &engine::Server,
    prompt: &str,
    resume: &str,
) -> Result<Response<Incoming>, fetch::Error> {
    let body = json!({
        "model": "base",
        "prompt": prompt,
        "max_tokens": 8,
        "stream": true,
        "priority": 0,
        "user": "tailors",
        "resume": resume,
    });
    let body = Bytes::from(body.to_string());
    let headers = [("x-request-id", "token-1")];
    fetch::send(
        server.address(),
        Method::POST,
        "/v1/completions",
        body,
        &headers,
    )
    .await
}

/// Returns the text of a stream and whether it came to its end.
async fn read(response: Response<Incoming>) -> (String, bool) {
    let Ok(body) = response.into_body().collect().await else {
        return (String::new(), false);
    };
    let body = String::from_utf8(body.to_bytes().to_vec()).expect("UTF-8");
    let data = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let events: Vec<_> = data.collect();
    let texts = events.iter().filter_map(|event| {
        let event: Value = serde_json::from_str(event).ok()?;
        Some(event["choices"][0]["text"].as_str()?.to_owned())
    });
    (texts.collect(), events.last() == Some(&"[DONE]"))
}

async fn wait(what: &str, state: impl Fn() -> bool) {
    let poll = async {
        while !state() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let done = tokio::time::timeout(PATIENCE, poll).await;
    done.unwrap_or_else(|_| panic!("never came: {what}"));
}

#[rstest]
#[case::whole("hello", 0, 8)]
#[case::short("hello tokens=3", 0, 3)]
#[case::resumed("hello", 5, 8)]
#[tokio::test]
async fn stream_is_whole(#[case] prompt: &str, #[case] first: u32, #[case] count: u32) {
    let server = start(|_| ()).await;
    let whole = text::answer(prompt, count);
    let resume = text::answer(prompt, first);
    let response = open(&server, prompt, &resume).await.expect("a stream");
    let (text, ended) = read(response).await;
    assert_eq!((resume + &text, ended), (whole, true));
    assert_eq!(server.counters().useful_tokens, u64::from(count - first));
}

#[tokio::test]
async fn closed_stream_is_cancelled() {
    let server = start(|settings| settings.tokens_per_second = 10.0).await;
    let response = open(&server, "hello", "").await.expect("a stream");
    drop(response);
    wait("cancel", || server.counters().cancelled == 1).await;
    assert_eq!(server.counters().completed, 0);
}

#[tokio::test]
async fn marked_payload_ends_the_engine() {
    let server = start(|_| ()).await;
    let prompt = r#"{"crash":"engine"}"#;
    let response = open(&server, prompt, "").await.expect("a stream");
    assert!(!read(response).await.1, "the stream ended well");
    wait("end", || server.server_handle().is_terminated()).await;
    assert!(
        open(&server, "hello", "").await.is_err(),
        "it still answers"
    );
}

#[tokio::test]
async fn silent_connection_leaves_new_ones() {
    let server = start(|settings| settings.faults.stall = true).await;
    let old = open(&server, "hello", "").await.expect("a stream");
    server.control(|settings| settings.faults.silent = true);
    server.control(|settings| settings.faults.stall = false);
    let new = open(&server, "hello", "").await.expect("a stream");
    assert!(read(new).await.1, "the new stream has no end");
    wait("both ran", || server.counters().completed == 2).await;
    let pause = Duration::from_millis(50);
    let late = tokio::time::timeout(pause, read(old)).await;
    assert!(late.is_err(), "the old stream is not silent");
}

#[tokio::test]
async fn cached_prompt_is_not_read_again() {
    let server = start(|settings| settings.cache_blocks = 2).await;
    let prompt = "x".repeat(2 * engine::BLOCK);
    for _ in 0..2 {
        let response = open(&server, &prompt, "").await.expect("a stream");
        assert!(read(response).await.1, "the stream has no end");
    }
    let counters = server.counters();
    assert_eq!((counters.prefill_tokens, counters.cached_tokens), (32, 32));
    let other = "y".repeat(engine::BLOCK);
    let response = open(&server, &other, "").await.expect("a stream");
    assert!(read(response).await.1, "the stream has no end");
    let events = fetch::get(server.address(), "/cache?after=0").await;
    let events: Value = serde_json::from_slice(&events.expect("events")).expect("JSON");
    let changes: Vec<_> = events["events"]
        .as_array()
        .expect("a list")
        .iter()
        .filter_map(|event| event["change"].as_str())
        .collect();
    assert_eq!(changes, ["stored", "stored", "removed"]);
    assert_eq!(
        events["events"][2]["blocks"][0],
        json!(engine::blocks(&prompt)[1])
    );
}

#[rstest]
#[case::refused(true, 409)]
#[case::ignored(false, 200)]
#[tokio::test]
async fn old_fence_is_refused_by_fenced_engines(#[case] fenced: bool, #[case] status: u16) {
    let server = start(|settings| settings.fenced = fenced).await;
    for (fence, expected) in [(7, 200), (6, status)] {
        let order = json!({"fence": fence, "models": ["base", "large"]});
        let body = Bytes::from(order.to_string());
        let sent = fetch::send(server.address(), Method::POST, "/orders", body, &[]).await;
        assert_eq!(sent.expect("an answer").status(), expected);
    }
    wait("load", || server.models().len() == 2).await;
}
