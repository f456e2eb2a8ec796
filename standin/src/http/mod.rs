//! HTTP/1.1 server whose open connections can be silenced, paused or closed.

mod pause;
pub mod query;
mod raw_connection;
pub mod reply;
mod server_handle;
mod silenceable_stream;

pub use self::{raw_connection::RawConnection, reply::Reply, server_handle::ServerHandle};

use self::silenceable_stream::SilenceableStream;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Request, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use std::{
    fmt, io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// Delay before accepting again after an error, such as a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Error by which a handler, or the stream of a reply's body, closes the connection without a reply
/// or in the middle of one.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionClosed;

impl fmt::Display for ConnectionClosed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection closed without a reply")
    }
}

impl std::error::Error for ConnectionClosed {}

/// Answers the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request; on [`ConnectionClosed`] its connection is closed without a reply.
    fn handle(
        self: Arc<Self>,
        request: Request<Bytes>,
    ) -> impl Future<Output = Result<Reply, ConnectionClosed>> + Send;

    /// Returns whether new connections are passed to [`serve_raw`](Self::serve_raw).
    fn is_raw(&self) -> bool {
        false
    }

    /// Serves a connection on its socket, from which nothing has been read.
    fn serve_raw(self: Arc<Self>, stream: TcpStream) -> impl Future<Output = ()> + Send {
        async move { drop(stream) }
    }
}

/// Server that listens on 127.0.0.1. Dropping it terminates the server with all its connections.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    server_handle: Arc<ServerHandle>,
}

impl Listener {
    /// Listens on `port` of 127.0.0.1, or on a free port if it is 0.
    ///
    /// # Errors
    ///
    /// Fails if the port can't be bound.
    pub async fn bind(port: u16) -> io::Result<BoundListener> {
        let socket = TcpListener::bind((Ipv4Addr::LOCALHOST, port)).await?;
        let address = socket.local_addr()?;
        let server_handle = Arc::new(ServerHandle::new());
        Ok(BoundListener {
            socket,
            listener: Self {
                address,
                server_handle,
            },
        })
    }

    /// Returns the loopback address that the server listens on, with the port that was chosen if 0
    /// was asked for.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the handle that silences, closes or terminates the server.
    pub fn server_handle(&self) -> &Arc<ServerHandle> {
        &self.server_handle
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.server_handle.terminate();
    }
}

/// Bound listener that doesn't accept connections yet. Its handle is available before the handler
/// exists, so that a handler can hold it.
#[derive(Debug)]
pub struct BoundListener {
    socket: TcpListener,
    listener: Listener,
}

impl BoundListener {
    /// Returns the handle that silences, closes or terminates the server.
    pub fn server_handle(&self) -> &Arc<ServerHandle> {
        self.listener.server_handle()
    }

    /// Starts to accept connections, each in a task of its own.
    pub fn serve<H: Handler>(self, handler: Arc<H>) -> Listener {
        let Self { socket, listener } = self;
        let server_handle = Arc::clone(&listener.server_handle);
        let task = tokio::spawn(accept_connections(socket, server_handle, handler));
        listener.server_handle.set_accept_task(task);
        listener
    }
}

async fn accept_connections<H: Handler>(
    mut socket: TcpListener,
    server_handle: Arc<ServerHandle>,
    handler: Arc<H>,
) {
    let mut refusing = server_handle.refusing();
    loop {
        tokio::select! {
            () = until(&mut refusing, true) => {
                server_handle.close_connections();
                socket = reopen(socket, &mut refusing).await;
            }
            accepted = socket.accept() => match accepted {
                Ok((stream, _)) => spawn_connection(stream, &server_handle, &handler),
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }
}

/// Waits until `value` has the value `expected`.
pub(crate) async fn until(value: &mut watch::Receiver<bool>, expected: bool) {
    if value.wait_for(|value| *value == expected).await.is_err() {
        // The sender is gone, so that the value does not change any more.
        std::future::pending::<()>().await;
    }
}

/// Closes a listening socket and opens it again when connections are no longer refused.
pub(crate) async fn reopen(
    socket: TcpListener,
    refusing: &mut watch::Receiver<bool>,
) -> TcpListener {
    let address = socket.local_addr();
    drop(socket);
    until(refusing, false).await;
    loop {
        if let Ok(address) = &address
            && let Ok(socket) = TcpListener::bind(address).await
        {
            return socket;
        }
        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
    }
}

fn spawn_connection<H: Handler>(stream: TcpStream, server_handle: &ServerHandle, handler: &Arc<H>) {
    if server_handle.is_down() || stream.set_nodelay(true).is_err() {
        return;
    }
    server_handle.count_connection();
    if server_handle.is_full() {
        // With zero linger, the close sends a reset. It fails only if the connection is gone.
        drop(stream.set_zero_linger());
        return;
    }
    if handler.is_raw() {
        server_handle.spawn(Arc::clone(handler).serve_raw(stream));
        return;
    }
    let stream = SilenceableStream::new(stream, server_handle.pause());
    let silence_flag = stream.silence_flag();
    let task = tokio::spawn(serve_connection(stream, Arc::clone(handler)));
    server_handle.register_task(silence_flag, task.abort_handle());
}

async fn serve_connection<H: Handler>(stream: SilenceableStream, handler: Arc<H>) {
    let raw = stream.raw();
    let service = service_fn(move |mut request: Request<Incoming>| {
        raw.count_request();
        request.extensions_mut().insert(raw.clone());
        handle_request(Arc::clone(&handler), request)
    });
    let served = http1::Builder::new()
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        tracing::debug!(%error, "connection ended");
    }
}

async fn handle_request<H: Handler>(
    handler: Arc<H>,
    request: Request<Incoming>,
) -> Result<Reply, ConnectionClosed> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(|error| {
        tracing::debug!(%error, "request body ended early");
        ConnectionClosed
    })?;
    let request = Request::from_parts(parts, body.to_bytes());
    handler.handle(request).await
}
