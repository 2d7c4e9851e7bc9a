//! Keys in memory.

use super::message::{KeyState, Record};
use super::table::Member;
use crate::{RequestId, SendId};
use knapweed_world::Time;
use std::collections::HashMap;

/// Time after the deadline of a send from which its outcome is looked for.
const GRACE_S: u32 = 2;

/// Index of a member in [`Members`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct MemberIndex(u32);

/// The members that entries name, stored once.
#[derive(Debug, Default)]
pub(super) struct Members {
    list: Vec<Member>,
    index: HashMap<Member, MemberIndex>,
}

impl Members {
    pub(super) fn index(&mut self, member: &Member) -> MemberIndex {
        if let Some(index) = self.index.get(member) {
            return *index;
        }
        let index = MemberIndex(self.list.len() as u32);
        self.list.push(member.clone());
        self.index.insert(member.clone(), index);
        index
    }

    pub(super) fn get(&self, index: MemberIndex) -> &Member {
        &self.list[index.0 as usize]
    }
}

/// State of a key at its owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum State {
    /// The deputy was asked to record the grant; no permit was given.
    Asked,
    Granted,
    Unresolved,
    Answered,
}

/// A key with its latest send. The fields are small because many are kept.
#[derive(Clone, Copy, Debug)]
pub(super) struct Entry {
    pub(super) attempt: u64,
    pub(super) seq: u64,
    /// When the grant was asked for, or the answer came, in whole seconds rounded down.
    pub(super) since_s: u32,
    pub(super) egress: MemberIndex,
    pub(super) fingerprint: u32,
    pub(super) left_s: u16,
    pub(super) state: State,
}

pub(super) fn seconds(now: Time) -> u32 {
    (now.0 / 1_000_000) as u32
}

impl Entry {
    /// Whether the send should have ended, and its outcome is not known.
    pub(super) fn is_unresolved(&self, now: Time) -> bool {
        let ends = self.since_s + u32::from(self.left_s) + GRACE_S;
        match self.state {
            State::Unresolved => true,
            State::Granted => seconds(now) > ends,
            State::Asked | State::Answered => false,
        }
    }

    pub(super) fn answer(&mut self, now: Time) {
        self.state = State::Answered;
        self.since_s = seconds(now);
        self.left_s = 0;
    }

    pub(super) fn age_s(&self, now: Time) -> u32 {
        // The start was rounded down, so the age is rounded up.
        seconds(now).saturating_sub(self.since_s) + 1
    }

    pub(super) fn is_expired(&self, now: Time, retention_s: u32) -> bool {
        let age = seconds(now).saturating_sub(self.since_s);
        age > retention_s + u32::from(self.left_s)
    }

    pub(super) fn send(&self, key: RequestId) -> SendId {
        SendId {
            request: key,
            attempt: self.attempt,
        }
    }

    pub(super) fn to_record(self, key: RequestId, members: &Members, now: Time) -> Record {
        Record {
            send: self.send(key),
            seq: self.seq,
            state: match self.state {
                State::Asked | State::Granted => KeyState::Granted,
                State::Unresolved => KeyState::Unresolved,
                State::Answered => KeyState::Answered,
            },
            egress: members.get(self.egress).clone(),
            fingerprint: self.fingerprint,
            age_s: self.age_s(now),
            left_s: self.left_s,
        }
    }

    pub(super) fn from_record(record: &Record, members: &mut Members, now: Time) -> Self {
        Self {
            attempt: record.send.attempt,
            seq: record.seq,
            since_s: seconds(now).saturating_sub(record.age_s),
            egress: members.index(&record.egress),
            fingerprint: record.fingerprint,
            left_s: record.left_s,
            state: match record.state {
                KeyState::Granted => State::Granted,
                KeyState::Unresolved => State::Unresolved,
                KeyState::Answered => State::Answered,
            },
        }
    }
}
