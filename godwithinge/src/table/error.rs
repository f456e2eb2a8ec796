//! Errors of the table store.

use crate::platform;
use compact_str::CompactString;
use policy::{
    id::Revision,
    table::edit::{EditError, EditId},
};
use std::{error, fmt};

/// Error of reading or editing the table.
#[derive(Debug)]
pub enum Error {
    /// A request to the platform failed; if it was an edit, nothing was written.
    Platform(platform::Error),
    /// The key of a platform row is not a valid key of a table row.
    UnknownKey {
        /// Key of the platform's row.
        key: CompactString,
    },
    /// The value of a platform row does not have the form that its key requires.
    Malformed {
        /// Key of the platform's row.
        key: CompactString,
        /// Error of decoding the value.
        cause: serde_json::Error,
    },
    /// A row or log entry could not be encoded as JSON.
    Serialize(serde_json::Error),
    /// The edit is invalid or in conflict with a later one; nothing was written.
    Refused(EditError),
    /// The edit may have taken effect. Retrying it under the same id is safe: it takes effect at
    /// most once.
    OutcomeUnknown {
        /// Id of the edit.
        edit: EditId,
        /// Revision that the edit is based on.
        base: Revision,
    },
}

impl Error {
    /// Returns whether the edit was refused because of its content, so that a retry fails too.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Refused(_))
    }

    /// Returns whether the same edit may succeed if it is retried.
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
            Self::UnknownKey { key } => {
                write!(f, "platform row {key:?} does not match any table row")
            }
            Self::Malformed { key, cause } => {
                write!(f, "malformed platform row {key:?}: {cause}")
            }
            Self::Serialize(cause) => write!(f, "failed to encode a value as JSON: {cause}"),
            Self::Refused(refusal) => write!(f, "edit refused: {refusal}"),
            Self::OutcomeUnknown { edit, base } => write!(
                f,
                "edit {edit} based on revision {base} may have taken effect; \
                 retry it with the same name and base revision"
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
