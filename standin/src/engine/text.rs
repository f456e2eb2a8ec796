//! Text that an engine's fake generates: the same for the same prompt at each engine.

use super::cache;
use crate::mark;

/// Bytes of one generated token, its space included.
pub const TOKEN: usize = 5;

/// Bytes of a prompt that count as one token.
pub const PROMPT_TOKEN: usize = 4;

/// Tokens of the answer to one prompt.
///
/// The first token tells the request that the prompt names, so that a caller can see whether an
/// answer is its own.
#[derive(Clone, Copy, Debug)]
pub struct Words {
    first: u64,
    rest: u64,
}

impl Words {
    /// Prepares the answer to `prompt`.
    pub fn new(prompt: &str) -> Self {
        let request = mark::request_id(prompt).unwrap_or_default();
        Self {
            first: cache::hash(request.as_bytes()),
            rest: cache::hash(prompt.as_bytes()),
        }
    }

    /// Returns token number `index`, from 0.
    pub fn get(&self, index: u32) -> String {
        match index {
            0 => word(self.first),
            _ => word(self.rest ^ u64::from(index)),
        }
    }
}

/// Returns the whole answer to `prompt` of `count` tokens.
pub fn answer(prompt: &str, count: u32) -> String {
    let words = Words::new(prompt);
    (0..count).map(|index| words.get(index)).collect()
}

/// Returns the first token of an answer to a prompt that names `request`.
pub fn tag(request: &str) -> String {
    word(cache::hash(request.as_bytes()))
}

/// Returns the upper 16 bits of a mixed hash in hexadecimal.
fn word(hash: u64) -> String {
    let mixed = hash.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!("{:04x} ", mixed >> 48)
}
