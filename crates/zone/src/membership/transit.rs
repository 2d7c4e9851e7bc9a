//! How long messages were on their way to this node.
//!
//! A link that was cut delivers what its sender has kept meanwhile, and a host that was busy
//! finds messages of that time in its queues. Each message has the steady time of its sender.
//! An ack arrives at most a round trip after it was sent, which bounds the offset between the
//! clocks of both nodes from below, and with it the age of every later message of that process.

use super::probe::ACK_TIMEOUT;
use crate::directory::MemberKey;
use crate::message::{Body, Message, PingSequence, SEND_TIME_RANGE_MS, SendTime};
use crate::record::Incarnation;
use knapweed_world::Time;
use slotmap::SecondaryMap;
use std::time::Duration;

/// Greatest rate at which the steady clocks of two hosts drift apart, in parts per million.
/// The clock discipline of NTP changes the rate of each by at most 500.
const MAX_DRIFT_PPM: u128 = 1_000;
/// Time for which an offset holds, much less than half of [`SEND_TIME_RANGE_MS`].
const OFFSET_TTL: Duration = Duration::from_secs(600);

/// A ping whose ack measures the offset of its sender.
#[derive(Clone, Copy, Debug)]
struct SentPing {
    sequence: PingSequence,
    sent_at: Time,
}

/// Lower bound of the time of this node minus the time of another process.
#[derive(Clone, Copy, Debug)]
struct Offset {
    incarnation: Incarnation,
    /// The bound at the time `at`, in milliseconds modulo [`SEND_TIME_RANGE_MS`].
    lowest_ms: u32,
    at: Time,
}

impl Offset {
    /// The bound at `now`, when the clocks may have drifted since it was measured.
    fn lowest_ms_at(&self, now: Time) -> u32 {
        let drift_us = now.since(self.at).as_micros() * MAX_DRIFT_PPM / 1_000_000;
        let drift_ms = drift_us.div_ceil(1_000) as u32;
        self.lowest_ms.wrapping_sub(drift_ms)
    }

    /// Age of a message whose arrival is `difference_ms` after its sending, on different clocks;
    /// `None` when the bound cannot hold, since one of the clocks stood still.
    fn age(&self, now: Time, difference_ms: u32) -> Option<Duration> {
        // Both times of the difference are rounded down to milliseconds.
        let age_ms = difference_ms
            .wrapping_sub(self.lowest_ms_at(now))
            .wrapping_add(1);
        let age_ms = age_ms % SEND_TIME_RANGE_MS;
        (age_ms < SEND_TIME_RANGE_MS / 2).then_some(Duration::from_millis(age_ms.into()))
    }

    fn holds(&self, now: Time, incarnation: Incarnation, difference_ms: u32) -> bool {
        self.incarnation == incarnation
            && now.since(self.at) < OFFSET_TTL
            && self.age(now, difference_ms).is_some()
    }
}

/// The offsets between the clocks of this node and of other members.
#[derive(Debug, Default)]
pub(super) struct Transit {
    pings: SecondaryMap<MemberKey, SentPing>,
    offsets: SecondaryMap<MemberKey, Offset>,
}

impl Transit {
    /// Records that a ping was sent to a member.
    pub(super) fn ping_sent(&mut self, now: Time, member: MemberKey, sequence: PingSequence) {
        let sent_at = now;
        self.pings.insert(member, SentPing { sequence, sent_at });
    }

    /// Whether a ping may be sent to a member only to measure its offset.
    pub(super) fn may_measure(&self, now: Time, member: MemberKey) -> bool {
        let last = self.pings.get(member);
        last.is_none_or(|ping| now.since(ping.sent_at) >= ACK_TIMEOUT)
    }

    /// Returns the earliest time at which a message of a member can have been sent; `None`
    /// while no ack of its process has bounded that.
    pub(super) fn received(
        &mut self,
        now: Time,
        member: MemberKey,
        message: &Message,
    ) -> Option<Time> {
        let incarnation = message.sender.incarnation;
        let difference_ms = SendTime::at(now).since_ms(message.sender.sent_at);
        let known = self.offsets.get(member).copied();
        let known = known.filter(|o| o.holds(now, incarnation, difference_ms));
        let measured = self.round_trip(now, member, message).map(|round_trip| {
            let round_trip_ms = round_trip.as_micros().div_ceil(1_000) as u32;
            Offset {
                incarnation,
                lowest_ms: difference_ms.wrapping_sub(round_trip_ms + 1),
                at: now,
            }
        });
        let age = |offset: &Offset| offset.age(now, difference_ms);
        let candidates = [known, measured].into_iter().flatten();
        let best = candidates.min_by_key(|offset| age(offset).unwrap_or(Duration::MAX));
        let Some(best) = best else {
            self.offsets.remove(member);
            return None;
        };
        self.offsets.insert(member, best);
        age(&best).map(|age| now.before(age))
    }

    /// Drops what is known about members for which `is_present` does not hold.
    pub(super) fn retain(&mut self, is_present: impl Fn(MemberKey) -> bool) {
        self.pings.retain(|member, _| is_present(member));
        self.offsets.retain(|member, _| is_present(member));
    }

    /// Time since the ping that a message answers; `None` when it is no ack of the last one.
    fn round_trip(&self, now: Time, member: MemberKey, message: &Message) -> Option<Duration> {
        let Body::Ack(ack) = message.body else {
            return None;
        };
        let ping = self.pings.get(member);
        let ping = ping.filter(|ping| ping.sequence == ack.sequence)?;
        let round_trip = now.since(ping.sent_at);
        (round_trip < OFFSET_TTL).then_some(round_trip)
    }
}
