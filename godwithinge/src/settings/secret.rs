//! Secrets that are redacted in `Debug` output.

use compact_str::CompactString;
use std::fmt;

/// Token or key; `Debug` does not reveal it, and it has no `Display`.
#[derive(Clone, Eq, PartialEq)]
pub struct Secret(CompactString);

impl Secret {
    /// Wraps `text`, which may be empty.
    pub fn new(text: impl Into<CompactString>) -> Self {
        Self(text.into())
    }

    /// Returns the secret in plain text.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Compares with `other` in a time that depends only on the lengths.
    pub fn constant_time_eq(&self, other: &str) -> bool {
        let (own, other) = (self.0.as_bytes(), other.as_bytes());
        let difference = own.iter().zip(other).fold(0, |sum, (a, b)| sum | (a ^ b));
        own.len() == other.len() && difference == 0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
