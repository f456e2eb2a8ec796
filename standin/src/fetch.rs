//! One-shot HTTP requests over a new connection each.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, StatusCode, client::conn::http1};
use hyper_util::rt::TokioIo;
use std::{fmt, io, net::SocketAddr};
use tokio::net::TcpStream;

/// Why a request got no answer with status 2xx.
#[derive(Debug)]
pub enum Error {
    /// The connection could not be opened.
    Connect(io::Error),
    /// The request could not be written or its answer not be read.
    Http(hyper::Error),
    /// The path is no valid part of a URI.
    Path(http::Error),
    /// The answer has another status.
    Status(StatusCode, Bytes),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(error) => write!(f, "connection failed: {error}"),
            Self::Http(error) => write!(f, "exchange failed: {error}"),
            Self::Path(error) => write!(f, "invalid request: {error}"),
            Self::Status(status, body) => {
                write!(f, "status {status}: {}", String::from_utf8_lossy(body))
            }
        }
    }
}

impl std::error::Error for Error {}

/// Gets a path of a server.
///
/// # Errors
///
/// Fails if no answer with status 2xx comes.
pub async fn get(server: SocketAddr, path: &str) -> Result<Bytes, Error> {
    whole(send(server, Method::GET, path, Bytes::new(), &[]).await?).await
}

/// Posts a JSON text to a path of a server.
///
/// # Errors
///
/// Fails if no answer with status 2xx comes.
pub async fn post(server: SocketAddr, path: &str, body: impl Into<Bytes>) -> Result<Bytes, Error> {
    whole(send(server, Method::POST, path, body.into(), &[]).await?).await
}

/// Sends a request and returns the head of its answer with the body still to come.
///
/// The connection closes when the answer's body is dropped.
///
/// # Errors
///
/// Fails if no answer comes.
pub async fn send(
    server: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    headers: &[(&str, &str)],
) -> Result<Response<hyper::body::Incoming>, Error> {
    let stream = TcpStream::connect(server).await.map_err(Error::Connect)?;
    stream.set_nodelay(true).map_err(Error::Connect)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(Error::Http)?;
    tokio::spawn(connection);
    let request = headers
        .iter()
        .fold(Request::builder(), |request, (name, value)| {
            request.header(*name, *value)
        })
        .method(method)
        .uri(path)
        .header("host", server.to_string())
        .header("content-type", "application/json")
        .body(Full::new(body))
        .map_err(Error::Path)?;
    sender.send_request(request).await.map_err(Error::Http)
}

async fn whole(response: Response<hyper::body::Incoming>) -> Result<Bytes, Error> {
    let status = response.status();
    let body = response.into_body().collect().await.map_err(Error::Http)?;
    let body = body.to_bytes();
    if !status.is_success() {
        return Err(Error::Status(status, body));
    }
    Ok(body)
}
