//! Owner side: the copy of all keys to a new deputy.

use super::message::{Action, Copy, CopyAnswer};
use super::slot::{Cx, Role, SlotState};
use super::{COPY_RECORDS, REPEAT};
use crate::RequestId;
use knapweed_world::Time;

/// A copy under way.
#[derive(Debug)]
pub(super) struct Copying {
    keys: Vec<RequestId>,
    chunk: u32,
    sent_at: Time,
}

/// Copies to a new deputy.
impl SlotState {
    pub(super) fn start_copy(&mut self, cx: &mut Cx<'_>) {
        let keys = self.entries.keys().copied().collect();
        let (chunk, sent_at) = (0, cx.now);
        if let Role::Owner(owner) = &mut self.role {
            owner.copying = Some(Copying {
                keys,
                chunk,
                sent_at,
            });
        }
        self.send_chunk(cx);
    }

    fn send_chunk(&mut self, cx: &mut Cx<'_>) {
        let Role::Owner(owner) = &mut self.role else {
            return;
        };
        let (Some(copying), Some(deputy)) = (&mut owner.copying, &owner.deputy) else {
            return;
        };
        copying.sent_at = cx.now;
        let start = (copying.chunk as usize * COPY_RECORDS).min(copying.keys.len());
        let end = (start + COPY_RECORDS).min(copying.keys.len());
        let records = copying.keys[start..end].iter().filter_map(|key| {
            let entry = self.entries.get(key)?;
            Some(entry.to_record(*key, cx.members, cx.now))
        });
        let copy = Copy {
            slot: self.slot,
            epoch: self.epoch,
            deputy: deputy.clone(),
            chunk: copying.chunk,
            last: end == copying.keys.len(),
            floor: self.floor,
            records: records.collect(),
        };
        cx.actions.push(Action::Copy {
            to: deputy.clone(),
            copy,
        });
    }

    pub(super) fn copied(&mut self, answer: &CopyAnswer, cx: &mut Cx<'_>) {
        let Role::Owner(owner) = &mut self.role else {
            return;
        };
        let Some(copying) = &mut owner.copying else {
            return;
        };
        if answer.epoch != self.epoch || answer.chunk != copying.chunk {
            return;
        }
        copying.chunk += 1;
        if copying.chunk as usize * COPY_RECORDS >= copying.keys.len().max(1) {
            owner.copying = None;
        } else {
            self.send_chunk(cx);
        }
    }

    pub(super) fn repeat_chunk(&mut self, cx: &mut Cx<'_>) {
        let Role::Owner(owner) = &self.role else {
            return;
        };
        let copying = owner.copying.as_ref();
        if copying.is_some_and(|c| cx.now.since(c.sent_at) >= REPEAT) {
            self.send_chunk(cx);
        }
    }
}
