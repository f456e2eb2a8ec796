//! Errors of the HTTP client.

use http::StatusCode;
use std::{error, fmt, io};

/// Error of an HTTP exchange.
#[derive(Debug)]
pub enum Error {
    /// The connection could not be opened, so no byte of the request was sent.
    Connect(io::Error),
    /// The request was withdrawn before a byte of it was sent.
    Withdrawn,
    /// The connection failed after part of the request may have been sent.
    Broken(hyper::Error),
    /// The server ended the connection, which marks the end of the response body, before the request
    /// was written, so that the body may be incomplete.
    Early,
    /// The response has a status that no final response has, as of a server in trouble.
    Status(StatusCode),
    /// The exchange, or the idle timeout of a response, exceeded its time limit. A timeout while
    /// connecting is [`Error::Connect`].
    Timeout,
    /// The response body is longer than the caller's limit.
    TooLong,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(cause) => write!(f, "failed to open connection: {cause}"),
            Self::Withdrawn => f.write_str("request was withdrawn before it was sent"),
            Self::Broken(cause) => write!(f, "connection failed: {cause}"),
            Self::Early => f.write_str("response ended before the request was written"),
            Self::Status(status) => {
                write!(f, "response has the invalid status {}", status.as_u16())
            }
            Self::Timeout => f.write_str("exchange timed out"),
            Self::TooLong => f.write_str("body exceeds the length limit"),
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Connect(cause) => Some(cause),
            Self::Broken(cause) => Some(cause),
            Self::Withdrawn | Self::Early | Self::Status(_) | Self::Timeout | Self::TooLong => None,
        }
    }
}
