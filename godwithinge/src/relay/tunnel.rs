//! Tunnels, by which a daemon forwards the bytes of a peer's connection to a target.
//!
//! A daemon that is partitioned from the targets sends its requests this way, so that their order,
//! retries and cancellation stay where they are. A tunnel is a WebSocket connection. The peer opens
//! it with the identifier of a target, to which the daemon connects directly, never through another
//! tunnel. Binary messages carry the bytes. A close frame says that the target has ended its side in
//! order, and how many bytes it got; any other end is an error, because a response without a length
//! would look complete.

use super::{accept, event, metrics::TunnelSide, state::Relay};
use crate::http;
use bytes::Bytes;
use compact_str::CompactString;
use futures::{Sink, SinkExt, Stream, StreamExt};
use policy::id::{HostId, TargetId};
use serde::{Deserialize, Serialize};
use std::{
    cell::Cell,
    error, fmt, io,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};
use strum::IntoStaticStr;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf},
    net::{TcpListener, TcpStream, tcp},
    time,
};
use tokio_tungstenite::{
    WebSocketStream, accept_async_with_config, client_async_with_config,
    tungstenite::{
        self, Message,
        protocol::{CloseFrame, WebSocketConfig, frame::coding::CloseCode},
    },
};

/// Timeout of the connection to a target. Shorter than that of direct connections, since the peer
/// may go on to another daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout for the first message of a peer.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a byte in either direction after which a tunnel is closed. Streams send more often.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which a daemon reads on after the target has ended its side. A reset would discard what
/// the peer has not read yet.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of tunnels that a daemon serves. Each takes two file descriptors.
const MAX_TUNNELS: usize = 400;
/// Maximum size of a message.
const MAX_MESSAGE_BYTES: usize = 16 << 10;
/// Size of the read buffer of a connection.
const READ_BUFFER_BYTES: usize = 4 << 10;

/// First message of a tunnel.
#[derive(Debug, Deserialize, Serialize)]
struct Open {
    target: TargetId,
    /// Host that opens the tunnel.
    host: HostId,
    /// Daemons of earlier versions do not send it.
    #[serde(default)]
    purpose: Purpose,
}

/// What a tunnel is for.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) enum Purpose {
    /// It carries requests, or shows whether the target accepts connections. Only for targets in use.
    #[default]
    Request,
    /// It asks the target, which may have left meanwhile, for its report.
    Check,
}

/// Answer to [`Open`].
#[derive(Debug, Deserialize, Serialize)]
enum Answer {
    Opened,
    Refused(Refusal),
}

/// Why a daemon refuses a tunnel.
#[derive(Clone, Copy, Debug, Deserialize, Eq, IntoStaticStr, PartialEq, Serialize)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Refusal {
    /// It does not know the target.
    UnknownTarget,
    /// The target refused the connection, as its host does when no process listens.
    ConnectionRefused,
    /// The connection to the target failed in another way.
    Unreached,
    /// It is partitioned from all targets itself.
    Partitioned,
    /// It serves as many tunnels as it can.
    Busy,
    /// It shuts down.
    Leaving,
}

/// Failure to open a tunnel.
#[derive(Debug)]
pub(super) enum Error {
    /// The connection to the peer failed.
    Connect(io::Error),
    /// The WebSocket failed, or the peer's answer is malformed.
    Socket(Box<tungstenite::Error>),
    /// The peer did not answer in time.
    TimedOut,
    /// The peer refused.
    Refused(Refusal),
}

/// Connection to a target whose bytes a peer forwards.
#[derive(Debug)]
pub(super) struct Tunnel {
    socket: WebSocketStream<TcpStream>,
    received: Bytes,
    /// Number of bytes passed to the WebSocket.
    sent: u64,
    is_ended: bool,
}

/// Counts a tunnel as open until dropped.
struct TunnelGuard(Rc<Relay>);

/// Opens a tunnel to a target through the daemon at `address`.
///
/// # Errors
///
/// Fails if the daemon can't be reached, refuses, or does not answer within `timeout`.
pub(super) async fn open(
    address: SocketAddr,
    host: &HostId,
    target: &TargetId,
    purpose: Purpose,
    timeout: Duration,
) -> Result<Tunnel, Error> {
    let open = async {
        let stream = http::connect(&address.to_string()).await;
        let stream = stream.map_err(Error::Connect)?;
        stream.set_nodelay(true).map_err(Error::Connect)?;
        let url = format!("ws://{address}/");
        let opened = client_async_with_config(url, stream, Some(websocket_config())).await;
        let (mut socket, _) = opened?;
        let message = Open {
            target: target.clone(),
            host: host.clone(),
            purpose,
        };
        socket.send(encode(&message)).await?;
        match receive(&mut socket).await? {
            Answer::Opened => Ok(Tunnel {
                socket,
                received: Bytes::new(),
                sent: 0,
                is_ended: false,
            }),
            Answer::Refused(refusal) => Err(Error::Refused(refusal)),
        }
    };
    time::timeout(timeout, open)
        .await
        .unwrap_or(Err(Error::TimedOut))
}

/// Accepts tunnels of other daemons; never returns.
pub(super) async fn listen(relay: Rc<Relay>, listener: TcpListener) {
    accept::serve_connections(listener, move |stream| {
        let relay = Rc::clone(&relay);
        async move {
            if let Err(fault) = serve(&relay, stream).await {
                tracing::debug!(%fault, "tunnel failed");
            }
        }
    })
    .await;
}

/// Connects to the target that the peer names, and forwards bytes until either side ends.
async fn serve(relay: &Rc<Relay>, stream: TcpStream) -> Result<(), Error> {
    let guard = TunnelGuard::new(relay);
    stream.set_nodelay(true).map_err(Error::Connect)?;
    let accept = async {
        let mut socket = accept_async_with_config(stream, Some(websocket_config())).await?;
        let open: Open = receive(&mut socket).await?;
        Ok::<_, Error>((socket, open))
    };
    let accepted = time::timeout(OPEN_TIMEOUT, accept).await;
    let (mut socket, open) = accepted.unwrap_or(Err(Error::TimedOut))?;
    let connected = relay.connect_for_peer(&open.target, open.purpose).await;
    let result = connected
        .as_ref()
        .map_or_else(|refusal| (*refusal).into(), |_| "opened");
    relay.metrics.record_tunnel(TunnelSide::Server, result);
    let target = match connected {
        Ok(target) => target,
        Err(refusal) => {
            event::tunnel_refused(&open.host, &open.target, result);
            socket.send(encode(&Answer::Refused(refusal))).await?;
            return Ok(socket.close(None).await?);
        }
    };
    socket.send(encode(&Answer::Opened)).await?;
    forward(socket, target).await;
    drop(guard);
    Ok(())
}

/// Forwards bytes in both directions until either side ends, then closes both.
async fn forward(socket: WebSocketStream<TcpStream>, target: TcpStream) {
    let (mut sink, mut messages) = socket.split();
    let (reader, mut writer) = target.into_split();
    let used_at = Cell::new(time::Instant::now());
    let is_writing = Cell::new(false);
    let forwarded = Cell::new(0);
    let to_target = async {
        while let Some(Ok(message)) = messages.next().await {
            used_at.set(time::Instant::now());
            match message {
                Message::Binary(bytes) => {
                    is_writing.set(true);
                    if writer.write_all(&bytes).await.is_err() {
                        return;
                    }
                    is_writing.set(false);
                    forwarded.set(forwarded.get() + bytes.len() as u64);
                }
                Message::Ping(_) | Message::Pong(_) => {}
                Message::Close(_) | Message::Text(_) | Message::Frame(_) => return,
            }
        }
    };
    let is_ended = tokio::select! {
        () = to_target => false,
        is_ended = forward_to_peer(reader, &mut sink, &used_at) => is_ended,
        () = until_idle(&used_at) => false,
    };
    // A target that ends its side before it has read a request may not have sent the whole response.
    if is_ended && !is_writing.get() && sink.send(close(forwarded.get())).await.is_ok() {
        let rest = async { while let Some(Ok(_)) = messages.next().await {} };
        // The peer closes the connection as soon as it has read the close frame.
        drop(time::timeout(CLOSE_TIMEOUT, rest).await);
    }
}

/// Forwards what the target sends, and returns whether it has ended its side in order.
async fn forward_to_peer(
    mut reader: tcp::OwnedReadHalf,
    sink: &mut (impl Sink<Message> + Unpin),
    used_at: &Cell<time::Instant>,
) -> bool {
    let mut buffer = vec![0; MAX_MESSAGE_BYTES];
    loop {
        let Ok(length) = reader.read(&mut buffer).await else {
            return false;
        };
        if length == 0 {
            return true;
        }
        used_at.set(time::Instant::now());
        let message = Message::Binary(Bytes::copy_from_slice(&buffer[..length]));
        if sink.send(message).await.is_err() {
            return false;
        }
    }
}

async fn until_idle(used_at: &Cell<time::Instant>) {
    while used_at.get().elapsed() < IDLE_TIMEOUT {
        time::sleep_until(used_at.get() + IDLE_TIMEOUT).await;
    }
}

impl Relay {
    /// Opens a connection to a target for a peer.
    async fn connect_for_peer(
        self: &Rc<Self>,
        target: &TargetId,
        purpose: Purpose,
    ) -> Result<TcpStream, Refusal> {
        if self.tunnels.get() > MAX_TUNNELS {
            return Err(Refusal::Busy);
        }
        if self.is_closing() {
            return Err(Refusal::Leaving);
        }
        if self.reach.is_partitioned() {
            return Err(Refusal::Partitioned);
        }
        let address = self.address_for_peer(target, purpose)?;
        let connect = http::connect(&address);
        let connected = time::timeout(CONNECT_TIMEOUT, connect).await;
        let connected = connected.unwrap_or(Err(io::ErrorKind::TimedOut.into()));
        // One that has left says nothing about the network.
        if self.registry().get(target).is_some() {
            self.record_direct(target, connected.is_ok());
        }
        let stream = connected.map_err(|error| match error.kind() {
            io::ErrorKind::ConnectionRefused => Refusal::ConnectionRefused,
            _ => Refusal::Unreached,
        })?;
        stream
            .set_nodelay(true)
            .map_err(|_closed| Refusal::Unreached)?;
        Ok(stream)
    }

    /// Returns the address of a target to which a peer may be connected.
    fn address_for_peer(
        &self,
        target: &TargetId,
        purpose: Purpose,
    ) -> Result<CompactString, Refusal> {
        let registry = self.registry();
        let known = match purpose {
            Purpose::Request => registry
                .get(target)
                .filter(|known| !registry.has_departed(known) && !registry.is_evacuated(known)),
            Purpose::Check => registry.get_or_removed(target),
        };
        let known = known.ok_or(Refusal::UnknownTarget)?;
        if self.is_paused(known) {
            // The target may be open to another daemon.
            return Err(Refusal::Busy);
        }
        Ok(known.address.clone())
    }
}

impl TunnelGuard {
    fn new(relay: &Rc<Relay>) -> Self {
        relay.tunnels.set(relay.tunnels.get() + 1);
        Self(Rc::clone(relay))
    }
}

impl Drop for TunnelGuard {
    fn drop(&mut self) {
        self.0.tunnels.set(self.0.tunnels.get() - 1);
    }
}

fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(0)
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

fn encode(message: &impl Serialize) -> Message {
    let mut bytes = Vec::new();
    // Writing to memory does not fail.
    drop(ciborium::into_writer(message, &mut bytes));
    Message::binary(bytes)
}

/// Returns the close frame of a target that has ended its side after `forwarded` bytes.
fn close(forwarded: u64) -> Message {
    Message::Close(Some(CloseFrame {
        code: CloseCode::Normal,
        reason: forwarded.to_string().into(),
    }))
}

/// Returns whether the target got less than the `sent` bytes; false if a daemon of an earlier version,
/// which does not count them, has sent the frame.
fn is_short(frame: Option<&CloseFrame>, sent: u64) -> bool {
    let forwarded = frame.and_then(|frame| frame.reason.parse::<u64>().ok());
    forwarded.is_some_and(|forwarded| forwarded < sent)
}

/// Receives a message that is not forwarded.
async fn receive<T: for<'de> Deserialize<'de>>(
    socket: &mut WebSocketStream<TcpStream>,
) -> Result<T, Error> {
    let message = socket.next().await;
    let message = message.ok_or(tungstenite::Error::ConnectionClosed)??;
    let Message::Binary(bytes) = message else {
        return Err(malformed().into());
    };
    ciborium::from_reader(bytes.as_ref()).map_err(|_cause| malformed().into())
}

fn malformed() -> tungstenite::Error {
    io::Error::from(io::ErrorKind::InvalidData).into()
}

fn into_io(error: tungstenite::Error) -> io::Error {
    match error {
        tungstenite::Error::Io(error) => error,
        error => io::Error::other(error),
    }
}

impl AsyncRead for Tunnel {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.received.is_empty() && !self.is_ended {
            match ready!(Pin::new(&mut self.socket).poll_next(cx)) {
                Some(Ok(Message::Binary(bytes))) => self.received = bytes,
                // What the target did not get is a part of a request that it has not read.
                Some(Ok(Message::Close(frame))) if is_short(frame.as_ref(), self.sent) => {
                    return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
                }
                Some(Ok(Message::Close(_))) => self.is_ended = true,
                Some(Ok(Message::Ping(_) | Message::Pong(_))) => {}
                Some(Ok(Message::Text(_) | Message::Frame(_))) => {
                    return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
                }
                Some(Err(error)) => return Poll::Ready(Err(into_io(error))),
                None => return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
            }
        }
        let length = self.received.len().min(buf.remaining());
        buf.put_slice(&self.received.split_to(length));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Tunnel {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut socket = Pin::new(&mut self.socket);
        ready!(socket.as_mut().poll_ready(cx)).map_err(into_io)?;
        let length = buf.len().min(MAX_MESSAGE_BYTES);
        let message = Message::Binary(Bytes::copy_from_slice(&buf[..length]));
        socket.start_send(message).map_err(into_io)?;
        self.sent += length as u64;
        Poll::Ready(Ok(length))
    }

    /// Keeps hyper from copying a whole body into one buffer.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx).map_err(into_io)
    }

    /// Ends the connection; the daemon that forwards it then closes that to the target.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.socket.get_mut()).poll_shutdown(cx)
    }
}

impl From<tungstenite::Error> for Error {
    fn from(cause: tungstenite::Error) -> Self {
        Self::Socket(Box::new(cause))
    }
}

impl Error {
    /// Returns whether the peer has tried to reach the target, or does not know it.
    pub fn is_about_target(&self) -> bool {
        matches!(
            self,
            Self::Refused(Refusal::ConnectionRefused | Refusal::UnknownTarget)
        )
    }

    /// Returns the value of a label for this failure.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Connect(_) => "unreached",
            Self::Socket(_) => "broken",
            Self::TimedOut => "timeout",
            Self::Refused(refusal) => (*refusal).into(),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(cause) => write!(f, "failed to connect: {cause}"),
            Self::Socket(cause) => write!(f, "WebSocket failed: {cause}"),
            Self::TimedOut => f.write_str("tunnel timed out"),
            Self::Refused(refusal) => {
                write!(f, "peer refused the tunnel: {}", <&str>::from(*refusal))
            }
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Connect(cause) => Some(cause),
            Self::Socket(cause) => Some(cause),
            Self::TimedOut | Self::Refused(_) => None,
        }
    }
}
