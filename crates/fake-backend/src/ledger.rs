//! Ledger: records of the requests that ran, which tests compare with what callers received.

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Number of entries that are kept; older ones are dropped and counted.
const MAX_ENTRIES: usize = 200_000;

/// How far a request got.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Progress {
    /// The request is running.
    Running,
    /// The request ended, and its whole response was passed to the HTTP server.
    Finished,
    /// An injected fault ended the request with status 500.
    Failed,
    /// The connection closed before the response was complete.
    Cancelled,
}

/// Record of a request that got a slot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Value of the header `knapweed-request-id`; `None` if absent or not text.
    pub request_id: Option<String>,
    /// Value of the header `idempotency-key`; `None` if absent or not text.
    pub idempotency_key: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Path of the URI, without the query.
    pub path: String,
    /// How far the request got.
    pub progress: Progress,
}

/// Response body of `GET /ledger`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LedgerDoc {
    /// Entries in the order in which the requests started.
    pub entries: VecDeque<Entry>,
    /// Number of older entries that were dropped to make room.
    pub dropped: u64,
}

/// Sequence number of an entry; never reused, not even after the ledger was cleared.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntryKey(u64);

#[derive(Default)]
struct Entries {
    doc: LedgerDoc,
    /// Key of the first entry that is kept, which is the number of entries removed so far.
    first_key: u64,
}

/// Bounded list of records, shared by all requests.
#[derive(Default)]
pub struct Ledger {
    entries: Mutex<Entries>,
}

impl Ledger {
    /// Appends an entry, dropping the oldest one if the ledger is full.
    pub fn add(&self, entry: Entry) -> EntryKey {
        let mut entries = self.entries.lock();
        if entries.doc.entries.len() == MAX_ENTRIES {
            entries.doc.entries.pop_front();
            entries.doc.dropped += 1;
            entries.first_key += 1;
        }
        entries.doc.entries.push_back(entry);
        EntryKey(entries.first_key + entries.doc.entries.len() as u64 - 1)
    }

    /// Sets the progress of an entry; does nothing if it has been removed.
    pub fn set(&self, key: EntryKey, progress: Progress) {
        let mut entries = self.entries.lock();
        let index = key.0.checked_sub(entries.first_key);
        let index = index.and_then(|i| usize::try_from(i).ok());
        if let Some(entry) = index.and_then(|i| entries.doc.entries.get_mut(i)) {
            entry.progress = progress;
        }
    }

    /// Removes all entries and resets the count of dropped ones.
    pub fn clear(&self) {
        let mut entries = self.entries.lock();
        entries.first_key += entries.doc.entries.len() as u64;
        entries.doc = LedgerDoc::default();
    }

    /// Returns a copy of the kept entries.
    pub fn to_doc(&self) -> LedgerDoc {
        self.entries.lock().doc.clone()
    }
}
