//! Graceful stop.

use crate::backend::{Backend, Lifecycle};
use knapweed_observe::part;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Time without a new request after which no more are expected.
const QUIET: Duration = Duration::from_secs(1);
/// Time between two looks at the running requests.
const STEP: Duration = Duration::from_millis(20);

/// Announces that the server is leaving and waits until its requests are
/// finished and no new ones arrive, at most the drain time of its options.
///
/// Returns the number of requests that were still running.
pub async fn drain(backend: &Backend) -> usize {
    backend.set_state(Lifecycle::Draining);
    let start = Instant::now();
    let mut last_arrival = start;
    let mut arrived = backend.counters.arrived.load(Ordering::Relaxed);
    while start.elapsed() < backend.options.drain {
        tokio::time::sleep(STEP).await;
        let now_arrived = backend.counters.arrived.load(Ordering::Relaxed);
        if now_arrived != arrived {
            arrived = now_arrived;
            last_arrival = Instant::now();
        }
        if backend.pending() == 0 && last_arrival.elapsed() >= QUIET {
            break;
        }
    }
    let left = backend.pending();
    log::info!(target: part::PROGRAM, "drained in {:?}, {left} requests left", start.elapsed());
    backend.set_state(Lifecycle::Gone);
    left
}
