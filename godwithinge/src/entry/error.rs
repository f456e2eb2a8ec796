//! Failures to start an entry daemon.

use crate::peer;
use std::{error, fmt};

/// Failure to start an entry daemon.
#[derive(Debug)]
pub enum Error {
    /// The interface for callers can't be opened.
    Listen(dropshot::BuildError),
    /// The interface for peers can't be opened.
    Peers(peer::Error),
    /// Two metrics have one name.
    Metrics(prometheus::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(cause) => write!(f, "interface for callers can't be opened: {cause}"),
            Self::Peers(cause) => write!(f, "interface for peers can't be opened: {cause}"),
            Self::Metrics(cause) => write!(f, "metrics can't be registered: {cause}"),
        }
    }
}

impl error::Error for Error {}
