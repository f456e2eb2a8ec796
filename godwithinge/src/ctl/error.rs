//! Errors of operator commands and their exit statuses.

use crate::{http, platform, settings, table};
use ::http::StatusCode;
use compact_str::CompactString;
use policy::table::{check::InvalidCell, edit::EditError, row::KeyError, sheet::SheetError};
use std::{error, fmt, io, path::PathBuf};

/// Exit status of `gwictl`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command succeeded.
    Done = 0,
    /// The platform or the entry is unavailable, or the output could not be written.
    ///
    /// Nothing was changed, except that an accepted edit or drain whose output or response could
    /// not be delivered stays in effect.
    Unavailable = 1,
    /// The command line, the settings or an input file is invalid.
    Usage = 2,
    /// The table would be invalid.
    Invalid = 3,
    /// The same rows were changed since the base revision.
    Conflict = 4,
    /// The edit may have taken effect.
    Unsettled = 5,
}

/// Error of an operator command.
#[derive(Debug)]
pub enum Error {
    /// The table could not be read or edited.
    Table(table::Error),
    /// The sheet could not be parsed.
    Sheet(Vec<SheetError>),
    /// Cells hold values that their columns do not allow.
    Invalid(Vec<InvalidCell>),
    /// A cell argument is not of the form `workspace/tailors.share=2`.
    MalformedCell {
        /// The rejected argument.
        text: CompactString,
    },
    /// A row key is not of the form `workspace/tailors`.
    MalformedKey(KeyError),
    /// A request argument is not of the form `workspace/pipeline/request`, or its parts are not
    /// valid in a URL path.
    MalformedRequest {
        /// The rejected argument.
        text: CompactString,
    },
    /// The logs contain no line of the request.
    NotLogged {
        /// Identifier of the request.
        request: CompactString,
    },
    /// An input file could not be read.
    File {
        /// Path of the file.
        file: PathBuf,
        /// Underlying I/O error.
        cause: io::Error,
    },
    /// The settings are invalid.
    Settings(settings::Errors),
    /// A required value is set neither by a flag nor in the settings.
    MissingFlag {
        /// Name of the flag, with its leading dashes.
        flag: &'static str,
    },
    /// The platform could not be reached or returned an error.
    Platform(platform::Error),
    /// The HTTP exchange with the entry failed.
    Entry(http::Error),
    /// The entry did not respond within the time limit.
    Timeout,
    /// The entry responded with a status other than success.
    ErrorResponse {
        /// Status of the response.
        status: StatusCode,
        /// Body of the response; invalid UTF-8 is replaced.
        body: String,
    },
    /// A response could not be decoded, or a result not encoded as JSON.
    MalformedResponse(serde_json::Error),
    /// The output could not be written.
    Output(io::Error),
}

impl Error {
    /// Returns the exit status for this error.
    ///
    /// An edit that would change nothing counts as success.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Table(table::Error::Refused(refusal)) => match refusal {
                EditError::Invalid { .. } => ExitStatus::Invalid,
                EditError::Conflict { .. } => ExitStatus::Conflict,
                EditError::Unchanged => ExitStatus::Done,
                EditError::Ahead { .. } | EditError::Forgotten { .. } => ExitStatus::Usage,
            },
            Self::Table(table::Error::OutcomeUnknown { .. }) => ExitStatus::Unsettled,
            Self::Sheet(_) | Self::Invalid(_) => ExitStatus::Invalid,
            Self::MalformedCell { .. }
            | Self::MalformedKey(_)
            | Self::MalformedRequest { .. }
            | Self::NotLogged { .. }
            | Self::File { .. }
            | Self::Settings(_)
            | Self::MissingFlag { .. } => ExitStatus::Usage,
            Self::Table(_)
            | Self::Platform(_)
            | Self::Entry(_)
            | Self::Timeout
            | Self::ErrorResponse { .. }
            | Self::MalformedResponse(_)
            | Self::Output(_) => ExitStatus::Unavailable,
        }
    }
}

impl From<table::Error> for Error {
    fn from(error: table::Error) -> Self {
        Self::Table(error)
    }
}

impl From<http::Error> for Error {
    fn from(error: http::Error) -> Self {
        Self::Entry(error)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Table(cause) => cause.fmt(f),
            Self::Sheet(faults) => write_list(f, "the sheet is malformed", faults),
            Self::Invalid(faults) => write_list(f, "the table would be invalid", faults),
            Self::MalformedCell { text } => {
                write!(
                    f,
                    "{text:?} is not a cell assignment such as workspace/tailors.share=2"
                )
            }
            Self::MalformedKey(cause) => cause.fmt(f),
            Self::MalformedRequest { text } => {
                write!(
                    f,
                    "{text:?} is not a request such as tailors/fitting/fit-17"
                )
            }
            Self::NotLogged { request } => {
                write!(f, "the logs contain no line of request {request}")
            }
            Self::File { file, cause } => write!(f, "file {}: {cause}", file.display()),
            Self::Settings(cause) => cause.fmt(f),
            Self::MissingFlag { flag } => {
                write!(
                    f,
                    "flag {flag} is required where --settings does not provide its value"
                )
            }
            Self::Platform(cause) => write!(f, "platform is not available: {cause}"),
            Self::Entry(cause) => write!(f, "entry is not available: {cause}"),
            Self::Timeout => f.write_str("entry did not respond in time"),
            Self::ErrorResponse { status, body } => {
                write!(f, "entry responded with {status}: {body}")
            }
            Self::MalformedResponse(cause) => write!(f, "response is malformed: {cause}"),
            Self::Output(cause) => write!(f, "output could not be written: {cause}"),
        }
    }
}

impl error::Error for Error {}

fn write_list(f: &mut fmt::Formatter<'_>, title: &str, items: &[impl fmt::Display]) -> fmt::Result {
    f.write_str(title)?;
    items.iter().try_for_each(|item| write!(f, "\n  {item}"))
}
