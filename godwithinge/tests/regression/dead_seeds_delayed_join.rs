//! Daemons contacted one random seed a second, so those with many dead seeds joined late.

use godwithinge::{
    metrics::Metrics,
    peer::{Links, Settings},
    settings::Secret,
};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    net::TcpListener,
    time::{self, Instant},
};

/// Number of daemons that join.
const JOINING: u64 = 8;

/// Number of seeds of each of them that have stopped.
const DEAD_SEEDS: usize = 3;

/// Time within which all of them know another daemon.
const JOIN_TIMEOUT: Duration = Duration::from_secs(3);

async fn start(index: u64, seeds: Vec<SocketAddr>) -> Links {
    let listen = "127.0.0.1:0".parse().expect("the address is valid");
    let settings = Settings {
        host: format!("h{index}").into(),
        incarnation: index + 1,
        api: listen,
        listen,
        domain: "d".into(),
        region: "r".into(),
        seeds,
        key: Secret::new("fleet key of the tests"),
        bytes: Metrics::new().expect("metrics are valid").control_bytes,
    };
    let (links, _) = Links::start(settings).await.expect("a port is free");
    links
}

/// Returns the address of a daemon that has stopped.
async fn dead_seed() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    listener.local_addr().expect("the listener is bound")
}

#[tokio::test]
async fn daemons_join_through_their_only_live_seed() {
    let live = start(0, Vec::new()).await;
    let mut seeds = vec![live.address()];
    for _ in 0..DEAD_SEEDS {
        seeds.push(dead_seed().await);
    }
    let deadline = Instant::now() + JOIN_TIMEOUT;
    let mut joining = Vec::new();
    for index in 1..=JOINING {
        joining.push(start(index, seeds.clone()).await);
    }
    while joining.iter().any(|links| links.members().len() == 1) {
        assert!(Instant::now() < deadline, "a daemon has not joined in time");
        time::sleep(Duration::from_millis(10)).await;
    }
}
