//! Decides how a reader follows the changes of a kind: it loads the objects, watches from
//! the revision of the load, and loads again when the watch cannot go on.

use crate::{Error, Revision};

/// The next call of a reader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextCall {
    /// Read all objects.
    Load,
    /// Wait for changes after the revision.
    Watch(Revision),
}

/// When a reader makes its next call after one that failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Retry {
    /// Without a wait.
    AtOnce,
    /// After a wait that grows with each failure in a row.
    AfterBackoff,
}

/// How far a reader has followed the changes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Position {
    /// Nothing is read yet, or changes may be missing.
    #[default]
    Unknown,
    /// All objects were read at the revision.
    Loaded(Revision),
    /// A watch has reported all changes up to the revision.
    Watched(Revision),
}

/// Position of a reader in the history of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WatchCursor {
    position: Position,
}

impl WatchCursor {
    /// The call with which the reader continues.
    pub fn next_call(&self) -> NextCall {
        match self.position {
            Position::Unknown => NextCall::Load,
            Position::Loaded(revision) | Position::Watched(revision) => NextCall::Watch(revision),
        }
    }

    /// Continues from the revision that a successful call has reported.
    pub fn advanced(&mut self, revision: Revision) {
        self.position = match self.position {
            Position::Unknown => Position::Loaded(revision),
            Position::Loaded(_) | Position::Watched(_) => Position::Watched(revision),
        };
    }

    /// As [`WatchCursor::advanced`], when changes that cannot be read were left out: a load
    /// may have them.
    pub fn advanced_partially(&mut self, revision: Revision) {
        match self.position {
            Position::Unknown => self.advanced(revision),
            Position::Loaded(_) | Position::Watched(_) => self.start_over(),
        }
    }

    /// Decides what follows a failed call.
    ///
    /// A watch without its history begins again with a load at once, unless the last load
    /// did not help. So does one whose response cannot be parsed, after a wait: a watch from
    /// the same revision would get the same response again.
    pub fn failed(&mut self, error: &Error) -> Retry {
        match (error, self.position) {
            (Error::HistoryCompacted(_), Position::Watched(_)) => {
                self.start_over();
                Retry::AtOnce
            }
            (Error::HistoryCompacted(_), _) => {
                self.start_over();
                Retry::AfterBackoff
            }
            (Error::Malformed(_), _) => {
                self.start_over();
                Retry::AfterBackoff
            }
            _ => Retry::AfterBackoff,
        }
    }

    /// Continues with a load.
    pub fn start_over(&mut self) {
        self.position = Position::Unknown;
    }
}
