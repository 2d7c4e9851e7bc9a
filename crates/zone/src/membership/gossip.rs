//! The queue of records to be piggybacked on messages.

use crate::directory::{Directory, MemberKey};
use crate::message::Room;
use crate::record::MemberRecord;
use std::cmp::Reverse;

/// Times that each record is sent: this factor times log2 of the member count.
pub const RETRANSMIT_FACTOR: f64 = 3.0;

/// A record that other members may not know yet.
#[derive(Clone, Copy, Debug)]
struct Rumor {
    member: MemberKey,
    sent: u32,
    /// Whether it was sent to all neighbours.
    pushed: bool,
    /// Higher for a newer rumor.
    order: u64,
}

/// Records to send.
#[derive(Debug, Default)]
pub(crate) struct Gossip {
    rumors: Vec<Rumor>,
    last_order: u64,
}

/// Mutation.
impl Gossip {
    /// Starts to send the record of `member`, again when it is already queued.
    pub(crate) fn add(&mut self, member: MemberKey) {
        self.last_order += 1;
        self.rumors.retain(|r| r.member != member);
        self.rumors.push(Rumor {
            member,
            sent: 0,
            pushed: false,
            order: self.last_order,
        });
    }

    /// Records for one message within `room`: the least sent first, of these
    /// the newest first.
    ///
    /// The newest alone would keep older ones back after a restart of many members.
    pub(crate) fn take(
        &mut self,
        directory: &Directory,
        room: &mut Room,
        limit: u32,
    ) -> Vec<MemberRecord> {
        let mut records = Vec::new();
        self.rumors.sort_by_key(|r| (r.sent, Reverse(r.order)));
        for rumor in &mut self.rumors {
            if room.is_full() {
                break;
            }
            let Some(record) = directory.get(rumor.member) else {
                rumor.sent = limit;
                continue;
            };
            if room.reserve(record) {
                rumor.sent += 1;
                records.push(record.clone());
            }
        }
        self.rumors.retain(|r| r.sent < limit);
        records
    }

    /// Records that were not sent to all neighbours yet, newest first, within
    /// `room`; they count as sent `copies` times.
    pub(crate) fn take_new(
        &mut self,
        directory: &Directory,
        room: &mut Room,
        copies: u32,
    ) -> Vec<MemberRecord> {
        let mut records = Vec::new();
        self.rumors.sort_by_key(|r| Reverse(r.order));
        for rumor in self.rumors.iter_mut().filter(|r| !r.pushed) {
            if room.is_full() {
                break;
            }
            let Some(record) = directory.get(rumor.member) else {
                rumor.pushed = true;
                continue;
            };
            if room.reserve(record) {
                rumor.pushed = true;
                rumor.sent += copies;
                records.push(record.clone());
            }
        }
        records
    }
}

/// Times that a record is sent in an availability zone of `members` members.
pub(crate) fn retransmit_limit(members: usize) -> u32 {
    let rounds = (members.max(2) as f64).log2();
    (RETRANSMIT_FACTOR * rounds).ceil() as u32
}
