//! Slots for running requests and the queue before them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The queue is full, or the time to wait has passed; nothing ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Shed;

/// A slot in use, freed when dropped.
pub(crate) struct Slot {
    _permit: OwnedSemaphorePermit,
}

/// Slots and queue.
pub(crate) struct Slots {
    free: Arc<Semaphore>,
    total: usize,
    queued: AtomicUsize,
    max_queued: usize,
}

impl Slots {
    /// `total` slots behind a queue of `max_queued` places.
    pub(crate) fn new(total: usize, max_queued: usize) -> Self {
        Self {
            free: Arc::new(Semaphore::new(total)),
            total,
            queued: AtomicUsize::new(0),
            max_queued,
        }
    }

    /// Slots in use.
    pub(crate) fn running(&self) -> usize {
        self.total - self.free.available_permits()
    }

    /// Requests in the queue.
    pub(crate) fn queued(&self) -> usize {
        self.queued.load(Ordering::Relaxed)
    }

    /// Takes a slot at once, or waits in the queue for at most `wait`.
    pub(crate) async fn take(&self, wait: Duration) -> Result<Slot, Shed> {
        if let Ok(permit) = Arc::clone(&self.free).try_acquire_owned() {
            return Ok(Slot { _permit: permit });
        }
        let _place = Place::take(self)?;
        let permit = Arc::clone(&self.free).acquire_owned();
        match tokio::time::timeout(wait, permit).await {
            Ok(Ok(permit)) => Ok(Slot { _permit: permit }),
            _ => Err(Shed),
        }
    }
}

/// A place in the queue, left when dropped.
struct Place<'a>(&'a AtomicUsize);

impl<'a> Place<'a> {
    fn take(slots: &'a Slots) -> Result<Self, Shed> {
        let place = Self(&slots.queued);
        match slots.queued.fetch_add(1, Ordering::Relaxed) < slots.max_queued {
            true => Ok(place),
            false => Err(Shed),
        }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
