//! Frames of the peer protocol.

use super::wire::Message;
use crate::peer::{Error, HostList};
use policy::{
    id::{HostId, Revision},
    member::gossip::{Digest, Item},
    table::replica::Update,
};
use std::sync::Arc;
use strum::IntoStaticStr;

/// Version of the peer protocol; daemons of different versions do not connect.
pub const VERSION: u16 = 1;

/// Maximum size of an encoded frame, in bytes.
pub const MAX_FRAME: usize = 4 << 20;

/// Random challenge covered by the MACs of the handshake.
pub type Nonce = [u8; 16];

/// HMAC-SHA-256 under the fleet key.
pub type Mac = [u8; 32];

/// Frame exchanged between two daemons.
#[derive(Clone, Debug, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Frame {
    /// Opens the handshake.
    Hello(Hello),
    /// Proves that the sender possesses the fleet key.
    Proof(Mac),
    /// Newest gossip stamps that the sender has for the origins of one bucket.
    Digest(BucketDigest),
    /// Gossip items that the receiver lacks.
    Items(Vec<Item>),
    /// Revision of the table in force at the sender; `None` if it has no table.
    Have(Option<Revision>),
    /// Requests the update that follows a revision of the table; `None` requests a snapshot.
    Want(Option<Revision>),
    /// Update of the table to a higher revision.
    Update(Update),
    /// Requests a host list newer than this version; `None` requests any.
    #[strum(serialize = "seek")]
    WantHostList(Option<u64>),
    /// Host list of the platform.
    #[strum(serialize = "list")]
    HostList(Arc<HostList>),
}

/// First frame of each end in the handshake.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Hello {
    /// Protocol version of the sender.
    pub version: u16,
    /// Host name of the sender.
    pub host: HostId,
    /// Challenge that the MACs of both ends must cover.
    pub nonce: Nonce,
    /// Whether the connection serves a single exchange instead of a lasting link.
    pub is_exchange: bool,
}

/// Newest gossip stamps that a daemon has for the origins of one bucket.
///
/// Origins are assigned to buckets by the hash of their host name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BucketDigest {
    /// Index of the bucket, below `count`.
    pub bucket: u64,
    /// Number of buckets into which the origins are divided.
    pub count: u64,
    /// Whether the receiver must reply with its own digest and revision.
    pub wants_reply: bool,
    /// Newest stamp of each origin.
    pub stamps: Digest,
}

impl Frame {
    /// Decodes a frame from CBOR.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not exactly one valid frame.
    pub fn from_slice(bytes: &[u8]) -> Result<Self, Error> {
        let mut rest = bytes;
        let message: Message =
            ciborium::from_reader(&mut rest).map_err(|_malformed| Error::Malformed)?;
        if !rest.is_empty() {
            return Err(Error::Malformed);
        }
        message.try_into()
    }

    /// Encodes the frame as CBOR.
    ///
    /// # Errors
    ///
    /// Fails if the frame is larger than [`MAX_FRAME`].
    pub fn to_vec(&self) -> Result<Vec<u8>, Error> {
        let mut bytes = Vec::new();
        ciborium::into_writer(&Message::from(self), &mut bytes)
            .map_err(|_unwritten| Error::Encode)?;
        if bytes.len() > MAX_FRAME {
            return Err(Error::TooLarge { size: bytes.len() });
        }
        Ok(bytes)
    }

    /// Returns the name of the frame's type, as used in log lines and errors.
    pub fn name(&self) -> &'static str {
        self.into()
    }
}
