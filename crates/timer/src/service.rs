//! The timer service, its background task and the subscriptions.

use crate::suspension::{Suspensions, SystemClocks};
use knapweed_world::{Time, UnixMillis};
use parking_lot::Mutex;
use slotmap::{SlotMap, new_key_type};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// Shortest suspension that counts: two clocks cannot be read at the same moment.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);

new_key_type! {
    struct SubscriptionKey;
}

/// State of one subscription, owned by the service.
#[derive(Debug)]
struct Entry {
    period: Duration,
    due: Instant,
    tick: watch::Sender<Time>,
}

/// State shared by the service, its task and the subscriptions.
#[derive(Debug)]
struct Shared {
    start: Instant,
    suspensions: Box<dyn Suspensions>,
    suspended_at_start: Duration,
    /// Time for which the host was suspended since the start, in microseconds.
    suspended_us: AtomicU64,
    wall_start: UnixMillis,
    entries: Mutex<SlotMap<SubscriptionKey, Entry>>,
    /// Notified when a new entry may be due before all others.
    changed: Notify,
}

/// The timer service of a process. Clones share one background task.
#[derive(Clone, Debug)]
pub struct TimerService {
    shared: Arc<Shared>,
}

/// Start of the service.
impl TimerService {
    /// Starts the service on the current runtime; its time starts at 0.
    pub fn start() -> Self {
        Self::start_with(Box::new(SystemClocks))
    }

    /// Starts the service on the current runtime, with this source of suspensions of the host.
    pub fn start_with(suspensions: Box<dyn Suspensions>) -> Self {
        let shared = Arc::new(Shared {
            start: Instant::now(),
            suspended_at_start: suspensions.total(),
            suspensions,
            suspended_us: AtomicU64::new(0),
            wall_start: system_wall_clock(),
            entries: Mutex::default(),
            changed: Notify::new(),
        });
        tokio::spawn(run(Arc::clone(&shared)));
        Self { shared }
    }
}

/// The monotonic and the wall-clock time.
impl TimerService {
    /// The time since the start of the service, with that for which the host was suspended.
    pub fn now(&self) -> Time {
        self.shared.time(Instant::now())
    }

    /// The wall clock at the start of the service plus the time since then.
    ///
    /// Later adjustments of the system clock have no effect on it, and so on no
    /// decision.
    pub fn wall_clock(&self) -> UnixMillis {
        let since_start = self.now().since(Time(0));
        self.shared.wall_start.after(since_start)
    }
}

/// Ticks and delays.
impl TimerService {
    /// Subscribes to one tick per `period`; the first one comes after one period.
    ///
    /// A subscriber that falls behind gets a single tick for all that it missed,
    /// with the time of the latest.
    pub fn subscribe(&self, period: Duration) -> Subscription {
        let (tick, rx) = watch::channel(self.now());
        let entry = Entry {
            period,
            due: Instant::now() + period,
            tick,
        };
        let key = self.shared.entries.lock().insert(entry);
        self.shared.changed.notify_one();
        Subscription {
            key,
            rx,
            shared: Arc::clone(&self.shared),
        }
    }

    /// Waits for the duration `wait`.
    pub async fn sleep(&self, wait: Duration) {
        tokio::time::sleep(wait).await;
    }
}

/// A subscription to ticks; dropping it cancels the subscription.
#[derive(Debug)]
pub struct Subscription {
    key: SubscriptionKey,
    rx: watch::Receiver<Time>,
    shared: Arc<Shared>,
}

impl Subscription {
    /// Waits for the next tick and returns its time.
    pub async fn tick(&mut self) -> Time {
        // The sender exists as long as this subscription is registered.
        let _ = self.rx.changed().await;
        *self.rx.borrow_and_update()
    }
}

impl Drop for Subscription {
    fn drop(&mut self) {
        self.shared.entries.lock().remove(self.key);
    }
}

impl Shared {
    fn time(&self, now: Instant) -> Time {
        let steady = now - self.start;
        Time((steady + self.suspended()).as_micros() as u64)
    }

    /// Time for which the host was suspended since the start of the service.
    fn suspended(&self) -> Duration {
        let counted_us = self.suspended_us.load(Ordering::Relaxed);
        let total = self.suspensions.total();
        let total = total.saturating_sub(self.suspended_at_start);
        if total < Duration::from_micros(counted_us) + MIN_SUSPENSION {
            return Duration::from_micros(counted_us);
        }
        let total_us = total.as_micros() as u64;
        let counted_us = self.suspended_us.fetch_max(total_us, Ordering::Relaxed);
        if counted_us < total_us {
            let length = Duration::from_micros(total_us - counted_us);
            log::warn!(target: "program", "the host was suspended for {length:.3?}");
        }
        Duration::from_micros(counted_us.max(total_us))
    }

    /// Sends all ticks that are due and returns the time of the next one.
    fn fire(&self, now: Instant) -> Option<Instant> {
        let mut entries = self.entries.lock();
        for entry in entries.values_mut().filter(|e| e.due <= now) {
            entry.tick.send_replace(self.time(now));
            entry.due = now + entry.period;
        }
        entries.values().map(|e| e.due).min()
    }
}

fn system_wall_clock() -> UnixMillis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    UnixMillis(since.unwrap_or_default().as_millis() as u64)
}

/// Sends ticks until the runtime shuts down.
async fn run(shared: Arc<Shared>) {
    loop {
        match shared.fire(Instant::now()) {
            Some(next) => {
                tokio::select! {
                    () = tokio::time::sleep_until(next) => {}
                    () = shared.changed.notified() => {}
                }
            }
            None => shared.changed.notified().await,
        }
    }
}
