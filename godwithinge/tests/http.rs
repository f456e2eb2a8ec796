//! Pooled connections that break or go silent.

use bytes::Bytes;
use godwithinge::http::{Error, Pool, Request, Response, Reuse};
use http_body_util::Full;
use standin::service::{self, Server, Settings};
use std::time::Duration;
use tokio::{net::TcpListener, time};

/// Connections that are opened before the fault.
const CONNECTIONS: usize = 5;
/// Longest time of an exchange that works.
const BOUND: Duration = Duration::from_secs(5);
/// Time after which a connection counts as silent here.
const SILENCE: Duration = Duration::from_millis(100);

fn request() -> Request {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = "/load".parse().expect("path is valid");
    request
}

async fn exchange(pool: &Pool, address: &str, reuse: Reuse) -> Result<bool, Error> {
    let response = pool.send(address, request(), reuse).await?;
    let reused = response.is_reused();
    response.bytes(usize::MAX).await?;
    Ok(reused)
}

/// Returns a pool with idle connections to a service.
async fn start() -> (Server, Pool, String) {
    let server = service::start(Settings::default())
        .await
        .expect("service starts");
    let address = server.address().to_string();
    let pool = Pool::new(BOUND);
    let mut open: Vec<Response> = Vec::new();
    for _ in 0..CONNECTIONS {
        open.push(
            pool.send(&address, request(), Reuse::Newest)
                .await
                .expect("service answers"),
        );
    }
    for response in open {
        response.bytes(usize::MAX).await.expect("body comes");
    }
    assert_eq!(pool.idle(&address), CONNECTIONS);
    (server, pool, address)
}

#[tokio::test]
async fn idle_connection_is_used_again() {
    let (_server, pool, address) = start().await;
    let reused = exchange(&pool, &address, Reuse::Newest)
        .await
        .expect("service answers");
    assert!(reused);
    let reused = exchange(&pool, &address, Reuse::Never)
        .await
        .expect("service answers");
    assert!(!reused);
    assert_eq!(pool.idle(&address), CONNECTIONS + 1);
}

/// After one silence a call goes over a new connection at once, and calls after it too.
#[tokio::test]
async fn silence_is_noted() {
    let (server, pool, address) = start().await;
    server.server_handle().silence();
    let silent = time::timeout(SILENCE, exchange(&pool, &address, Reuse::Newest)).await;
    silent.expect_err("connection is silent");
    pool.note_silence(&address);
    for expected in [false, true] {
        let next = time::timeout(BOUND, exchange(&pool, &address, Reuse::Newest)).await;
        let reused = next.expect("no further silence").expect("service answers");
        assert_eq!(reused, expected);
    }
    assert_eq!(pool.idle(&address), CONNECTIONS);
}

/// Reads over the oldest connection find the silent ones one by one.
#[tokio::test]
async fn silent_connections_are_found() {
    let (server, pool, address) = start().await;
    server.server_handle().silence();
    for left in (0..CONNECTIONS).rev() {
        let silent = time::timeout(SILENCE, exchange(&pool, &address, Reuse::Oldest)).await;
        silent.expect_err("connection is silent");
        assert_eq!(pool.idle(&address), left);
    }
    let reused = exchange(&pool, &address, Reuse::Oldest)
        .await
        .expect("service answers");
    assert!(!reused);
}

/// Idle connections that the other side closed are passed over.
#[tokio::test]
async fn closed_connections() {
    let (server, pool, address) = start().await;
    server.server_handle().close_connections();
    while pool.idle(&address) > 0 {
        time::sleep(Duration::from_millis(1)).await;
    }
    let reused = exchange(&pool, &address, Reuse::Newest)
        .await
        .expect("service answers");
    assert!(!reused);
}

/// Only a connection that could not be opened proves that nothing was sent.
#[tokio::test]
async fn refused_and_broken() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("port is free");
    let address = listener
        .local_addr()
        .expect("socket has an address")
        .to_string();
    let pool = Pool::new(BOUND);
    let closing = async {
        let (stream, _) = listener.accept().await.expect("pool connects");
        stream.readable().await.expect("request comes");
    };
    let (broken, ()) = tokio::join!(exchange(&pool, &address, Reuse::Newest), closing);
    assert!(matches!(broken, Err(Error::Broken(_))), "{broken:?}");
    drop(listener);
    let refused = exchange(&pool, &address, Reuse::Newest).await;
    assert!(matches!(refused, Err(Error::Connect(_))), "{refused:?}");
}
