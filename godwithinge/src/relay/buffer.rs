//! Buffer for a response that is received as a whole.

use super::state::Relay;
use bytes::{Bytes, BytesMut};
use std::rc::Rc;

/// Maximum size of a buffered response in bytes; usual ones have a few kilobytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// The response exceeds [`MAX_RESPONSE_BYTES`] or the memory for large responses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct TooLarge;

/// Body of a response as far as it was received; counts towards the memory for large responses until
/// dropped.
#[derive(Debug)]
pub(super) struct Buffer {
    relay: Rc<Relay>,
    bytes: BytesMut,
    /// Size for which memory was taken.
    size: usize,
}

impl Buffer {
    /// Creates an empty buffer.
    pub fn new(relay: &Rc<Relay>) -> Self {
        Self {
            relay: Rc::clone(relay),
            bytes: BytesMut::new(),
            size: 0,
        }
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// Fails if the response is too large.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), TooLarge> {
        let size = self.size + bytes.len();
        let limit = self.relay.settings().memory_bytes;
        let mut usage = self.relay.response_memory_mut();
        if size > MAX_RESPONSE_BYTES || !usage.try_grow(self.size as u64, size as u64, limit) {
            return Err(TooLarge);
        }
        self.size = size;
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns all bytes.
    pub fn into_bytes(mut self) -> Bytes {
        std::mem::take(&mut self.bytes).freeze()
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.relay.response_memory_mut().release(self.size as u64);
    }
}
