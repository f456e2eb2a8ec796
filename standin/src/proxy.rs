//! TCP proxy on 127.0.0.1 that injects network faults: delay, loss in one or both directions,
//! connection resets, and new connections that are refused or hang.

use crate::http::{self, ServerHandle};
use std::{
    future, io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpSocket, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::JoinHandle,
    time,
};

/// Most bytes that one read takes; each read is delayed or dropped as a whole.
const BUFFER_SIZE: usize = 16 << 10;

/// Fault that a proxy applies to the bytes of its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// Forwards all bytes.
    #[default]
    None,
    /// Forwards each chunk, and the end of the stream, after this delay.
    Delay(Duration),
    /// Forwards bytes no faster than this in each direction of a connection.
    Throttle {
        /// Rate in bytes per second.
        bytes_per_second: u32,
    },
    /// Drops bytes that the client sends; the connection stays open.
    DropToServer,
    /// Drops bytes that the server sends; the connection stays open.
    DropToClient,
    /// Drops bytes in both directions; the connection stays open.
    DropAll,
}

/// What a proxy does with new connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Admission {
    /// Accepts and forwards them.
    #[default]
    Accept,
    /// Refuses them, as a host without a listener does.
    Refuse,
    /// Does not answer their first packet, as on a network that drops it.
    Hang,
}

/// Time after which a connection that fills the queue of a listener counts as hanging.
const FILL_TIMEOUT: Duration = Duration::from_millis(50);
/// Delay before another attempt to bind an address that an earlier socket may still hold.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(10);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    ToServer,
    ToClient,
}

/// Running proxy. Dropping it stops the listener and resets its connections.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    state: Arc<State>,
    accept_task: JoinHandle<()>,
}

#[derive(Debug)]
struct State {
    server_address: SocketAddr,
    fault: Mutex<Fault>,
    admission: watch::Sender<Admission>,
    /// Number of times that all connections were reset.
    reset_count: watch::Sender<u64>,
}

impl Proxy {
    /// Starts a proxy on a free port that forwards connections to `server_address`.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn start(server_address: SocketAddr) -> io::Result<Self> {
        Self::start_with(server_address, watch::Sender::new(false).subscribe()).await
    }

    /// Starts a proxy in front of a server. It refuses connections while the server does.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn start_for(server: SocketAddr, server_handle: &ServerHandle) -> io::Result<Self> {
        Self::start_with(server, server_handle.refusing()).await
    }

    async fn start_with(
        server_address: SocketAddr,
        refusing: watch::Receiver<bool>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let state = Arc::new(State {
            server_address,
            fault: Mutex::default(),
            admission: watch::Sender::default(),
            reset_count: watch::Sender::new(0),
        });
        Ok(Self {
            address: listener.local_addr()?,
            accept_task: tokio::spawn(accept(listener, Arc::clone(&state), refusing)),
            state,
        })
    }

    /// Returns the loopback address that clients connect to instead of the server's.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault for bytes read from now on, on open and on new connections.
    pub fn set_fault(&self, fault: Fault) {
        *self.state.lock() = fault;
    }

    /// Sets what happens to new connections; open ones are not affected.
    pub fn set_admission(&self, admission: Admission) {
        self.state.admission.send_replace(admission);
    }

    /// Closes all open connections with a TCP reset (RST).
    pub fn reset(&self) {
        self.state
            .reset_count
            .send_modify(|reset_count| *reset_count += 1);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accept_task.abort();
        self.reset();
    }
}

impl State {
    fn lock(&self) -> std::sync::MutexGuard<'_, Fault> {
        self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Fault {
    fn drops(self, direction: Direction) -> bool {
        match self {
            Self::None | Self::Delay(_) | Self::Throttle { .. } => false,
            Self::DropToServer => direction == Direction::ToServer,
            Self::DropToClient => direction == Direction::ToClient,
            Self::DropAll => true,
        }
    }
}

async fn accept(mut listener: TcpListener, state: Arc<State>, mut refusing: watch::Receiver<bool>) {
    let mut admission = state.admission.subscribe();
    loop {
        tokio::select! {
            () = http::until(&mut refusing, true) => {
                listener = http::reopen(listener, &mut refusing).await;
            }
            () = async {
                // Fails only if the proxy is gone, which ends this task.
                drop(admission.wait_for(|admission| *admission != Admission::Accept).await);
            } => {
                let Ok(reopened) = reject(listener, &mut admission).await else {
                    return;
                };
                listener = reopened;
            }
            accepted = listener.accept() => {
                let Ok((client, _)) = accepted else {
                    return;
                };
                let state = Arc::clone(&state);
                tokio::spawn(async move {
                    // If the server refuses the connection, the client's is closed at once.
                    if let Ok(server) = connect(state.server_address).await {
                        forward(client, server, &state).await;
                    }
                });
            }
        }
    }
}

/// Opens a connection to the server that holds few bytes which the server does not read, as a network.
async fn connect(server: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.connect(server).await
}

/// Refuses new connections, or lets them hang, until they are accepted again.
async fn reject(
    listener: TcpListener,
    admission: &mut watch::Receiver<Admission>,
) -> io::Result<TcpListener> {
    let address = listener.local_addr()?;
    drop(listener);
    loop {
        // Bound without a listener, the socket keeps others off the port, and connections to it are
        // refused.
        let socket = bind(address).await?;
        let current = *admission.borrow_and_update();
        if current == Admission::Accept {
            return socket.listen(BACKLOG);
        }
        let changed = if current == Admission::Hang {
            // The queue of this listener is filled by connections that it never accepts.
            let _full = socket.listen(0)?;
            let mut connections = Vec::new();
            while let Ok(connection) =
                time::timeout(FILL_TIMEOUT, TcpStream::connect(address)).await
            {
                connections.push(connection?);
            }
            admission.changed().await
        } else {
            let changed = admission.changed().await;
            drop(socket);
            changed
        };
        changed.map_err(io::Error::other)?;
    }
}

/// Size of the send buffer of a connection to a server.
const SEND_BUFFER_BYTES: u32 = 64 << 10;
/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Binds an address, which an earlier socket may still hold for a moment.
async fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    loop {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        match socket.bind(address) {
            Ok(()) => return Ok(socket),
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {
                time::sleep(BIND_RETRY_DELAY).await;
            }
            Err(error) => return Err(error),
        }
    }
}

/// Forwards bytes in both directions until both ends have closed. If one end or the proxy is reset,
/// both ends are.
async fn forward(client: TcpStream, server: TcpStream, state: &State) {
    let mut reset_count = state.reset_count.subscribe();
    let (mut client_reader, mut client_writer) = client.into_split();
    let (mut server_reader, mut server_writer) = server.into_split();
    let is_reset = tokio::select! {
        _ = reset_count.changed() => true,
        copied = async {
            tokio::try_join!(
                copy_bytes(&mut client_reader, &mut server_writer, Direction::ToServer, state),
                copy_bytes(&mut server_reader, &mut client_writer, Direction::ToClient, state),
            )
        } => copied.is_err(),
    };
    if is_reset {
        for end in [client_writer, server_writer] {
            // With zero linger, closing the socket sends a RST. An error means that this end is
            // already closed. Dropping the write half would send a FIN first.
            drop(end.as_ref().set_zero_linger());
            end.forget();
        }
    }
}

/// Forwards bytes in one direction until the end of the stream or an error.
///
/// TCP does not deliver what follows lost bytes, so once some were dropped, nothing is read any more
/// and the sender's window fills up.
async fn copy_bytes(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    direction: Direction,
    state: &State,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_SIZE];
    loop {
        let size = from.read(&mut buffer).await?;
        let fault = *state.lock();
        match fault {
            Fault::Delay(delay) => time::sleep(delay).await,
            Fault::Throttle { bytes_per_second } => {
                let seconds = size as f64 / f64::from(bytes_per_second);
                time::sleep(Duration::from_secs_f64(seconds)).await;
            }
            Fault::None => {}
            Fault::DropToServer | Fault::DropToClient | Fault::DropAll => {
                if fault.drops(direction) {
                    future::pending::<()>().await;
                }
            }
        }
        if size == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..size]).await?;
    }
}
