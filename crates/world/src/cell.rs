//! The cell that the request path reads the current snapshot from.

use crate::{ConfigVersion, Snapshot};
use arc_swap::{ArcSwap, Guard};
use std::sync::Arc;

/// The reason why a snapshot was not taken.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// Its configuration version is below the one being served.
    #[error("configuration version {offered} is older than version {served} being served")]
    Older {
        /// The version being served.
        served: ConfigVersion,
        /// The version that was refused.
        offered: ConfigVersion,
    },
}

/// Read-copy-update cell for the current snapshot.
///
/// Many threads read; one control thread replaces. A reader keeps the snapshot
/// it loaded for the whole request, so no request sees two versions.
#[derive(Debug)]
pub struct SnapshotCell(ArcSwap<Snapshot>);

impl SnapshotCell {
    /// A cell that holds `first`.
    pub fn new(first: Snapshot) -> Self {
        Self(ArcSwap::from_pointee(first))
    }

    /// The current snapshot, for a short look without a reference count.
    pub fn load(&self) -> Guard<Arc<Snapshot>> {
        self.0.load()
    }

    /// The current snapshot, to be kept across waits.
    pub fn load_full(&self) -> Arc<Snapshot> {
        self.0.load_full()
    }

    /// Replaces the snapshot as a whole, unless its configuration version is older.
    ///
    /// Only the control thread calls this, so the check and the store need no
    /// common step.
    pub fn replace(&self, next: Snapshot) -> Result<(), Error> {
        let served = self.load().version();
        let offered = next.version();
        if offered < served {
            return Err(Error::Older { served, offered });
        }
        self.0.store(Arc::new(next));
        Ok(())
    }
}
