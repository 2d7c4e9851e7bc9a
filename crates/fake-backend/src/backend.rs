//! The state of a backend server.

use crate::connections::{Connections, Counts};
use crate::faults::{Faults, Switches};
use crate::ledger::Ledger;
use crate::settings::Options;
use crate::slots::Slots;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::watch;

/// A request during the cold start runs this many times as long.
const COLD_FACTOR: u32 = 4;

/// State that the server announces.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Lifecycle {
    /// It has started and is slow.
    Warming,
    /// It serves.
    Ready,
    /// It is leaving and finishes what it has.
    Draining,
    /// It is about to exit.
    Gone,
}

/// Document of `GET /stats`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stats {
    /// State.
    pub state: Lifecycle,
    /// Requests that run.
    pub running: usize,
    /// Most requests that ran at a time.
    pub peak_running: u64,
    /// Requests in the queue.
    pub queued: usize,
    /// Requests that started to run.
    pub started: u64,
    /// Requests that a switched fault failed.
    pub failed: u64,
    /// Requests that were shed.
    pub shed: u64,
    /// Requests whose caller went away while they ran or waited.
    pub cancelled: u64,
    /// Probes of `/health`.
    pub probes: u64,
    /// Connections.
    pub connections: Counts,
}

/// Counters that requests update.
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

/// Adds one to a counter.
pub(crate) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Sleeps; a time of zero does not wait for the next tick of the timer (1 ms).
pub(crate) async fn pause(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}

/// A backend server.
pub struct Backend {
    pub(crate) options: Options,
    pub(crate) slots: Slots,
    pub(crate) ledger: Ledger,
    pub(crate) switches: Mutex<Switches>,
    pub(crate) connections: Arc<Connections>,
    pub(crate) counters: Counters,
    state: watch::Sender<Lifecycle>,
}

/// Construction and state.
impl Backend {
    /// A server that is warming, or ready when it has no cold start.
    pub fn new(options: Options) -> Arc<Self> {
        let state = match options.cold_start.is_zero() {
            true => Lifecycle::Ready,
            false => Lifecycle::Warming,
        };
        let connections = Connections::new(options.max_connections, options.connection_cost);
        Arc::new(Self {
            slots: Slots::new(options.slots, options.queue),
            ledger: Ledger::default(),
            switches: Mutex::new(Switches::new(options.listen.port().into())),
            connections: Arc::new(connections),
            counters: Counters::default(),
            state: watch::Sender::new(state),
            options,
        })
    }

    /// The options.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// The state now and its changes.
    pub fn state(&self) -> watch::Receiver<Lifecycle> {
        self.state.subscribe()
    }

    /// Waits for the end of the cold start, and is ready unless it is leaving.
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

    /// Sets the state.
    pub fn set_state(&self, state: Lifecycle) {
        self.state.send_replace(state);
    }
}

/// Work, faults and counters.
impl Backend {
    /// Time that a request runs now, `asked` when the request asks for a time.
    pub(crate) fn work(&self, asked: Option<Duration>) -> Duration {
        let work = asked.unwrap_or(self.options.work);
        match *self.state.borrow() {
            Lifecycle::Warming => work * COLD_FACTOR,
            _ => work,
        }
    }

    /// The faults in force.
    pub fn faults(&self) -> Faults {
        self.switches.lock().faults().clone()
    }

    /// The requests that ran.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Requests that run or wait.
    pub(crate) fn pending(&self) -> usize {
        self.slots.running() + self.slots.queued()
    }

    /// The counters.
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
