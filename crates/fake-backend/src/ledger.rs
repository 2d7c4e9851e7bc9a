//! Ledger of the requests that ran.

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Number of entries kept; older ones are dropped and counted.
const MAX_ENTRIES: usize = 200_000;

/// How far a request came.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Progress {
    /// It runs.
    Running,
    /// It ended and its response was handed over completely.
    Finished,
    /// A switched fault ended it with 500.
    Failed,
    /// Its caller went away first.
    Cancelled,
}

/// A request that ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Header `knapweed-request-id`.
    pub request_id: Option<String>,
    /// Header `idempotency-key`.
    pub idempotency_key: Option<String>,
    /// Method.
    pub method: String,
    /// Path without query.
    pub path: String,
    /// How far it came.
    pub progress: Progress,
}

/// Document of `GET /ledger`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LedgerDoc {
    /// Entries in the order of their start.
    pub entries: VecDeque<Entry>,
    /// Older entries that were dropped.
    pub dropped: u64,
}

/// Key of an entry; never used twice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntryKey(u64);

#[derive(Default)]
struct Entries {
    doc: LedgerDoc,
    /// Number of entries that are gone, which is the key of the first one kept.
    gone: u64,
}

/// The ledger.
#[derive(Default)]
pub struct Ledger {
    entries: Mutex<Entries>,
}

impl Ledger {
    /// Adds an entry.
    pub fn add(&self, entry: Entry) -> EntryKey {
        let mut entries = self.entries.lock();
        if entries.doc.entries.len() == MAX_ENTRIES {
            entries.doc.entries.pop_front();
            entries.doc.dropped += 1;
            entries.gone += 1;
        }
        entries.doc.entries.push_back(entry);
        EntryKey(entries.gone + entries.doc.entries.len() as u64 - 1)
    }

    /// Sets the progress of an entry, if it is still kept.
    pub fn set(&self, key: EntryKey, progress: Progress) {
        let mut entries = self.entries.lock();
        let index = key.0.checked_sub(entries.gone);
        let index = index.and_then(|i| usize::try_from(i).ok());
        if let Some(entry) = index.and_then(|i| entries.doc.entries.get_mut(i)) {
            entry.progress = progress;
        }
    }

    /// Forgets all entries.
    pub fn clear(&self) {
        let mut entries = self.entries.lock();
        entries.gone += entries.doc.entries.len() as u64;
        entries.doc = LedgerDoc::default();
    }

    /// A copy of the entries.
    pub fn to_doc(&self) -> LedgerDoc {
        self.entries.lock().doc.clone()
    }
}
