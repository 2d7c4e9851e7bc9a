//! The queue of records to be piggybacked on messages.

use crate::directory::{Directory, MemberKey};
use crate::message::Room;
use crate::record::MemberRecord;

/// Times that each record is sent: this factor times log2 of the member count.
pub const RETRANSMIT_FACTOR: f64 = 3.0;

/// A record that other members may not know yet.
#[derive(Clone, Copy, Debug)]
struct Rumor {
    member: MemberKey,
    sent: u32,
    /// Whether it was sent to all neighbours.
    pushed: bool,
}

/// Records to send, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Gossip(Vec<Rumor>);

/// Mutation.
impl Gossip {
    /// Starts to send the record of `member`, again when it is already queued.
    pub(crate) fn add(&mut self, member: MemberKey) {
        self.0.retain(|r| r.member != member);
        self.0.push(Rumor {
            member,
            sent: 0,
            pushed: false,
        });
    }

    /// Records for one message, newest first, within `room`.
    pub(crate) fn take(
        &mut self,
        directory: &Directory,
        room: &mut Room,
        limit: u32,
    ) -> Vec<MemberRecord> {
        let mut records = Vec::new();
        for rumor in self.0.iter_mut().rev() {
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
        self.0.retain(|r| r.sent < limit);
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
        for rumor in self.0.iter_mut().rev().filter(|r| !r.pushed) {
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
