//! Failures of reading a target's reports.

use crate::http::Error as HttpError;
use http::StatusCode;
use std::{error, fmt};

/// Failure of reading a target's reports.
#[derive(Debug)]
pub enum Error {
    /// The exchange failed.
    Http(HttpError),
    /// The target answered with an error.
    Status(StatusCode),
    /// The report is not of the agreed form.
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
            Self::Malformed(cause) => write!(f, "report is malformed: {cause}"),
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
