//! Text that an engine's fake generates: the same for the same prompt at each engine.

use super::cache;

/// Bytes of one generated token, its space included.
pub const TOKEN: usize = 5;

/// Bytes of a prompt that count as one token.
pub const PROMPT_TOKEN: usize = 4;

/// Returns token number `index` of the answer to `prompt`.
pub fn token(prompt: &str, index: u32) -> String {
    word(cache::hash(prompt.as_bytes()), index)
}

/// Returns the whole answer to `prompt` of `count` tokens.
pub fn answer(prompt: &str, count: u32) -> String {
    let hash = cache::hash(prompt.as_bytes());
    (0..count).map(|index| word(hash, index)).collect()
}

/// Returns one token of the answer to a prompt with this hash.
pub(super) fn word(prompt: u64, index: u32) -> String {
    let mixed = (prompt ^ u64::from(index)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!("{:04x} ", mixed >> 48)
}
