//! Connections that go silent for good while new ones work.

use crate::common::{Ask, Bench, FILING, ORDER, Reply, SIZE, until};
use rstest::rstest;
use std::sync::Arc;

/// Opens pooled connections by requests that run at once.
async fn warm(bench: &Bench, entry: &crate::common::Entry) {
    for round in 0..3 {
        let asks = ["a", "b", "c", "d"].map(|name| Ask::new(SIZE, &format!("{name}{round}")));
        let [a, b, c, d] = &asks;
        let replies = tokio::join!(entry.send(a), entry.send(b), entry.send(c), entry.send(d));
        assert_eq!(replies.0.outcome(), "answered", "{replies:?}");
    }
    assert!(bench.calls("encoders") >= 12);
}

fn answered(reply: &Reply) {
    assert_eq!(reply.outcome(), "answered", "{reply:?}");
}

/// All open connections to the only target of a stage, or to the platform, go silent.
#[rstest]
#[case::target(true)]
#[case::platform(false)]
#[tokio::test(flavor = "multi_thread")]
async fn open_connections(#[case] target: bool) {
    let bench = Bench::start(1).await;
    let entry = bench.entry("e1").await;
    warm(&bench, &entry).await;
    if target {
        bench.services("encoders")[0].gate().silence();
    } else {
        bench.fleet.platform().gate().silence();
    }
    let asks = [
        Ask::new(SIZE, "r1"),
        Ask::new(ORDER, "r2"),
        Ask::new(FILING, "r3"),
        Ask::new(SIZE, "r4"),
    ];
    let [a, b, c, d] = &asks;
    let replies = tokio::join!(entry.send(a), entry.send(b), entry.send(c), entry.send(d));
    answered(&replies.0);
    answered(&replies.1);
    answered(&replies.2);
    answered(&replies.3);
    assert_eq!(bench.effects("clerks", "r2"), 1);
}

/// A silent connection is found by the reads of load reports, before a call uses it.
#[tokio::test(flavor = "multi_thread")]
async fn found_by_reports() {
    let bench = Bench::start(1).await;
    let entry = bench.entry("e1").await;
    warm(&bench, &entry).await;
    let encoder = Arc::clone(&bench.services("encoders")[0]);
    encoder.gate().silence();
    until("silent connections are closed", || {
        entry.logged("silent connection was closed") > 0
    })
    .await;
}
