//! Failures of an exchange over HTTP.

use std::{error, fmt, io};

/// Failure of an exchange over HTTP.
#[derive(Debug)]
pub enum Error {
    /// The connection could not be opened, so no byte left.
    Connect(io::Error),
    /// The connection broke after bytes may have left.
    Broken(hyper::Error),
    /// The connection made no progress for the permitted time.
    Timeout,
    /// The body is longer than permitted.
    TooLong,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(cause) => write!(f, "connection could not be opened: {cause}"),
            Self::Broken(cause) => write!(f, "connection broke: {cause}"),
            Self::Timeout => f.write_str("connection made no progress"),
            Self::TooLong => f.write_str("body is too long"),
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Connect(cause) => Some(cause),
            Self::Broken(cause) => Some(cause),
            Self::Timeout | Self::TooLong => None,
        }
    }
}
