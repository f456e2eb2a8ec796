//! Failures of what an operator asks for, and the exit statuses that they give.

use crate::{http, platform, settings, table};
use ::http::StatusCode;
use compact_str::CompactString;
use policy::table::{check::InvalidCell, edit::EditError, row::KeyError, sheet::SheetError};
use std::{error, fmt, io, path::PathBuf};

/// Exit status of the command line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum ExitStatus {
    /// It was done.
    Done = 0,
    /// The platform or the entry is not available; nothing was changed.
    Unavailable = 1,
    /// The command line, the settings or a file is wrong.
    Usage = 2,
    /// The table would be invalid.
    Invalid = 3,
    /// Others changed the same rows.
    Conflict = 4,
    /// The edit may have taken effect.
    Unsettled = 5,
}

/// Failure of what an operator asks for.
#[derive(Debug)]
pub enum Error {
    /// The table could not be read or edited.
    Table(table::Error),
    /// The sheet has faults.
    Sheet(Vec<SheetError>),
    /// Cells hold what their columns do not allow.
    Invalid(Vec<InvalidCell>),
    /// A cell is not written as `workspace/tailors.share=2`.
    MalformedCell {
        /// What was written.
        text: CompactString,
    },
    /// A row is not named as `workspace/tailors`.
    MalformedKey(KeyError),
    /// A request is not named as `workspace/pipeline/request`.
    MalformedRequest {
        /// What was written.
        text: CompactString,
    },
    /// No line of the logs names the request.
    NotLogged {
        /// The request.
        request: CompactString,
    },
    /// A file can't be read.
    File {
        /// The file.
        file: PathBuf,
        /// Why it can't be read.
        cause: io::Error,
    },
    /// The settings have mistakes.
    Settings(settings::Errors),
    /// Neither a flag nor the settings give a value that is needed.
    MissingFlag {
        /// Name of the flag.
        flag: &'static str,
    },
    /// The platform could not be asked.
    Platform(platform::Error),
    /// The entry could not be asked.
    Entry(http::Error),
    /// The entry took too long to answer.
    Timeout,
    /// The entry answered with an error.
    ErrorResponse {
        /// Status of the answer.
        status: StatusCode,
        /// Body of the answer.
        body: String,
    },
    /// An answer is not of the agreed form.
    MalformedResponse(serde_json::Error),
    /// The output could not be written.
    Output(io::Error),
}

impl Error {
    /// Returns the exit status that the failure gives.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Table(table::Error::Refused(refusal)) => match refusal {
                EditError::Invalid { .. } => ExitStatus::Invalid,
                EditError::Conflict { .. } => ExitStatus::Conflict,
                EditError::Unchanged => ExitStatus::Done,
                EditError::Ahead { .. } | EditError::Forgotten { .. } => ExitStatus::Usage,
            },
            Self::Table(table::Error::Unsettled { .. }) => ExitStatus::Unsettled,
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
            Self::Sheet(faults) => write_list(f, "the sheet has faults", faults),
            Self::Invalid(faults) => write_list(f, "the table would be invalid", faults),
            Self::MalformedCell { text } => {
                write!(f, "{text:?} is no cell such as workspace/tailors.share=2")
            }
            Self::MalformedKey(cause) => cause.fmt(f),
            Self::MalformedRequest { text } => {
                write!(f, "{text:?} is no request such as tailors/fitting/fit-17")
            }
            Self::NotLogged { request } => write!(f, "no line of the logs names request {request}"),
            Self::File { file, cause } => write!(f, "file {}: {cause}", file.display()),
            Self::Settings(cause) => cause.fmt(f),
            Self::MissingFlag { flag } => {
                write!(
                    f,
                    "flag {flag} is missing, or --settings where it may stand for it"
                )
            }
            Self::Platform(cause) => write!(f, "platform is not available: {cause}"),
            Self::Entry(cause) => write!(f, "entry is not available: {cause}"),
            Self::Timeout => f.write_str("entry took too long to answer"),
            Self::ErrorResponse { status, body } => write!(f, "entry answered {status}: {body}"),
            Self::MalformedResponse(cause) => write!(f, "answer is malformed: {cause}"),
            Self::Output(cause) => write!(f, "output was not written: {cause}"),
        }
    }
}

impl error::Error for Error {}

fn write_list(f: &mut fmt::Formatter<'_>, title: &str, items: &[impl fmt::Display]) -> fmt::Result {
    f.write_str(title)?;
    items.iter().try_for_each(|item| write!(f, "\n  {item}"))
}
