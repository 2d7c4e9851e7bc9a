//! One slot: its role, its keys, and changes of its row.

use super::Options;
use super::deputy::Deputy;
use super::entry::{Entry, Members, State};
use super::message::{Action, AskId, Floor, PermitAnswer};
use super::owner::Owner;
use super::table::{Epoch, Member, Row, Slot};
use crate::{NotRun, RequestId};
use knapweed_world::{Time, UnixMillis};
use std::collections::HashMap;

/// What a step needs besides the slot.
pub(super) struct Cx<'a> {
    pub(super) now: Time,
    pub(super) wall: UnixMillis,
    pub(super) me: &'a Member,
    pub(super) options: &'a Options,
    pub(super) members: &'a mut Members,
    pub(super) actions: &'a mut Vec<Action>,
    /// Whether one more key may be kept.
    pub(super) has_room: bool,
}

impl Cx<'_> {
    pub(super) fn answer(&mut self, ask: AskId, answer: PermitAnswer) {
        self.actions.push(Action::Answer { ask, answer });
    }

    pub(super) fn refuse(&mut self, ask: AskId, reason: NotRun) {
        self.answer(ask, PermitAnswer::Refused(reason));
    }
}

#[derive(Debug)]
pub(super) enum Role {
    None,
    Owner(Owner),
    Deputy(Deputy),
}

#[derive(Debug)]
pub(super) struct SlotState {
    pub(super) slot: Slot,
    /// Latest row known, from the table or from an owner.
    pub(super) epoch: Epoch,
    pub(super) role: Role,
    pub(super) entries: HashMap<RequestId, Entry>,
    /// Highest position in the changes of the slot.
    pub(super) seq: u64,
    /// Set while the history of the slot is incomplete.
    pub(super) floor: Option<Floor>,
}

impl SlotState {
    pub(super) fn new(slot: Slot) -> Self {
        Self {
            slot,
            epoch: Epoch::default(),
            role: Role::None,
            entries: HashMap::new(),
            seq: 0,
            floor: None,
        }
    }

    pub(super) fn is_owned(&self) -> bool {
        matches!(self.role, Role::Owner(_))
    }

    /// Takes a later row of the table.
    pub(super) fn install(&mut self, row: &Row, cx: &mut Cx<'_>) {
        if row.epoch <= self.epoch {
            return;
        }
        if row.owner == *cx.me {
            self.become_owner(row, cx);
        } else if row.deputy == *cx.me {
            self.become_deputy(row.epoch, cx);
        } else {
            self.leave_role(cx);
            self.entries = HashMap::new();
            self.role = Role::None;
        }
        self.epoch = row.epoch;
    }

    fn become_owner(&mut self, row: &Row, cx: &mut Cx<'_>) {
        if !self.has_history_for(row) {
            self.floor = Some(Floor {
                newer_than: cx.wall,
                until: cx.wall.after(cx.options.retention),
            });
        }
        let previous = std::mem::replace(&mut self.role, Role::None);
        let continues = matches!(previous, Role::Owner(_)) && self.epoch >= row.owner_since;
        let mut owner = match previous {
            Role::Owner(owner) if continues => owner,
            Role::Owner(owner) => {
                owner.end(cx);
                Owner::default()
            }
            Role::Deputy(_) | Role::None => Owner::default(),
        };
        if !continues {
            self.doubt_grants();
        }
        self.epoch = row.epoch;
        owner.deputy = Some(row.deputy.clone());
        self.role = Role::Owner(owner);
        self.fail_all_pending(cx);
        self.start_copy(cx);
    }

    /// Whether every grant before `row` is recorded here: as the owner all the
    /// time since, or as the complete deputy of the row before the takeover.
    fn has_history_for(&self, row: &Row) -> bool {
        match &self.role {
            Role::Owner(_) => self.epoch >= row.owner_since,
            Role::Deputy(deputy) => deputy.synced && self.epoch.next() == row.owner_since,
            Role::None => row.epoch == Epoch::FIRST,
        }
    }

    /// Grants recorded as deputy may or may not have led to a send.
    fn doubt_grants(&mut self) {
        for entry in self.entries.values_mut() {
            if matches!(entry.state, State::Asked | State::Granted) {
                entry.state = State::Unresolved;
            }
        }
    }

    /// Starts over with the keys that the owner of `epoch` will send.
    pub(super) fn become_deputy(&mut self, epoch: Epoch, cx: &mut Cx<'_>) {
        self.leave_role(cx);
        self.entries = HashMap::new();
        self.floor = None;
        self.seq = 0;
        self.role = Role::Deputy(Deputy::default());
        self.epoch = epoch;
    }

    fn leave_role(&mut self, cx: &mut Cx<'_>) {
        if let Role::Owner(owner) = std::mem::replace(&mut self.role, Role::None) {
            owner.end(cx);
        }
    }

    /// Forgets keys after their retention, and a floor that no longer matters.
    pub(super) fn sweep(&mut self, now: Time, wall: UnixMillis, options: &Options) {
        let retention_s = options.retention.as_secs() as u32;
        self.entries.retain(|_, e| !e.is_expired(now, retention_s));
        self.floor = self.floor.filter(|f| wall < f.until);
    }
}
