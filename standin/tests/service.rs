//! Tests of a plain service's fake.

use bytes::Bytes;
use hyper::{Method, StatusCode};
use rstest::rstest;
use serde_json::json;
use standin::{fetch, service};
use std::time::Duration;

async fn call(server: &service::Server, payload: &str) -> Result<StatusCode, fetch::Error> {
    let body = json!({
        "request": "fit-1",
        "workspace": "tailors",
        "stage": 0,
        "input": {"payload": {"crash": payload}, "results": {}},
    });
    let body = Bytes::from(body.to_string());
    let headers = [("idempotency-key", "tailors/fit-1/0")];
    let answer = fetch::send(server.address(), Method::POST, "/call", body, &headers).await?;
    Ok(answer.status())
}

#[rstest]
#[case::well(0.0, 200, 1)]
#[case::failed(1.0, 500, 0)]
#[tokio::test]
async fn effects_are_counted(#[case] fail: f64, #[case] status: u16, #[case] effects: u64) {
    let settings = service::Settings {
        fail,
        lookup: true,
        ..service::Settings::default()
    };
    let server = service::start(settings).await.expect("a free port");
    for _ in 0..2 {
        let answer = call(&server, "none").await.expect("an answer");
        assert_eq!(answer, status);
    }
    let counters = server.counters();
    assert_eq!(
        (counters.effects, counters.duplicates),
        (2 * effects, effects)
    );
    let found = fetch::get(server.address(), "/effects/tailors%2Ffit-1%2F0").await;
    assert_eq!(found.is_ok(), effects > 0);
}

async fn wait(what: &str, state: impl Fn() -> bool) {
    let poll = async {
        while !state() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let done = tokio::time::timeout(Duration::from_secs(10), poll).await;
    done.unwrap_or_else(|_| panic!("never came: {what}"));
}

#[tokio::test]
async fn effect_outlives_the_connection() {
    let server = service::start(service::Settings::default())
        .await
        .expect("a free port");
    server.control(|settings| settings.faults.stall = true);
    tokio::select! {
        answer = call(&server, "none") => panic!("it answered: {answer:?}"),
        () = wait("call", || server.counters().calls == 1) => (),
    }
    server.control(|settings| settings.faults.stall = false);
    wait("effect", || server.counters().effects == 1).await;
}

#[tokio::test]
async fn marked_payload_ends_the_service() {
    let server = service::start(service::Settings::default())
        .await
        .expect("a free port");
    assert!(call(&server, "service").await.is_err(), "it answered");
    assert!(server.server_handle().is_terminated(), "it goes on");
    assert_eq!(server.counters().effects, 0);
}
