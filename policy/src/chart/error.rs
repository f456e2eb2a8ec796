//! Errors of reading a chart.

use compact_str::CompactString;
use std::{error, fmt};

/// Why a chart could not be read.
#[derive(Debug)]
pub struct Error {
    cause: Cause,
}

/// Kind of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// The text is not a chart, or two transitions of a state have one step.
    Syntax,
    /// A name is not one that the code knows.
    UnknownName,
    /// The states do not fit together.
    Structure,
}

#[derive(Debug)]
enum Cause {
    Syntax(Box<toml::de::Error>),
    UnknownState(CompactString),
    UnknownStep(CompactString),
    MissingState(&'static str),
    UnreachableState(&'static str),
    InvalidFinal(&'static str),
}

impl Error {
    pub(super) fn syntax(cause: toml::de::Error) -> Self {
        Self {
            cause: Cause::Syntax(Box::new(cause)),
        }
    }

    pub(super) fn unknown_state(name: &str) -> Self {
        Self {
            cause: Cause::UnknownState(name.into()),
        }
    }

    pub(super) fn unknown_step(name: &str) -> Self {
        Self {
            cause: Cause::UnknownStep(name.into()),
        }
    }

    pub(super) fn missing_state(name: &'static str) -> Self {
        Self {
            cause: Cause::MissingState(name),
        }
    }

    pub(super) fn unreachable_state(name: &'static str) -> Self {
        Self {
            cause: Cause::UnreachableState(name),
        }
    }

    pub(super) fn invalid_final(name: &'static str) -> Self {
        Self {
            cause: Cause::InvalidFinal(name),
        }
    }

    /// Returns the kind of the error.
    pub fn classify(&self) -> Category {
        match self.cause {
            Cause::Syntax(_) => Category::Syntax,
            Cause::UnknownState(_) | Cause::UnknownStep(_) => Category::UnknownName,
            Cause::MissingState(_) | Cause::UnreachableState(_) | Cause::InvalidFinal(_) => {
                Category::Structure
            }
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.cause {
            Cause::Syntax(cause) => write!(f, "invalid chart: {cause}"),
            Cause::UnknownState(name) => write!(f, "state \"{name}\" is unknown"),
            Cause::UnknownStep(name) => write!(f, "step \"{name}\" is unknown"),
            Cause::MissingState(name) => write!(f, "state \"{name}\" is missing"),
            Cause::UnreachableState(name) => write!(f, "state \"{name}\" can't be reached"),
            Cause::InvalidFinal(name) => {
                write!(
                    f,
                    "state \"{name}\" must be either final or have a transition"
                )
            }
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match &self.cause {
            Cause::Syntax(cause) => Some(cause),
            _ => None,
        }
    }
}
