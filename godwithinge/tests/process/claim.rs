//! A non-idempotent call takes effect at most once.

use crate::common::{
    ClientRequest, NON_IDEMPOTENT, NON_IDEMPOTENT_LOOKUP, TestCluster, wait_until,
};
use policy::claim::Row;
use rstest::rstest;
use std::time::Duration;

fn is_held(row: &Row) -> bool {
    matches!(row, Row::Held { .. })
}

fn is_done(row: &Row) -> bool {
    matches!(row, Row::Done { .. })
}

#[tokio::test(flavor = "multi_thread")]
async fn claim_reply_lost() {
    let cluster = TestCluster::start(2).await;
    let entry = cluster.start_ready_entry("e1").await;
    cluster.fleet.platform().control(|it| it.lose_replies = 1);
    let reply = entry.send(&ClientRequest::new(NON_IDEMPOTENT, "r")).await;
    assert_eq!(reply.outcome(), "answered", "{reply:?}");
    assert_eq!(cluster.effect_count("clerks", "r"), 1);
    cluster.wait_for_claim(NON_IDEMPOTENT, "r", is_done).await;
    assert!(cluster.fleet.platform().counters().lost > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn settle_reply_lost() {
    let cluster = TestCluster::start(2).await;
    let entry = cluster.start_ready_entry("e1").await;
    cluster.configure_services("clerks", |it| it.time_ms = 300.0);
    let request = ClientRequest::new(NON_IDEMPOTENT, "r");
    let sent = entry.send(&request);
    let lose = async {
        cluster.wait_for_claim(NON_IDEMPOTENT, "r", is_held).await;
        cluster.fleet.platform().control(|it| it.lose_replies = 1);
    };
    let (reply, ()) = tokio::join!(sent, lose);
    assert_eq!(reply.outcome(), "answered", "{reply:?}");
    cluster.wait_for_claim(NON_IDEMPOTENT, "r", is_done).await;
    // An entry exits only once no claim is unsettled.
    entry.signal("TERM");
    wait_until("end of the entry", || entry.exit_status().is_some()).await;
}

/// Two entries receive the same request concurrently; both return the same answer.
#[tokio::test(flavor = "multi_thread")]
async fn two_entries_at_once() {
    let cluster = TestCluster::start(2).await;
    let (one, two) = tokio::join!(
        cluster.start_ready_entry("e1"),
        cluster.start_ready_entry("e2")
    );
    for number in 0..10 {
        let request = ClientRequest::new(NON_IDEMPOTENT, &format!("r{number}"));
        let (first, second) = tokio::join!(one.send(&request), two.send(&request));
        assert_eq!(
            cluster.effect_count("clerks", &request.id),
            1,
            "{first:?} {second:?}"
        );
        assert_eq!(first.outcome(), "answered", "{first:?}");
        assert_eq!(second, first);
    }
}

/// The claim holder is paused between its claim and its call, and resumes after another entry has
/// replied to a retry.
#[tokio::test(flavor = "multi_thread")]
async fn holder_stopped() {
    let cluster = TestCluster::start(2).await;
    let (one, two) = tokio::join!(
        cluster.start_ready_entry("e1"),
        cluster.start_ready_entry("e2")
    );
    cluster
        .fleet
        .platform()
        .control(|it| it.delay_reply_ms = 200);
    let request = ClientRequest::new(NON_IDEMPOTENT, "r").with_deadline(1500);
    let first = one.send(&request);
    let second = async {
        cluster.wait_for_claim(NON_IDEMPOTENT, "r", is_held).await;
        one.signal("STOP");
        cluster.fleet.platform().control(|it| it.delay_reply_ms = 0);
        let reply = two.send(&request.as_retry()).await;
        assert_eq!(cluster.effect_count("clerks", "r"), 0);
        one.signal("CONT");
        reply
    };
    let (first, second) = tokio::join!(first, second);
    assert_eq!(second.outcome(), "unknown", "{second:?}");
    assert!(
        ["unknown", "failed", "answered"].contains(&first.outcome()),
        "{first:?}"
    );
    let third = two.send(&request.as_retry().with_deadline(4000)).await;
    assert!(
        cluster.effect_count("clerks", "r") <= 1,
        "{first:?} {third:?}"
    );
}

/// An entry is killed after its claim, either before the call is sent or before the response
/// arrives; a retry at another entry must not run the call again.
#[rstest]
#[case::unsent(NON_IDEMPOTENT, "clerks", false, "unknown", 0)]
#[case::sent(NON_IDEMPOTENT, "clerks", true, "unknown", 1)]
#[case::sent_looked_up(NON_IDEMPOTENT_LOOKUP, "desks", true, "answered", 1)]
#[tokio::test(flavor = "multi_thread")]
async fn entry_killed(
    #[case] pipeline: &str,
    #[case] pool: &str,
    #[case] sent: bool,
    #[case] outcome: &str,
    #[case] effects: u32,
) {
    let cluster = TestCluster::start(2).await;
    let (one, two) = tokio::join!(
        cluster.start_ready_entry("e1"),
        cluster.start_ready_entry("e2")
    );
    cluster.configure_services(pool, |it| it.delay_reply_ms = 2000);
    if !sent {
        cluster
            .fleet
            .platform()
            .control(|it| it.delay_reply_ms = 200);
    }
    let request = ClientRequest::new(pipeline, "r");
    let kill = async {
        cluster.wait_for_claim(pipeline, "r", is_held).await;
        if sent {
            wait_until("effect", || cluster.effect_count(pool, "r") == 1).await;
        }
        one.kill();
    };
    let (first, ()) = tokio::join!(one.send(&request), kill);
    assert_eq!(first.outcome(), "lost");
    cluster.fleet.platform().control(|it| it.delay_reply_ms = 0);
    let second = two.send(&request.as_retry().with_deadline(1500)).await;
    assert_eq!(second.outcome(), outcome, "{second:?}");
    assert_eq!(cluster.effect_count(pool, "r"), effects);
}

/// The target answers after the deadline; retries of the request return that answer.
#[tokio::test(flavor = "multi_thread")]
async fn late_answer() {
    let cluster = TestCluster::start(2).await;
    let (one, two) = tokio::join!(
        cluster.start_ready_entry("e1"),
        cluster.start_ready_entry("e2")
    );
    cluster.configure_services("clerks", |it| it.delay_reply_ms = 1200);
    let request = ClientRequest::new(NON_IDEMPOTENT, "r").with_deadline(500);
    let first = one.send(&request).await;
    assert_eq!(first.outcome(), "unknown", "{first:?}");
    for entry in [&one, &two] {
        let again = entry.send(&request.as_retry().with_deadline(4000)).await;
        assert_eq!(again.outcome(), "answered", "{again:?}");
    }
    assert_eq!(cluster.effect_count("clerks", "r"), 1);
}

/// During a platform outage, non-idempotent calls are not sent and idempotent requests are served.
#[tokio::test(flavor = "multi_thread")]
async fn platform_out() {
    let cluster = TestCluster::start(2).await;
    let entry = cluster.start_ready_entry("e1").await;
    cluster.fleet.platform().control(|it| it.outage = true);
    let request = ClientRequest::new(NON_IDEMPOTENT, "r").with_deadline(700);
    let first = entry.send(&request).await;
    assert_ne!(first.outcome(), "answered", "{first:?}");
    let again = entry.send(&request.as_retry()).await;
    assert_ne!(again.outcome(), "answered", "{again:?}");
    assert_eq!(cluster.call_count("clerks"), 0);
    let size = entry.send(&ClientRequest::new("size", "s")).await;
    assert_eq!(size.outcome(), "answered", "{size:?}");
}

/// The platform becomes unavailable after the claim; the settlement is written once it is back.
#[tokio::test(flavor = "multi_thread")]
async fn settled_after_outage() {
    let cluster = TestCluster::start(2).await;
    let (one, two) = tokio::join!(
        cluster.start_ready_entry("e1"),
        cluster.start_ready_entry("e2")
    );
    cluster.configure_services("clerks", |it| it.delay_reply_ms = 300);
    let request = ClientRequest::new(NON_IDEMPOTENT, "r");
    let outage = async {
        wait_until("effect", || cluster.effect_count("clerks", "r") == 1).await;
        cluster.fleet.platform().control(|it| it.outage = true);
    };
    let (first, ()) = tokio::join!(one.send(&request), outage);
    assert_eq!(first.outcome(), "answered", "{first:?}");
    assert_eq!(
        cluster
            .claim_row(NON_IDEMPOTENT, "r")
            .map(|row| is_held(&row)),
        Some(true)
    );
    let here = one.send(&request.as_retry()).await;
    assert_eq!(here, first);
    tokio::time::sleep(Duration::from_millis(100)).await;
    cluster.fleet.platform().control(|it| it.outage = false);
    cluster.wait_for_claim(NON_IDEMPOTENT, "r", is_done).await;
    let there = two.send(&request.as_retry()).await;
    assert_eq!(there, first);
    assert_eq!(cluster.effect_count("clerks", "r"), 1);
}
