//! Shared state of a backend server: options, lifecycle, counters and the parts that requests use.

use crate::connections::{Connections, Counts};
use crate::faults::{FaultInjector, Faults};
use crate::ledger::Ledger;
use crate::settings::Options;
use crate::slots::Slots;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::watch;

/// Factor by which the run time of a request grows during the cold start.
const COLD_START_FACTOR: u32 = 4;

/// Lifecycle state, which the server announces to its node.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Lifecycle {
    /// The server has started and runs requests more slowly than usual.
    Warming,
    /// The server runs requests at its normal speed.
    Ready,
    /// The server is shutting down and finishes the requests that it has received.
    Draining,
    /// The server is about to exit and must get no more requests.
    Gone,
}

/// Response body of `GET /stats`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stats {
    /// Current lifecycle state.
    pub state: Lifecycle,
    /// Requests that hold a slot now.
    pub running: usize,
    /// Highest number of requests that held a slot at the same time.
    pub peak_running: u64,
    /// Requests that wait for a slot now.
    pub queued: usize,
    /// Requests that got a slot so far.
    pub started: u64,
    /// Requests that an injected fault failed.
    pub failed: u64,
    /// Requests that were shed: the queue was full, or their deadline passed in it.
    pub shed: u64,
    /// Requests whose connection closed while they ran or waited.
    pub cancelled: u64,
    /// Requests to `/health`.
    pub probes: u64,
    /// Connections by state.
    pub connections: Counts,
}

/// Counters that concurrent requests update.
#[derive(Default)]
pub(crate) struct Counters {
    pub(crate) arrived: AtomicU64,
    pub(crate) started: AtomicU64,
    pub(crate) peak_running: AtomicU64,
    pub(crate) failed: AtomicU64,
    pub(crate) shed: AtomicU64,
    pub(crate) cancelled: AtomicU64,
    pub(crate) probes: AtomicU64,
}

/// Increments a counter.
pub(crate) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Sleeps for `time`. A time of zero returns at once instead of at the next tick of the timer,
/// which has a resolution of 1 ms.
pub(crate) async fn pause(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}

/// A backend server, shared by its connections and requests.
pub struct Backend {
    pub(crate) options: Options,
    pub(crate) slots: Slots,
    pub(crate) ledger: Ledger,
    pub(crate) fault_injector: Mutex<FaultInjector>,
    pub(crate) connections: Arc<Connections>,
    pub(crate) counters: Counters,
    state: watch::Sender<Lifecycle>,
}

/// Construction and state.
impl Backend {
    /// Creates a server that is warming, or ready if its cold start takes no time.
    pub fn new(options: Options) -> Arc<Self> {
        let state = match options.cold_start.is_zero() {
            true => Lifecycle::Ready,
            false => Lifecycle::Warming,
        };
        let connections = Connections::new(options.max_connections, options.connection_cost);
        Arc::new(Self {
            slots: Slots::new(options.slots, options.queue),
            ledger: Ledger::default(),
            fault_injector: Mutex::new(FaultInjector::new(options.listen.port().into())),
            connections: Arc::new(connections),
            counters: Counters::default(),
            state: watch::Sender::new(state),
            options,
        })
    }

    /// Options with which the server was created.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Subscribes to the lifecycle state.
    pub fn state(&self) -> watch::Receiver<Lifecycle> {
        self.state.subscribe()
    }

    /// Waits for the end of the cold start and then becomes ready, unless it is shutting down.
    pub async fn warm_up(&self) {
        tokio::time::sleep(self.options.cold_start).await;
        self.state.send_if_modified(|state| {
            let warming = *state == Lifecycle::Warming;
            if warming {
                *state = Lifecycle::Ready;
            }
            warming
        });
    }

    /// Sets the lifecycle state and notifies all subscribers.
    pub fn set_state(&self, state: Lifecycle) {
        self.state.send_replace(state);
    }
}

/// Run times, faults and counters.
impl Backend {
    /// Time that a request runs in the current state. `asked` is the time from the request's own
    /// header, if it has one.
    pub(crate) fn work(&self, asked: Option<Duration>) -> Duration {
        let work = asked.unwrap_or(self.options.work);
        match *self.state.borrow() {
            Lifecycle::Warming => work * COLD_START_FACTOR,
            _ => work,
        }
    }

    /// Faults that are injected now.
    pub fn faults(&self) -> Faults {
        self.fault_injector.lock().faults().clone()
    }

    /// Records of the requests that ran.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Number of requests that run or wait for a slot.
    pub(crate) fn pending(&self) -> usize {
        self.slots.running() + self.slots.queued()
    }

    /// Snapshot of all counters. They are read one by one, so they may be of slightly different times.
    pub fn stats(&self) -> Stats {
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Stats {
            state: *self.state.borrow(),
            running: self.slots.running(),
            peak_running: get(&self.counters.peak_running),
            queued: self.slots.queued(),
            started: get(&self.counters.started),
            failed: get(&self.counters.failed),
            shed: get(&self.counters.shed),
            cancelled: get(&self.counters.cancelled),
            probes: get(&self.counters.probes),
            connections: self.connections.counts(),
        }
    }
}
