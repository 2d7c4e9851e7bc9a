//! Creates and replaces the attempt in the record of a ticket.

use super::{Acceptance, Action, MAX_ATTEMPT_AGE, RetryCause, Step};
use crate::head;
use crate::result::{self, Attempt, Record};
use knapweed_store::{Condition, Revision};
use knapweed_world::UnixMillis;

/// Management of the attempt.
impl Acceptance<'_> {
    pub(super) fn create_record(&mut self, now: UnixMillis) -> Action {
        let attempt = self.attempt(now);
        let record = Record::new(self.ticket.clone(), self.head.1.version, attempt);
        self.store_attempt(record, Condition::Absent)
    }

    pub(super) fn check_attempt(&mut self, now: UnixMillis) -> Action {
        let Some(stored) = &self.record else {
            return Action::Wait(RetryCause::Contention);
        };
        let Attempt { head, at } = stored.record.attempt;
        if head > self.head.0 {
            return Action::Wait(RetryCause::Contention);
        }
        if head < self.head.0 {
            let record = stored.record.with_attempt(self.attempt(now));
            let condition = stored.condition();
            return self.store_attempt(record, condition);
        }
        match now.since(at).max(at.since(now)) > MAX_ATTEMPT_AGE {
            true => self.replace_head(),
            false => self.decide(),
        }
    }

    fn attempt(&self, at: UnixMillis) -> Attempt {
        let head = self.head.0;
        Attempt { head, at }
    }

    fn store_attempt(&mut self, record: Record, condition: Condition) -> Action {
        let value = record.encode();
        self.step = Step::StoreAttempt(Box::new(record));
        Action::Write {
            key: result::key(self.number()),
            value,
            condition,
        }
    }

    /// Gives the head a new revision without a new configuration version, so that an
    /// acceptance of the expired attempt can no longer succeed.
    fn replace_head(&mut self) -> Action {
        self.step = Step::ReplaceHead;
        Action::Write {
            key: head::key(),
            value: self.head.1.rewritten().encode(),
            condition: self.head_condition(),
        }
    }

    pub(super) fn head_condition(&self) -> Condition {
        match self.head.0 {
            Revision { number: 0, .. } => Condition::Absent,
            revision => Condition::Revision(revision),
        }
    }
}
