//! Errors of parsing and checking a chart.

use compact_str::CompactString;
use std::{error, fmt};

/// Error from parsing or checking a chart.
#[derive(Debug)]
pub struct Error {
    cause: Cause,
}

/// Category of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// The text is not valid TOML or not a chart, or a state has two transitions for one step.
    Syntax,
    /// A state or step is not declared in the code.
    UnknownName,
    /// A state is missing or unreachable, is final but has a transition, or is not final but has
    /// none.
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

    /// Returns the category of the error.
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
            Cause::UnknownState(name) => write!(f, "unknown state \"{name}\""),
            Cause::UnknownStep(name) => write!(f, "unknown step \"{name}\""),
            Cause::MissingState(name) => write!(f, "missing state \"{name}\""),
            Cause::UnreachableState(name) => {
                write!(f, "state \"{name}\" is unreachable from the start state")
            }
            Cause::InvalidFinal(name) => {
                write!(
                    f,
                    "state \"{name}\" must either be final or have a transition"
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
