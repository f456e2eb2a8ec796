//! Failures of a link between daemons.

use policy::id::HostId;
use std::{error, fmt, io};
use tokio_tungstenite::tungstenite;

/// Why a link between daemons ended or was refused.
#[derive(Debug)]
pub enum Error {
    /// The connection failed.
    Io(io::Error),
    /// The peer broke the WebSocket protocol or sent a frame above the limit.
    Protocol(Box<tungstenite::Error>),
    /// The peer closed the link.
    Closed,
    /// A frame is not of the agreed form.
    Malformed,
    /// A frame could not be written.
    Encode,
    /// A frame is larger than permitted at this point.
    TooLarge {
        /// Size of the frame, in bytes.
        size: usize,
    },
    /// A frame came where another one was due.
    Unexpected {
        /// Name of the frame.
        frame: &'static str,
    },
    /// The peer speaks another version of the protocol.
    Version {
        /// Version that the peer speaks.
        version: u16,
    },
    /// The peer does not hold the key of the fleet.
    Unauthenticated {
        /// Host that the peer says it is.
        host: HostId,
    },
    /// The peer says that it is this daemon.
    SelfConnection,
    /// The peer took too long to open the link.
    Timeout,
    /// Nothing came from the peer for the permitted time.
    IdleTimeout,
    /// The daemon has as many links as it takes, or a newer link to the same peer.
    Refused,
    /// The peer does not take frames as fast as they come.
    SendTimeout,
}

impl Error {
    /// Returns whether the peer is no daemon of this fleet or breaks its protocol.
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
            Self::Protocol(cause) => write!(f, "peer broke the protocol: {cause}"),
            Self::Closed => f.write_str("peer closed the link"),
            Self::Malformed => f.write_str("frame is malformed"),
            Self::Encode => f.write_str("frame could not be written"),
            Self::TooLarge { size } => write!(f, "frame of {size} bytes is too large"),
            Self::Unexpected { frame } => write!(f, "frame {frame} was not due"),
            Self::Version { version } => write!(f, "peer speaks version {version}"),
            Self::Unauthenticated { host } => {
                write!(f, "peer {host:?} does not hold the fleet key")
            }
            Self::SelfConnection => f.write_str("peer has the name of this host"),
            Self::Timeout => f.write_str("peer took too long to open the link"),
            Self::IdleTimeout => f.write_str("peer is silent"),
            Self::Refused => f.write_str("link is not needed"),
            Self::SendTimeout => f.write_str("peer does not take frames as fast as they come"),
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
