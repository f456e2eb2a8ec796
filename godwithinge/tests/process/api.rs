//! Error responses to callers and operators, and the command line of the daemon.

use crate::common::{ClientRequest, IDEMPOTENT, Reply, TestCluster};
use http_body_util::BodyExt;
use hyper::Method;
use rstest::rstest;
use serde_json::Value;
use standin::fetch;
use std::{net::SocketAddr, process::Command};

const REQUESTS: &str = "/v1/pipelines/size/requests";

async fn exchange(
    entry: SocketAddr,
    method: Method,
    path: &str,
    body: String,
    headers: &[(&str, &str)],
) -> (u16, Value) {
    let response = fetch::send(entry, method, path, body.into(), headers).await;
    let response = response.expect("entry answers");
    let status = response.status().as_u16();
    let body = response
        .into_body()
        .collect()
        .await
        .expect("body is complete")
        .to_bytes();
    let text = String::from_utf8_lossy(&body).into_owned();
    (
        status,
        serde_json::from_slice(&body).unwrap_or(Value::String(text)),
    )
}

fn body(workspace: &str, request: &str, deadline: &str, payload: &str) -> String {
    format!(
        r#"{{"workspace":"{workspace}","request":"{request}","deadline_ms":{deadline},"payload":{payload}}}"#
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn errors_of_requests() {
    let cluster = TestCluster::start(1).await;
    let entry = cluster.start_ready_entry("e1").await;
    let address = entry.address().await;
    let large = format!("\"{}\"", "x".repeat(2 << 20));
    let long_id = "r".repeat(257);
    let cases = [
        (REQUESTS, "{".into(), 400, "malformed_body"),
        (REQUESTS, "{}".into(), 400, "malformed_body"),
        (
            REQUESTS,
            body("tailors", "r", "-1", "1"),
            400,
            "malformed_body",
        ),
        (
            REQUESTS,
            body("tailors", "r", "0", "1"),
            400,
            "deadline_zero",
        ),
        (
            REQUESTS,
            body("tailors", "", "9", "1"),
            400,
            "request_id_invalid",
        ),
        (
            REQUESTS,
            body("tailors", &long_id, "9", "1"),
            400,
            "request_id_invalid",
        ),
        (
            REQUESTS,
            body("nobody", "r", "9", "1"),
            404,
            "workspace_unknown",
        ),
        (
            "/v1/pipelines/x/requests",
            body("tailors", "r", "9", "1"),
            404,
            "pipeline_unknown",
        ),
        (
            REQUESTS,
            body("tailors", "r", "9", &large),
            413,
            "body_too_large",
        ),
    ];
    for (path, body, status, code) in cases {
        let (seen, error) = exchange(address, Method::POST, path, body, &[]).await;
        assert_eq!(
            (seen, error["error_code"].as_str()),
            (status, Some(code)),
            "{error}"
        );
        assert!(error["message"].is_string() && error["request_id"].is_string());
    }
    assert_eq!(cluster.call_count("encoders"), 0);
    let reply = entry.send(&ClientRequest::new(IDEMPOTENT, "r")).await;
    assert_eq!(reply.outcome(), "answered", "{reply:?}");
    let other = ClientRequest::new(IDEMPOTENT, "r").with_payload("another".into());
    let Reply::Body(409, error) = entry.send(&other).await else {
        panic!("a request identifier was accepted with two payloads");
    };
    assert_eq!(error["error_code"], "request_id_reused");
}

#[tokio::test(flavor = "multi_thread")]
async fn not_ready_without_a_table() {
    let cluster = TestCluster::start(1).await;
    cluster.fleet.platform().control(|it| it.outage = true);
    let entry = cluster.start_entry("e1");
    let address = entry.address().await;
    let (status, error) = exchange(address, Method::GET, "/ready", String::new(), &[]).await;
    assert_eq!((status, &error["error_code"]), (503, &"not_ready".into()));
    let Reply::Body(503, error) = entry.send(&ClientRequest::new(IDEMPOTENT, "r")).await else {
        panic!("a request was accepted without a table");
    };
    assert_eq!(error["error_code"], "not_ready");
    cluster.fleet.platform().control(|it| it.outage = false);
    entry.wait_ready().await;
    let reply = entry.send(&ClientRequest::new(IDEMPOTENT, "r")).await;
    assert_eq!(reply.outcome(), "answered", "{reply:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn interface_for_operators() {
    let cluster = TestCluster::start(1).await;
    let entry = cluster.start_ready_entry("e1").await;
    let address = entry.address().await;
    let reply = entry.send(&ClientRequest::new(IDEMPOTENT, "r")).await;
    assert_eq!(reply.outcome(), "answered", "{reply:?}");
    let decisions = "/v1/requests/size/tailors/r/decisions";
    for path in [decisions, "/v1/status"] {
        for headers in [&[][..], &[("authorization", "Bearer operator")]] {
            let (status, error) =
                exchange(address, Method::GET, path, String::new(), headers).await;
            assert_eq!(
                (status, &error["error_code"]),
                (401, &"unauthorized".into())
            );
        }
    }
    let token = [("authorization", "Bearer operators")];
    let (_, made) = exchange(address, Method::GET, decisions, String::new(), &token).await;
    assert_eq!(made[0]["choice"], "best", "{made}");
    assert_eq!(
        entry.log_count("decision"),
        made.as_array().map_or(0, Vec::len)
    );
    let (_, status) = exchange(address, Method::GET, "/v1/status", String::new(), &token).await;
    assert_eq!(
        (&status["ready"], &status["revision"]),
        (&true.into(), &1.into()),
        "{status}"
    );
    let (_, metrics) = exchange(address, Method::GET, "/metrics", String::new(), &[]).await;
    let metrics = metrics.as_str().expect("metrics are text");
    assert!(
        metrics.contains("gwi_attained_total{pipeline=\"size\"} 1"),
        "{metrics}"
    );
}

#[rstest]
#[case::version(&["--version"], 0)]
#[case::help(&["--help"], 0)]
#[case::no_settings(&[], 2)]
#[case::unreadable(&["--settings", "/nowhere.ini", "--check"], 2)]
#[case::wasfi(&["--settings", "../settings/wasfi.ini", "--check"], 0)]
#[case::addis(&["--settings", "../settings/addis.ini", "--check"], 0)]
fn command_line(#[case] flags: &[&str], #[case] status: i32) {
    let output = Command::new(env!("CARGO_BIN_EXE_gwi-entry"))
        .args(flags)
        .output();
    let output = output.expect("daemon runs");
    assert_eq!(output.status.code(), Some(status), "{output:?}");
}
