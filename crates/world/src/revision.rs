//! Revisions of the platform's object store, and the eras in which they are given out.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Period in which the object store keeps everything that it has acknowledged.
///
/// The number rises when the store comes back from an older copy of its data. What was
/// written after the copy is then lost, and its revisions are given out again. A store
/// that reports no era stays in era 0.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct StoreEra(pub u64);

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Revision of an object, taken from a counter that each change of the store increments.
///
/// The counter goes back when the store loses changes, so a revision belongs to an era.
/// Revisions of different eras are never equal, and those of the later era are greater.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(from = "Encoded", into = "Encoded")]
pub struct Revision {
    /// Era of the store in which the number was given out.
    pub era: StoreEra,
    /// Value of the counter; 0 for an object that does not exist.
    pub number: u64,
}

impl Revision {
    /// The revision of an object that does not exist.
    pub const ABSENT: Self = Self::new(0);

    /// A revision of a store that has never lost a change.
    pub const fn new(number: u64) -> Self {
        Self {
            era: StoreEra(0),
            number,
        }
    }

    /// The same number in another era.
    pub const fn in_era(self, era: StoreEra) -> Self {
        Self { era, ..self }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            StoreEra(0) => write!(f, "{}", self.number),
            era => write!(f, "{} of era {era}", self.number),
        }
    }
}

/// Encoding of a revision in stored documents and traces. Those of era 0 are plain numbers,
/// as programs without eras write them.
#[derive(Deserialize, Serialize)]
#[serde(untagged)]
enum Encoded {
    Number(u64),
    InEra { era: StoreEra, number: u64 },
}

impl From<Encoded> for Revision {
    fn from(encoded: Encoded) -> Self {
        match encoded {
            Encoded::Number(number) => Self::new(number),
            Encoded::InEra { era, number } => Self { era, number },
        }
    }
}

impl From<Revision> for Encoded {
    fn from(Revision { era, number }: Revision) -> Self {
        match era {
            StoreEra(0) => Self::Number(number),
            era => Self::InEra { era, number },
        }
    }
}
