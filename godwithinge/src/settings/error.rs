//! Mistakes in a file of settings.

use compact_str::CompactString;
use std::{error, fmt, io};

/// All mistakes of one file.
#[derive(Debug)]
pub struct Errors {
    file: String,
    errors: Vec<Error>,
}

/// One mistake.
#[derive(Debug)]
pub struct Error {
    section: CompactString,
    key: CompactString,
    kind: ErrorKind,
}

/// What is wrong.
#[derive(Debug)]
pub enum ErrorKind {
    /// The file can't be read.
    Unreadable(io::Error),
    /// The text is not in INI.
    Syntax(ini::ParseError),
    /// The section is not known.
    UnknownSection {
        /// Sections that are known.
        allowed: &'static str,
    },
    /// The key is not known in its section.
    UnknownKey {
        /// Keys that are known there.
        allowed: Vec<&'static str>,
    },
    /// The section or key occurs more than once.
    Duplicate,
    /// The key is missing.
    Missing {
        /// What the value must be.
        allowed: String,
    },
    /// The value is not permitted.
    Invalid {
        /// The value; empty where it is secret.
        value: CompactString,
        /// What the value must be.
        allowed: String,
    },
    /// The deployment has no pool.
    NoPool,
}

impl Errors {
    pub(super) fn new(file: impl Into<String>, errors: Vec<Error>) -> Self {
        Self {
            file: file.into(),
            errors,
        }
    }

    /// Returns the mistakes in the order of the sections.
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

    /// Returns the section of the mistake; empty for the file as a whole.
    pub fn section(&self) -> &str {
        &self.section
    }

    /// Returns the key of the mistake; empty for a section as a whole.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Returns what is wrong.
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
            Self::Unreadable(cause) => write!(f, "file can't be read: {cause}"),
            Self::Syntax(cause) => write!(f, "not in INI: {cause}"),
            Self::UnknownSection { allowed } => write!(f, "unknown section; allowed: {allowed}"),
            Self::UnknownKey { allowed } => {
                write!(f, "unknown key; allowed: {}", allowed.join(", "))
            }
            Self::Duplicate => f.write_str("occurs more than once; allowed: once"),
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
