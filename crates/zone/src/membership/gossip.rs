//! The queue of records that are piggybacked on messages.

use crate::directory::{Directory, MemberKey};
use crate::message::RecordSpace;
use crate::record::MemberRecord;
use std::cmp::Reverse;

/// Each record is sent this factor times log2 of the member count.
pub const RETRANSMIT_FACTOR: f64 = 3.0;

/// A record that other members may not know yet.
#[derive(Clone, Copy, Debug)]
struct Rumor {
    member: MemberKey,
    sent: u32,
    /// Whether the record was pushed to all neighbours.
    pushed: bool,
    /// Position in the order of insertion; higher for a newer rumor.
    order: u64,
}

/// The rumors that are still to be sent.
#[derive(Debug, Default)]
pub(crate) struct Gossip {
    rumors: Vec<Rumor>,
    last_order: u64,
}

/// Queueing and taking of records.
impl Gossip {
    /// Queues the record of `member`; if it is queued already, its counts start again.
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

    /// Takes records for one message, as far as `space` allows: the least often sent
    /// first, and the newest first among those.
    ///
    /// With the newest always first, older records would starve after a restart of many
    /// members.
    pub(crate) fn take(
        &mut self,
        directory: &Directory,
        space: &mut RecordSpace,
        limit: u32,
    ) -> Vec<MemberRecord> {
        let mut records = Vec::new();
        self.rumors.sort_by_key(|r| (r.sent, Reverse(r.order)));
        for rumor in &mut self.rumors {
            if space.is_full() {
                break;
            }
            let Some(record) = directory.get(rumor.member) else {
                rumor.sent = limit;
                continue;
            };
            if space.reserve(record) {
                rumor.sent += 1;
                records.push(record.clone());
            }
        }
        self.rumors.retain(|r| r.sent < limit);
        records
    }

    /// Takes records that were not pushed to all neighbours yet, newest first, as far as
    /// `space` allows; they count as sent `copies` times.
    pub(crate) fn take_new(
        &mut self,
        directory: &Directory,
        space: &mut RecordSpace,
        copies: u32,
    ) -> Vec<MemberRecord> {
        let mut records = Vec::new();
        self.rumors.sort_by_key(|r| Reverse(r.order));
        for rumor in self.rumors.iter_mut().filter(|r| !r.pushed) {
            if space.is_full() {
                break;
            }
            let Some(record) = directory.get(rumor.member) else {
                rumor.pushed = true;
                continue;
            };
            if space.reserve(record) {
                rumor.pushed = true;
                rumor.sent += copies;
                records.push(record.clone());
            }
        }
        records
    }
}

/// Number of times that a record is sent in an availability zone of `members` members.
pub(crate) fn retransmit_limit(members: usize) -> u32 {
    let rounds = (members.max(2) as f64).log2();
    (RETRANSMIT_FACTOR * rounds).ceil() as u32
}
