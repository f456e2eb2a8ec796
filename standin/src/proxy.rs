//! Loopback proxy whose connections are delayed, cut, silenced or reset.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::JoinHandle,
    time,
};

/// Bytes that are passed on at once.
const BUFFER_SIZE: usize = 16 << 10;

/// What a proxy does to the bytes of its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// Passes them on.
    #[default]
    None,
    /// Passes them on after a while.
    Delay(Duration),
    /// Loses what the dialling end sends.
    DropToServer,
    /// Loses what the other end answers.
    DropToClient,
    /// Loses all of them.
    DropAll,
}

/// Direction of bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    /// From the dialling end.
    ToServer,
    /// To the dialling end.
    ToClient,
}

/// Passes connections on to an address.
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
    /// Number of times that all connections were reset.
    reset_count: watch::Sender<u64>,
}

impl Proxy {
    /// Starts a proxy before an address, on a free port.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn start(server_address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let state = Arc::new(State {
            server_address,
            fault: Mutex::default(),
            reset_count: watch::Sender::new(0),
        });
        Ok(Self {
            address: listener.local_addr()?,
            accept_task: tokio::spawn(accept(listener, Arc::clone(&state))),
            state,
        })
    }

    /// Returns the address to dial.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what becomes of bytes from now on, on open connections as well.
    pub fn set_fault(&self, fault: Fault) {
        *self.state.lock() = fault;
    }

    /// Resets all open connections.
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
            Self::None | Self::Delay(_) => false,
            Self::DropToServer => direction == Direction::ToServer,
            Self::DropToClient => direction == Direction::ToClient,
            Self::DropAll => true,
        }
    }
}

async fn accept(listener: TcpListener, state: Arc<State>) {
    while let Ok((client, _)) = listener.accept().await {
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            // The dialling end sees a connection that ends at once.
            if let Ok(server) = TcpStream::connect(state.server_address).await {
                forward(client, server, &state).await;
            }
        });
    }
}

/// Passes bytes both ways until both ends have closed, or the connection is reset.
async fn forward(client: TcpStream, server: TcpStream, state: &State) {
    let mut reset_count = state.reset_count.subscribe();
    let (mut client_reader, mut client_writer) = client.into_split();
    let (mut server_reader, mut server_writer) = server.into_split();
    let is_reset = tokio::select! {
        _ = reset_count.changed() => true,
        _ = async {
            tokio::join!(
                copy_bytes(&mut client_reader, &mut server_writer, Direction::ToServer, state),
                copy_bytes(&mut server_reader, &mut client_writer, Direction::ToClient, state),
            )
        } => false,
    };
    if is_reset {
        for end in [&client_writer, &server_writer] {
            // An end that has gone needs no reset.
            drop(end.as_ref().set_zero_linger());
        }
    }
}

/// Passes bytes one direction until they end.
async fn copy_bytes(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    direction: Direction,
    state: &State,
) {
    let mut buffer = vec![0; BUFFER_SIZE];
    while let Ok(size) = from.read(&mut buffer).await {
        let fault = *state.lock();
        if let Fault::Delay(delay) = fault {
            time::sleep(delay).await;
        }
        if size == 0 {
            break;
        }
        if !fault.drops(direction) && to.write_all(&buffer[..size]).await.is_err() {
            break;
        }
    }
    // The other end may have closed already.
    drop(to.shutdown().await);
}
