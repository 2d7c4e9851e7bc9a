//! A state machine that accepts or refuses a ticket. It does no I/O itself.
//!
//! Its events are responses of the object store; its actions are the next store
//! operation or the final outcome. Several processes may run the state machine
//! for the same ticket at the same time, and each may crash at any step. The
//! following rules keep the outcome unique:
//!
//! - Every pass reads the head before the record. A ticket's progress is written
//!   to its record before the head evicts the ticket from its recent tickets, so
//!   one of the two reads shows every acceptance up to that head.
//! - A decision depends only on the attempt in the record (a revision of the head
//!   and a time) and on data that is the same on all nodes. Both results are
//!   conditional writes: an acceptance requires that revision of the head, a
//!   refusal requires the record that holds that attempt.
//! - An attempt is replaced only by one with a higher revision of the head, so
//!   that a pending acceptance of the old attempt fails.
//! - After a lost response, the next pass reads the current state before it
//!   writes again.

mod attempt;
pub mod conflict;
mod decide;
mod outcome;
mod writes;

pub use decide::Policy;
pub use outcome::Outcome;

use crate::head::{self, Accepted};
use crate::result::{self, FinalResult, Record, StoredRecord};
use crate::{Digest, Head, PartCache, Ticket, parts};
use bytes::Bytes;
use decide::Proposal;
use knapweed_store::{Condition, Error, Object, ObjectKey, Revision};
use knapweed_world::{TicketNumber, UnixMillis};
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum age of an attempt. An older one is replaced, because its time becomes
/// the time of acceptance, from which deadlines are computed.
pub const MAX_ATTEMPT_AGE: Duration = Duration::from_secs(5);

/// Input of the state machine: the result of the last action.
#[derive(Clone, Debug)]
pub enum Event {
    /// Starts the first pass.
    Start,
    /// Result of [`Action::Read`]; `None` if the object does not exist.
    Read(Result<Option<Object>, Error>),
    /// Result of [`Action::Write`]: the new revision of the object.
    Written(Result<Revision, Error>),
    /// The wait of [`Action::Wait`] has elapsed; starts the next pass.
    Waited,
}

/// Why a pass ended without an outcome and is repeated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RetryCause {
    /// A conditional write failed because another process wrote first.
    Contention,
    /// The object store refused a call because of its rate limit.
    Throttled,
    /// The object store failed, or an object could not be decoded.
    Fault(String),
}

impl From<&Error> for RetryCause {
    fn from(error: &Error) -> Self {
        match error {
            Error::Conflict { .. } => Self::Contention,
            Error::Throttled => Self::Throttled,
            error => Self::Fault(error.to_string()),
        }
    }
}

/// Output of the state machine: what the caller does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Read the object with this key.
    Read(ObjectKey),
    /// Write an object if the condition holds.
    Write {
        /// Key of the object.
        key: ObjectKey,
        /// Its new value.
        value: Bytes,
        /// Precondition on the stored object.
        condition: Condition,
    },
    /// Back off and send [`Event::Waited`], or stop with [`Acceptance::give_up`].
    Wait(RetryCause),
    /// The acceptance is complete with this outcome.
    Finish(Outcome),
}

/// The operation in progress, whose result the next event carries.
#[derive(Clone, Debug)]
enum Step {
    Idle,
    ReadHead,
    ReadRecord,
    StoreAttempt(Box<Record>),
    ReplaceHead,
    ReadPart(Digest),
    WritePart(Digest),
    ReadEvicted(Accepted),
    WriteEvicted,
    WriteHead(Accepted),
    WriteProgress(Accepted),
    WriteResult(Box<FinalResult>),
}

/// State of one process that accepts a ticket.
pub struct Acceptance<'a> {
    ticket: Ticket,
    digest: Digest,
    policy: &'a Policy,
    cache: &'a mut PartCache,
    step: Step,
    head: (Revision, Head),
    record: Option<StoredRecord>,
    proposal: Option<Proposal>,
    unwritten_parts: VecDeque<Digest>,
    /// Revision of the head that a head write without a response required. While the
    /// head still has it, the write may take effect later.
    pending_write: Option<Revision>,
    /// Whether another process may be working on the same ticket.
    concurrent: bool,
    accepted: Option<Accepted>,
}

/// Construction and event handling.
impl<'a> Acceptance<'a> {
    /// Creates the state machine that starts or resumes the acceptance of `ticket`.
    pub fn new(ticket: Ticket, policy: &'a Policy, cache: &'a mut PartCache) -> Self {
        Self {
            digest: ticket.digest(),
            ticket,
            policy,
            cache,
            step: Step::Idle,
            head: (Revision::ABSENT, Head::default()),
            record: None,
            proposal: None,
            unwritten_parts: VecDeque::new(),
            pending_write: None,
            concurrent: false,
            accepted: None,
        }
    }

    /// Processes the result of the last action and returns the next action.
    pub fn handle(&mut self, event: Event, now: UnixMillis) -> Action {
        let step = std::mem::replace(&mut self.step, Step::Idle);
        match event {
            Event::Start | Event::Waited => self.read(head::key(), Step::ReadHead),
            Event::Read(Ok(object)) => self.on_read(step, object, now),
            Event::Written(Ok(revision)) => self.on_written(step, revision),
            Event::Read(Err(e)) => Action::Wait(RetryCause::from(&e)),
            Event::Written(Err(e)) => self.on_write_error(step, e),
        }
    }

    /// Returns the outcome if the caller stops retrying after `reason`.
    pub fn give_up(&self, reason: &RetryCause) -> Outcome {
        let reason = match reason {
            RetryCause::Contention => "other processes wrote first on every attempt".to_owned(),
            RetryCause::Throttled => Error::Throttled.to_string(),
            RetryCause::Fault(reason) => reason.clone(),
        };
        match self.accepted {
            Some(accepted) => accepted.into(),
            None if self.pending_write.is_some() || self.concurrent => Outcome::Unknown { reason },
            None => Outcome::Unavailable { reason },
        }
    }
}

/// Dispatch of store responses by step.
impl Acceptance<'_> {
    fn on_read(&mut self, step: Step, object: Option<Object>, now: UnixMillis) -> Action {
        match step {
            Step::ReadHead => self.handle_head(object),
            Step::ReadRecord => self.handle_record(object, now),
            Step::ReadPart(digest) => self.handle_part(digest, object),
            Step::ReadEvicted(evicted) => self.handle_evicted(evicted, object),
            _ => Action::Wait(RetryCause::Contention),
        }
    }

    fn on_written(&mut self, step: Step, revision: Revision) -> Action {
        match step {
            Step::StoreAttempt(record) => {
                let record = *record;
                self.record = Some(StoredRecord { revision, record });
                self.decide()
            }
            Step::WritePart(_) => self.write_next_part(),
            Step::WriteEvicted => self.write_head(),
            Step::WriteHead(_) if revision.era != self.head.0.era => self.write_parts_again(),
            Step::WriteHead(accepted) => {
                self.cache_parts();
                self.write_progress(accepted)
            }
            Step::WriteProgress(accepted) => Action::Finish(accepted.into()),
            Step::WriteResult(result) => Action::Finish(Outcome::of_result(&result)),
            _ => Action::Wait(RetryCause::Contention),
        }
    }

    fn on_write_error(&mut self, step: Step, e: Error) -> Action {
        if matches!(step, Step::WriteHead(_)) && e.may_have_effect() {
            self.pending_write = Some(self.head.0);
        }
        match (step, e) {
            (Step::WritePart(digest), Error::Conflict { current, .. }) => {
                let condition = current.map_or(Condition::Absent, Condition::Revision);
                self.write_part(digest, condition)
            }
            (_, e) => Action::Wait(RetryCause::from(&e)),
        }
    }
}

/// Processing of objects that were read.
impl Acceptance<'_> {
    fn number(&self) -> TicketNumber {
        self.ticket.ticket
    }

    fn read(&mut self, key: ObjectKey, step: Step) -> Action {
        self.step = step;
        Action::Read(key)
    }

    fn handle_head(&mut self, object: Option<Object>) -> Action {
        match Head::decode(object.as_ref()) {
            Ok(head) => self.head = head,
            Err(e) => return Action::Wait(RetryCause::Fault(e.to_string())),
        }
        self.read(result::key(self.number()), Step::ReadRecord)
    }

    fn handle_record(&mut self, object: Option<Object>, now: UnixMillis) -> Action {
        let Some(object) = object else {
            return self.create_record(now);
        };
        let stored = match StoredRecord::decode(&object) {
            Ok(stored) => stored,
            Err(e) => return Action::Wait(RetryCause::Fault(e.to_string())),
        };
        let record = &stored.record;
        if record.digest != self.digest {
            let number = self.number();
            return Action::Finish(Outcome::NumberTaken { number });
        }
        if let Some(accepted) = record.progress {
            return Action::Finish(accepted.into());
        }
        let result = record.result.clone();
        let known = self.record.as_ref().map(|s| &s.record);
        self.concurrent |= known != Some(record);
        self.record = Some(stored);
        if let Some(accepted) = self.head.1.accepted(self.number()) {
            return self.write_progress(accepted);
        }
        if let Some(result) = result {
            return Action::Finish(Outcome::of_result(&result));
        }
        if self
            .pending_write
            .is_some_and(|revision| revision != self.head.0)
        {
            self.pending_write = None;
        }
        self.check_attempt(now)
    }

    fn handle_part(&mut self, digest: Digest, object: Option<Object>) -> Action {
        let Some(object) = object else {
            return Action::Wait(RetryCause::Contention);
        };
        let content = match parts::decode_object(&object) {
            Ok(content) => content,
            Err(e) => return Action::Wait(RetryCause::Fault(format!("the part {digest}: {e}"))),
        };
        if self.cache.insert(content) != digest {
            let reason = format!("the content of the part {digest} does not match its digest");
            return Action::Wait(RetryCause::Fault(reason));
        }
        self.decide()
    }

    fn handle_evicted(&mut self, evicted: Accepted, object: Option<Object>) -> Action {
        // If the record is missing or unreadable, there is no progress to write.
        let stored = object.and_then(|object| StoredRecord::decode(&object).ok());
        let write = stored.and_then(|s| Some((s.record.with_progress(evicted)?, s.condition())));
        let Some((record, condition)) = write else {
            return self.write_head();
        };
        self.step = Step::WriteEvicted;
        Action::Write {
            key: result::key(evicted.ticket),
            value: record.encode(),
            condition,
        }
    }
}
