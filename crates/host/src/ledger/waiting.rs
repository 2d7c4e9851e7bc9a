//! Owner side: re-sends that wait, and how sends end.

use super::entry::State;
use super::message::{
    Action, AskId, Change, Permit, PermitAnswer, Resolution, Settle, Settlement, Update,
};
use super::owner::answered;
use super::slot::{Cx, Role, SlotState};
use super::{MAX_WAITERS, REPEAT};
use crate::{NotRun, RequestId, SendId, Unknown};
use knapweed_world::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Re-sends of a key whose earlier send has no known end.
#[derive(Debug, Default)]
pub(super) struct Waiting {
    pub(super) asks: VecDeque<Waiter>,
    inquired_at: Option<Time>,
}

#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) ask: AskId,
    permit: Permit,
    until: Time,
}

/// Re-sends that wait.
impl SlotState {
    pub(super) fn wait(&mut self, ask: AskId, permit: Permit, cx: &mut Cx<'_>) {
        let Role::Owner(owner) = &mut self.role else {
            return;
        };
        let key = permit.send.request;
        let waiting = owner.waiting.entry(key).or_default();
        let until = cx
            .now
            .after(Duration::from_millis(u64::from(permit.left_ms)));
        let same = waiting
            .asks
            .iter_mut()
            .find(|w| w.permit.send == permit.send);
        if let Some(waiter) = same {
            waiter.ask = ask;
        } else if waiting.asks.len() < MAX_WAITERS {
            waiting.asks.push_back(Waiter { ask, permit, until });
        } else {
            return cx.answer(ask, PermitAnswer::Unresolved(Unknown::KeyRunning));
        }
        cx.answer(ask, PermitAnswer::Waiting);
        self.inquire(key, cx);
    }

    /// Asks the egress about a send that should have ended and that a re-send waits for.
    pub(super) fn inquire(&mut self, key: RequestId, cx: &mut Cx<'_>) {
        let Role::Owner(owner) = &mut self.role else {
            return;
        };
        let Some(waiting) = owner.waiting.get_mut(&key) else {
            return;
        };
        let Some(entry) = self.entries.get(&key) else {
            return;
        };
        let was_recent = waiting
            .inquired_at
            .is_some_and(|t| cx.now.since(t) < REPEAT);
        if was_recent || !entry.is_unresolved(cx.now) {
            return;
        }
        waiting.inquired_at = Some(cx.now);
        cx.actions.push(Action::Inquire {
            to: cx.members.get(entry.egress).clone(),
            send: entry.send(key),
            age_s: entry.age_s(cx.now),
        });
    }

    /// The stream of a permit was closed by the ingress.
    pub(super) fn withdraw(&mut self, key: RequestId, ask: AskId) {
        let Role::Owner(owner) = &mut self.role else {
            return;
        };
        if let Some(waiting) = owner.waiting.get_mut(&key) {
            waiting.asks.retain(|w| w.ask != ask);
        }
    }

    fn answer_waiting(&mut self, key: RequestId, answer: &PermitAnswer, cx: &mut Cx<'_>) {
        let Role::Owner(owner) = &mut self.role else {
            return;
        };
        for waiter in owner.waiting.remove(&key).unwrap_or_default().asks {
            cx.answer(waiter.ask, answer.clone());
        }
    }

    /// Lets the first re-send that may run take the place of a send that did not.
    fn permit_next(&mut self, key: RequestId, cx: &mut Cx<'_>) {
        while let Some(mut waiter) = self.next_waiter(key) {
            let left = waiter.until.since(cx.now);
            if left.is_zero() {
                cx.refuse(waiter.ask, NotRun::DeadlinePassed);
                continue;
            }
            waiter.permit.left_ms = left.as_millis() as u32;
            self.permit_new(waiter.ask, waiter.permit, cx);
            if self.entries.contains_key(&key) {
                return;
            }
        }
    }

    fn next_waiter(&mut self, key: RequestId) -> Option<Waiter> {
        let Role::Owner(owner) = &mut self.role else {
            return None;
        };
        let waiting = owner.waiting.get_mut(&key)?;
        waiting.inquired_at = None;
        waiting.asks.pop_front()
    }

    pub(super) fn end_late_waits(&mut self, key: RequestId, cx: &mut Cx<'_>) {
        let Role::Owner(owner) = &mut self.role else {
            return;
        };
        let Some(waiting) = owner.waiting.get_mut(&key) else {
            return;
        };
        waiting.asks.retain(|w| {
            let in_time = w.until > cx.now;
            if !in_time {
                let answer = PermitAnswer::Unresolved(Unknown::KeyRunning);
                cx.actions.push(Action::Answer { ask: w.ask, answer });
            }
            in_time
        });
        if waiting.asks.is_empty() {
            owner.waiting.remove(&key);
        }
    }
}

/// Ends of sends.
impl SlotState {
    pub(super) fn settle(&mut self, settle: &Settle, cx: &mut Cx<'_>) {
        let key = settle.send.request;
        let Role::Owner(owner) = &mut self.role else {
            return;
        };
        let Some(entry) = self.entries.get(&key) else {
            return;
        };
        if entry.attempt != settle.send.attempt || entry.state == State::Answered {
            return;
        }
        // A send that has no permit yet can only be given up.
        let is_asked = entry.state == State::Asked;
        if is_asked && settle.settlement != Settlement::NotRun {
            return;
        }
        match settle.settlement {
            Settlement::Answered => self.answered(key, cx),
            Settlement::Unknown => self.unresolved(key, cx),
            Settlement::NotRun => {
                owner.pending.remove(&key);
                self.released(key, cx);
            }
        }
    }

    /// Takes what an egress said about a send of unknown end.
    pub(super) fn resolve(&mut self, send: SendId, resolution: Resolution, cx: &mut Cx<'_>) {
        let key = send.request;
        let Some(entry) = self.entries.get(&key) else {
            return;
        };
        if entry.attempt != send.attempt || !entry.is_unresolved(cx.now) {
            return;
        }
        match resolution {
            Resolution::Answered => self.answered(key, cx),
            Resolution::NotRun => self.released(key, cx),
            Resolution::Running => {}
            Resolution::Lost => {
                let answer = PermitAnswer::Unresolved(Unknown::KeyUnresolved);
                self.answer_waiting(key, &answer, cx);
            }
        }
    }

    fn answered(&mut self, key: RequestId, cx: &mut Cx<'_>) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        entry.answer(cx.now);
        let answer = answered(entry, key, cx);
        self.tell_deputy(key, Change::Answered, cx);
        self.answer_waiting(key, &answer, cx);
    }

    fn unresolved(&mut self, key: RequestId, cx: &mut Cx<'_>) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.state = State::Unresolved;
        }
        self.tell_deputy(key, Change::Unresolved, cx);
        self.inquire(key, cx);
    }

    fn released(&mut self, key: RequestId, cx: &mut Cx<'_>) {
        self.tell_deputy(key, Change::Released, cx);
        self.entries.remove(&key);
        self.permit_next(key, cx);
    }

    fn tell_deputy(&mut self, key: RequestId, change: Change, cx: &mut Cx<'_>) {
        let Some(deputy) = self.deputy() else { return };
        self.seq += 1;
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        entry.seq = self.seq;
        let update = Update {
            epoch: self.epoch,
            send: entry.send(key),
            seq: self.seq,
            change,
        };
        cx.actions.push(Action::Update { to: deputy, update });
    }
}
