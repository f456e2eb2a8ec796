//! Buffers that count towards a share of the daemon's memory.

use super::state::Relay;
use bytes::{Bytes, BytesMut};
use policy::relay::memory::Share;
use std::rc::Rc;

/// Maximum size of a buffered response in bytes; usual ones have a few kilobytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// The response exceeds [`MAX_RESPONSE_BYTES`] or the memory for large responses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct TooLarge;

/// Memory that is taken from a share until this is dropped.
#[derive(Debug)]
pub(super) struct Reservation {
    relay: Rc<Relay>,
    share: Share,
    size: usize,
}

impl Reservation {
    /// Creates a reservation of no memory.
    pub fn new(relay: &Rc<Relay>, share: Share) -> Self {
        Self {
            relay: Rc::clone(relay),
            share,
            size: 0,
        }
    }

    /// Takes memory up to a total of `size` bytes. Returns `false`, and takes no more, if there is not
    /// enough.
    #[must_use]
    pub fn try_grow(&mut self, size: usize) -> bool {
        let memory = self.relay.settings().memory_bytes;
        let mut usage = self.relay.memory_usage_mut();
        let (from, to) = (self.size as u64, size as u64);
        let is_taken = to <= from || usage.try_grow(self.share, from, to, memory);
        if is_taken {
            self.size = self.size.max(size);
        }
        is_taken
    }

    /// Takes memory for a request body of unknown length up to a total of `size` bytes, and leaves `headroom`
    /// bytes for one whose length is known. Returns `false`, and takes no more, if there is not enough.
    #[must_use]
    pub fn try_grow_unannounced(&mut self, size: usize, headroom: usize) -> bool {
        let memory = self.relay.settings().memory_bytes;
        let mut usage = self.relay.memory_usage_mut();
        let (from, to, headroom) = (self.size as u64, size as u64, headroom as u64);
        let is_taken = to <= from || usage.try_grow_unannounced(from, to, headroom, memory);
        if is_taken {
            self.size = self.size.max(size);
        }
        is_taken
    }

    /// Returns the memory beyond a total of `size` bytes.
    pub fn shrink(&mut self, size: usize) {
        if size < self.size {
            let mut usage = self.relay.memory_usage_mut();
            usage.shrink(self.share, self.size as u64, size as u64);
            self.size = size;
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut usage = self.relay.memory_usage_mut();
        usage.release(self.share, self.size as u64);
    }
}

/// Body of a response as far as it was received.
#[derive(Debug)]
pub(super) struct Buffer {
    bytes: BytesMut,
    memory: Reservation,
}

impl Buffer {
    /// Creates an empty buffer.
    pub fn new(relay: &Rc<Relay>) -> Self {
        Self {
            bytes: BytesMut::new(),
            memory: Reservation::new(relay, Share::Responses),
        }
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// Fails if the response is too large.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), TooLarge> {
        let size = self.bytes.len() + bytes.len();
        if size > MAX_RESPONSE_BYTES {
            return Err(TooLarge);
        }
        if size > self.bytes.capacity() {
            self.grow(size)?;
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Makes room for `size` bytes. The buffer doubles, and exists twice while it is moved.
    fn grow(&mut self, size: usize) -> Result<(), TooLarge> {
        let grown = size.next_power_of_two().min(MAX_RESPONSE_BYTES);
        while !self.memory.try_grow(grown + self.bytes.len()) {
            if !self.memory.relay.close_unread_caller() {
                return Err(TooLarge);
            }
        }
        self.bytes.reserve(grown - self.bytes.len());
        self.memory.shrink(self.bytes.capacity());
        Ok(())
    }

    /// Returns all bytes and their memory, which has to be kept until they are sent.
    pub fn into_parts(self) -> (Bytes, Reservation) {
        (self.bytes.freeze(), self.memory)
    }
}
