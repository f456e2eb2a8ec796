//! Frames over WebSocket connections whose timeouts apply to progress, not to whole frames.
//!
//! A large frame takes seconds on a slow network link. As long as its bytes move, the connection is
//! alive and its end would only discard what has arrived. Both directions progress independently,
//! so that two daemons that send each other large frames do not wait for each other.

use super::{
    frame::Frame,
    link::Error,
    metrics::{Direction, Metrics},
};
use futures::{
    SinkExt, StreamExt,
    stream::{SplitSink, SplitStream},
};
use std::{
    cell::Cell,
    io,
    net::SocketAddr,
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll},
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time,
};
use tokio_tungstenite::{
    WebSocketStream, accept_async_with_config, client_async_with_config,
    tungstenite::{Message, protocol::WebSocketConfig},
};

/// Timeout for opening a connection, and for sending while no byte is accepted.
const IO_TIMEOUT: Duration = Duration::from_secs(1); // round trips take milliseconds
/// Maximum size of a frame. A configuration with a few hundred routes takes 200 kB.
const MAX_FRAME_BYTES: usize = 8 << 20;
/// Size of a connection's read buffer.
const READ_BUFFER_BYTES: usize = 4 << 10;

/// Number of bytes without a complete frame from which a large frame is arriving.
const LARGE_FRAME_BYTES: usize = 2 * READ_BUFFER_BYTES; // one read may end with the start of a frame

/// When bytes were last transferred in each direction of a connection.
#[derive(Debug)]
pub(super) struct Progress {
    received_at: Cell<Instant>,
    /// Bytes received since the last complete frame.
    incomplete: Cell<usize>,
    sent_at: Cell<Instant>,
}

/// Sends frames.
#[derive(Debug)]
pub(super) struct FrameSender {
    sink: SplitSink<WebSocketStream<MonitoredStream>, Message>,
    progress: Rc<Progress>,
}

/// Receives frames.
#[derive(Debug)]
pub(super) struct FrameReceiver {
    stream: SplitStream<WebSocketStream<MonitoredStream>>,
    progress: Rc<Progress>,
}

/// TCP connection that records the progress of its transfers.
#[derive(Debug)]
struct MonitoredStream {
    stream: TcpStream,
    progress: Rc<Progress>,
}

/// Opens a connection to a daemon.
///
/// # Errors
///
/// Fails if the connection or the WebSocket handshake fails or takes longer than a second.
pub(super) async fn connect(address: SocketAddr) -> Result<(FrameSender, FrameReceiver), Error> {
    let connect = async {
        let stream = TcpStream::connect(address).await.map_err(Error::Connect)?;
        stream.set_nodelay(true).map_err(Error::Connect)?;
        let stream = MonitoredStream::new(stream);
        let progress = Rc::clone(&stream.progress);
        let url = format!("ws://{address}/");
        let opened = client_async_with_config(url, stream, Some(websocket_config())).await;
        let (socket, _) = opened.map_err(|cause| Error::Socket(Box::new(cause)))?;
        Ok(split(socket, &progress))
    };
    let connected = time::timeout(IO_TIMEOUT, connect).await;
    connected.unwrap_or(Err(Error::Connect(io::ErrorKind::TimedOut.into())))
}

/// Accepts a connection of a daemon.
///
/// # Errors
///
/// Fails if the WebSocket handshake fails or takes longer than a second.
pub(super) async fn accept(stream: TcpStream) -> Result<(FrameSender, FrameReceiver), Error> {
    let stream = MonitoredStream::new(stream);
    let progress = Rc::clone(&stream.progress);
    let accept = accept_async_with_config(stream, Some(websocket_config()));
    let accepted = time::timeout(IO_TIMEOUT, accept).await;
    let accepted = accepted.map_err(|_elapsed| Error::TimedOut)?;
    let socket = accepted.map_err(|cause| Error::Socket(Box::new(cause)))?;
    Ok(split(socket, &progress))
}

fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

fn split(
    socket: WebSocketStream<MonitoredStream>,
    progress: &Rc<Progress>,
) -> (FrameSender, FrameReceiver) {
    let (sink, stream) = socket.split();
    let sender = FrameSender {
        sink,
        progress: Rc::clone(progress),
    };
    let receiver = FrameReceiver {
        stream,
        progress: Rc::clone(progress),
    };
    (sender, receiver)
}

impl FrameSender {
    /// Sends a frame.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails, or accepts no byte for a second.
    pub async fn send(&mut self, metrics: &Metrics, frame: &Frame) -> Result<(), Error> {
        let mut bytes = Vec::new();
        ciborium::into_writer(frame, &mut bytes).map_err(|_cause| Error::MalformedFrame)?;
        metrics.record_frame(frame, Direction::Sent, bytes.len());
        let Self { sink, progress } = self;
        progress.sent_at.set(Instant::now());
        let mut sent = pin!(sink.send(Message::binary(bytes)));
        loop {
            let timeout_at = progress.sent_at.get() + IO_TIMEOUT;
            let result = time::timeout_at(timeout_at.into(), &mut sent).await;
            if let Ok(sent) = result {
                return sent.map_err(|cause| Error::Socket(Box::new(cause)));
            }
            if progress.sent_at.get() + IO_TIMEOUT <= Instant::now() {
                return Err(Error::TimedOut);
            }
        }
    }
}

impl FrameReceiver {
    /// Returns the record of the connection's progress.
    pub fn progress(&self) -> &Rc<Progress> {
        &self.progress
    }

    /// Receives the next frame. `max_silence` is asked each time for the duration after which a
    /// connection without progress has failed.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails, no byte arrives for that duration, or the frame is malformed.
    pub async fn receive(
        &mut self,
        metrics: &Metrics,
        max_silence: impl Fn() -> Duration,
    ) -> Result<Frame, Error> {
        loop {
            let timeout_at = self.progress.received_at.get() + max_silence();
            let Ok(message) = time::timeout_at(timeout_at.into(), self.stream.next()).await else {
                if self.progress.silence() >= max_silence() {
                    return Err(Error::TimedOut);
                }
                continue;
            };
            let message = message.ok_or(Error::Closed)?;
            match message.map_err(|cause| Error::Socket(Box::new(cause)))? {
                Message::Binary(bytes) => {
                    self.progress.incomplete.set(0);
                    let frame: Frame = ciborium::from_reader(bytes.as_ref())
                        .map_err(|_cause| Error::MalformedFrame)?;
                    metrics.record_frame(&frame, Direction::Received, bytes.len());
                    return Ok(frame);
                }
                Message::Close(_) => return Err(Error::Closed),
                Message::Ping(_) | Message::Pong(_) => {}
                Message::Text(_) | Message::Frame(_) => return Err(Error::MalformedFrame),
            }
        }
    }
}

impl Progress {
    /// Returns the time since the last byte was received.
    pub fn silence(&self) -> Duration {
        self.received_at.get().elapsed()
    }

    /// Returns whether the beginning of a large frame has been received.
    pub fn has_partial_frame(&self) -> bool {
        self.incomplete.get() >= LARGE_FRAME_BYTES
    }
}

impl MonitoredStream {
    fn new(stream: TcpStream) -> Self {
        let now = Instant::now();
        let progress = Progress {
            received_at: Cell::new(now),
            incomplete: Cell::new(0),
            sent_at: Cell::new(now),
        };
        Self {
            stream,
            progress: Rc::new(progress),
        }
    }
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        let received = buf.filled().len() - filled;
        if received > 0 {
            self.progress.received_at.set(Instant::now());
            let incomplete = &self.progress.incomplete;
            incomplete.set(incomplete.get() + received);
        }
        result
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        if matches!(result, Poll::Ready(Ok(count)) if count > 0) {
            self.progress.sent_at.set(Instant::now());
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
