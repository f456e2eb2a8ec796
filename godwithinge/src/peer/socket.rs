//! Authenticated connection that carries frames.
//!
//! In the handshake each end sends a [`Hello`] with a random challenge, then an HMAC under the
//! fleet key over both hellos. The dialler sends its proof first.

use super::{
    Error,
    frame::{Frame, Hello, MAX_FRAME, Mac, Nonce, VERSION},
};
use crate::settings::Secret;
use futures::{SinkExt, StreamExt};
use hmac::{Hmac, KeyInit, Mac as _};
use policy::id::HostId;
use prometheus::IntCounter;
use sha2::Sha256;
use std::{net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, time};
use tokio_tungstenite::{
    WebSocketStream, accept_async_with_config, client_async_with_config,
    tungstenite::{Message, protocol::WebSocketConfig},
};

/// Maximum duration of connecting and of the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a frame during the handshake, in bytes.
const MAX_HANDSHAKE_FRAME: usize = 512;

/// Size of a connection's read buffer, in bytes.
const READ_BUFFER: usize = 8 << 10;

/// Size of the WebSocket header assumed for each frame in the traffic counters, in bytes.
const HEADER_BYTES: u64 = 6;

/// Credentials of a daemon for the handshake.
#[derive(Clone, Debug)]
pub(super) struct Identity {
    pub host: HostId,
    pub key: Secret,
}

/// Counters of bytes sent and received on peer connections.
#[derive(Clone, Debug)]
pub(super) struct Traffic {
    pub sent: IntCounter,
    pub received: IntCounter,
}

/// Connection to an authenticated peer.
#[derive(Debug)]
pub(super) struct Socket {
    pub host: HostId,
    pub is_exchange: bool,
    stream: WebSocketStream<TcpStream>,
    traffic: Traffic,
}

/// Role of an end in the handshake.
#[derive(Clone, Copy, Debug)]
enum Role {
    Dialler,
    Acceptor,
}

impl Socket {
    /// Connects to the peer at `address` and performs the handshake.
    pub async fn dial(
        address: SocketAddr,
        identity: &Identity,
        is_exchange: bool,
        traffic: &Traffic,
    ) -> Result<Self, Error> {
        let handshake = async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            let url = format!("ws://{address}/");
            let (stream, _) = client_async_with_config(url, stream, Some(config())).await?;
            let mut socket = Self::new(stream, traffic, is_exchange);
            let own_hello = new_hello(identity, is_exchange);
            socket.send(&Frame::Hello(own_hello.clone())).await?;
            let peer_hello = socket.receive_hello(identity).await?;
            socket
                .send_proof(identity, Role::Dialler, &own_hello, &peer_hello)
                .await?;
            socket
                .verify_proof(identity, Role::Acceptor, &own_hello, &peer_hello)
                .await?;
            Ok(socket)
        };
        time::timeout(HANDSHAKE_TIMEOUT, handshake)
            .await
            .unwrap_or(Err(Error::Timeout))
    }

    /// Performs the handshake on a connection opened by a peer, which sends its proof first.
    pub async fn accept(
        stream: TcpStream,
        identity: &Identity,
        traffic: &Traffic,
    ) -> Result<Self, Error> {
        let handshake = async {
            stream.set_nodelay(true)?;
            let stream = accept_async_with_config(stream, Some(config())).await?;
            let mut socket = Self::new(stream, traffic, false);
            let peer_hello = socket.receive_hello(identity).await?;
            socket.is_exchange = peer_hello.is_exchange;
            let own_hello = new_hello(identity, peer_hello.is_exchange);
            socket.send(&Frame::Hello(own_hello.clone())).await?;
            socket
                .verify_proof(identity, Role::Dialler, &peer_hello, &own_hello)
                .await?;
            socket
                .send_proof(identity, Role::Acceptor, &peer_hello, &own_hello)
                .await?;
            Ok(socket)
        };
        time::timeout(HANDSHAKE_TIMEOUT, handshake)
            .await
            .unwrap_or(Err(Error::Timeout))
    }

    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        self.send_bytes(frame.to_vec()?).await
    }

    /// Sends an encoded frame.
    pub async fn send_bytes(&mut self, bytes: Vec<u8>) -> Result<(), Error> {
        self.traffic.sent.inc_by(bytes.len() as u64 + HEADER_BYTES);
        self.stream.send(Message::binary(bytes)).await?;
        Ok(())
    }

    pub async fn receive(&mut self) -> Result<Frame, Error> {
        self.receive_within(MAX_FRAME).await
    }

    pub async fn close(mut self) {
        // The peer may have closed the connection already.
        drop(self.stream.close(None).await);
    }

    fn new(stream: WebSocketStream<TcpStream>, traffic: &Traffic, is_exchange: bool) -> Self {
        Self {
            host: HostId::default(),
            is_exchange,
            stream,
            traffic: traffic.clone(),
        }
    }

    async fn receive_within(&mut self, limit: usize) -> Result<Frame, Error> {
        loop {
            match self.stream.next().await.ok_or(Error::Closed)?? {
                Message::Binary(bytes) => {
                    self.traffic
                        .received
                        .inc_by(bytes.len() as u64 + HEADER_BYTES);
                    if bytes.len() > limit {
                        return Err(Error::TooLarge { size: bytes.len() });
                    }
                    return Frame::from_slice(&bytes);
                }
                Message::Close(_) => return Err(Error::Closed),
                Message::Ping(_) | Message::Pong(_) => {}
                Message::Text(_) | Message::Frame(_) => return Err(Error::Malformed),
            }
        }
    }

    async fn receive_hello(&mut self, identity: &Identity) -> Result<Hello, Error> {
        match self.receive_within(MAX_HANDSHAKE_FRAME).await? {
            Frame::Hello(hello) if hello.version != VERSION => Err(Error::Version {
                version: hello.version,
            }),
            Frame::Hello(hello) if hello.host == identity.host => Err(Error::SelfConnection),
            Frame::Hello(hello) => {
                self.host.clone_from(&hello.host);
                Ok(hello)
            }
            frame => Err(Error::Unexpected {
                frame: frame.name(),
            }),
        }
    }

    async fn send_proof(
        &mut self,
        identity: &Identity,
        role: Role,
        dialler: &Hello,
        acceptor: &Hello,
    ) -> Result<(), Error> {
        let mac = handshake_mac(identity, role, dialler, acceptor)?.finalize();
        let mac: Mac = mac.into_bytes().into();
        self.send(&Frame::Proof(mac)).await
    }

    async fn verify_proof(
        &mut self,
        identity: &Identity,
        role: Role,
        dialler: &Hello,
        acceptor: &Hello,
    ) -> Result<(), Error> {
        let frame = self.receive_within(MAX_HANDSHAKE_FRAME).await?;
        let Frame::Proof(mac) = frame else {
            return Err(Error::Unexpected {
                frame: frame.name(),
            });
        };
        let expected = handshake_mac(identity, role, dialler, acceptor)?;
        expected
            .verify_slice(&mac)
            .map_err(|_differs| Error::Unauthenticated {
                host: self.host.clone(),
            })
    }
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER)
        .max_message_size(Some(MAX_FRAME))
        .max_frame_size(Some(MAX_FRAME))
}

fn new_hello(identity: &Identity, is_exchange: bool) -> Hello {
    let nonce: Nonce = rand::random();
    Hello {
        version: VERSION,
        host: identity.host.clone(),
        nonce,
        is_exchange,
    }
}

/// Returns the MAC of one end over both hellos under the fleet key.
///
/// The role is part of the message, so that a proof cannot be reflected to its sender.
fn handshake_mac(
    identity: &Identity,
    role: Role,
    dialler: &Hello,
    acceptor: &Hello,
) -> Result<Hmac<Sha256>, Error> {
    let key = identity.key.expose().as_bytes();
    let mut mac = Hmac::<Sha256>::new_from_slice(key).map_err(|_length| Error::Encode)?;
    mac.update(match role {
        Role::Dialler => b"dialler",
        Role::Acceptor => b"acceptor",
    });
    for hello in [dialler, acceptor] {
        let length = hello.host.len() as u64;
        mac.update(&length.to_be_bytes());
        mac.update(hello.host.as_bytes());
        mac.update(&hello.nonce);
        mac.update(&[u8::from(hello.is_exchange)]);
    }
    Ok(mac)
}
