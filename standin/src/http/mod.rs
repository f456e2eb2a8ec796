//! HTTP/1.1 server whose open connections can be made silent or closed.

mod gate;
mod link;
pub mod query;
pub mod reply;

pub use self::{gate::Gate, reply::Reply};

use self::link::Link;
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
use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept, which a lack of file descriptors can cause.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// The connection ends here without a (further) reply.
#[derive(Clone, Copy, Debug)]
pub struct Hangup;

impl fmt::Display for Hangup {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection closed without a reply")
    }
}

impl std::error::Error for Hangup {}

/// What answers the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request; on [`Hangup`] its connection is closed without a reply.
    fn handle(
        self: Arc<Self>,
        request: Request<Bytes>,
    ) -> impl Future<Output = Result<Reply, Hangup>> + Send;
}

/// Listener on 127.0.0.1 with all its connections.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    gate: Arc<Gate>,
}

impl Listener {
    /// Listens on `port` of 127.0.0.1, or on a free port if it is 0.
    ///
    /// # Errors
    ///
    /// Fails if the port can't be bound.
    pub async fn bind(port: u16) -> io::Result<Bound> {
        let socket = TcpListener::bind((Ipv4Addr::LOCALHOST, port)).await?;
        let address = socket.local_addr()?;
        let gate = Arc::new(Gate::new());
        Ok(Bound {
            socket,
            listener: Self { address, gate },
        })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the switch of the server's connections.
    pub fn gate(&self) -> &Arc<Gate> {
        &self.gate
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.gate.end();
    }
}

/// Bound listener that doesn't accept connections yet.
#[derive(Debug)]
pub struct Bound {
    socket: TcpListener,
    listener: Listener,
}

impl Bound {
    /// Returns the switch of the server's connections.
    pub fn gate(&self) -> &Arc<Gate> {
        self.listener.gate()
    }

    /// Starts to accept connections.
    pub fn serve<H: Handler>(self, handler: Arc<H>) -> Listener {
        let Self { socket, listener } = self;
        let gate = Arc::clone(&listener.gate);
        let task = tokio::spawn(accept(socket, gate, handler));
        listener.gate.set_accept(task);
        listener
    }
}

async fn accept<H: Handler>(socket: TcpListener, gate: Arc<Gate>, handler: Arc<H>) {
    loop {
        match socket.accept().await {
            Ok((stream, _)) => admit(stream, &gate, &handler),
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

fn admit<H: Handler>(stream: TcpStream, gate: &Gate, handler: &Arc<H>) {
    if gate.is_down() || stream.set_nodelay(true).is_err() {
        return;
    }
    let link = Link::new(stream);
    let silent = link.silent();
    let task = tokio::spawn(converse(link, Arc::clone(handler)));
    gate.add(silent, task.abort_handle());
}

async fn converse<H: Handler>(link: Link, handler: Arc<H>) {
    let service = service_fn(move |request| answer(Arc::clone(&handler), request));
    let served = http1::Builder::new()
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(link), service)
        .await;
    if let Err(error) = served {
        tracing::debug!(%error, "connection ended");
    }
}

async fn answer<H: Handler>(handler: Arc<H>, request: Request<Incoming>) -> Result<Reply, Hangup> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(|error| {
        tracing::debug!(%error, "body ended early");
        Hangup
    })?;
    let request = Request::from_parts(parts, body.to_bytes());
    handler.handle(request).await
}
