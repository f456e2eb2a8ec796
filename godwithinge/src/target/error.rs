//! Errors of reading a target's reports.

use crate::http::Error as HttpError;
use http::StatusCode;
use std::{error, fmt};

/// Error returned when a target's report cannot be read.
#[derive(Debug)]
pub enum Error {
    /// The HTTP request failed or timed out.
    Http(HttpError),
    /// The target answered with a status other than success.
    Status(StatusCode),
    /// The response body could not be parsed.
    Malformed(serde_json::Error),
}

impl From<HttpError> for Error {
    fn from(error: HttpError) -> Self {
        Self::Http(error)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Http(cause) => cause.fmt(f),
            Self::Status(status) => write!(f, "target answered with status {status}"),
            Self::Malformed(cause) => write!(f, "malformed report: {cause}"),
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Http(cause) => Some(cause),
            Self::Malformed(cause) => Some(cause),
            Self::Status(_) => None,
        }
    }
}
