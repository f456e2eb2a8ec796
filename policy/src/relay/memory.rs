//! Memory for responses that are received as a whole.
//!
//! A target in trouble may send responses without end, on as many connections as a daemon has to it.
//! Usual responses always have room. The larger ones share a part of the daemon's memory, and fail
//! when it is used up, so that they do not take the memory of other requests.

/// Size of a response in bytes up to which it takes no part of the shared memory.
pub const SMALL_RESPONSE_BYTES: u64 = 64 << 10;
/// Part of a daemon's memory that large responses share. A growing buffer may need twice its size.
const SHARED_PART: u64 = 8;

/// Memory that large responses take.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    taken: u64,
}

impl Usage {
    /// Takes the memory by which a response grows from `from` to `to` bytes, on a daemon with a limit
    /// of `limit` bytes. Returns `false`, and takes nothing, if there is not enough.
    #[must_use]
    pub fn try_grow(&mut self, from: u64, to: u64, limit: u64) -> bool {
        let taken = self.taken + large_part(to).saturating_sub(large_part(from));
        let has_room = taken <= limit / SHARED_PART || large_part(to) == 0;
        if has_room {
            self.taken = taken;
        }
        has_room
    }

    /// Returns the memory of a response of `size` bytes.
    pub fn release(&mut self, size: u64) {
        self.taken = self.taken.saturating_sub(large_part(size));
    }
}

/// Returns the part of a response's size that it takes from the shared memory.
fn large_part(size: u64) -> u64 {
    size.saturating_sub(SMALL_RESPONSE_BYTES)
}
