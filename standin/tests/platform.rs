//! Tests of the platform's fake.

use godwithinge::platform::Client;
use policy::host::{Host, State};
use rstest::rstest;
use serde_json::{Value, json};
use standin::{fetch, platform};
use std::time::Duration;

/// Longest time of an exchange.
const TIMEOUT: Duration = Duration::from_secs(5);

async fn start() -> platform::Server {
    platform::start(platform::Settings::default())
        .await
        .expect("a free port")
}

async fn transact(server: &platform::Server, body: Value) -> Result<Value, fetch::Error> {
    let body = fetch::post(server.address(), "/v1/transactions", body.to_string()).await?;
    Ok(serde_json::from_slice(&body).expect("JSON"))
}

async fn get(server: &platform::Server, path: &str) -> Value {
    let body = fetch::get(server.address(), path).await.expect("an answer");
    serde_json::from_slice(&body).expect("JSON")
}

fn insert(key: &str, value: i32) -> Value {
    json!({
        "checks": [{"table": "t", "key": key, "version": 0}],
        "writes": [{"table": "t", "key": key, "value": value}],
    })
}

#[tokio::test]
async fn second_insert_names_what_stands_there() {
    let server = start().await;
    let first = transact(&server, insert("a/b", 1)).await.expect("inserted");
    assert_eq!(first, json!({"version": 1}));
    match transact(&server, insert("a/b", 2)).await {
        Err(fetch::Error::Status(status, body)) => {
            let conflict = json!({"table": "t", "key": "a/b", "version": 1, "value": 1});
            assert_eq!(status, 409);
            let body: Value = serde_json::from_slice(&body).expect("JSON");
            assert_eq!(body, json!({"conflicts": [conflict]}));
        }
        other => panic!("no conflict: {other:?}"),
    }
    let row = get(&server, "/v1/tables/t/row?key=a%2Fb").await;
    assert_eq!(row, json!({"key": "a/b", "value": 1, "version": 1}));
}

#[rstest]
#[case("", &["a", "b", "c"])]
#[case("prefix=b", &["b"])]
#[case("after=a&limit=1", &["b"])]
#[case("since=2", &["a", "c"])]
#[tokio::test]
async fn rows_are_read_in_order(#[case] query: &str, #[case] keys: &[&str]) {
    let server = start().await;
    for key in ["a", "b", "c"] {
        transact(&server, insert(key, 1)).await.expect("inserted");
    }
    if query.starts_with("since") {
        let delete = json!({"writes": [{"table": "t", "key": "a", "value": null}]});
        transact(&server, delete).await.expect("deleted");
    }
    let answer = get(&server, &format!("/v1/tables/t/rows?{query}")).await;
    let rows = answer["rows"].as_array().expect("rows");
    let found: Vec<_> = rows.iter().filter_map(|row| row["key"].as_str()).collect();
    assert_eq!(found, keys);
}

#[tokio::test]
async fn lost_reply_leaves_the_write() {
    let server = start().await;
    server.control(|settings| settings.lose_replies = 1);
    let lost = transact(&server, insert("a", 1)).await;
    assert!(matches!(lost, Err(fetch::Error::Http(_))), "{lost:?}");
    assert_eq!(server.row("t", "a").map(|row| row.value), Some(json!(1)));
}

#[tokio::test]
async fn stale_reads_show_an_old_commit() {
    let server = start().await;
    transact(&server, insert("a", 1)).await.expect("inserted");
    transact(&server, insert("b", 1)).await.expect("inserted");
    server.control(|settings| settings.stale = 1);
    let answer = get(&server, "/v1/tables/t/rows").await;
    assert_eq!(answer["version"], 1);
    assert_eq!(answer["rows"].as_array().map(Vec::len), Some(1));
}

#[tokio::test]
async fn unchanged_host_list_is_not_sent_again() {
    let server = start().await;
    let client = Client::new(server.address().to_string(), TIMEOUT);
    assert!(client.hosts().await.expect("an answer").hosts.is_empty());
    let host = |at: usize| Host {
        host: format!("h{at}").into(),
        target: format!("t{at}").into(),
        pool: "pool".into(),
        address: "127.0.0.1:1".into(),
        domain: "a".into(),
        region: "r".into(),
        state: State::Live,
    };
    // More lists than the fake keeps, so that old ones are forgotten on the way.
    for at in 0..1_100 {
        server.set_hosts(vec![host(at)]);
        if (4..1_090).contains(&at) {
            continue;
        }
        for _ in 0..2 {
            let list = client.hosts().await.expect("an answer");
            assert_eq!(list.hosts, [host(at)]);
        }
        let path = format!("/v1/hosts?after={}", at + 1);
        let same = fetch::get(server.address(), &path).await;
        assert!(matches!(same, Err(fetch::Error::Status(status, _)) if status == 304));
    }
}

#[tokio::test]
async fn outage_ends() {
    let server = start().await;
    server.control(|settings| settings.outage = true);
    let out = fetch::get(server.address(), "/v1/hosts").await;
    assert!(matches!(out, Err(fetch::Error::Http(_))), "{out:?}");
    server.control(|settings| settings.outage = false);
    assert_eq!(get(&server, "/v1/hosts").await["hosts"], json!([]));
}

#[tokio::test]
async fn writes_over_the_rate_are_refused() {
    let server = start().await;
    server.control(|settings| settings.writes_per_second = 1.0);
    transact(&server, insert("a", 1)).await.expect("inserted");
    match transact(&server, insert("b", 1)).await {
        Err(fetch::Error::Status(status, _)) => assert_eq!(status, 429),
        other => panic!("no refusal: {other:?}"),
    }
}
