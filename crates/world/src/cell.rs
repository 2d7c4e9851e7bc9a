//! The cell that the request path reads the current snapshot from.

use crate::{ConfigVersion, Snapshot};
use arc_swap::{ArcSwap, Guard};
use std::sync::Arc;

/// Error of [`SnapshotCell::replace`].
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The snapshot has a lower configuration version than the one being served.
    #[error("configuration version {offered} is older than version {served} being served")]
    Older {
        /// Configuration version being served.
        served: ConfigVersion,
        /// Configuration version of the refused snapshot.
        offered: ConfigVersion,
    },
}

/// Read-copy-update cell for the current snapshot.
///
/// Many threads read; only the control thread replaces. A reader keeps the
/// snapshot it loaded for the whole request, so no request sees two versions.
#[derive(Debug)]
pub struct SnapshotCell(ArcSwap<Snapshot>);

impl SnapshotCell {
    /// Creates a cell that holds `first`.
    pub fn new(first: Snapshot) -> Self {
        Self(ArcSwap::from_pointee(first))
    }

    /// The current snapshot, for short reads that do not increment the reference count.
    pub fn load(&self) -> Guard<Arc<Snapshot>> {
        self.0.load()
    }

    /// The current snapshot as an owned reference that can be held across `await` points.
    pub fn load_full(&self) -> Arc<Snapshot> {
        self.0.load_full()
    }

    /// Replaces the current snapshot, unless `next` has an older configuration version.
    ///
    /// Only the control thread calls this, so the version check and the store
    /// need not be one atomic step.
    ///
    /// # Errors
    ///
    /// [`Error::Older`] when `next` has a lower configuration version.
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
