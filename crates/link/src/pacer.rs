//! Pacing of everything that a host sends to other hosts on its own link.
//!
//! A host has one link and a connection to each of many hosts. The congestion control of
//! a connection knows nothing of the others, and its round trips within an availability
//! zone are so short that it sends whole responses at once. On a link of 10 Mbit/s a few
//! large responses then overflow the queue of the link, and all connections of the host
//! lose packets for hundreds of milliseconds. A common pacer keeps that queue empty.

use knapweed_world::Time;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Burst after an idle period, as time at the paced rate.
const BURST: Duration = Duration::from_millis(10);
/// Minimum burst, in bytes: a flight of the size that a new connection may send.
const MIN_BURST_BYTES: u64 = 16 * 1024;
/// Shortest wait of a sender that must wait. Many senders that wake for one packet each
/// would cost more processor time than the packets.
const MIN_WAIT: Duration = Duration::from_millis(4);
/// Share of the rate of a link that is used, in percent; the rest is for traffic that
/// does not pass the pacer, such as responses to callers.
const USED_PERCENT: u64 = 85;

const MICROS_PER_SECOND: u64 = 1_000_000;
const NANOS_PER_SECOND: u64 = 1_000_000_000;
const NANOS_PER_MICRO: u64 = 1_000;
const BITS_PER_BYTE: f64 = 8.0;

/// Rate of the link of a host.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LinkRate {
    bytes_per_s: u64,
}

impl LinkRate {
    /// A rate in megabits per second; `None` unless it is positive and finite.
    pub fn from_mbps(mbps: f64) -> Option<Self> {
        let bytes_per_s = mbps * 1e6 / BITS_PER_BYTE;
        let is_usable = bytes_per_s.is_finite() && bytes_per_s >= 1.0;
        is_usable.then_some(Self {
            bytes_per_s: bytes_per_s as u64,
        })
    }

    /// The rate in bytes per second.
    pub fn bytes_per_s(self) -> u64 {
        self.bytes_per_s
    }
}

/// Paces the packets of all connections of a host to the rate of its link.
///
/// The whole state is one atomic timestamp, so that threads share it without a lock.
#[derive(Debug)]
pub struct Pacer {
    bytes_per_s: u64,
    burst: Duration,
    /// Time in nanoseconds up to which the bytes sent so far occupy the link. In
    /// microseconds, a short packet would take no time on a fast link.
    busy_until: AtomicU64,
}

impl Pacer {
    /// A pacer for a link of rate `rate` that has been idle.
    pub fn new(rate: LinkRate) -> Self {
        let bytes_per_s = paced_rate(rate);
        let min_burst = Duration::from_micros(MIN_BURST_BYTES * MICROS_PER_SECOND / bytes_per_s);
        Self {
            bytes_per_s,
            burst: BURST.max(min_burst),
            busy_until: AtomicU64::new(0),
        }
    }

    /// Takes a packet of `bytes` at `now`.
    ///
    /// # Errors
    ///
    /// The link is busy; nothing was taken. The value is the time to wait before the
    /// next attempt.
    pub fn try_send(&self, bytes: u64, now: Time) -> Result<(), Duration> {
        let occupy = |busy_until: u64| {
            let next = self.busy_after(busy_until, bytes, now);
            (next <= nanos(now)).then_some(next)
        };
        self.busy_until
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, occupy)
            .map(|_| ())
            .map_err(|busy_until| self.wait(busy_until, bytes, now))
    }

    /// Whether a packet of `bytes` may be sent at `now`; takes nothing.
    ///
    /// # Errors
    ///
    /// The link is busy. The value is the time to wait before the next attempt.
    pub fn check(&self, bytes: u64, now: Time) -> Result<(), Duration> {
        let busy_until = self.busy_until.load(Ordering::Relaxed);
        match self.busy_after(busy_until, bytes, now) <= nanos(now) {
            true => Ok(()),
            false => Err(self.wait(busy_until, bytes, now)),
        }
    }

    /// Until when the link is busy once it has taken a packet of `bytes`.
    fn busy_after(&self, busy_until: u64, bytes: u64, now: Time) -> u64 {
        let idle = nanos(now).saturating_sub(self.burst.as_nanos() as u64);
        let cost = bytes.saturating_mul(NANOS_PER_SECOND) / self.bytes_per_s;
        busy_until.max(idle).saturating_add(cost)
    }

    fn wait(&self, busy_until: u64, bytes: u64, now: Time) -> Duration {
        let free_at = self.busy_after(busy_until, bytes, now);
        let wait = free_at.saturating_sub(nanos(now));
        // Times are in whole microseconds: a fraction would be cut off, and the sender be
        // early.
        Duration::from_micros(wait.div_ceil(NANOS_PER_MICRO)).max(MIN_WAIT)
    }
}

/// What a host has handed to its link and the link has not yet sent, as a fluid model: the
/// link sends at its paced rate while anything waits.
#[derive(Debug)]
pub struct Backlog {
    bytes_per_s: u64,
    /// Time in microseconds at which everything handed over so far is sent.
    sent_at: AtomicU64,
}

impl Backlog {
    /// The empty backlog of a link of rate `rate`.
    pub fn new(rate: LinkRate) -> Self {
        Self {
            bytes_per_s: paced_rate(rate),
            sent_at: AtomicU64::new(0),
        }
    }

    /// Adds `bytes` that are handed to the link at `now`.
    pub fn add(&self, bytes: usize, now: Time) {
        let cost = (bytes as u64).saturating_mul(MICROS_PER_SECOND) / self.bytes_per_s;
        let add = |sent_at: u64| Some(sent_at.max(now.0).saturating_add(cost));
        let _ = self
            .sent_at
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Time until something handed over at `now` is sent.
    pub fn wait(&self, now: Time) -> Duration {
        Time(self.sent_at.load(Ordering::Relaxed)).since(now)
    }
}

fn nanos(time: Time) -> u64 {
    time.0.saturating_mul(NANOS_PER_SECOND / MICROS_PER_SECOND)
}

/// The part of the rate of a link that is used, in bytes per second.
fn paced_rate(rate: LinkRate) -> u64 {
    (rate.bytes_per_s * USED_PERCENT / 100).max(1)
}
