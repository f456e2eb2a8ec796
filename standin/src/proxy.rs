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
const CHUNK: usize = 16 << 10;

/// What a proxy does to the bytes of its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// Passes them on.
    #[default]
    None,
    /// Passes them on after a while.
    Delayed(Duration),
    /// Loses what the dialling end sends.
    Deaf,
    /// Loses what the other end answers.
    Mute,
    /// Loses all of them.
    Silent,
}

/// Direction of bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    /// From the dialling end.
    Out,
    /// To the dialling end.
    Back,
}

/// Passes connections on to an address.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    accepting: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    to: SocketAddr,
    fault: Mutex<Fault>,
    /// Number of times that all connections were reset.
    resets: watch::Sender<u64>,
}

impl Proxy {
    /// Starts a proxy before an address, on a free port.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn start(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let shared = Arc::new(Shared {
            to,
            fault: Mutex::default(),
            resets: watch::Sender::new(0),
        });
        Ok(Self {
            address: listener.local_addr()?,
            accepting: tokio::spawn(accept(listener, Arc::clone(&shared))),
            shared,
        })
    }

    /// Returns the address to dial.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what becomes of bytes from now on, on open connections as well.
    pub fn set_fault(&self, fault: Fault) {
        *self.shared.lock() = fault;
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.shared.resets.send_modify(|resets| *resets += 1);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accepting.abort();
        self.reset();
    }
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, Fault> {
        self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Fault {
    fn loses(self, way: Way) -> bool {
        match self {
            Self::None | Self::Delayed(_) => false,
            Self::Deaf => way == Way::Out,
            Self::Mute => way == Way::Back,
            Self::Silent => true,
        }
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((near, _)) = listener.accept().await {
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            // The dialling end sees a connection that ends at once.
            if let Ok(far) = TcpStream::connect(shared.to).await {
                pass(near, far, &shared).await;
            }
        });
    }
}

/// Passes bytes both ways until both ends have closed, or the connection is reset.
async fn pass(near: TcpStream, far: TcpStream, shared: &Shared) {
    let mut resets = shared.resets.subscribe();
    let (mut near_in, mut near_out) = near.into_split();
    let (mut far_in, mut far_out) = far.into_split();
    let is_reset = tokio::select! {
        _ = resets.changed() => true,
        _ = async {
            tokio::join!(
                copy(&mut near_in, &mut far_out, Way::Out, shared),
                copy(&mut far_in, &mut near_out, Way::Back, shared),
            )
        } => false,
    };
    if is_reset {
        for end in [&near_out, &far_out] {
            // An end that has gone needs no reset.
            drop(end.as_ref().set_zero_linger());
        }
    }
}

/// Passes bytes one way until they end.
async fn copy(from: &mut OwnedReadHalf, to: &mut OwnedWriteHalf, way: Way, shared: &Shared) {
    let mut chunk = vec![0; CHUNK];
    while let Ok(size) = from.read(&mut chunk).await {
        let fault = *shared.lock();
        if let Fault::Delayed(delay) = fault {
            time::sleep(delay).await;
        }
        if size == 0 {
            break;
        }
        if !fault.loses(way) && to.write_all(&chunk[..size]).await.is_err() {
            break;
        }
    }
    // The other end may have closed already.
    drop(to.shutdown().await);
}
