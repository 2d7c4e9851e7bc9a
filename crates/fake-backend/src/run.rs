//! One request from its admission to the end of its response.

use crate::backend::{Backend, count};
use crate::faults::Verdict;
use crate::ledger::{Entry, EntryKey, Progress};
use crate::slots::{Shed, Slot};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// A request that has a slot; dropping it before its end counts as cancelled.
pub(crate) struct Run {
    backend: Arc<Backend>,
    entry: EntryKey,
    ended: bool,
    _slot: Slot,
}

impl Run {
    /// Takes a slot, waiting for at most `wait`, and enters the request into the ledger.
    pub(crate) async fn start(
        backend: Arc<Backend>,
        entry: Entry,
        wait: Duration,
    ) -> Result<(Self, Verdict), Shed> {
        let mut waiting = Waiting::new(&backend);
        let slot = backend.slots.take(wait).await;
        waiting.ended = true;
        drop(waiting);
        let slot = slot.inspect_err(|_| count(&backend.counters.shed))?;
        let running = backend.slots.running() as u64;
        let counters = &backend.counters;
        count(&counters.started);
        counters.peak_running.fetch_max(running, Ordering::Relaxed);
        let verdict = backend.switches.lock().verdict(&entry.path, running);
        let entry = backend.ledger.add(entry);
        let run = Self {
            backend,
            entry,
            ended: false,
            _slot: slot,
        };
        Ok((run, verdict))
    }

    /// Ends a request whose response was handed over completely.
    pub(crate) fn finish(mut self) {
        self.end(Progress::Finished);
    }

    /// Ends a request with a switched fault.
    pub(crate) fn fail(mut self) {
        count(&self.backend.counters.failed);
        self.end(Progress::Failed);
    }

    fn end(&mut self, progress: Progress) {
        self.ended = true;
        self.backend.ledger.set(self.entry, progress);
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.ended {
            count(&self.backend.counters.cancelled);
            self.end(Progress::Cancelled);
        }
    }
}

/// Counts a request that is dropped while it waits for a slot.
struct Waiting<'a> {
    backend: &'a Backend,
    ended: bool,
}

impl<'a> Waiting<'a> {
    fn new(backend: &'a Backend) -> Self {
        Self {
            backend,
            ended: false,
        }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.ended {
            count(&self.backend.counters.cancelled);
        }
    }
}
