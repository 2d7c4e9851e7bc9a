//! The pacer of a host's link.

use knapweed_link::pacer::{Backlog, LinkRate, Pacer};
use knapweed_world::Time;
use proptest::prelude::*;
use std::time::Duration;

const PACKET: u64 = 1_200;

/// Sends packets whenever the pacer allows, for `length`; returns the number of bytes sent
/// and the number of attempts.
fn send_for(pacer: &Pacer, length: Duration) -> (u64, u64) {
    let (mut now, end) = (Time(1_000_000), Time(1_000_000).after(length));
    let (mut sent, mut attempts) = (0, 0);
    while now < end {
        attempts += 1;
        match pacer.try_send(PACKET, now) {
            Ok(()) => sent += PACKET,
            Err(wait) => now = now.after(wait),
        }
    }
    (sent, attempts)
}

/// Guards against a narrow link that its own host overflows, against a pacer that leaves a
/// link idle, and against one wake-up for each packet.
#[test]
fn a_busy_link_is_filled_and_not_overfilled() {
    let rows = [1.0, 10.0, 200.0, 1_000.0].map(|mbps| {
        let rate = LinkRate::from_mbps(mbps).expect("a rate");
        let (sent, attempts) = send_for(&Pacer::new(rate), Duration::from_secs(2));
        let percent = sent * 100 / (rate.bytes_per_s() * 2);
        let waits = attempts - sent / PACKET;
        format!("{mbps:>5} Mbit/s: {percent}% used, {waits} waits")
    });
    insta::assert_snapshot!(rows.join("\n"));
}

#[test]
fn only_positive_rates_are_usable() {
    for mbps in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        assert_eq!(LinkRate::from_mbps(mbps), None, "{mbps}");
    }
}

proptest! {
    /// Guards against a packet that is never sent, because no wait suffices for it.
    #[test]
    fn a_packet_is_sent_after_one_wait(mbps in 0.1..2_000.0, bytes in 1..1_500u64) {
        let pacer = Pacer::new(LinkRate::from_mbps(mbps).expect("a rate"));
        let mut now = Time(5_000_000);
        let wait = loop {
            if let Err(wait) = pacer.try_send(bytes, now) {
                break wait;
            }
        };
        now = now.after(wait);
        prop_assert_eq!(pacer.try_send(bytes, now), Ok(()));
    }
}

/// Guards against a backlog that grows while the link keeps up, or is forgotten while it
/// does not.
#[test]
fn a_backlog_is_what_the_link_has_not_sent() {
    let backlog = Backlog::new(LinkRate::from_mbps(10.0).expect("a rate"));
    let rows = [
        (0, 90_000),
        (10, 90_000),
        (50, 90_000),
        (1_000, 0),
        (1_001, 540_000),
    ];
    let rows = rows.map(|(ms, bytes)| {
        let now = Time::from_millis(ms);
        backlog.add(bytes, now);
        let wait = backlog.wait(now).as_millis();
        format!("at {ms} ms, {bytes} bytes more: {wait} ms")
    });
    insta::assert_snapshot!(rows.join("\n"));
}
