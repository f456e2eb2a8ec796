//! Streamed responses lacked a `content-type`, so clients parsed them as JSON.

use bytes::Bytes;
use godwithinge::{entry::Running, settings::Settings};
use hyper::Method;
use serde_json::json;
use standin::{
    fetch,
    fleet::{self, Deployment, Fleet, Name, Size},
};
use std::time::Duration;

/// Time within which the entry must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

fn settings(fleet: &Fleet) -> Settings {
    let platform = fleet.platform().address();
    let text = format!(
        "[daemon]\nhost = entry-1\ndomain = amman-a\nregion = amman\n\
         listen = 127.0.0.1:0\npeer_listen = 127.0.0.1:0\n\
         operator_token = test-operator-token\nfleet_key = test-fleet-key-of-the-tests\n\
         [platform]\naddress = {platform}\n\
         [pool fitting-slots]\nkind = service\nidempotent = yes\n"
    );
    let mut settings = Settings::from_str("test.ini", &text).expect("valid settings");
    settings.pools = fleet.pools();
    settings
}

#[tokio::test]
async fn streamed_answer_is_an_event_stream() {
    let deployment = Deployment::new(Name::Wasfi, Size::Small);
    let fleet = Fleet::start(deployment, fleet::Settings::default())
        .await
        .expect("fakes start");
    let entry = Running::start(settings(&fleet))
        .await
        .expect("entry starts");
    let ready = async {
        while fetch::get(entry.address(), "/ready").await.is_err() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(READY_TIMEOUT, ready)
        .await
        .expect("entry becomes ready");
    let body = json!({
        "workspace": "tailors",
        "request": "fit-1",
        "deadline_ms": 4000,
        "stream": true,
        "payload": {"prompt": "tokens=2"},
    });
    let body = Bytes::from(body.to_string());
    let path = "/v1/pipelines/fitting/requests";
    let response = fetch::send(entry.address(), Method::POST, path, body, &[])
        .await
        .expect("entry answers");
    assert_eq!(response.headers()["content-type"], "text/event-stream");
}
