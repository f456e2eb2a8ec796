//! Memory for what clients and targets send.
//!
//! Bursts of large requests, and targets in trouble that send responses without end, may need more than a
//! daemon has. Each share of its memory is bounded, and what exceeds it fails at once, so that it does not
//! take the memory of other requests. Small requests and responses have room beside large ones.

use strum::{EnumIter, IntoStaticStr};

/// Size of a response in bytes up to which it takes no part of its share.
pub const SMALL_RESPONSE_BYTES: u64 = 64 << 10;
/// Size of a request body in bytes up to which it may take the part of its share that is kept for small ones.
pub const SMALL_REQUEST_BYTES: u64 = 256 << 10;

/// Part of a daemon's memory that it may use, in percent. The rest is left for what is not counted.
const USED_PERCENT: u64 = 85;
/// Memory of a connection of a caller in bytes: its buffers and its task. Measured: 27 kB for one without a request,
/// 40 kB after one.
pub const CONNECTION_BYTES: u64 = 40_000;
/// Memory for connections of callers in bytes that is part of [`BASE_BYTES`].
const BASE_CONNECTION_BYTES: u64 = 24_000_000;
/// Memory of a daemon without requests in bytes: code, tables and some hundred connections.
const BASE_BYTES: u64 = 48_000_000;

/// Part of a daemon's memory; the name is a label value.
#[derive(Clone, Copy, Debug, EnumIter, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Share {
    /// Bodies of requests, from their heads until their last possible send.
    Requests,
    /// Responses that are received as a whole. A growing buffer may need twice its size.
    Responses,
    /// Connections of callers. Beyond what is usual, they take from the share of the requests.
    Connections,
}

/// Memory that is taken from each share.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    requests: u64,
    responses: u64,
    connections: u64,
}

impl Share {
    /// Returns the size of the share on a daemon with a limit of `memory` bytes.
    pub fn size(self, memory: u64) -> u64 {
        match self {
            Self::Requests => {
                let taken = BASE_BYTES + Self::Responses.size(memory);
                let rest = (memory / 100 * USED_PERCENT).saturating_sub(taken);
                rest.max(memory / 8)
            }
            Self::Responses => memory / 8,
            Self::Connections => memory / 5,
        }
    }

    /// Returns how much of the share may be taken for something that then has `size` bytes.
    fn bound(self, size: u64, memory: u64) -> u64 {
        match self {
            Self::Requests if size > SMALL_REQUEST_BYTES => self.size(memory) / 14 * 13,
            Self::Responses if size <= SMALL_RESPONSE_BYTES => u64::MAX,
            Self::Requests | Self::Responses | Self::Connections => self.size(memory),
        }
    }

    /// Returns the part of something of `size` bytes that counts.
    fn counted(self, size: u64) -> u64 {
        match self {
            Self::Requests | Self::Connections => size,
            Self::Responses => size.saturating_sub(SMALL_RESPONSE_BYTES),
        }
    }
}

impl Usage {
    /// Takes the memory by which something grows from `from` to `to` bytes, on a daemon with a limit of
    /// `memory` bytes. Returns `false`, and takes nothing, if there is not enough.
    #[must_use]
    pub fn try_grow(&mut self, share: Share, from: u64, to: u64, memory: u64) -> bool {
        let growth = share.counted(to).saturating_sub(share.counted(from));
        let taken = self.taken(share) + growth;
        let bound = share.bound(to, memory);
        let has_room = taken <= bound.saturating_sub(self.taken_by_others(share));
        if has_room {
            *self.taken_mut(share) = taken;
        }
        has_room
    }

    /// Takes the memory by which a request body of unknown length grows from `from` to `to` bytes, like
    /// [`try_grow`](Self::try_grow). While other bodies hold memory, `headroom` bytes of the share are left for one
    /// whose length is known. Bodies that grow in turns would otherwise leave no room for it.
    #[must_use]
    pub fn try_grow_unannounced(&mut self, from: u64, to: u64, headroom: u64, memory: u64) -> bool {
        let share = Share::Requests;
        let others = self.taken(share).saturating_sub(from);
        // A large body with a known length may not take the part for small ones.
        let kept_for_small = share.size(memory) - share.bound(u64::MAX, memory);
        let bound = share.bound(to, memory);
        let bound = bound.saturating_sub(headroom + kept_for_small);
        let has_room = others == 0 || others + to <= bound;
        has_room && self.try_grow(share, from, to, memory)
    }

    /// Sets the number of connections of callers.
    pub fn set_connections(&mut self, count: usize) {
        self.connections = count as u64 * CONNECTION_BYTES;
    }

    /// Returns what other shares have taken from a share.
    fn taken_by_others(&self, share: Share) -> u64 {
        match share {
            Share::Requests => self.connections.saturating_sub(BASE_CONNECTION_BYTES),
            Share::Responses | Share::Connections => 0,
        }
    }

    /// Returns the memory by which something shrinks from `from` to `to` bytes.
    pub fn shrink(&mut self, share: Share, from: u64, to: u64) {
        let returned = share.counted(from).saturating_sub(share.counted(to));
        let taken = self.taken_mut(share);
        *taken = taken.saturating_sub(returned);
    }

    /// Returns the memory of something of `size` bytes.
    pub fn release(&mut self, share: Share, size: u64) {
        self.shrink(share, size, 0);
    }

    /// Returns the memory that is taken from a share.
    pub fn taken(&self, share: Share) -> u64 {
        match share {
            Share::Requests => self.requests,
            Share::Responses => self.responses,
            Share::Connections => self.connections,
        }
    }

    fn taken_mut(&mut self, share: Share) -> &mut u64 {
        match share {
            Share::Requests => &mut self.requests,
            Share::Responses => &mut self.responses,
            Share::Connections => &mut self.connections,
        }
    }
}
