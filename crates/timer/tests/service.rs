//! Ticks arrive at their period, and late subscribers do not get a burst of ticks.

use knapweed_timer::TimerService;
use std::fmt::Write;
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
