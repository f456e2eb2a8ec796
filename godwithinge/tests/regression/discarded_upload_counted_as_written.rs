//! Servers that end a response without a length before they have read the request, and then discard the
//! rest of the request: the request counted as written by the time the end of the body was handled, so
//! that a part of a response looked complete.

use bytes::Bytes;
use futures::poll;
use godwithinge::http::{Error, Pool, Request, Reuse};
use http_body_util::Full;
use std::{pin::pin, time::Duration};
use tokio::{
    io::{self, AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time,
};

/// Size of an upload, beyond what sockets buffer for a server that reads nothing.
const UPLOAD_BYTES: usize = 8 << 20;
/// Time between the end of the server's side and the discarding of the upload.
const REST: Duration = Duration::from_millis(100);
const TIMEOUT: Duration = Duration::from_secs(10);
const PART: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\npart of a resp";

/// Sends a part of a response to one request, and discards the upload after the end of its own side.
async fn serve(listener: TcpListener) -> io::Result<u64> {
    let (mut stream, _) = listener.accept().await?;
    stream.read_u8().await?;
    stream.write_all(PART.as_bytes()).await?;
    stream.shutdown().await?;
    time::sleep(REST).await;
    io::copy(&mut stream, &mut io::sink()).await
}

#[tokio::test]
async fn part_of_a_response_is_broken() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("bound").to_string();
    let server = tokio::spawn(serve(listener));
    let pool = Pool::new(TIMEOUT);
    let request = Request::new(Full::new(Bytes::from(vec![b'u'; UPLOAD_BYTES])));
    let response = pool.send(&address, request, Reuse::Never).await;
    let mut response = response.expect("head of the response");
    let part = response.chunk().await.expect("part of the body");
    assert_eq!(part.as_deref(), Some(&b"part of a resp"[..]));
    let end = {
        let mut end = pin!(response.chunk());
        // The connection reads the end now; the reader of the body comes to it after the upload.
        assert!(poll!(end.as_mut()).is_pending());
        time::sleep(2 * REST).await;
        end.await
    };
    assert!(matches!(end, Err(Error::Early)), "{end:?}");
    drop(response);
    let discarded = server.await.expect("server does not panic");
    assert!(discarded.expect("upload is read") >= UPLOAD_BYTES as u64);
}
