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
    Name,
    /// The states do not fit together.
    Shape,
}

#[derive(Debug)]
enum Cause {
    Syntax(Box<toml::de::Error>),
    State(CompactString),
    Step(CompactString),
    Missing(&'static str),
    Unreachable(&'static str),
    End(&'static str),
}

impl Error {
    pub(super) fn syntax(cause: toml::de::Error) -> Self {
        Self {
            cause: Cause::Syntax(Box::new(cause)),
        }
    }

    pub(super) fn state(name: &str) -> Self {
        Self {
            cause: Cause::State(name.into()),
        }
    }

    pub(super) fn step(name: &str) -> Self {
        Self {
            cause: Cause::Step(name.into()),
        }
    }

    pub(super) fn missing(name: &'static str) -> Self {
        Self {
            cause: Cause::Missing(name),
        }
    }

    pub(super) fn unreachable(name: &'static str) -> Self {
        Self {
            cause: Cause::Unreachable(name),
        }
    }

    pub(super) fn end(name: &'static str) -> Self {
        Self {
            cause: Cause::End(name),
        }
    }

    /// Returns the kind of the error.
    pub fn classify(&self) -> Category {
        match self.cause {
            Cause::Syntax(_) => Category::Syntax,
            Cause::State(_) | Cause::Step(_) => Category::Name,
            Cause::Missing(_) | Cause::Unreachable(_) | Cause::End(_) => Category::Shape,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.cause {
            Cause::Syntax(cause) => write!(f, "invalid chart: {cause}"),
            Cause::State(name) => write!(f, "state \"{name}\" is unknown"),
            Cause::Step(name) => write!(f, "step \"{name}\" is unknown"),
            Cause::Missing(name) => write!(f, "state \"{name}\" is missing"),
            Cause::Unreachable(name) => write!(f, "state \"{name}\" can't be reached"),
            Cause::End(name) => {
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
