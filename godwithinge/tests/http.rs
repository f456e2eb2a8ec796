//! Tests of the connection pool when pooled connections fail or stop responding.

use bytes::Bytes;
use godwithinge::http::{Error, Framing, Pool, Request, Response, Reuse};
use http_body_util::Full;
use standin::service::{self, Server, Settings};
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time,
};

/// Idle connections in the pool when a test begins.
const CONNECTIONS: usize = 5;
/// Time limit of an exchange that is expected to succeed.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a connection counts as unresponsive.
const STALL_TIMEOUT: Duration = Duration::from_millis(100);

fn request() -> Request {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = "/load".parse().expect("path is valid");
    request
}

/// Sends a request, reads the response and returns whether the connection was reused.
async fn exchange(pool: &Pool, address: &str, reuse: Reuse) -> Result<bool, Error> {
    let response = pool.send(address, request(), reuse).await?;
    let reused = response.is_reused();
    response.bytes(usize::MAX).await?;
    Ok(reused)
}

/// Starts a service and returns a pool that holds [`CONNECTIONS`] idle connections to it.
async fn start() -> (Server, Pool, String) {
    let server = service::start(Settings::default())
        .await
        .expect("service starts");
    let address = server.address().to_string();
    let pool = Pool::new(EXCHANGE_TIMEOUT);
    let mut open: Vec<Response> = Vec::new();
    for _ in 0..CONNECTIONS {
        open.push(
            pool.send(&address, request(), Reuse::Newest)
                .await
                .expect("service responds"),
        );
    }
    for response in open {
        response.bytes(usize::MAX).await.expect("body is complete");
    }
    assert_eq!(pool.idle_count(&address), CONNECTIONS);
    (server, pool, address)
}

#[tokio::test]
async fn idle_connection_is_used_again() {
    let (_server, pool, address) = start().await;
    let reused = exchange(&pool, &address, Reuse::Newest)
        .await
        .expect("service responds");
    assert!(reused);
    let reused = exchange(&pool, &address, Reuse::Never)
        .await
        .expect("service responds");
    assert!(!reused);
    assert_eq!(pool.idle_count(&address), CONNECTIONS + 1);
}

/// Guards against a series of timeouts after all pooled connections become unresponsive at once:
/// after the first timeout, requests use a new connection, which is then reused.
#[tokio::test]
async fn timeout_bypasses_idle_connections() {
    let (server, pool, address) = start().await;
    server.server_handle().silence();
    let timed_out = time::timeout(STALL_TIMEOUT, exchange(&pool, &address, Reuse::Newest)).await;
    timed_out.expect_err("connection is unresponsive");
    pool.record_timeout(&address);
    for expected in [false, true] {
        let next = time::timeout(EXCHANGE_TIMEOUT, exchange(&pool, &address, Reuse::Newest)).await;
        let reused = next.expect("no further timeout").expect("service responds");
        assert_eq!(reused, expected);
    }
    assert_eq!(pool.idle_count(&address), CONNECTIONS);
}

/// Requests over the least recently used connection remove unresponsive connections from the pool
/// one by one, until a new connection is opened.
#[tokio::test]
async fn oldest_first_finds_unresponsive_connections() {
    let (server, pool, address) = start().await;
    server.server_handle().silence();
    for left in (0..CONNECTIONS).rev() {
        let timed_out =
            time::timeout(STALL_TIMEOUT, exchange(&pool, &address, Reuse::Oldest)).await;
        timed_out.expect_err("connection is unresponsive");
        assert_eq!(pool.idle_count(&address), left);
    }
    let reused = exchange(&pool, &address, Reuse::Oldest)
        .await
        .expect("service responds");
    assert!(!reused);
}

/// Idle connections that the server closed are skipped without an error.
#[tokio::test]
async fn closed_connections() {
    let (server, pool, address) = start().await;
    server.server_handle().close_connections();
    while pool.idle_count(&address) > 0 {
        time::sleep(Duration::from_millis(1)).await;
    }
    let reused = exchange(&pool, &address, Reuse::Newest)
        .await
        .expect("service responds");
    assert!(!reused);
}

/// Only a connection that could not be opened proves that no byte was sent, so a connection that
/// is closed after the request arrived must not be reported as [`Error::Connect`].
#[tokio::test]
async fn refused_and_broken() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("port is free");
    let address = listener
        .local_addr()
        .expect("socket has an address")
        .to_string();
    let pool = Pool::new(EXCHANGE_TIMEOUT);
    let closing = async {
        let (stream, _) = listener.accept().await.expect("pool connects");
        stream.readable().await.expect("request arrives");
    };
    let (broken, ()) = tokio::join!(exchange(&pool, &address, Reuse::Newest), closing);
    assert!(matches!(broken, Err(Error::Broken(_))), "{broken:?}");
    drop(listener);
    let refused = exchange(&pool, &address, Reuse::Newest).await;
    assert!(matches!(refused, Err(Error::Connect(_))), "{refused:?}");
}

/// A coding that can't be read is not that of chunks, so that the body ends with its connection.
#[tokio::test]
async fn unreadable_coding_declares_no_end() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("socket is bound").to_string();
    let server = async {
        let (mut stream, _) = listener.accept().await.expect("pool connects");
        let mut request = [0; 1024];
        let size = stream.read(&mut request).await;
        assert!(size.expect("pool sends a request") > 0);
        let response = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\
                         transfer-encoding: \xff\r\n\r\npart";
        let written = stream.write_all(response).await;
        written.expect("pool reads the response");
    };
    let pool = Pool::new(EXCHANGE_TIMEOUT);
    let client = async {
        let response = pool.send(&address, request(), Reuse::Never).await;
        let response = response.expect("the head is valid");
        let framing = response.framing();
        (framing, response.bytes(usize::MAX).await)
    };
    let ((framing, body), ()) = tokio::join!(client, server);
    assert_eq!(body.expect("the body ends with its connection"), "part");
    assert_eq!(framing, Framing::Close);
}
