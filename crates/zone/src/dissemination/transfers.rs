//! Limit on the long deltas that a node sends at a time.
//!
//! Transfers share the link of the sender. Many at once all end late, so that no receiver
//! can pass the version on; a few end early, and their receivers serve the others.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Longest delta, in bytes, that does not count as a transfer: about 16 ms of a link of
/// 10 Mbit/s.
pub const MAX_SHORT_LEN: usize = 16 * 1024;
/// Maximum number of long deltas that a node sends at a time. Transfers that share a link all
/// end late, and a version spreads only from nodes that have received it.
pub const MAX_TRANSFERS: usize = 1;

/// Counts the long deltas that a node is sending.
#[derive(Debug, Default)]
pub struct Transfers {
    active: Arc<AtomicUsize>,
}

/// Permission to send one delta, until it is dropped.
#[derive(Debug)]
pub struct Transfer {
    /// The count to decrease; `None` for a short delta.
    active: Option<Arc<AtomicUsize>>,
}

impl Transfers {
    /// Whether no further long delta may be sent now.
    pub fn is_full(&self) -> bool {
        self.active.load(Ordering::Relaxed) >= MAX_TRANSFERS
    }

    /// Starts the transfer of a delta of `len` bytes; `None` while [`MAX_TRANSFERS`] long
    /// ones are in progress.
    pub fn start(&self, len: usize) -> Option<Transfer> {
        if len <= MAX_SHORT_LEN {
            return Some(Transfer { active: None });
        }
        let add = |active: usize| (active < MAX_TRANSFERS).then_some(active + 1);
        self.active
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
            .ok()?;
        Some(Transfer {
            active: Some(Arc::clone(&self.active)),
        })
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        if let Some(active) = &self.active {
            active.fetch_sub(1, Ordering::Relaxed);
        }
    }
}
