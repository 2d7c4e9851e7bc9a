//! Limit of the memory of a host for bodies that are buffered.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// A number of bytes that all buffered bodies of one kind share.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    used: AtomicUsize,
    /// Whether the last reservation failed.
    is_exhausted: AtomicBool,
}

impl ByteBudget {
    /// A budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: AtomicUsize::new(0),
            is_exhausted: AtomicBool::new(false),
        }
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

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.len, Ordering::Relaxed);
    }
}
