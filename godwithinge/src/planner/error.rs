//! Errors at the start of a planner.

use dropshot::BuildError;
use std::{error, fmt};

/// Failure to start a planner.
#[derive(Debug)]
pub enum Error {
    /// The server for metrics failed to start, such as on an address in use.
    Listen(BuildError),
    /// A metric could not be registered.
    Metrics(prometheus::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(cause) => write!(f, "metrics server failed to start: {cause}"),
            Self::Metrics(cause) => write!(f, "registering a metric failed: {cause}"),
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Listen(cause) => Some(cause),
            Self::Metrics(cause) => Some(cause),
        }
    }
}

impl From<BuildError> for Error {
    fn from(cause: BuildError) -> Self {
        Self::Listen(cause)
    }
}

impl From<prometheus::Error> for Error {
    fn from(cause: prometheus::Error) -> Self {
        Self::Metrics(cause)
    }
}
