//! Backoff of handshakes with a peer that cannot be reached, in virtual time.

use knapweed_transport::dial::{DIAL_DELAY, DialBackoff, MAX_DIAL_DELAY};
use std::time::{Duration, Instant};

/// Longest wait after each of the first eight failures.
fn longest_waits() -> Vec<Duration> {
    let mut now = Instant::now();
    let backoff = DialBackoff::new(now);
    let mut waits = Vec::new();
    for _ in 0..8 {
        backoff.failed(now, 1.0);
        let failed_at = now;
        while backoff.is_held_back(now) {
            now += Duration::from_millis(1);
        }
        waits.push(now - failed_at);
    }
    waits
}

/// Guards against a backoff that does not grow, or that keeps a peer unreachable for long after
/// it is back.
#[test]
fn the_wait_doubles_up_to_its_limit() {
    let ms = |ms| Duration::from_millis(ms);
    let expected = [50, 100, 200, 400, 500, 500, 500, 500].map(ms);
    assert_eq!(longest_waits(), expected);
    assert_eq!((DIAL_DELAY, MAX_DIAL_DELAY), (ms(50), ms(500)));
}

/// Guards against a backoff that goes on after the peer has opened a connection.
#[test]
fn an_open_connection_ends_the_backoff() {
    let now = Instant::now();
    let backoff = DialBackoff::new(now);
    assert!(!backoff.is_held_back(now));
    backoff.failed(now, 0.5);
    assert!(backoff.is_held_back(now));
    assert!(!backoff.is_held_back(now + DIAL_DELAY / 2));
    assert_eq!(backoff.failures(), 1);
    backoff.opened();
    assert!(!backoff.is_held_back(now));
    assert_eq!(backoff.failures(), 0);
}
