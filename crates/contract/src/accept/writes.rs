//! Makes the decision about a ticket and writes parts, head, progress and result.

use super::decide::{self, Proposal, Verdict};
use super::{Acceptance, Action, RetryCause, Step};
use crate::head::{self, Accepted};
use crate::result::{self, FinalResult};
use crate::{Digest, parts};
use knapweed_store::Condition;

/// The decision and the writes that carry it out.
impl Acceptance<'_> {
    pub(super) fn decide(&mut self) -> Action {
        let missing = self.cache.missing(&self.head.1);
        if let Some(digest) = missing.first().copied() {
            return self.read(parts::key(&digest), Step::ReadPart(digest));
        }
        let Some(stored) = &self.record else {
            return Action::Wait(RetryCause::Contention);
        };
        let at = stored.record.attempt.at;
        match decide::decide(&stored.record, &self.head.1, self.cache, self.policy) {
            Ok(Verdict::Accept(proposal)) => self.write_parts(proposal),
            Ok(Verdict::Refuse(ending)) => self.write_result(FinalResult::new(ending, at)),
            Err(e) => Action::Wait(RetryCause::Fault(e.to_string())),
        }
    }

    fn write_parts(&mut self, proposal: Proposal) -> Action {
        let present: Vec<_> = self.head.1.digests().collect();
        let absent = proposal
            .parts
            .contents
            .keys()
            .filter(|d| !present.contains(d));
        self.unwritten_parts = absent.copied().collect();
        self.proposal = Some(proposal);
        self.write_next_part()
    }

    /// Writes the parts of the head that was just written once more.
    ///
    /// The condition that there is no head holds in every era of the store, so the parts may
    /// have been lost before the head was written. The write of the head that follows fails,
    /// and the acceptance goes on from what is stored.
    pub(super) fn write_parts_again(&mut self) -> Action {
        match self.proposal.take() {
            Some(proposal) => self.write_parts(proposal),
            None => Action::Wait(RetryCause::Contention),
        }
    }

    pub(super) fn write_next_part(&mut self) -> Action {
        match self.unwritten_parts.pop_front() {
            Some(digest) => self.write_part(digest, Condition::Absent),
            None => match self.head.1.next_evicted() {
                Some(evicted) => self.read(result::key(evicted.ticket), Step::ReadEvicted(evicted)),
                None => self.write_head(),
            },
        }
    }

    /// Writes a part even if an unused one with the same content exists. Its new
    /// revision prevents its garbage collection before the head refers to it.
    pub(super) fn write_part(&mut self, digest: Digest, condition: Condition) -> Action {
        let content = self
            .proposal
            .as_ref()
            .and_then(|n| n.parts.contents.get(&digest));
        let Some(content) = content else {
            return Action::Wait(RetryCause::Contention);
        };
        let written_for = parts::WrittenFor {
            ticket: self.number(),
            head: self.head.0,
        };
        let value = parts::encode_object(content, written_for);
        self.step = Step::WritePart(digest);
        Action::Write {
            key: parts::key(&digest),
            value,
            condition,
        }
    }

    pub(super) fn write_head(&mut self) -> Action {
        let Some(proposal) = &self.proposal else {
            return Action::Wait(RetryCause::Contention);
        };
        let value = proposal.head.encode();
        self.step = Step::WriteHead(proposal.accepted);
        Action::Write {
            key: head::key(),
            value,
            condition: self.head_condition(),
        }
    }

    /// Adds the parts of the head just written to the cache; they are loaded next.
    pub(super) fn cache_parts(&mut self) {
        let contents = self.proposal.take().map(|proposal| proposal.parts.contents);
        for (digest, content) in contents.unwrap_or_default() {
            if self.cache.get(&digest).is_none() {
                self.cache.insert(content);
            }
        }
    }

    pub(super) fn write_progress(&mut self, accepted: Accepted) -> Action {
        self.accepted = Some(accepted);
        let write = self.record.as_ref();
        let write = write.and_then(|s| Some((s.record.with_progress(accepted)?, s.condition())));
        let Some((record, condition)) = write else {
            return Action::Finish(accepted.into());
        };
        self.step = Step::WriteProgress(accepted);
        Action::Write {
            key: result::key(self.number()),
            value: record.encode(),
            condition,
        }
    }

    fn write_result(&mut self, result: FinalResult) -> Action {
        let Some(stored) = &self.record else {
            return Action::Wait(RetryCause::Contention);
        };
        let (condition, mut record) = (stored.condition(), stored.record.clone());
        record.result = Some(result.clone());
        self.step = Step::WriteResult(Box::new(result));
        Action::Write {
            key: result::key(self.number()),
            value: record.encode(),
            condition,
        }
    }
}
