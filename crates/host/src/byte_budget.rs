//! Limit of the memory of a host for bytes that are buffered.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Frees bytes of an exhausted budget.
pub trait Reclaim: Send + Sync {
    /// Asks holders of at least `len` bytes, as far as there are any, to give them back. They do
    /// so after this returns.
    fn reclaim(&self, len: usize);
}

/// Frees nothing: the holders give their bytes back by themselves.
struct NoReclaim;

impl Reclaim for NoReclaim {
    fn reclaim(&self, _: usize) {}
}

/// A number of bytes that all buffered bodies share.
pub struct ByteBudget {
    limit: usize,
    holders: Arc<dyn Reclaim>,
    used: AtomicUsize,
    /// Whether the last reservation failed.
    is_exhausted: AtomicBool,
}

impl ByteBudget {
    /// A budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self::reclaimed_from(limit, Arc::new(NoReclaim))
    }

    /// A budget of `limit` bytes, which asks `holders` for bytes when it has none left.
    pub fn reclaimed_from(limit: usize, holders: Arc<dyn Reclaim>) -> Self {
        Self {
            limit,
            holders,
            used: AtomicUsize::new(0),
            is_exhausted: AtomicBool::new(false),
        }
    }

    /// Asks the holders for `len` bytes, which arrive later, if at all.
    pub fn reclaim(&self, len: usize) {
        self.holders.reclaim(len);
    }

    /// Number of reserved bytes.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// A reservation of no bytes, which can [grow](Reservation::grow).
    pub fn reservation(self: &Arc<Self>) -> Reservation {
        Reservation {
            budget: Arc::clone(self),
            len: 0,
        }
    }

    fn take(&self, len: usize) -> bool {
        let within = |used: usize| used.checked_add(len).filter(|sum| *sum <= self.limit);
        let taken = self
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, within);
        taken.is_ok()
    }
}

impl fmt::Debug for ByteBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = f.debug_struct("ByteBudget");
        debug.field("limit", &self.limit).field("used", &self.used);
        debug.finish_non_exhaustive()
    }
}

/// Why a reservation cannot grow.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{used} of {limit} bytes for buffered bodies are in use")]
pub struct Exhausted {
    /// Number of reserved bytes.
    pub used: usize,
    /// Size of the budget in bytes.
    pub limit: usize,
    /// Whether the reservation before this one, of any body, had succeeded.
    pub is_first: bool,
}

/// Bytes of a [`ByteBudget`], returned on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<ByteBudget>,
    len: usize,
}

impl Reservation {
    /// Reserves `len` more bytes.
    ///
    /// # Errors
    ///
    /// The budget has fewer bytes left; the reservation is unchanged.
    pub fn grow(&mut self, len: usize) -> Result<(), Exhausted> {
        let budget = &self.budget;
        if !budget.take(len) {
            return Err(Exhausted {
                used: budget.used(),
                limit: budget.limit,
                is_first: !budget.is_exhausted.swap(true, Ordering::Relaxed),
            });
        }
        self.len += len;
        // Written only after a change, so that requests on other threads do not wait for
        // this cache line.
        if budget.is_exhausted.load(Ordering::Relaxed) {
            budget.is_exhausted.store(false, Ordering::Relaxed);
        }
        Ok(())
    }
}

impl Reservation {
    /// Returns all bytes to the budget.
    pub fn clear(&mut self) {
        self.budget.used.fetch_sub(self.len, Ordering::Relaxed);
        self.len = 0;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.clear();
    }
}
