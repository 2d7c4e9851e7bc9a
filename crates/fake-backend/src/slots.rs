//! Slots that limit concurrent requests, and the bounded queue of requests that wait for one.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Error: the queue is full, or no slot became free in time. The request did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Shed;

/// A slot in use; dropping it frees the slot.
pub(crate) struct Slot {
    _permit: OwnedSemaphorePermit,
}

/// Slots, with the queue of requests that wait for them.
pub(crate) struct Slots {
    free: Arc<Semaphore>,
    total: usize,
    queued: AtomicUsize,
    max_queued: usize,
}

impl Slots {
    /// Creates `total` slots and a queue for `max_queued` waiting requests.
    pub(crate) fn new(total: usize, max_queued: usize) -> Self {
        Self {
            free: Arc::new(Semaphore::new(total)),
            total,
            queued: AtomicUsize::new(0),
            max_queued,
        }
    }

    /// Number of slots in use.
    pub(crate) fn running(&self) -> usize {
        self.total - self.free.available_permits()
    }

    /// Number of requests in the queue.
    pub(crate) fn queued(&self) -> usize {
        self.queued.load(Ordering::Relaxed)
    }

    /// Takes a free slot, or waits in the queue for one, for at most `wait`.
    pub(crate) async fn take(&self, wait: Duration) -> Result<Slot, Shed> {
        if let Ok(permit) = Arc::clone(&self.free).try_acquire_owned() {
            return Ok(Slot { _permit: permit });
        }
        let _position = QueuePosition::take(self)?;
        let permit = Arc::clone(&self.free).acquire_owned();
        match tokio::time::timeout(wait, permit).await {
            Ok(Ok(permit)) => Ok(Slot { _permit: permit }),
            _ => Err(Shed),
        }
    }
}

/// A position in the queue; dropping it leaves the queue.
struct QueuePosition<'a>(&'a AtomicUsize);

impl<'a> QueuePosition<'a> {
    fn take(slots: &'a Slots) -> Result<Self, Shed> {
        let position = Self(&slots.queued);
        match slots.queued.fetch_add(1, Ordering::Relaxed) < slots.max_queued {
            true => Ok(position),
            false => Err(Shed),
        }
    }
}

impl Drop for QueuePosition<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
