//! 64-bit FNV-1a hash, which is stable across hosts and releases.

use crate::id::BlockHash;
use std::hash::Hasher;

/// Size of a prompt block in bytes.
pub const BLOCK_BYTES: usize = 64;

const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// [`Hasher`] for 64-bit FNV-1a.
#[derive(Clone, Copy, Debug)]
pub struct Fnv(u64);

impl Fnv {
    /// Creates a hasher in its initial state.
    pub const fn new() -> Self {
        Self(OFFSET_BASIS)
    }
}

impl Default for Fnv {
    fn default() -> Self {
        Self::new()
    }
}

impl Hasher for Fnv {
    #[inline]
    fn write(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(PRIME);
        }
    }

    #[inline]
    fn finish(&self) -> u64 {
        self.0
    }
}

/// Returns the FNV-1a hash of a byte string.
pub fn bytes(bytes: &[u8]) -> u64 {
    let mut hasher = Fnv::new();
    hasher.write(bytes);
    hasher.finish()
}

/// Returns the hash of a list of strings.
///
/// Each string is terminated by a byte that cannot occur in UTF-8, so that `["ab", "c"]` and
/// `["a", "bc"]` differ.
pub fn texts(texts: &[&str]) -> u64 {
    const END: u8 = 0xff;
    let mut hasher = Fnv::new();
    for text in texts {
        hasher.write(text.as_bytes());
        hasher.write_u8(END);
    }
    hasher.finish()
}

/// Returns the rendezvous weight of a node for a key; nodes with higher weights are preferred.
pub fn rendezvous_weight(key: &str, node: &str) -> u64 {
    // FNV-1a alone does not mix its last bytes well enough for an order.
    mix(texts(&[key, node]))
}

/// Returns a number each bit of which depends on all bits of `x`: the finalizer of `MurmurHash3`.
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    x = (x ^ (x >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}

/// Returns the hash of each prefix of a prompt that ends at a block boundary.
///
/// An incomplete last block is ignored.
pub fn blocks(prompt: &str) -> Vec<BlockHash> {
    let mut hasher = Fnv::new();
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            hasher.write(block);
            hasher.finish()
        })
        .collect()
}
