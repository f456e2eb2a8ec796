//! Frames that daemons send each other.

use super::wire::Message;
use crate::peer::{Error, HostList};
use policy::{
    id::{HostId, Revision},
    member::gossip::{Digest, Item},
    table::replica::Update,
};
use std::sync::Arc;
use strum::IntoStaticStr;

/// Version of the protocol between daemons.
pub const VERSION: u16 = 1;

/// Largest frame, in bytes.
pub const MAX_FRAME: usize = 4 << 20;

/// Random bytes that a peer must sign.
pub type Nonce = [u8; 16];

/// Signature by the fleet key.
pub type Mac = [u8; 32];

/// A frame between two daemons.
#[derive(Clone, Debug, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Frame {
    /// Opens a link.
    Hello(Hello),
    /// Proves that the sender holds the fleet key.
    Proof(Mac),
    /// Says what the sender knows of some origins.
    Digest(BucketDigest),
    /// Items that the receiver lacks.
    Items(Vec<Item>),
    /// Revision of the table in force at the sender.
    Have(Option<Revision>),
    /// Asks for what follows a revision of the table.
    Want(Option<Revision>),
    /// Brings a table to a higher revision.
    Update(Update),
    /// Asks for a host list that is newer than this version.
    #[strum(serialize = "seek")]
    WantHostList(Option<u64>),
    /// The platform's host list.
    #[strum(serialize = "list")]
    HostList(Arc<HostList>),
}

/// Opens a link.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Hello {
    /// Version of the protocol that the sender speaks.
    pub version: u16,
    /// Host of the sender.
    pub host: HostId,
    /// Bytes that the receiver must sign.
    pub nonce: Nonce,
    /// Whether the link is for one exchange only.
    pub is_exchange: bool,
}

/// What a daemon knows of the origins in one bucket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BucketDigest {
    /// The bucket.
    pub bucket: u64,
    /// Number of buckets.
    pub count: u64,
    /// Whether the receiver should answer with its own digest.
    pub wants_reply: bool,
    /// Newest stamps of the origins.
    pub stamps: Digest,
}

impl Frame {
    /// Reads a frame from CBOR.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not of the agreed form.
    pub fn from_slice(bytes: &[u8]) -> Result<Self, Error> {
        let mut rest = bytes;
        let message: Message =
            ciborium::from_reader(&mut rest).map_err(|_malformed| Error::Malformed)?;
        if !rest.is_empty() {
            return Err(Error::Malformed);
        }
        message.try_into()
    }

    /// Writes the frame as CBOR.
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

    /// Returns the name of the frame.
    pub fn name(&self) -> &'static str {
        self.into()
    }
}
