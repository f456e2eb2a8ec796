//! Body of a response to a caller.

use bytes::Bytes;
use futures::Stream;
use http_body::{Frame, SizeHint};
use std::{
    error, fmt,
    pin::Pin,
    task::{Context, Poll},
};

/// The target's response was interrupted; the caller's must not appear complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct TruncatedResponse;

/// Body of a response to a caller.
pub(super) enum Body {
    /// A complete body; absent once it has been sent.
    Whole(Option<Bytes>),
    /// A body that is streamed.
    Parts(Pin<Box<dyn Stream<Item = Result<Bytes, TruncatedResponse>>>>),
}

impl Body {
    /// Creates a complete body.
    pub fn new(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// Creates a streamed body.
    pub fn from_stream(
        stream: impl Stream<Item = Result<Bytes, TruncatedResponse>> + 'static,
    ) -> Self {
        Self::Parts(Box::pin(stream))
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = TruncatedResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        match &mut *self {
            Self::Whole(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Parts(stream) => {
                let chunk = stream.as_mut().poll_next(cx);
                chunk.map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
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

impl fmt::Display for TruncatedResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("response of the target was interrupted")
    }
}

impl error::Error for TruncatedResponse {}
