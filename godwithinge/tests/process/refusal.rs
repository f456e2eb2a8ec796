//! When a caller is told that its request was not run, it was not run, and will not be.

use crate::common::{
    ClientRequest, Entry, IDEMPOTENT, NON_IDEMPOTENT, Reply, TestCluster, wait_until,
};
use rstest::rstest;
use serde_json::Value;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::JoinSet;

/// Requests of a burst.
const BURST_SIZE: usize = 60;
/// Longest time from giving a request up until its caller is told.
const MAX_NOTICE_DELAY: Duration = Duration::from_millis(50);
/// Seconds of a day.
const SECONDS_PER_DAY: u64 = 24 * 3600;
/// Bursts that follow each other.
const BURST_COUNT: usize = 3;

fn body(reply: Reply) -> Value {
    match reply {
        Reply::Body(_, body) => body,
        Reply::Lost => panic!("connection was lost"),
    }
}

/// Bursts overload a stage; no request that was not run took effect.
#[tokio::test(flavor = "multi_thread")]
async fn overload() {
    let cluster = TestCluster::start_exclusive(1).await;
    let entry = cluster.start_ready_entry("e1").await;
    cluster.configure_services("clerks", |it| {
        (it.time_ms, it.width, it.queue) = (60.0, 1, 0);
    });
    cluster.configure_services("encoders", |it| {
        (it.time_ms, it.width, it.queue) = (40.0, 2, 0);
    });
    let (mut not_run, mut notices) = (Vec::new(), Vec::new());
    // The first burst may come before the entry knows how little the targets can take.
    for round in 0..BURST_COUNT {
        not_run.extend(burst(&cluster, &entry, round, &mut notices).await);
    }
    assert!(!not_run.is_empty(), "the bursts were no overload");
    wait_until("idle targets", || cluster.is_idle()).await;
    wait_until("decision lines", || {
        !notice_delays(&entry, &notices).is_empty()
    })
    .await;
    let latest = notice_delays(&entry, &notices).into_iter().max();
    assert!(
        latest < Some(MAX_NOTICE_DELAY),
        "a caller was told after {latest:?}"
    );
    for request in not_run {
        let effects = ["encoders", "clerks"].map(|pool| cluster.effect_count(pool, &request));
        assert_eq!(effects, [0, 0], "{request}");
    }
}

/// Returns how late callers were told that their requests were given up.
fn notice_delays(entry: &Entry, notices: &[(String, Duration)]) -> Vec<Duration> {
    let is_end = |line: &Value| line["choice"] == "give_up";
    let delay = |(request, notified_at): &(String, Duration)| {
        let given_up_at = entry.log_time("decision", request, is_end)?;
        Some(notified_at.saturating_sub(given_up_at))
    };
    notices.iter().filter_map(delay).collect()
}

fn since_midnight() -> Duration {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = now.expect("clock is set");
    Duration::new(now.as_secs() % SECONDS_PER_DAY, now.subsec_nanos())
}

/// Sends many requests at once and returns those that were not run.
async fn burst(
    cluster: &TestCluster,
    entry: &Entry,
    round: usize,
    notices: &mut Vec<(String, Duration)>,
) -> Vec<String> {
    let address = entry.address().await;
    let mut burst = JoinSet::new();
    for number in 0..BURST_SIZE {
        let request =
            ClientRequest::new(NON_IDEMPOTENT, &format!("r{round}-{number}")).with_deadline(600);
        burst.spawn(async move {
            let reply = request.send(address).await;
            (request.id, reply, since_midnight())
        });
    }
    let mut not_run = Vec::new();
    while let Some(ended) = burst.join_next().await {
        let (request, reply, notified_at) = ended.expect("no panic");
        notices.push((request.clone(), notified_at));
        let body = body(reply);
        let effects = cluster.effect_count("clerks", &request);
        match body["outcome"].as_str() {
            Some("not_run") => {
                assert!(body["retry_after_ms"].as_u64() > Some(0), "{body}");
                not_run.push(request);
            }
            Some("answered") => assert_eq!(effects, 1),
            Some("failed") if body["effects"] == "none" => assert_eq!(effects, 0, "{body}"),
            _ => {}
        }
    }
    not_run
}

/// The first copy runs at another entry; the second must not be told that it was not run.
#[rstest]
#[case::marked(true)]
#[case::unmarked(false)]
#[tokio::test(flavor = "multi_thread")]
async fn first_copy_runs(#[case] marked: bool) {
    let cluster = TestCluster::start(2).await;
    let (one, two) = tokio::join!(
        cluster.start_ready_entry("e1"),
        cluster.start_ready_entry("e2")
    );
    cluster.configure_services("clerks", |it| it.time_ms = 1500.0);
    let first = ClientRequest::new(NON_IDEMPOTENT, "r");
    let mut second = first.clone().with_deadline(300);
    second.retry = marked;
    let ask_again = async {
        wait_until("call", || cluster.call_count("clerks") == 1).await;
        two.send(&second).await
    };
    let (first, second) = tokio::join!(one.send(&first), ask_again);
    assert_eq!(first.outcome(), "answered", "{first:?}");
    assert_eq!(second.outcome(), "unknown", "{second:?}");
    assert_eq!(cluster.effect_count("clerks", "r"), 1);
}

/// The second copy is refused; the first one, delayed on its way, must not run after that.
#[tokio::test(flavor = "multi_thread")]
async fn first_copy_delayed() {
    let cluster = TestCluster::start(2).await;
    let (one, two) = tokio::join!(
        cluster.start_ready_entry("e1"),
        cluster.start_ready_entry("e2")
    );
    let first = ClientRequest::new(NON_IDEMPOTENT, "r");
    cluster.configure_services("encoders", |it| it.fail = 1.0);
    let second = body(two.send(&first.as_retry()).await);
    assert_eq!(
        (&second["outcome"], &second["effects"]),
        (&"failed".into(), &"none".into())
    );
    cluster.configure_services("encoders", |it| it.fail = 0.0);
    let late = body(one.send(&first).await);
    assert_eq!(
        (&late["outcome"], &late["reason"]),
        (&"failed".into(), &"refused".into()),
        "{late}"
    );
    assert_eq!(cluster.effect_count("clerks", "r"), 0);
}

/// The platform is out, so that a refusal can't be recorded.
#[tokio::test(flavor = "multi_thread")]
async fn platform_out() {
    let cluster = TestCluster::start(2).await;
    let entry = cluster.start_ready_entry("e1").await;
    cluster.configure_services("encoders", |it| it.fail = 1.0);
    cluster.fleet.platform().control(|it| it.outage = true);
    let order = entry
        .send(&ClientRequest::new(NON_IDEMPOTENT, "r").as_retry())
        .await;
    assert_eq!(order.outcome(), "unknown", "{order:?}");
    let size = body(
        entry
            .send(&ClientRequest::new(IDEMPOTENT, "s").as_retry())
            .await,
    );
    assert_eq!(
        (&size["outcome"], &size["effects"]),
        (&"failed".into(), &"none".into()),
        "{size}"
    );
}
