//! Open connections of callers, and which of them are closed when the host is full.

use knapweed_host::byte_budget::Reclaim;
use knapweed_observe::part;
use knapweed_timer::TimerService;
use knapweed_world::Time;
use parking_lot::Mutex;
use slotmap::{SlotMap, new_key_type};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::Notify;

new_key_type! {
    /// Key of an open connection.
    struct ConnectionKey;
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub(super) enum Phase {
    /// For the head of a request.
    Head,
    /// For more of a request body that the node wants to read.
    Body,
    /// For the node, another node or a backend server.
    Answer,
}

/// State of a connection, shared by its task and [`OpenConnections`].
pub(super) struct OpenConnection {
    /// Time in the unit of [`Time`] at which the caller last sent or received bytes.
    moved_at: AtomicU64,
    phase: AtomicU8,
    /// Whether the caller does not read what was sent to it.
    is_unread: AtomicBool,
    /// Bytes that were read for the current request.
    request_len: AtomicUsize,
    is_closing: AtomicBool,
    closing: Notify,
}

impl OpenConnection {
    fn new(now: Time) -> Self {
        Self {
            moved_at: AtomicU64::new(now.0),
            phase: AtomicU8::new(Phase::Head as u8),
            is_unread: AtomicBool::new(false),
            request_len: AtomicUsize::new(0),
            is_closing: AtomicBool::new(false),
            closing: Notify::new(),
        }
    }

    /// Records that the caller has sent or received bytes.
    pub(super) fn moved(&self, now: Time) {
        self.moved_at.store(now.0, Ordering::Relaxed);
    }

    pub(super) fn set_phase(&self, phase: Phase) {
        self.phase.store(phase as u8, Ordering::Relaxed);
    }

    pub(super) fn is_in(&self, phase: Phase) -> bool {
        self.phase.load(Ordering::Relaxed) == phase as u8
    }

    pub(super) fn set_unread(&self, is_unread: bool) {
        self.is_unread.store(is_unread, Ordering::Relaxed);
    }

    /// Counts bytes of the current request.
    pub(super) fn add_request_len(&self, len: usize) {
        self.request_len.fetch_add(len, Ordering::Relaxed);
    }

    /// Starts to count the bytes of the next request.
    pub(super) fn end_request(&self) {
        self.request_len.store(0, Ordering::Relaxed);
        self.set_phase(Phase::Head);
    }

    /// Time for which the caller has neither sent nor received bytes.
    pub(super) fn still_for(&self, now: Time) -> Duration {
        now.since(Time(self.moved_at.load(Ordering::Relaxed)))
    }

    /// Whether the connection waits for its caller.
    fn awaits_caller(&self) -> bool {
        !self.is_in(Phase::Answer) || self.is_unread.load(Ordering::Relaxed)
    }

    /// Makes the task of the connection end.
    pub(super) fn close(&self) {
        self.is_closing.store(true, Ordering::Relaxed);
        self.closing.notify_one();
    }

    /// Waits until the connection has to be closed at once.
    pub(super) async fn closed(&self) {
        self.closing.notified().await;
    }
}

/// All open connections of callers of a host, for all of its listeners.
pub struct OpenConnections {
    limit: usize,
    table: Mutex<SlotMap<ConnectionKey, Arc<OpenConnection>>>,
    /// Number of connections that were closed to make room.
    evicted: AtomicU64,
    timer: TimerService,
}

impl OpenConnections {
    /// At most `limit` connections.
    pub fn new(limit: usize, timer: TimerService) -> Self {
        Self {
            limit,
            table: Mutex::default(),
            evicted: AtomicU64::new(0),
            timer,
        }
    }

    /// Number of connections that were closed to make room for other callers.
    pub fn evicted(&self) -> u64 {
        self.evicted.load(Ordering::Relaxed)
    }

    /// Adds a connection. Above the limit, the one that has waited longest for its caller is
    /// closed; `None` when there is no such connection.
    pub(super) fn open(self: &Arc<Self>) -> Option<Entry> {
        let now = self.timer.now();
        let mut table = self.table.lock();
        let open = table
            .values()
            .filter(|c| !c.is_closing.load(Ordering::Relaxed));
        if table.len() >= self.limit && open.count() >= self.limit {
            self.evict(&table, now, |evicted, _| evicted == 0);
            let open = table
                .values()
                .filter(|c| !c.is_closing.load(Ordering::Relaxed));
            if open.count() >= self.limit {
                return None;
            }
        }
        let connection = Arc::new(OpenConnection::new(now));
        let key = table.insert(Arc::clone(&connection));
        Some(Entry {
            connections: Arc::clone(self),
            key,
            connection,
        })
    }

    /// Closes connections that wait for their callers, in the order in which they have stood
    /// still, while `needs_more` of the number and the bytes of those that were closed.
    fn evict(
        &self,
        table: &SlotMap<ConnectionKey, Arc<OpenConnection>>,
        now: Time,
        needs_more: impl Fn(usize, usize) -> bool,
    ) {
        let waiting = table.values().filter(|connection| {
            connection.awaits_caller() && !connection.is_closing.load(Ordering::Relaxed)
        });
        let mut waiting: Vec<_> = waiting.collect();
        waiting.sort_unstable_by_key(|connection| std::cmp::Reverse(connection.still_for(now)));
        let (mut count, mut len) = (0, 0);
        for connection in waiting {
            if !needs_more(count, len) {
                break;
            }
            count += 1;
            len += connection.request_len.load(Ordering::Relaxed);
            connection.close();
        }
        let before = self.evicted.fetch_add(count as u64, Ordering::Relaxed);
        if before == 0 && count > 0 {
            log::warn!(
                target: part::INGRESS,
                "the host is full: closed {count} connections that waited for their callers"
            );
        }
    }
}

impl Reclaim for OpenConnections {
    fn reclaim(&self, len: usize) {
        let now = self.timer.now();
        let table = self.table.lock();
        // Those that are closing already give back what they hold.
        let closing = table
            .values()
            .filter(|c| c.is_closing.load(Ordering::Relaxed));
        let closing = closing.map(|c| c.request_len.load(Ordering::Relaxed));
        let missing = len.saturating_sub(closing.sum());
        if missing > 0 {
            self.evict(&table, now, |_, freed| freed < missing);
        }
    }
}

/// A connection in [`OpenConnections`]; dropping it removes the connection.
pub(super) struct Entry {
    connections: Arc<OpenConnections>,
    key: ConnectionKey,
    pub(super) connection: Arc<OpenConnection>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.connections.table.lock().remove(self.key);
    }
}
