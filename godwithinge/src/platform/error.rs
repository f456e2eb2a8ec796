//! Failures of an exchange with the platform.

use super::Conflict;
use crate::http::Error as HttpError;
use http::StatusCode;
use std::{error, fmt, io, time::Duration};

/// Failure of an exchange with the platform.
#[derive(Debug)]
pub enum Error {
    /// The connection could not be opened, so nothing was asked.
    Connect(io::Error),
    /// The reply was lost; a write may have taken effect.
    NoResponse(HttpError),
    /// A check of the transaction failed; nothing was written.
    Conflict(Vec<Conflict>),
    /// The platform takes no more for now; nothing was written.
    RateLimited {
        /// How long the platform asks to be left alone.
        retry_after: Option<Duration>,
    },
    /// The platform answered with an error.
    Status(StatusCode),
    /// The body is not of the agreed form.
    Malformed(serde_json::Error),
}

impl Error {
    /// Returns whether a write that failed so may have taken effect.
    pub fn is_outcome_unknown(&self) -> bool {
        match self {
            Self::NoResponse(_) | Self::Malformed(_) => true,
            Self::Status(status) => status.is_server_error(),
            Self::Connect(_) | Self::Conflict(_) | Self::RateLimited { .. } => false,
        }
    }

    /// Returns whether a check of the transaction failed.
    pub fn is_conflict(&self) -> bool {
        matches!(self, Self::Conflict(_))
    }

    /// Returns whether the rate of the platform was exceeded.
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
            Self::Connect(cause) => write!(f, "platform refused the connection: {cause}"),
            Self::NoResponse(cause) => write!(f, "reply of the platform was lost: {cause}"),
            Self::Conflict(conflicts) => {
                write!(f, "transaction conflicts with {} rows", conflicts.len())
            }
            Self::RateLimited { .. } => f.write_str("rate limit of the platform was exceeded"),
            Self::Status(status) => write!(f, "platform answered with status {status}"),
            Self::Malformed(cause) => write!(f, "platform message is malformed: {cause}"),
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
