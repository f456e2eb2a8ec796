//! Errors of the platform client.

use super::Conflict;
use crate::http::Error as HttpError;
use http::StatusCode;
use std::{error, fmt, io, time::Duration};

/// Error of a request to the platform.
#[derive(Debug)]
pub enum Error {
    /// The connection could not be opened, so no request was sent.
    Connect(io::Error),
    /// The request may have been sent, but no complete response was received; a write may have
    /// taken effect.
    NoResponse(HttpError),
    /// At least one check of the transaction failed; nothing was written. Holds the current rows.
    Conflict(Vec<Conflict>),
    /// The rate limit of the platform was exceeded; nothing was written.
    RateLimited {
        /// Delay before a retry as requested by the platform; `None` if it named none.
        retry_after: Option<Duration>,
    },
    /// The platform returned another status code than success.
    Status(StatusCode),
    /// A message could not be encoded or decoded as JSON.
    Malformed(serde_json::Error),
}

impl Error {
    /// Returns whether a write that failed with this error may have taken effect.
    ///
    /// This includes server errors and malformed responses, since the platform can fail after the
    /// commit.
    pub fn is_outcome_unknown(&self) -> bool {
        match self {
            Self::NoResponse(_) | Self::Malformed(_) => true,
            Self::Status(status) => status.is_server_error(),
            Self::Connect(_) | Self::Conflict(_) | Self::RateLimited { .. } => false,
        }
    }

    /// Returns whether the error is [`Conflict`](Self::Conflict).
    pub fn is_conflict(&self) -> bool {
        matches!(self, Self::Conflict(_))
    }

    /// Returns whether the error is [`RateLimited`](Self::RateLimited).
    pub fn is_rate_limited(&self) -> bool {
        matches!(self, Self::RateLimited { .. })
    }
}

impl From<HttpError> for Error {
    fn from(error: HttpError) -> Self {
        match error {
            HttpError::Connect(cause) => Self::Connect(cause),
            error => Self::NoResponse(error),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(cause) => write!(f, "failed to connect to the platform: {cause}"),
            Self::NoResponse(cause) => write!(f, "no complete response from the platform: {cause}"),
            Self::Conflict(conflicts) => {
                write!(f, "transaction conflicts with {} row(s)", conflicts.len())
            }
            Self::RateLimited { .. } => f.write_str("rate limit of the platform exceeded"),
            Self::Status(status) => write!(f, "platform returned status {status}"),
            Self::Malformed(cause) => write!(f, "malformed platform message: {cause}"),
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Connect(cause) => Some(cause),
            Self::NoResponse(cause) => Some(cause),
            Self::Malformed(cause) => Some(cause),
            Self::Conflict(_) | Self::RateLimited { .. } | Self::Status(_) => None,
        }
    }
}
