//! Ticks arrive at their period, and late subscribers do not get a burst of ticks.

use knapweed_timer::{Suspensions, SystemClocks, TimerService};
use std::fmt::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

#[tokio::test(start_paused = true)]
async fn subscribers_get_ticks_of_their_own_period() {
    let timer = TimerService::start();
    let mut fast = timer.subscribe(Duration::from_millis(100));
    let mut slow = timer.subscribe(Duration::from_millis(250));
    let mut log = String::new();
    for _ in 0..7 {
        tokio::select! {
            biased;
            time = fast.tick() => writeln!(log, "fast {}", time.0 / 1_000).expect("a string"),
            time = slow.tick() => writeln!(log, "slow {}", time.0 / 1_000).expect("a string"),
        }
    }
    insta::assert_snapshot!(log);
}

/// Guards against a burst of ticks after a pause of the subscriber.
#[tokio::test(start_paused = true)]
async fn a_late_subscriber_gets_one_tick_for_all_it_missed() {
    let timer = TimerService::start();
    let mut ticks = timer.subscribe(Duration::from_millis(100));
    tokio::time::sleep(Duration::from_millis(1_050)).await;
    let first = ticks.tick().await;
    let second = ticks.tick().await;
    assert!(
        first.0 / 1_000 >= 1_000,
        "the first tick carries the latest time"
    );
    assert!(second > first);
}

/// Suspensions of this length in milliseconds so far.
#[derive(Clone, Debug, Default)]
struct Suspended(Arc<AtomicU64>);

impl Suspensions for Suspended {
    fn total(&self) -> Duration {
        Duration::from_millis(self.0.load(Ordering::Relaxed))
    }
}

/// Guards against a node that takes what it knows for recent after its host was suspended, since
/// the steady clock stood still meanwhile (issue 35).
#[tokio::test(start_paused = true)]
async fn the_length_of_a_suspension_counts() {
    let suspended = Suspended::default();
    suspended.0.store(60_000, Ordering::Relaxed);
    let timer = TimerService::start_with(Box::new(suspended.clone()));
    let mut ticks = timer.subscribe(Duration::from_millis(100));
    let mut log = String::new();
    for total_ms in [60_000, 60_010, 65_000, 65_000, 64_999, 67_000] {
        suspended.0.store(total_ms, Ordering::Relaxed);
        let now = timer.now().0 / 1_000;
        let tick = ticks.tick().await.0 / 1_000;
        writeln!(log, "{total_ms} ms in all: now {now}, tick {tick}").expect("a string");
    }
    insta::assert_snapshot!(log);
}

/// Guards against a time that jumps although the host was not suspended.
#[test]
fn the_clocks_of_the_system_agree_without_a_suspension() {
    // Each reading may be less than the length, since the clocks are read one after the other.
    let read = || (0..20).map(|_| SystemClocks.total()).max();
    let before = read().unwrap_or_default();
    std::thread::sleep(Duration::from_millis(100));
    let after = read().unwrap_or_default();
    assert!(after.abs_diff(before) < Duration::from_millis(50));
}
