//! At most once for requests with an idempotency key.
//!
//! Keys are divided into slots. The owner of a slot gives a permit for one send
//! of a key to one egress, and only after the deputy has recorded the grant. A
//! new permit for the key follows only after proof that the earlier send did
//! not run and will not. After the loss of the owner the deputy knows every
//! permit; those without a known end are resolved by an inquiry at the egress.
//! The deputy refuses grants of an earlier epoch, so an owner that was replaced
//! gives no more permits.
//!
//! Egresses must refuse sends that are addressed to another incarnation, and
//! sends that an inquiry has declared as never run.

mod copying;
mod deputy;
mod entry;
pub mod ingress;
pub mod message;
mod owner;
pub mod plan;
mod slot;
pub mod table;
mod waiting;

use crate::{RequestId, SendId};
use entry::Members;
use knapweed_world::{Time, UnixMillis};
use message::{
    Action, AskId, Copy, CopyAnswer, Grant, GrantAnswer, Permit, Resolution, Settle, Update,
};
use slot::{Cx, Role, SlotState};
use std::time::Duration;
use table::{Epoch, Member, Slot, SlotTable};

/// Largest difference between the clocks of callers and nodes that keys with a
/// time are trusted across.
pub const KEY_SKEW: Duration = Duration::from_secs(5);
/// Time without a tick after which the node may have been replaced.
pub const PAUSE: Duration = Duration::from_secs(2);
/// Time after which an inquiry or a part of a copy is repeated.
pub const REPEAT: Duration = Duration::from_millis(500);
/// Time between two searches for keys past their retention.
const SWEEP: Duration = Duration::from_secs(60);
/// Most re-sends that wait for one key.
const MAX_WAITERS: usize = 16;
/// Keys in one part of a copy.
const COPY_RECORDS: usize = 256;

/// Settings of a [`Ledger`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    retention: Duration,
    grant_timeout: Duration,
    max_keys: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(3_600),
            grant_timeout: Duration::from_millis(300),
            max_keys: 200_000,
        }
    }
}

/// Settings, one by one.
impl Options {
    /// How long a key is kept after its answer or its deadline.
    pub fn retention(mut self, time: Duration) -> Self {
        self.retention = time;
        self
    }

    /// How long the owner waits for its deputy.
    pub fn grant_timeout(mut self, time: Duration) -> Self {
        self.grant_timeout = time;
        self
    }

    /// Most keys that this node grants as owner; beyond it new keys are refused.
    pub fn max_keys(mut self, keys: usize) -> Self {
        self.max_keys = keys;
        self
    }
}

/// The keys that one node decides on or holds a copy of.
#[derive(Debug)]
pub struct Ledger {
    me: Member,
    options: Options,
    slots: Vec<SlotState>,
    members: Members,
    /// Number of keys in all slots.
    keys: usize,
    last_tick: Time,
    last_sweep: Time,
    confirmed: bool,
}

/// Construction and access.
impl Ledger {
    /// The ledger of the node `me`, with no slots.
    pub fn new(me: Member, options: Options, now: Time) -> Self {
        Self {
            me,
            options,
            slots: (0..=u8::MAX).map(|n| SlotState::new(Slot(n))).collect(),
            members: Members::default(),
            keys: 0,
            last_tick: now,
            last_sweep: now,
            confirmed: true,
        }
    }

    /// Keys kept, as owner and as deputy.
    pub fn keys(&self) -> usize {
        self.keys
    }

    /// Slots that this node owns.
    pub fn owned(&self) -> usize {
        self.slots.iter().filter(|s| s.is_owned()).count()
    }

    /// Whether this node, as deputy of `slot`, could take over with the whole history.
    pub fn is_synced(&self, slot: Slot) -> bool {
        matches!(&self.slots[usize::from(slot.0)].role, Role::Deputy(d) if d.synced)
    }

    /// Latest epoch known of `slot`.
    pub fn epoch(&self, slot: Slot) -> Epoch {
        self.slots[usize::from(slot.0)].epoch
    }
}

/// Owner side.
impl Ledger {
    /// An ingress asks for a permit on the stream `ask`.
    pub fn permit(
        &mut self,
        ask: AskId,
        permit: Permit,
        now: Time,
        wall: UnixMillis,
    ) -> Vec<Action> {
        if !self.is_confirmed(now) {
            let reason = crate::NotRun::KeyUndecided;
            let answer = message::PermitAnswer::Refused(reason);
            return vec![Action::Answer { ask, answer }, Action::ConfirmTable];
        }
        let key = permit.send.request;
        self.step(key, now, wall, |slot, cx| slot.permit(ask, permit, cx))
    }

    /// The ingress closed the stream of a permit.
    pub fn withdraw(&mut self, key: RequestId, ask: AskId) {
        self.slots[usize::from(Slot::of(key).0)].withdraw(key, ask);
    }

    /// The deputy answered a grant.
    pub fn grant_answered(
        &mut self,
        answer: &GrantAnswer,
        now: Time,
        wall: UnixMillis,
    ) -> Vec<Action> {
        let key = answer.send.request;
        self.step(key, now, wall, |slot, cx| slot.grant_answered(answer, cx))
    }

    /// The ingress reported the end of a permitted send.
    pub fn settle(&mut self, settle: &Settle, now: Time, wall: UnixMillis) -> Vec<Action> {
        let key = settle.send.request;
        self.step(key, now, wall, |slot, cx| slot.settle(settle, cx))
    }

    /// An egress answered [`Action::Inquire`], or could not be reached.
    pub fn resolve(
        &mut self,
        send: SendId,
        resolution: Resolution,
        now: Time,
        wall: UnixMillis,
    ) -> Vec<Action> {
        let resolve = |slot: &mut SlotState, cx: &mut Cx<'_>| slot.resolve(send, resolution, cx);
        self.step(send.request, now, wall, resolve)
    }

    /// The deputy took a part of the keys.
    pub fn copied(&mut self, answer: &CopyAnswer, now: Time, wall: UnixMillis) -> Vec<Action> {
        self.step_slot(answer.slot, now, wall, |slot, cx| slot.copied(answer, cx))
            .1
    }
}

/// Deputy side.
impl Ledger {
    /// The owner asks to record a grant.
    pub fn grant(
        &mut self,
        grant: &Grant,
        now: Time,
        wall: UnixMillis,
    ) -> (GrantAnswer, Vec<Action>) {
        let slot = Slot::of(grant.record.send.request);
        self.step_slot(slot, now, wall, |slot, cx| slot.grant(grant, cx))
    }

    /// The owner reports a change of a recorded key.
    pub fn update(&mut self, update: &Update, now: Time, wall: UnixMillis) {
        let key = update.send.request;
        self.step(key, now, wall, |slot, cx| slot.update(update, cx));
    }

    /// The owner sends a part of its keys; `None` when this node is not its deputy.
    pub fn copy(
        &mut self,
        copy: &Copy,
        now: Time,
        wall: UnixMillis,
    ) -> (Option<CopyAnswer>, Vec<Action>) {
        self.step_slot(copy.slot, now, wall, |slot, cx| slot.copy(copy, cx))
    }
}

/// Table and time.
impl Ledger {
    /// Takes the rows of `table` that are later than those known.
    pub fn install(&mut self, table: &SlotTable, now: Time, wall: UnixMillis) -> Vec<Action> {
        let mut actions = Vec::new();
        for (slot, row) in table.slots() {
            let step = |state: &mut SlotState, cx: &mut Cx<'_>| state.install(row, cx);
            actions.extend(self.step_slot(slot, now, wall, step).1);
        }
        actions
    }

    /// The table was fetched from a peer after [`Action::ConfirmTable`] and installed.
    pub fn confirm(&mut self, now: Time) {
        self.confirmed = true;
        self.last_tick = now;
    }

    /// Ends waits and repeats messages; due every 100 ms.
    pub fn tick(&mut self, now: Time, wall: UnixMillis) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.is_confirmed(now) {
            self.confirmed = false;
            actions.push(Action::ConfirmTable);
        }
        self.last_tick = now;
        let owned = self.slots.iter().filter(|s| s.is_owned());
        let owned: Vec<Slot> = owned.map(|s| s.slot).collect();
        for slot in owned {
            let step = |state: &mut SlotState, cx: &mut Cx<'_>| state.tick_owner(cx);
            actions.extend(self.step_slot(slot, now, wall, step).1);
        }
        self.sweep(now, wall);
        actions
    }

    fn is_confirmed(&self, now: Time) -> bool {
        self.confirmed && now.since(self.last_tick) < PAUSE
    }

    fn sweep(&mut self, now: Time, wall: UnixMillis) {
        if now.since(self.last_sweep) < SWEEP {
            return;
        }
        self.last_sweep = now;
        for slot in &mut self.slots {
            slot.sweep(now, wall, &self.options);
        }
        self.keys = self.slots.iter().map(|s| s.entries.len()).sum();
    }
}

/// Steps.
impl Ledger {
    fn step(
        &mut self,
        key: RequestId,
        now: Time,
        wall: UnixMillis,
        f: impl FnOnce(&mut SlotState, &mut Cx<'_>),
    ) -> Vec<Action> {
        self.step_slot(Slot::of(key), now, wall, f).1
    }

    fn step_slot<T>(
        &mut self,
        slot: Slot,
        now: Time,
        wall: UnixMillis,
        f: impl FnOnce(&mut SlotState, &mut Cx<'_>) -> T,
    ) -> (T, Vec<Action>) {
        let mut actions = Vec::new();
        let has_room = self.keys < self.options.max_keys;
        let state = &mut self.slots[usize::from(slot.0)];
        let before = state.entries.len();
        let mut cx = Cx {
            now,
            wall,
            me: &self.me,
            options: &self.options,
            members: &mut self.members,
            actions: &mut actions,
            has_room,
        };
        let result = f(state, &mut cx);
        self.keys = self.keys + state.entries.len() - before;
        (result, actions)
    }
}
