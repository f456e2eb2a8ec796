//! Errors of starting an entry daemon.

use crate::peer;
use std::{error, fmt};

/// Error returned when an entry daemon cannot be started.
#[derive(Debug)]
pub enum Error {
    /// The API server could not be started, for example because its address is in use.
    Listen(dropshot::BuildError),
    /// The peer listener could not be started.
    Peers(peer::Error),
    /// A metric could not be registered, for example because its name is taken.
    Metrics(prometheus::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(cause) => write!(f, "failed to start API server: {cause}"),
            Self::Peers(cause) => write!(f, "failed to start peer listener: {cause}"),
            Self::Metrics(cause) => write!(f, "failed to register metrics: {cause}"),
        }
    }
}

impl error::Error for Error {}
