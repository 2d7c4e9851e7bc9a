//! Errors of a settings file.

use crate::key::Kind;
use std::fmt;
use std::path::PathBuf;

/// What is wrong at one place of a settings file.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Cause {
    /// The settings file cannot be read.
    #[error("cannot read the file: {0}")]
    Unreadable(String),
    /// The settings file is not UTF-8.
    #[error("found bytes that are not UTF-8, expected text")]
    NotText,
    /// A line is neither a section, a key with its value, a comment nor blank.
    #[error("found {found:?}, expected \"[section]\", \"key = value\" or a comment after ';'")]
    BadLine {
        /// The line.
        found: String,
    },
    /// A key stands before the first section.
    #[error("found a key before the first section, expected one of [{}]", .expected.join("], ["))]
    OutsideSection {
        /// Sections of the schema.
        expected: Vec<&'static str>,
    },
    /// The schema has no such section.
    #[error("unknown section, expected one of [{}]", .expected.join("], ["))]
    UnknownSection {
        /// Sections of the schema.
        expected: Vec<&'static str>,
    },
    /// The section has no such key.
    #[error("unknown key, expected one of {}", .expected.join(", "))]
    UnknownKey {
        /// Keys of the section.
        expected: Vec<&'static str>,
    },
    /// The section stands in the file twice.
    #[error("duplicate section, expected it once (first in line {first})")]
    DuplicateSection {
        /// Line of the first one, from 1.
        first: u32,
    },
    /// The key stands in its section twice.
    #[error("duplicate key, expected it once (first in line {first})")]
    DuplicateKey {
        /// Line of the first one, from 1.
        first: u32,
    },
    /// A required key is absent.
    #[error("missing key, expected {expected}")]
    MissingKey {
        /// Type of the key.
        expected: Kind,
    },
    /// The value does not have the type of its key.
    #[error("found {found:?}, expected {expected}")]
    BadValue {
        /// The text in the file.
        found: String,
        /// Type of the key.
        expected: Kind,
    },
    /// The number is outside the range of its key.
    #[error("out of range: found {found}, expected {expected}")]
    OutOfRange {
        /// The text in the file.
        found: String,
        /// Type of the key.
        expected: Kind,
    },
    /// No file exists at the path.
    #[error("found no file at {}, expected the path of a file that exists", .path.display())]
    MissingFile {
        /// The path.
        path: PathBuf,
    },
    /// A check of the program itself failed, for example one across two keys.
    #[error("{0}")]
    Rejected(String),
}

/// An error with its place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    /// The settings file.
    pub file: PathBuf,
    /// Line from 1; `None` when the error has no line, as for a missing key.
    pub line: Option<u32>,
    /// Section; empty before the first one.
    pub section: String,
    /// Key; empty when the error concerns no single key.
    pub key: String,
    /// What is wrong there.
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

/// Every error of a settings file, in the order of its lines.
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
