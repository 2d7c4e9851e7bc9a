//! Deputy side: records what the owner grants.

use super::entry::{Entry, State};
use super::message::{Change, Copy, CopyAnswer, Grant, GrantAnswer, Update};
use super::slot::{Cx, Role, SlotState};
use super::table::Epoch;
use crate::RequestId;

/// State of a deputy besides the keys.
#[derive(Debug, Default)]
pub(super) struct Deputy {
    /// The next part of the owner's keys.
    next_chunk: u32,
    /// Whether every key that the owner has granted is recorded here.
    pub(super) synced: bool,
}

impl SlotState {
    /// Records a grant, unless it comes from an owner that was replaced.
    pub(super) fn grant(&mut self, grant: &Grant, cx: &mut Cx<'_>) -> GrantAnswer {
        let recorded = self.serves(grant.epoch, grant.deputy == *cx.me, cx);
        if recorded {
            let entry = Entry::from_record(&grant.record, cx.members, cx.now);
            self.merge(grant.record.send.request, entry);
        }
        GrantAnswer {
            epoch: grant.epoch,
            send: grant.record.send,
            recorded,
        }
    }

    /// Takes a change of a recorded key.
    pub(super) fn update(&mut self, update: &Update, cx: &Cx<'_>) {
        let is_deputy = matches!(self.role, Role::Deputy(_)) && update.epoch == self.epoch;
        let key = update.send.request;
        let Some(entry) = self.entries.get_mut(&key).filter(|_| is_deputy) else {
            return;
        };
        if entry.attempt != update.send.attempt || entry.seq > update.seq {
            return;
        }
        entry.seq = update.seq;
        match update.change {
            Change::Answered => entry.answer(cx.now),
            Change::Unresolved => entry.state = State::Unresolved,
            Change::Released => {
                self.entries.remove(&key);
            }
        }
        self.seq = self.seq.max(update.seq);
    }

    /// Takes a part of the owner's keys.
    pub(super) fn copy(&mut self, copy: &Copy, cx: &mut Cx<'_>) -> Option<CopyAnswer> {
        if !self.serves(copy.epoch, copy.deputy == *cx.me, cx) {
            return None;
        }
        let Role::Deputy(deputy) = &mut self.role else {
            return None;
        };
        if copy.chunk > deputy.next_chunk {
            return None;
        }
        if copy.chunk == deputy.next_chunk {
            deputy.next_chunk += 1;
            deputy.synced = copy.last;
            self.floor = copy.floor;
            for record in &copy.records {
                let entry = Entry::from_record(record, cx.members, cx.now);
                self.merge(record.send.request, entry);
            }
        }
        Some(CopyAnswer {
            slot: copy.slot,
            epoch: copy.epoch,
            chunk: copy.chunk,
        })
    }

    /// Whether this node is the deputy of `epoch`. An owner with a later row
    /// than this node names its deputy, which is taken from it.
    fn serves(&mut self, epoch: Epoch, names_me: bool, cx: &mut Cx<'_>) -> bool {
        if epoch > self.epoch && names_me {
            self.become_deputy(epoch, cx);
        }
        names_me && epoch == self.epoch && matches!(self.role, Role::Deputy(_))
    }

    fn merge(&mut self, key: RequestId, entry: Entry) {
        self.seq = self.seq.max(entry.seq);
        match self.entries.get(&key) {
            Some(known) if known.seq > entry.seq => {}
            _ => {
                self.entries.insert(key, entry);
            }
        }
    }
}
