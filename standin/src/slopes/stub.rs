//! Targets and a relay that count the bytes of their connections.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinSet,
};

/// Bytes that went both ways, without the headers of TCP and IP.
#[derive(Clone, Debug, Default)]
pub struct Bytes(Arc<AtomicU64>);

/// Size of a read, in bytes.
const BUFFER: usize = 16 << 10;

impl Bytes {
    /// Returns the bytes so far.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// Idle targets that answer reports; they end when this is dropped.
#[derive(Debug)]
pub struct Targets {
    /// Addresses, one for each target.
    pub addresses: Vec<SocketAddr>,
    /// Bytes of all their connections.
    pub bytes: Bytes,
    _tasks: JoinSet<()>,
}

impl Targets {
    /// Starts `count` targets that hold `model`.
    ///
    /// # Errors
    ///
    /// Fails if a port can't be bound.
    pub async fn start(count: usize, model: &str) -> io::Result<Self> {
        let (bytes, mut tasks) = (Bytes::default(), JoinSet::new());
        let mut addresses = Vec::new();
        let load: Arc<str> = reply(&load(model)).into();
        for _ in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addresses.push(listener.local_addr()?);
            tasks.spawn(serve(listener, Arc::clone(&load), bytes.clone()));
        }
        Ok(Self {
            addresses,
            bytes,
            _tasks: tasks,
        })
    }
}

fn load(model: &str) -> String {
    let models = serde_json::json!([model]);
    format!(
        "{{\"running\":3,\"waiting\":0,\"width\":8,\"tokens_per_second\":30.0,\
         \"prefill_per_second\":4000.0,\"age_ms\":120.0,\"models\":{models},\"adapters\":[],\
         \"role\":\"serving\"}}"
    )
}

fn reply(body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

async fn serve(listener: TcpListener, load: Arc<str>, bytes: Bytes) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        connections.spawn(answer(stream, Arc::clone(&load), bytes.clone()));
    }
}

/// Answers requests without a body, one after the other.
async fn answer(mut stream: TcpStream, load: Arc<str>, bytes: Bytes) {
    let cache = reply("{\"events\":[],\"sequence\":0}");
    let mut request = Vec::new();
    let mut buffer = vec![0; BUFFER];
    while let Ok(read @ 1..) = stream.read(&mut buffer).await {
        bytes.add(read);
        request.extend_from_slice(buffer.get(..read).unwrap_or_default());
        if !request.ends_with(b"\r\n\r\n") {
            continue;
        }
        let is_cache = request.starts_with(b"GET /cache");
        let text = if is_cache { cache.as_str() } else { &load };
        bytes.add(text.len());
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        request.clear();
    }
}

/// Relay that passes connections on; it ends when this is dropped.
#[derive(Debug)]
pub struct Relay {
    /// Address to connect to.
    pub address: SocketAddr,
    /// Bytes of all connections.
    pub bytes: Bytes,
    _tasks: JoinSet<()>,
}

impl Relay {
    /// Starts a relay to an address.
    ///
    /// # Errors
    ///
    /// Fails if a port can't be bound.
    pub async fn start(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (bytes, mut tasks) = (Bytes::default(), JoinSet::new());
        tasks.spawn(pass_all(listener, to, bytes.clone()));
        Ok(Self {
            address,
            bytes,
            _tasks: tasks,
        })
    }
}

async fn pass_all(listener: TcpListener, to: SocketAddr, bytes: Bytes) {
    let mut connections = JoinSet::new();
    while let Ok((near, _)) = listener.accept().await {
        let bytes = bytes.clone();
        connections.spawn(async move {
            if let Ok(far) = TcpStream::connect(to).await {
                pass(near, far, bytes).await;
            }
        });
    }
}

async fn pass(near: TcpStream, far: TcpStream, bytes: Bytes) {
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::join!(
        copy(near_read, far_write, bytes.clone()),
        copy(far_read, near_write, bytes)
    );
}

async fn copy(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    bytes: Bytes,
) {
    let mut buffer = vec![0; BUFFER];
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        bytes.add(read);
        let part = buffer.get(..read).unwrap_or_default();
        if to.write_all(part).await.is_err() {
            return;
        }
    }
    // The other side may have closed first.
    let _ = to.shutdown().await;
}
