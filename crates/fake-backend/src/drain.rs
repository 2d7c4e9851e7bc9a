//! Graceful shutdown.

use crate::backend::{Backend, Lifecycle};
use knapweed_observe::part;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Time without a new request after which no more are expected to arrive.
const QUIET_PERIOD: Duration = Duration::from_secs(1);
/// Time between two checks of the running requests.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Sets the state to draining, and waits until all requests have finished and no new ones arrive,
/// but at most for the drain time of the options.
///
/// Returns the number of requests that still ran or waited at the end.
pub async fn drain(backend: &Backend) -> usize {
    backend.set_state(Lifecycle::Draining);
    let start = Instant::now();
    let mut last_arrival = start;
    let mut arrived = backend.counters.arrived.load(Ordering::Relaxed);
    while start.elapsed() < backend.options.drain {
        tokio::time::sleep(POLL_INTERVAL).await;
        let now_arrived = backend.counters.arrived.load(Ordering::Relaxed);
        if now_arrived != arrived {
            arrived = now_arrived;
            last_arrival = Instant::now();
        }
        if backend.pending() == 0 && last_arrival.elapsed() >= QUIET_PERIOD {
            break;
        }
    }
    let left = backend.pending();
    log::info!(target: part::PROGRAM, "drained in {:?}, {left} requests left", start.elapsed());
    backend.set_state(Lifecycle::Gone);
    left
}
