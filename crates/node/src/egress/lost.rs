//! Requests of one backend server that ended without an answer.
//!
//! Whether its process crashed is often known only later: when connections are refused,
//! or when another process announces itself at its address.

use bytes::Bytes;
use knapweed_host::crash::{CrashId, CrashSubjects};
use knapweed_world::Time;
use parking_lot::Mutex;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

/// Maximum number of requests kept for one backend server; the oldest are dropped first.
const MAX_REQUESTS: usize = 64;

/// Time after which a lost request is no longer attributed to the end of the process.
const MAX_AGE: Duration = Duration::from_secs(10);

/// A request that was sent and not answered.
#[derive(Clone, Debug)]
pub(super) struct LostRequest {
    pub(super) subjects: CrashSubjects,
    pub(super) crash: CrashId,
    /// The caller's identifier of the request, for the log.
    pub(super) caller_id: Option<Bytes>,
    pub(super) lost_at: Time,
    /// When a request that was sent after the loss was answered first; a process that
    /// started later may have answered it.
    pub(super) answered_at: Option<Time>,
    /// Set when the process turns out to have crashed while it ran the request.
    pub(super) crashed: Arc<AtomicBool>,
}

/// The lost requests of one process.
#[derive(Debug, Default)]
pub(super) struct LostRequests {
    requests: Mutex<VecDeque<LostRequest>>,
    /// Number of requests, so that an answer takes no lock while there are none.
    len: AtomicUsize,
}

impl LostRequests {
    pub(super) fn add(&self, request: LostRequest) {
        let mut requests = self.requests.lock();
        if requests.len() >= MAX_REQUESTS {
            requests.pop_front();
        }
        requests.push_back(request);
        self.len.store(requests.len(), Ordering::Relaxed);
    }

    /// A request that was sent at `started` was answered at `now`. The process that lost
    /// others before has not crashed, unless another one has started since.
    pub(super) fn answered(&self, started: Time, now: Time) {
        if self.len.load(Ordering::Relaxed) == 0 {
            return;
        }
        let mut requests = self.requests.lock();
        requests.retain(|r| now.since(r.lost_at) <= MAX_AGE);
        for request in requests.iter_mut().filter(|r| r.lost_at <= started) {
            request.answered_at.get_or_insert(now);
        }
        self.len.store(requests.len(), Ordering::Relaxed);
    }

    /// Takes the requests that may have been running when the process ended.
    /// `next_started` is the start of the next process, if there is one.
    ///
    /// One that was sent to the ended process cannot be told from the one that crashed it:
    /// both are closed at once. Sparing the later one could spare the guilty one after a
    /// connection that was reset for another reason.
    pub(super) fn process_ended(&self, next_started: Option<Time>, now: Time) -> Vec<LostRequest> {
        let requests = std::mem::take(&mut *self.requests.lock());
        self.len.store(0, Ordering::Relaxed);
        let may_have_run =
            |r: &LostRequest| now.since(r.lost_at) <= MAX_AGE && !r.was_survived(next_started);
        requests.into_iter().filter(may_have_run).collect()
    }
}

impl LostRequest {
    /// Whether the process that lost the request answered another one after that.
    fn was_survived(&self, next_started: Option<Time>) -> bool {
        let answered_at = self.answered_at;
        answered_at.is_some_and(|at| next_started.is_none_or(|next| at < next))
    }
}
