//! Delimitation of message bodies.

use http::{HeaderMap, header};
use hyper::body::{Body, Incoming};
use strum::IntoStaticStr;

/// What marks the end of a response body.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Framing {
    /// The number of bytes, which the head states or which is 0 by the status.
    Length,
    /// The last chunk.
    Chunked,
    /// The end of the connection, which does not show whether the body is complete.
    Close,
}

impl Framing {
    /// Returns whether the sender declares the end of the body.
    pub fn is_end_declared(self) -> bool {
        self != Self::Close
    }

    /// Determines the framing of a response that has not been read yet.
    pub(super) fn new(headers: &HeaderMap, body: &Incoming) -> Self {
        if body.size_hint().exact().is_some() {
            return Self::Length;
        }
        // As in hyper, which reads to the end of the connection if the last one can't be read.
        let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
        let last = codings.next_back().and_then(|value| value.to_str().ok());
        match last.and_then(|value| value.rsplit(',').next()) {
            Some(coding) if coding.trim().eq_ignore_ascii_case("chunked") => Self::Chunked,
            _ => Self::Close,
        }
    }
}
