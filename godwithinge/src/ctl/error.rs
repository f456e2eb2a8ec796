//! Failures of what an operator asks for, and the exit statuses that they give.

use crate::{http, platform, settings, table};
use ::http::StatusCode;
use compact_str::CompactString;
use policy::table::{check::InvalidCell, edit::EditError, row::KeyError, sheet::SheetError};
use std::{error, fmt, io, path::PathBuf};

/// Exit status of the command line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Status {
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
    Cell {
        /// What was written.
        word: CompactString,
    },
    /// A row is not named as `workspace/tailors`.
    Key(KeyError),
    /// A request is not named as `workspace/pipeline/request`.
    Request {
        /// What was written.
        word: CompactString,
    },
    /// No line of the logs names the request.
    Unlogged {
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
    Missing {
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
    Answer {
        /// Status of the answer.
        status: StatusCode,
        /// Body of the answer.
        body: String,
    },
    /// An answer is not of the agreed form.
    Malformed(serde_json::Error),
    /// The output could not be written.
    Output(io::Error),
}

impl Error {
    /// Returns the exit status that the failure gives.
    pub fn status(&self) -> Status {
        match self {
            Self::Table(table::Error::Refused(refusal)) => match refusal {
                EditError::Invalid { .. } => Status::Invalid,
                EditError::Conflict { .. } => Status::Conflict,
                EditError::Unchanged => Status::Done,
                EditError::Ahead { .. } | EditError::Forgotten { .. } => Status::Usage,
            },
            Self::Table(table::Error::OutcomeUnknown { .. }) => Status::Unsettled,
            Self::Sheet(_) | Self::Invalid(_) => Status::Invalid,
            Self::Cell { .. }
            | Self::Key(_)
            | Self::Request { .. }
            | Self::Unlogged { .. }
            | Self::File { .. }
            | Self::Settings(_)
            | Self::Missing { .. } => Status::Usage,
            Self::Table(_)
            | Self::Platform(_)
            | Self::Entry(_)
            | Self::Timeout
            | Self::Answer { .. }
            | Self::Malformed(_)
            | Self::Output(_) => Status::Unavailable,
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
            Self::Sheet(faults) => lines(f, "the sheet has faults", faults),
            Self::Invalid(faults) => lines(f, "the table would be invalid", faults),
            Self::Cell { word } => {
                write!(f, "{word:?} is no cell such as workspace/tailors.share=2")
            }
            Self::Key(cause) => cause.fmt(f),
            Self::Request { word } => {
                write!(f, "{word:?} is no request such as tailors/fitting/fit-17")
            }
            Self::Unlogged { request } => write!(f, "no line of the logs names request {request}"),
            Self::File { file, cause } => write!(f, "file {}: {cause}", file.display()),
            Self::Settings(cause) => cause.fmt(f),
            Self::Missing { flag } => {
                write!(
                    f,
                    "flag {flag} is missing, or --settings where it may stand for it"
                )
            }
            Self::Platform(cause) => write!(f, "platform is not available: {cause}"),
            Self::Entry(cause) => write!(f, "entry is not available: {cause}"),
            Self::Timeout => f.write_str("entry took too long to answer"),
            Self::Answer { status, body } => write!(f, "entry answered {status}: {body}"),
            Self::Malformed(cause) => write!(f, "answer is malformed: {cause}"),
            Self::Output(cause) => write!(f, "output was not written: {cause}"),
        }
    }
}

impl error::Error for Error {}

fn lines(f: &mut fmt::Formatter<'_>, title: &str, items: &[impl fmt::Display]) -> fmt::Result {
    f.write_str(title)?;
    items.iter().try_for_each(|item| write!(f, "\n  {item}"))
}
