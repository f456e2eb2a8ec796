//! Errors of peer connections.

use policy::id::HostId;
use std::{error, fmt, io};
use tokio_tungstenite::tungstenite;

/// Reason that a peer connection was closed or refused.
#[derive(Debug)]
pub enum Error {
    /// An I/O operation on the connection failed.
    Io(io::Error),
    /// The peer violated the WebSocket protocol or sent a message above the size limit.
    Protocol(Box<tungstenite::Error>),
    /// The peer closed the connection.
    Closed,
    /// A message is not a valid frame.
    Malformed,
    /// A frame could not be encoded, or its MAC could not be computed.
    Encode,
    /// A frame exceeds the size limit, which is lower during the handshake.
    TooLarge {
        /// Size of the frame, in bytes.
        size: usize,
    },
    /// A frame is not permitted in the current state of the connection.
    Unexpected {
        /// Name of the received frame.
        frame: &'static str,
    },
    /// The peer uses another protocol version.
    Version {
        /// Protocol version of the peer.
        version: u16,
    },
    /// The peer failed to prove possession of the fleet key.
    Unauthenticated {
        /// Host name claimed by the peer.
        host: HostId,
    },
    /// The peer claims the host name of this daemon.
    SelfConnection,
    /// The handshake or a single exchange did not complete in time.
    Timeout,
    /// No frame was received within the idle timeout.
    IdleTimeout,
    /// The limit of accepted links is reached, another link to the same peer is preferred, or the
    /// daemon dropped the link.
    Refused,
    /// Sending a frame did not complete in time.
    SendTimeout,
}

impl Error {
    /// Returns whether the peer failed authentication or violated the protocol.
    pub fn is_peer_fault(&self) -> bool {
        matches!(
            self,
            Self::Protocol(_)
                | Self::Malformed
                | Self::TooLarge { .. }
                | Self::Unexpected { .. }
                | Self::Version { .. }
                | Self::Unauthenticated { .. }
        )
    }
}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<tungstenite::Error> for Error {
    fn from(error: tungstenite::Error) -> Self {
        match error {
            tungstenite::Error::Io(error) => Self::Io(error),
            tungstenite::Error::ConnectionClosed | tungstenite::Error::AlreadyClosed => {
                Self::Closed
            }
            error => Self::Protocol(Box::new(error)),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(cause) => write!(f, "connection failed: {cause}"),
            Self::Protocol(cause) => write!(f, "WebSocket protocol error: {cause}"),
            Self::Closed => f.write_str("peer closed the connection"),
            Self::Malformed => f.write_str("malformed frame"),
            Self::Encode => f.write_str("frame could not be encoded"),
            Self::TooLarge { size } => write!(f, "frame of {size} bytes exceeds the size limit"),
            Self::Unexpected { frame } => write!(f, "unexpected frame: {frame}"),
            Self::Version { version } => write!(f, "unsupported protocol version {version}"),
            Self::Unauthenticated { host } => {
                write!(f, "authentication of peer {host:?} failed")
            }
            Self::SelfConnection => f.write_str("peer claims the host name of this daemon"),
            Self::Timeout => f.write_str("handshake or exchange timed out"),
            Self::IdleTimeout => f.write_str("no frame received within the idle timeout"),
            Self::Refused => f.write_str("link refused or replaced"),
            Self::SendTimeout => f.write_str("sending to the peer timed out"),
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Io(cause) => Some(cause),
            Self::Protocol(cause) => Some(cause),
            _ => None,
        }
    }
}
