//! Tasks that accept and dial connections and forward frames between them and the hub.

use super::{
    Error,
    frame::Frame,
    hub::{Hub, LinkId, PeerView},
    socket::Socket,
};
use policy::id::HostId;
use rand::RngExt;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::TcpListener,
    sync::{Semaphore, mpsc},
    time::{self, Instant},
};

/// Maximum time without a received frame, and for sending one, before a link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum duration of a single exchange with a daemon without a link.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of accepted connections whose handshake is incomplete.
const MAX_HANDSHAKES: usize = 16;

/// Delay before the next accept after a failed one.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Maximum average number of origins per bucket in the digest of an exchange.
const BUCKET_SIZE: usize = 24;

/// Spawns a task that is cancelled when the links are closed.
pub(super) fn spawn(hub: &Arc<Hub>, task: impl Future<Output = ()> + Send + 'static) {
    let mut shutdown = hub.shutdown.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = task => {}
            // Nothing is ever sent on this channel, so this completes when the sender is dropped.
            _ = shutdown.changed() => {}
        }
    });
}

/// Accepts connections from peers.
pub(super) async fn listen(hub: Arc<Hub>, listener: TcpListener) {
    let handshakes = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    loop {
        let (stream, address) = match listener.accept().await {
            Ok(connection) => connection,
            Err(error) => {
                tracing::warn!(%error, "accepting a peer connection failed");
                time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&handshakes).try_acquire_owned() else {
            tracing::warn!(%address, "peer connection refused: too many incomplete handshakes");
            continue;
        };
        let task_hub = Arc::clone(&hub);
        spawn(&hub, async move {
            let accepted = Socket::accept(stream, &task_hub.identity, &task_hub.traffic).await;
            drop(permit);
            log_end(address, serve_accepted(&task_hub, accepted).await);
        });
    }
}

/// Dials a peer and runs the link until it is closed.
pub(super) async fn dial(hub: Arc<Hub>, host: HostId, address: SocketAddr) {
    let opened = Socket::dial(address, &hub.identity, false, &hub.traffic).await;
    hub.state().dialling.remove(&host);
    let result = match opened {
        Ok(socket) => run_link(&hub, socket, true).await,
        Err(error) => Err(error),
    };
    log_end(address, result);
}

/// Performs a single exchange with a daemon to which there is no link.
pub(super) async fn exchange(hub: Arc<Hub>, address: SocketAddr) {
    let run = async {
        let mut socket = Socket::dial(address, &hub.identity, true, &hub.traffic).await?;
        for frame in opening_frames(&hub) {
            socket.send(&frame).await?;
        }
        let mut view = PeerView::for_exchange();
        let mut awaits_update = false;
        loop {
            let frame = socket.receive().await?;
            let is_last = match &frame {
                Frame::Have(_) => true,
                Frame::Update(_) => awaits_update,
                _ => false,
            };
            let replies = handle_frame(&hub, &mut socket, &mut view, frame).await?;
            awaits_update = replies.iter().any(|reply| matches!(reply, Frame::Want(_)));
            if is_last && !awaits_update {
                socket.close().await;
                return Ok(());
            }
        }
    };
    let result = time::timeout(EXCHANGE_TIMEOUT, run).await;
    log_end(address, result.unwrap_or(Err(Error::Timeout)));
}

/// Returns the first frames of an exchange: the revision, and the digest of a random bucket.
fn opening_frames(hub: &Hub) -> [Frame; 2] {
    let now = hub.now();
    let state = hub.state();
    let count = state
        .members
        .members(now)
        .len()
        .div_ceil(BUCKET_SIZE)
        .max(1) as u64;
    let bucket = rand::rng().random_range(0..count);
    let stamps = state.members.digest(now, bucket, count);
    // The peer's revision, which ends the exchange, follows its digest, so the digest is sent last.
    [
        Frame::Have(state.revision()),
        Frame::digest(bucket, count, true, stamps),
    ]
}

async fn serve_accepted(hub: &Hub, accepted: Result<Socket, Error>) -> Result<(), Error> {
    let socket = accepted?;
    if socket.is_exchange {
        serve_exchange(hub, socket).await
    } else {
        run_link(hub, socket, false).await
    }
}

async fn serve_exchange(hub: &Hub, mut socket: Socket) -> Result<(), Error> {
    let mut view = PeerView::for_exchange();
    let serve = async {
        loop {
            let frame = socket.receive().await?;
            handle_frame(hub, &mut socket, &mut view, frame).await?;
        }
    };
    match time::timeout(EXCHANGE_TIMEOUT, serve).await {
        Ok(Err(Error::Closed)) => Ok(()),
        Ok(result) => result,
        Err(_) => Err(Error::Timeout),
    }
}

async fn handle_frame(
    hub: &Hub,
    socket: &mut Socket,
    view: &mut PeerView,
    frame: Frame,
) -> Result<Vec<Frame>, Error> {
    let now = hub.now();
    let replies = hub.state().handle_frame(now, view, frame)?;
    for reply in &replies {
        socket.send(reply).await?;
    }
    Ok(replies)
}

/// Registers a connection as a link and runs it until it is closed.
async fn run_link(hub: &Hub, mut socket: Socket, dialled: bool) -> Result<(), Error> {
    let (id, mut frames) = hub.add_link(&socket.host, dialled)?;
    tracing::info!(peer = %socket.host, dialled, "peer link opened");
    let result = forward_frames(hub, id, &mut socket, &mut frames).await;
    hub.state().links.remove(&id);
    let reason = result.as_ref().err().map(ToString::to_string);
    tracing::info!(peer = %socket.host, dialled, reason, "peer link closed");
    result
}

async fn forward_frames(
    hub: &Hub,
    id: LinkId,
    socket: &mut Socket,
    frames: &mut mpsc::Receiver<Vec<u8>>,
) -> Result<(), Error> {
    let mut idle_at = Instant::now() + IDLE_TIMEOUT;
    loop {
        tokio::select! {
            frame = time::timeout_at(idle_at, socket.receive()) => {
                hub.receive(id, frame.map_err(|_elapsed| Error::IdleTimeout)??)?;
                idle_at = Instant::now() + IDLE_TIMEOUT;
            }
            bytes = frames.recv() => {
                // The hub dropped the link: it was replaced, or its queue overflowed.
                let bytes = bytes.ok_or(Error::Refused)?;
                let sent = time::timeout(IDLE_TIMEOUT, socket.send_bytes(bytes)).await;
                sent.map_err(|_elapsed| Error::SendTimeout)??;
            }
        }
    }
}

fn log_end(address: SocketAddr, result: Result<(), Error>) {
    match result {
        Err(error) if error.is_peer_fault() => {
            tracing::warn!(%address, %error, "peer rejected: handshake or protocol error");
        }
        Err(error) => tracing::debug!(%address, %error, "peer connection closed"),
        Ok(()) => {}
    }
}
