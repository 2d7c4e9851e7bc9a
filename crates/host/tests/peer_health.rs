//! Silent connections are detected and retired together with those of the same age.

use knapweed_host::peer_health::{Action, PeerConnectionKey, PeerHealth};
use knapweed_world::Time;
use std::fmt::Write;

fn ms(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Guards against silent connections that are detected only one by one, each by the
/// requests that wait on it (requirement F8).
///
/// Two old connections go silent, one of them with a request; a new one works.
#[test]
fn a_silent_connection_takes_its_age_group_with_it() {
    let mut health = PeerHealth::default();
    let first = health.opened(ms(0));
    let second = health.opened(ms(10));
    health.received(first, ms(20));
    health.received(second, ms(30));
    let mut out = String::new();
    let mut fresh = None;
    health.sent(second, ms(1_000));
    for at in (1_000..2_000).step_by(20) {
        for action in health.tick(ms(at)) {
            writeln!(out, "{at} ms {action:?}").expect("a string");
            if action == Action::Open {
                fresh = Some((at + 40, health.opened(ms(at + 10))));
            }
        }
        if let Some((answers_at, key)) = fresh.filter(|(t, _)| *t == at) {
            for action in health.received(key, ms(answers_at)) {
                writeln!(out, "{at} ms after bytes on the fresh one: {action:?}")
                    .expect("a string");
            }
        }
    }
    insta::assert_snapshot!(out);
    assert_eq!(health.best(), fresh.map(|(_, key)| key));
}

/// Guards against a connection that is retired although its peer is only slow.
#[test]
fn a_received_byte_ends_the_probe() {
    let mut health = PeerHealth::default();
    let key = health.opened(ms(0));
    health.sent(key, ms(0));
    assert!(health.tick(ms(99)).is_empty());
    assert!(health.tick(ms(100)).contains(&Action::Probe(key)));
    // Without the reply to the ping it would be retired at 400 ms.
    health.received(key, ms(390));
    assert!(!health.tick(ms(400)).contains(&Action::Retire(key)));
    assert!(health.tick(ms(490)).contains(&Action::Probe(key)));
    assert!(health.tick(ms(790)).contains(&Action::Retire(key)));
}

/// Guards against an idle connection that is mistaken for a silent one.
#[test]
fn an_idle_connection_is_left_alone() {
    let mut health = PeerHealth::default();
    let key = health.opened(ms(0));
    for at in (0..10_000).step_by(20) {
        assert!(health.tick(ms(at)).is_empty());
    }
    health.sent(key, ms(10_000));
    assert!(health.tick(ms(10_099)).is_empty());
    health.ended(key);
    assert!(health.tick(ms(10_500)).is_empty());
}

/// Guards against an unbounded rate of new connections to an unreachable host.
#[test]
fn fresh_connections_are_opened_at_a_bounded_rate() {
    let mut health = PeerHealth::default();
    let mut opened = Vec::new();
    let mut current: Option<PeerConnectionKey> = Some(health.opened(ms(0)));
    for at in (0..10_000).step_by(20) {
        if let Some(key) = current {
            health.sent(key, ms(at));
        }
        for action in health.tick(ms(at)) {
            if action == Action::Open {
                opened.push(at);
                current = Some(health.opened(ms(at)));
            }
        }
    }
    assert!(opened.len() >= 5, "{opened:?}");
    assert!(opened.windows(2).all(|w| w[1] - w[0] >= 200), "{opened:?}");
}
