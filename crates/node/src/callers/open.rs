//! Open connections of callers, and which of them are closed when the host is full.

use crate::body::{CONNECTION_BODY_LEN, MAX_BUFFERED_LEN};
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

/// Most bytes of a buffered response that its caller does not read.
const UNREAD_LEN: usize = 256 * 1024;

/// Time without progress after which an upload that passes through may be closed to make room.
const STALLED_AFTER: Duration = Duration::from_secs(1);

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
    /// For nothing: its task ends, and no request starts or goes on.
    Closing,
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
    /// Bytes that are reserved for heads.
    head_len: AtomicUsize,
    closing: Notify,
}

impl OpenConnection {
    fn new(now: Time) -> Self {
        Self {
            moved_at: AtomicU64::new(now.0),
            phase: AtomicU8::new(Phase::Head as u8),
            is_unread: AtomicBool::new(false),
            request_len: AtomicUsize::new(0),
            head_len: AtomicUsize::new(0),
            closing: Notify::new(),
        }
    }

    /// Records that the caller has sent or received bytes.
    pub(super) fn moved(&self, now: Time) {
        self.moved_at.store(now.0, Ordering::Relaxed);
    }

    /// Records what the connection waits for; `false` when it is being closed, so that its
    /// request must not go on.
    pub(super) fn set_phase(&self, phase: Phase) -> bool {
        let change = |old: u8| (old != Phase::Closing as u8).then_some(phase as u8);
        let changed = self
            .phase
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, change);
        changed.is_ok()
    }

    pub(super) fn is_in(&self, phase: Phase) -> bool {
        self.phase.load(Ordering::Acquire) == phase as u8
    }

    pub(super) fn set_unread(&self, is_unread: bool) {
        self.is_unread.store(is_unread, Ordering::Relaxed);
    }

    /// Counts bytes of the current request.
    pub(super) fn add_request_len(&self, len: usize) {
        self.request_len.fetch_add(len, Ordering::Relaxed);
    }

    /// Whether nothing was read since the end of the last request.
    pub(super) fn is_between_requests(&self) -> bool {
        self.request_len.load(Ordering::Relaxed) == 0
    }

    /// Records the bytes that are reserved for heads.
    pub(super) fn set_head_len(&self, len: usize) {
        self.head_len.store(len, Ordering::Relaxed);
    }

    /// Bytes of the bound that come back when the connection is closed, as far as it knows them.
    fn held_len(&self) -> usize {
        let request_len = self.request_len.load(Ordering::Relaxed);
        let body_len = match request_len > CONNECTION_BODY_LEN {
            true => request_len,
            false => 0,
        };
        let unread_len = match self.is_unread.load(Ordering::Relaxed) {
            true => UNREAD_LEN,
            false => 0,
        };
        self.head_len.load(Ordering::Relaxed) + body_len + unread_len
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

    /// Whether the connection sends a request body that a backend server may have begun to read.
    fn is_uploading(&self, now: Time) -> bool {
        let len = self.request_len.load(Ordering::Relaxed);
        self.is_in(Phase::Body) && len > MAX_BUFFERED_LEN && self.still_for(now) < STALLED_AFTER
    }

    fn is_closing(&self) -> bool {
        self.is_in(Phase::Closing)
    }

    /// What the connection waits for, if that is its caller.
    fn awaited_of_caller(&self) -> Option<u8> {
        let phase = self.phase.load(Ordering::Acquire);
        let awaits = match phase {
            p if p == Phase::Closing as u8 => false,
            p if p == Phase::Answer as u8 => self.is_unread.load(Ordering::Relaxed),
            _ => true,
        };
        awaits.then_some(phase)
    }

    /// Makes the task of the connection end if it still waits for its caller: a request that has
    /// arrived meanwhile goes on.
    fn close_waiting(&self) -> bool {
        let Some(phase) = self.awaited_of_caller() else {
            return false;
        };
        let closing = Phase::Closing as u8;
        let closed =
            self.phase
                .compare_exchange(phase, closing, Ordering::AcqRel, Ordering::Acquire);
        if closed.is_ok() {
            self.closing.notify_one();
        }
        closed.is_ok()
    }

    /// Makes the task of the connection end.
    pub(super) fn close(&self) {
        self.phase.store(Phase::Closing as u8, Ordering::Release);
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
        let open = table.values().filter(|c| !c.is_closing());
        if table.len() >= self.limit && open.count() >= self.limit {
            self.evict(&table, now, |_| true, |evicted, _| evicted == 0);
            let open = table.values().filter(|c| !c.is_closing());
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

    /// Closes connections that wait for their callers and that `helps` accepts, in the order in
    /// which they have stood still, while `needs_more` of the number and the bytes of those that
    /// were closed.
    fn evict(
        &self,
        table: &SlotMap<ConnectionKey, Arc<OpenConnection>>,
        now: Time,
        helps: impl Fn(&OpenConnection) -> bool,
        needs_more: impl Fn(usize, usize) -> bool,
    ) {
        let waiting = table
            .values()
            .filter(|c| c.awaited_of_caller().is_some() && !c.is_uploading(now) && helps(c));
        let mut waiting: Vec<_> = waiting.map(|c| (c.still_for(now), c)).collect();
        waiting.sort_unstable_by_key(|(still, _)| std::cmp::Reverse(*still));
        let (mut count, mut len) = (0, 0);
        for (_, connection) in waiting {
            if !needs_more(count, len) {
                break;
            }
            if connection.close_waiting() {
                count += 1;
                len += connection.held_len();
            }
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
        let closing = table.values().filter(|c| c.is_closing());
        let closing = closing.map(|c| c.held_len());
        let missing = len.saturating_sub(closing.sum());
        if missing > 0 {
            // An idle connection holds nothing of the bound, so that its end helps nobody.
            let helps = |c: &OpenConnection| c.held_len() > 0;
            self.evict(&table, now, helps, |_, freed| freed < missing);
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
