//! Errors in a settings file.

use compact_str::CompactString;
use std::{error, fmt, io};

/// All errors in one settings file.
#[derive(Debug)]
pub struct Errors {
    file: String,
    errors: Vec<Error>,
}

/// One error in a settings file.
#[derive(Debug)]
pub struct Error {
    section: CompactString,
    key: CompactString,
    kind: ErrorKind,
}

/// Kind of an [`Error`].
#[derive(Debug)]
pub enum ErrorKind {
    /// The file cannot be read.
    Unreadable(io::Error),
    /// The text is not valid INI.
    Syntax(ini::ParseError),
    /// The section name is unknown, or a key precedes the first section.
    UnknownSection {
        /// Accepted section names.
        allowed: &'static str,
    },
    /// The key is unknown in its section.
    UnknownKey {
        /// Accepted keys of the section.
        allowed: Vec<&'static str>,
    },
    /// The section or key occurs more than once.
    Duplicate,
    /// A key without a default value is missing.
    Missing {
        /// Description of the accepted values.
        allowed: String,
    },
    /// The value is malformed or out of range.
    Invalid {
        /// The rejected value; empty if it is a secret.
        value: CompactString,
        /// Description of the accepted values.
        allowed: String,
    },
    /// The file has no section `[pool NAME]`.
    NoPool,
}

impl Errors {
    pub(super) fn new(file: impl Into<String>, errors: Vec<Error>) -> Self {
        Self {
            file: file.into(),
            errors,
        }
    }

    /// Returns the errors in the order in which sections are checked, which may differ
    /// from their order in the file.
    pub fn as_slice(&self) -> &[Error] {
        &self.errors
    }
}

impl Error {
    pub(super) fn new(
        section: impl Into<CompactString>,
        key: impl Into<CompactString>,
        kind: ErrorKind,
    ) -> Self {
        Self {
            section: section.into(),
            key: key.into(),
            kind,
        }
    }

    /// Returns the section of the error; empty if it concerns the whole file.
    pub fn section(&self) -> &str {
        &self.section
    }

    /// Returns the key of the error; empty if it concerns the whole section.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Returns the kind of the error.
    pub fn kind(&self) -> &ErrorKind {
        &self.kind
    }
}

impl fmt::Display for Errors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.errors.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{}: {error}", self.file)?;
        }
        Ok(())
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.section.is_empty() {
            write!(f, "section [{}]: ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "key \"{}\": ", self.key)?;
        }
        self.kind.fmt(f)
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(cause) => write!(f, "cannot read file: {cause}"),
            Self::Syntax(cause) => write!(f, "invalid INI syntax: {cause}"),
            Self::UnknownSection { allowed } => write!(f, "unknown section; allowed: {allowed}"),
            Self::UnknownKey { allowed } => {
                write!(f, "unknown key; allowed: {}", allowed.join(", "))
            }
            Self::Duplicate => f.write_str("duplicate; allowed: once"),
            Self::Missing { allowed } => write!(f, "missing; allowed: {allowed}"),
            Self::Invalid { value, allowed } if value.is_empty() => {
                write!(f, "invalid value; allowed: {allowed}")
            }
            Self::Invalid { value, allowed } => {
                write!(f, "invalid value \"{value}\"; allowed: {allowed}")
            }
            Self::NoPool => f.write_str("missing; allowed: at least one section [pool NAME]"),
        }
    }
}

impl error::Error for Errors {}

impl error::Error for Error {}
