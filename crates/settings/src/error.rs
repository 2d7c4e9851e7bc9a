//! Errors of a settings file.

use crate::key::Kind;
use std::fmt;
use std::path::PathBuf;

/// Reason why a line, section or key of a settings file is invalid.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Cause {
    /// The settings file cannot be read.
    #[error("cannot read the file: {0}")]
    Unreadable(String),
    /// The settings file is not UTF-8.
    #[error("found bytes that are not UTF-8, expected text")]
    NotText,
    /// A line is not blank and is no section, key with a value or comment.
    #[error("found {found:?}, expected \"[section]\", \"key = value\" or a comment after ';'")]
    BadLine {
        /// Text of the line.
        found: String,
    },
    /// A key precedes the first section.
    #[error("found a key before the first section, expected one of [{}]", .expected.join("], ["))]
    OutsideSection {
        /// Names of the sections in the schema.
        expected: Vec<&'static str>,
    },
    /// The schema has no such section.
    #[error("unknown section, expected one of [{}]", .expected.join("], ["))]
    UnknownSection {
        /// Names of the sections in the schema.
        expected: Vec<&'static str>,
    },
    /// The section has no such key.
    #[error("unknown key, expected one of {}", .expected.join(", "))]
    UnknownKey {
        /// Names of the keys that the section has in the schema.
        expected: Vec<&'static str>,
    },
    /// The file contains the section twice.
    #[error("duplicate section, expected it once (first in line {first})")]
    DuplicateSection {
        /// Line number of the first occurrence, counted from 1.
        first: u32,
    },
    /// The section contains the key twice.
    #[error("duplicate key, expected it once (first in line {first})")]
    DuplicateKey {
        /// Line number of the first occurrence, counted from 1.
        first: u32,
    },
    /// A required key is absent.
    #[error("missing key, expected {expected}")]
    MissingKey {
        /// Type and allowed values of the key.
        expected: Kind,
    },
    /// The value does not have the type of its key.
    #[error("found {found:?}, expected {expected}")]
    BadValue {
        /// Text of the value in the file.
        found: String,
        /// Type and allowed values of the key.
        expected: Kind,
    },
    /// The number is outside the range of its key.
    #[error("out of range: found {found}, expected {expected}")]
    OutOfRange {
        /// Text of the value in the file.
        found: String,
        /// Type and allowed range of the key.
        expected: Kind,
    },
    /// No file exists at the path.
    #[error("found no file at {}, expected the path of a file that exists", .path.display())]
    MissingFile {
        /// Path after it was resolved against the directory of the settings file.
        path: PathBuf,
    },
    /// A check of the program failed that a schema cannot express, for example
    /// one across two keys.
    #[error("{0}")]
    Rejected(String),
}

/// An error in a settings file, with its location.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    /// Path of the settings file.
    pub file: PathBuf,
    /// Line number counted from 1; `None` when no line contains the error, as for
    /// a missing key.
    pub line: Option<u32>,
    /// Name of the section; empty before the first section.
    pub section: String,
    /// Name of the key; empty when the error concerns no single key.
    pub key: String,
    /// Reason of the error.
    pub cause: Cause,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.file.display())?;
        if let Some(line) = self.line {
            write!(f, "{line}:")?;
        }
        if !self.section.is_empty() {
            write!(f, " [{}]", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, " {}:", self.key)?;
        }
        write!(f, " {}", self.cause)
    }
}

impl std::error::Error for Error {}

/// All errors of a settings file: those of its lines in their order, then those of
/// absent keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Errors(pub Vec<Error>);

impl fmt::Display for Errors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, e) in self.0.iter().enumerate() {
            match i {
                0 => write!(f, "{e}")?,
                _ => write!(f, "\n{e}")?,
            }
        }
        Ok(())
    }
}

impl std::error::Error for Errors {}
