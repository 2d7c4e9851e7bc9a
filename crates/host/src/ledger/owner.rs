//! Owner side: grants permits, one send of a key at a time.

use super::KEY_SKEW;
use super::copying::Copying;
use super::entry::{Entry, State, seconds};
use super::message::{Action, AskId, Grant, GrantAnswer, Permit, PermitAnswer};
use super::slot::{Cx, Role, SlotState};
use super::table::Member;
use super::waiting::Waiting;
use crate::{NotRun, RequestId, Unknown};
use knapweed_world::Time;
use std::collections::BTreeMap;

/// State of an owner besides the keys.
#[derive(Debug, Default)]
pub(super) struct Owner {
    pub(super) deputy: Option<Member>,
    /// Grants that the deputy has not answered yet.
    pub(super) pending: BTreeMap<RequestId, Pending>,
    /// Re-sends of keys whose earlier send has no known end.
    pub(super) waiting: BTreeMap<RequestId, Waiting>,
    pub(super) copying: Option<Copying>,
}

#[derive(Debug)]
pub(super) struct Pending {
    pub(super) ask: AskId,
    asked_at: Time,
}

impl Owner {
    /// Answers everyone when the slot has another owner.
    pub(super) fn end(self, cx: &mut Cx<'_>) {
        for pending in self.pending.into_values() {
            cx.refuse(pending.ask, NotRun::KeyUndecided);
        }
        for waiter in self.waiting.into_values().flat_map(|w| w.asks) {
            let answer = PermitAnswer::Unresolved(Unknown::KeyUnresolved);
            cx.answer(waiter.ask, answer);
        }
    }
}

/// Permits.
impl SlotState {
    pub(super) fn permit(&mut self, ask: AskId, permit: Permit, cx: &mut Cx<'_>) {
        if !matches!(self.role, Role::Owner(_)) {
            return cx.answer(ask, PermitAnswer::Moved(self.epoch));
        }
        if permit.epoch > self.epoch {
            return cx.refuse(ask, NotRun::KeyUndecided);
        }
        match self.entries.get(&permit.send.request).copied() {
            None => self.permit_new(ask, permit, cx),
            Some(entry) => self.permit_known(ask, permit, entry, cx),
        }
    }

    pub(super) fn permit_new(&mut self, ask: AskId, permit: Permit, cx: &mut Cx<'_>) {
        if !self.is_provably_new(&permit, cx) {
            return cx.refuse(ask, NotRun::KeyTooOld);
        }
        if !cx.has_room {
            return cx.refuse(ask, NotRun::KeysFull);
        }
        self.seq += 1;
        let key = permit.send.request;
        let entry = Entry {
            attempt: permit.send.attempt,
            seq: self.seq,
            since_s: seconds(cx.now),
            egress: cx.members.index(&permit.egress),
            fingerprint: permit.fingerprint,
            left_s: u16::try_from(permit.left_ms.div_ceil(1_000)).unwrap_or(u16::MAX),
            state: State::Asked,
        };
        self.entries.insert(key, entry);
        let asked_at = cx.now;
        if let Role::Owner(owner) = &mut self.role {
            owner.pending.insert(key, Pending { ask, asked_at });
        }
        self.ask_deputy(key, entry, cx);
    }

    /// With an incomplete history, only a key made after the takeover is known
    /// to be new. A time in the future proves nothing.
    fn is_provably_new(&self, permit: &Permit, cx: &Cx<'_>) -> bool {
        let Some(floor) = self.floor.filter(|f| cx.wall < f.until) else {
            return true;
        };
        let earliest = floor.newer_than.after(KEY_SKEW);
        let latest = cx.wall.after(KEY_SKEW);
        permit.made_at.is_some_and(|t| t >= earliest && t <= latest)
    }

    fn permit_known(&mut self, ask: AskId, permit: Permit, entry: Entry, cx: &mut Cx<'_>) {
        if entry.fingerprint != permit.fingerprint {
            return cx.refuse(ask, NotRun::KeyReused);
        }
        let key = permit.send.request;
        let is_repeat = entry.attempt == permit.send.attempt;
        match entry.state {
            State::Answered => cx.answer(ask, answered(&entry, key, cx)),
            State::Asked if is_repeat => self.repeat_grant(ask, key, entry, cx),
            // The ingress uses the answers to one attempt at most once.
            State::Granted if is_repeat => cx.answer(ask, PermitAnswer::Granted),
            State::Unresolved if is_repeat => {
                cx.answer(ask, PermitAnswer::Unresolved(Unknown::KeyUnresolved));
            }
            _ => self.wait(ask, permit, cx),
        }
    }

    fn repeat_grant(&mut self, ask: AskId, key: RequestId, entry: Entry, cx: &mut Cx<'_>) {
        if let Role::Owner(owner) = &mut self.role
            && let Some(pending) = owner.pending.get_mut(&key)
        {
            pending.ask = ask;
        }
        self.ask_deputy(key, entry, cx);
    }

    fn ask_deputy(&self, key: RequestId, entry: Entry, cx: &mut Cx<'_>) {
        let Some(deputy) = self.deputy() else { return };
        let grant = Grant {
            epoch: self.epoch,
            deputy: deputy.clone(),
            record: entry.to_record(key, cx.members, cx.now),
        };
        cx.actions.push(Action::Grant { to: deputy, grant });
    }

    pub(super) fn deputy(&self) -> Option<Member> {
        match &self.role {
            Role::Owner(owner) => owner.deputy.clone(),
            _ => None,
        }
    }

    pub(super) fn grant_answered(&mut self, answer: &GrantAnswer, cx: &mut Cx<'_>) {
        let key = answer.send.request;
        let Role::Owner(owner) = &mut self.role else {
            return;
        };
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        let is_current = answer.epoch == self.epoch
            && entry.attempt == answer.send.attempt
            && entry.state == State::Asked;
        if !is_current {
            return;
        }
        if !answer.recorded {
            return self.fail_pending(key, cx);
        }
        entry.state = State::Granted;
        if let Some(pending) = owner.pending.remove(&key) {
            cx.answer(pending.ask, PermitAnswer::Granted);
        }
    }

    /// Gives up a grant that the deputy has not recorded; no permit was given.
    fn fail_pending(&mut self, key: RequestId, cx: &mut Cx<'_>) {
        let Role::Owner(owner) = &mut self.role else {
            return;
        };
        let Some(pending) = owner.pending.remove(&key) else {
            return;
        };
        cx.refuse(pending.ask, NotRun::KeyUndecided);
        for waiter in owner.waiting.remove(&key).unwrap_or_default().asks {
            cx.refuse(waiter.ask, NotRun::KeyUndecided);
        }
        self.entries.remove(&key);
    }

    pub(super) fn fail_all_pending(&mut self, cx: &mut Cx<'_>) {
        let Role::Owner(owner) = &self.role else {
            return;
        };
        let keys: Vec<RequestId> = owner.pending.keys().copied().collect();
        for key in keys {
            self.fail_pending(key, cx);
        }
    }
}

pub(super) fn answered(entry: &Entry, key: RequestId, cx: &Cx<'_>) -> PermitAnswer {
    PermitAnswer::Answered {
        egress: cx.members.get(entry.egress).clone(),
        send: entry.send(key),
    }
}

/// Time.
impl SlotState {
    pub(super) fn tick_owner(&mut self, cx: &mut Cx<'_>) {
        let Role::Owner(owner) = &self.role else {
            return;
        };
        let late = |p: &Pending| cx.now.since(p.asked_at) >= cx.options.grant_timeout;
        let failed = owner.pending.iter().filter(|(_, p)| late(p));
        let failed: Vec<RequestId> = failed.map(|(key, _)| *key).collect();
        let waiting: Vec<RequestId> = owner.waiting.keys().copied().collect();
        for key in failed {
            self.fail_pending(key, cx);
        }
        for key in waiting {
            self.end_late_waits(key, cx);
            self.inquire(key, cx);
        }
        self.repeat_chunk(cx);
    }
}
