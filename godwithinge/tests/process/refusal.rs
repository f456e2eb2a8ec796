//! A request that is reported as not run has taken no effect and never will.

use crate::common::{
    ClientRequest, Entry, IDEMPOTENT, NON_IDEMPOTENT, Reply, TestCluster, wait_until,
};
use rstest::rstest;
use serde_json::Value;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::JoinSet;

/// Number of concurrent requests in a burst.
const BURST_SIZE: usize = 60;
/// Maximum time from the decision to give up a request until its caller has the response.
const MAX_NOTICE_DELAY: Duration = Duration::from_millis(50);
const SECONDS_PER_DAY: u64 = 24 * 3600;
/// Number of consecutive bursts.
const BURST_COUNT: usize = 3;

fn body(reply: Reply) -> Value {
    match reply {
        Reply::Body(_, body) => body,
        Reply::Lost => panic!("connection was lost"),
    }
}

/// Bursts overload a stage; requests reported as `not_run` have taken no effect, and callers are
/// notified promptly.
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
    // The first burst may arrive before the entry has learned the capacity of the targets.
    for round in 0..BURST_COUNT {
        not_run.extend(burst(&cluster, &entry, round, &mut notices).await);
    }
    assert!(
        !not_run.is_empty(),
        "the bursts did not overload the targets"
    );
    wait_until("idle targets", || cluster.is_idle()).await;
    wait_until("decision lines", || {
        !notice_delays(&entry, &notices).is_empty()
    })
    .await;
    let latest = notice_delays(&entry, &notices).into_iter().max();
    assert!(
        latest < Some(MAX_NOTICE_DELAY),
        "a caller was notified {latest:?} after the decision"
    );
    for request in not_run {
        let effects = ["encoders", "clerks"].map(|pool| cluster.effect_count(pool, &request));
        assert_eq!(effects, [0, 0], "{request}");
    }
}

/// Returns the times between the decisions to give up requests and the responses to their callers.
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

/// Sends [`BURST_SIZE`] concurrent requests and returns the identifiers of those reported as
/// `not_run`.
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
        let (request, reply, notified_at) = ended.expect("task does not panic");
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

/// While the first copy of a request runs at another entry, the second must not be reported as not
/// run.
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

/// The second copy of a request is refused; the first one, delayed in transit, must not run after
/// that.
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

/// During a platform outage a refusal can't be recorded, so a non-idempotent request is reported as
/// `unknown`.
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
