//! Lifetime of a request, from waiting for a slot to the end of its response.

use crate::backend::{Backend, increment};
use crate::faults::AppliedFaults;
use crate::ledger::{Entry, EntryKey, Progress};
use crate::slots::{Shed, Slot};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// A request that holds a slot. Dropping it before it has finished or failed counts it as
/// cancelled.
pub(crate) struct ActiveRequest {
    backend: Arc<Backend>,
    entry: EntryKey,
    ended: bool,
    _slot: Slot,
}

impl ActiveRequest {
    /// Waits for a slot, for at most `wait`, and records the request in the ledger.
    pub(crate) async fn start(
        backend: Arc<Backend>,
        entry: Entry,
        wait: Duration,
    ) -> Result<(Self, AppliedFaults), Shed> {
        let mut guard = WaitGuard::new(&backend);
        let slot = backend.slots.take(wait).await;
        guard.ended = true;
        drop(guard);
        let slot = slot.inspect_err(|_| increment(&backend.counters.shed))?;
        let running = backend.slots.running() as u64;
        let counters = &backend.counters;
        increment(&counters.started);
        counters.peak_running.fetch_max(running, Ordering::Relaxed);
        let faults = backend
            .fault_injector
            .lock()
            .faults_for(&entry.path, running);
        let entry = backend.ledger.add(entry);
        let request = Self {
            backend,
            entry,
            ended: false,
            _slot: slot,
        };
        Ok((request, faults))
    }

    /// Ends a request whose whole response was passed to the HTTP server.
    pub(crate) fn finish(mut self) {
        self.end(Progress::Finished);
    }

    /// Ends a request that an injected fault fails.
    pub(crate) fn fail(mut self) {
        increment(&self.backend.counters.failed);
        self.end(Progress::Failed);
    }

    fn end(&mut self, progress: Progress) {
        self.ended = true;
        self.backend.ledger.set(self.entry, progress);
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        if !self.ended {
            increment(&self.backend.counters.cancelled);
            self.end(Progress::Cancelled);
        }
    }
}

/// Counts a request as cancelled if it is dropped while it waits for a slot.
struct WaitGuard<'a> {
    backend: &'a Backend,
    ended: bool,
}

impl<'a> WaitGuard<'a> {
    fn new(backend: &'a Backend) -> Self {
        Self {
            backend,
            ended: false,
        }
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if !self.ended {
            increment(&self.backend.counters.cancelled);
        }
    }
}
