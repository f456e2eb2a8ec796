//! Failures of reading and editing the table.

use crate::platform;
use compact_str::CompactString;
use policy::{
    id::Revision,
    table::edit::{EditError, EditId},
};
use std::{error, fmt};

/// Failure of reading or editing the table.
#[derive(Debug)]
pub enum Error {
    /// The platform could not be asked; nothing was written.
    Platform(platform::Error),
    /// A row of the platform has a key that names no row of the table.
    UnknownKey {
        /// Key of the platform's row.
        key: CompactString,
    },
    /// A row of the platform has not the form that its key says.
    Malformed {
        /// Key of the platform's row.
        key: CompactString,
        /// What is wrong with its value.
        cause: serde_json::Error,
    },
    /// A value can't be written as JSON.
    Serialize(serde_json::Error),
    /// The edit was refused; nothing was written.
    Refused(EditError),
    /// The edit may have taken effect; asked for again under its id it takes effect once.
    OutcomeUnknown {
        /// Name of the edit.
        edit: EditId,
        /// Revision that the edit is based on.
        base: Revision,
    },
}

impl Error {
    /// Returns whether the edit was refused for what it asks.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Refused(_))
    }

    /// Returns whether the same edit may be accepted if it is tried again.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::Platform(_))
    }
}

impl From<platform::Error> for Error {
    fn from(error: platform::Error) -> Self {
        Self::Platform(error)
    }
}

impl From<EditError> for Error {
    fn from(refusal: EditError) -> Self {
        Self::Refused(refusal)
    }
}

impl From<serde_json::Error> for Error {
    fn from(error: serde_json::Error) -> Self {
        Self::Serialize(error)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform(cause) => write!(f, "platform is not available: {cause}"),
            Self::UnknownKey { key } => write!(f, "platform row {key:?} names no row of the table"),
            Self::Malformed { key, cause } => {
                write!(f, "platform row {key:?} is malformed: {cause}")
            }
            Self::Serialize(cause) => write!(f, "a value can't be written as JSON: {cause}"),
            Self::Refused(refusal) => write!(f, "edit was refused: {refusal}"),
            Self::OutcomeUnknown { edit, base } => write!(
                f,
                "edit {edit} based on revision {base} may have taken effect; \
                 ask for it again under the same name and base"
            ),
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Platform(cause) => Some(cause),
            Self::Malformed { cause, .. } | Self::Serialize(cause) => Some(cause),
            Self::Refused(refusal) => Some(refusal),
            Self::UnknownKey { .. } | Self::OutcomeUnknown { .. } => None,
        }
    }
}
