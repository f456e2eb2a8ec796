//! Failures that keep a planner from starting.

use dropshot::BuildError;
use std::{error, fmt};

/// Why a planner could not be started.
#[derive(Debug)]
pub enum Error {
    /// The address for metrics can't be listened on.
    Listen(BuildError),
    /// Two metrics have one name.
    Metrics(prometheus::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(cause) => write!(f, "address for metrics can't be listened on: {cause}"),
            Self::Metrics(cause) => write!(f, "metrics can't be made: {cause}"),
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
