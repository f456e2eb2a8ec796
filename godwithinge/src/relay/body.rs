//! Body of an answer to a caller.

use bytes::Bytes;
use futures::Stream;
use http_body::{Frame, SizeHint};
use std::{
    error, fmt,
    pin::Pin,
    task::{Context, Poll},
};

/// The target's answer broke off, so the caller's must not look whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct BrokenOff;

/// Body of an answer to a caller.
pub(super) enum Body {
    /// All of it is here.
    Whole(Option<Bytes>),
    /// It comes part by part.
    Parts(Pin<Box<dyn Stream<Item = Result<Bytes, BrokenOff>>>>),
}

impl Body {
    /// Creates a body of all its bytes.
    pub fn new(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// Creates a body that comes part by part.
    pub fn with_parts(parts: impl Stream<Item = Result<Bytes, BrokenOff>> + 'static) -> Self {
        Self::Parts(Box::pin(parts))
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match &mut *self {
            Self::Whole(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Parts(parts) => {
                let part = parts.as_mut().poll_next(cx);
                part.map(|part| part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Parts(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Parts(_) => SizeHint::default(),
        }
    }
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Whole(bytes) => f.debug_tuple("Whole").field(bytes).finish(),
            Self::Parts(_) => f.write_str("Parts"),
        }
    }
}

impl fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("answer of the target broke off")
    }
}

impl error::Error for BrokenOff {}
