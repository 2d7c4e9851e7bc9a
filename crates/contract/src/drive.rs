//! Executes the acceptance state machine against an object store, and reads and
//! updates heads, records and configurations.

mod backoff;

pub use backoff::BackoffOptions;

use crate::accept::{Action, Event, Policy, RetryCause};
use crate::result::{FinalResult, Record, StoredRecord};
use crate::{Acceptance, Digest, Head, Outcome, PartCache, Ticket, head, parts, result};
use backoff::Backoff;
use knapweed_store::{Error as StoreError, ObjectStore, Revision, StoreFuture};
use knapweed_world::{Config, TicketNumber, UnixMillis};
use std::collections::BTreeSet;
use std::time::{SystemTime, UNIX_EPOCH};

/// Source of wall-clock time, which tests replace.
pub trait WallClock: Send + Sync {
    /// Returns the current time.
    fn now(&self) -> UnixMillis;
}

/// The wall clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl WallClock for SystemClock {
    fn now(&self) -> UnixMillis {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        UnixMillis(since.unwrap_or_default().as_millis() as u64)
    }
}

/// Error of reading or updating a record, head or configuration.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The value of a part object cannot be decoded.
    #[error("the object of the part {0} cannot be read: {1}")]
    PartObject(Digest, String),
    /// The object store still failed after all retries.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The head object cannot be decoded.
    #[error(transparent)]
    Head(#[from] head::Error),
    /// A part is missing or does not match the head.
    #[error(transparent)]
    Part(#[from] parts::Error),
    /// The record of a ticket cannot be decoded or updated.
    #[error("ticket {ticket}: {error}")]
    Record {
        /// The ticket whose record it is.
        ticket: TicketNumber,
        /// Why the record cannot be decoded or updated.
        error: result::Error,
    },
    /// The ticket has no record, because it was never filed.
    #[error("ticket {0} is not filed")]
    NotFiled(TicketNumber),
    /// Every conditional write of the record failed, because other processes changed
    /// it first.
    #[error("ticket {0}: other processes changed the record on every attempt")]
    Contention(TicketNumber),
}

/// Performs operations on tickets against an object store, with retries.
pub struct Driver<'a> {
    store: &'a dyn ObjectStore,
    clock: &'a dyn WallClock,
    policy: Policy,
    backoff: BackoffOptions,
}

/// Construction and options.
impl<'a> Driver<'a> {
    /// Creates a driver with the default policy and backoff.
    pub fn new(store: &'a dyn ObjectStore, clock: &'a dyn WallClock) -> Self {
        Self {
            store,
            clock,
            policy: Policy::default(),
            backoff: BackoffOptions::default(),
        }
    }

    /// Sets the rollout defaults and the source of traffic shares.
    pub fn policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Sets the limits of retries and waits.
    pub fn backoff(mut self, backoff: BackoffOptions) -> Self {
        self.backoff = backoff;
        self
    }
}

/// Filing of tickets.
impl Driver<'_> {
    /// Files the ticket in `document`, or resumes its acceptance.
    ///
    /// Reads only the parts that `cache` lacks, and adds them to it. The future may
    /// be dropped at any point; a later call resumes the acceptance.
    pub async fn file(&self, document: &[u8], cache: &mut PartCache) -> Outcome {
        match Ticket::parse(document) {
            Ok(ticket) => self.accept(ticket, cache).await,
            Err(error) => Outcome::Malformed { error },
        }
    }

    async fn accept(&self, ticket: Ticket, cache: &mut PartCache) -> Outcome {
        let mut backoff = Backoff::new(&self.backoff);
        let mut acceptance = Acceptance::new(ticket, &self.policy, cache);
        let mut event = Event::Start;
        loop {
            event = match acceptance.handle(event, self.clock.now()) {
                Action::Read(key) => Event::Read(self.store.read(&key).await),
                Action::Write {
                    key,
                    value,
                    condition,
                } => Event::Written(self.store.write(&key, value, condition).await),
                Action::Wait(cause) => match backoff.wait(&cause).await {
                    true => Event::Waited,
                    false => return acceptance.give_up(&cause),
                },
                Action::Finish(outcome) => return outcome,
            };
        }
    }
}

/// Reads of records, heads and configurations.
impl Driver<'_> {
    /// Reads the record of a ticket; `None` if it was never filed.
    pub async fn record(&self, ticket: TicketNumber) -> Result<Option<Record>, Error> {
        Ok(self.read_record(ticket).await?.map(|s| s.record))
    }

    /// Lists the numbers of all filed tickets in ascending order.
    pub async fn tickets(&self) -> Result<Vec<TicketNumber>, Error> {
        let list = self.retry(|| self.store.list(result::KIND)).await?;
        let numbers = list.objects.iter();
        let numbers = numbers.filter_map(|(key, _)| result::ticket_from_key(key));
        let mut numbers: Vec<_> = numbers.collect();
        numbers.sort_unstable();
        Ok(numbers)
    }

    /// Reads the head and its revision. Before the first ticket, the result is an
    /// empty head of version 0 with revision 0.
    pub async fn head(&self) -> Result<(Revision, Head), Error> {
        let key = head::key();
        let object = self.retry(|| self.store.read(&key)).await?;
        Ok(Head::decode(object.as_ref())?)
    }

    /// Loads the whole configuration of a head.
    ///
    /// Reads only the parts that `cache` lacks, and adds them to it. Fails with
    /// [`parts::Error::Missing`] if the head is so old that some of its parts were
    /// deleted; the caller then has to read the head again.
    pub async fn load_config(&self, head: &Head, cache: &mut PartCache) -> Result<Config, Error> {
        for digest in cache.missing(head) {
            let key = parts::key(&digest);
            if let Some(object) = self.retry(|| self.store.read(&key)).await? {
                let content = parts::decode_object(&object);
                let content = content.map_err(|e| Error::PartObject(digest, e.to_string()))?;
                cache.insert(content);
            }
        }
        Ok(parts::join(head, cache)?)
    }

    /// Loads the current head and its configuration.
    ///
    /// Reads the head again if parts of it were deleted in the meantime.
    pub async fn load_newest(
        &self,
        cache: &mut PartCache,
    ) -> Result<(Revision, Head, Config), Error> {
        let mut backoff = Backoff::new(&self.backoff);
        loop {
            let (revision, head) = self.head().await?;
            let e = match self.load_config(&head, cache).await {
                Ok(config) => return Ok((revision, head, config)),
                Err(e) => e,
            };
            let missing = matches!(e, Error::Part(parts::Error::Missing { .. }));
            if !missing || !backoff.wait(&RetryCause::Contention).await {
                return Err(e);
            }
        }
    }

    async fn read_record(&self, ticket: TicketNumber) -> Result<Option<StoredRecord>, Error> {
        let key = result::key(ticket);
        let object = self.retry(|| self.store.read(&key)).await?;
        let stored = object.as_ref().map(StoredRecord::decode).transpose();
        stored.map_err(|error| Error::Record { ticket, error })
    }

    /// Repeats `call` with backoff until it succeeds or no retry is left.
    async fn retry<'b, T>(&self, call: impl Fn() -> StoreFuture<'b, T>) -> Result<T, StoreError> {
        let mut backoff = Backoff::new(&self.backoff);
        loop {
            let e = match call().await {
                Ok(answer) => return Ok(answer),
                Err(e) => e,
            };
            if !backoff.wait(&RetryCause::from(&e)).await {
                return Err(e);
            }
        }
    }
}

/// Updates of the records of accepted tickets.
impl Driver<'_> {
    /// Writes the progress of every recent ticket of `head` whose record lacks it,
    /// and returns those tickets.
    ///
    /// A record lacks it if the filing process stopped after it wrote the head.
    /// The method is best called one second after a change of the head: by then the
    /// filing process is usually done, which avoids write conflicts between the
    /// two.
    ///
    /// `known` holds the recent tickets that were already processed, so that each
    /// record is read only once. A missing or unreadable record is skipped, so that
    /// it does not block the others.
    pub async fn record_missing_acceptances(
        &self,
        head: &Head,
        known: &mut BTreeSet<TicketNumber>,
    ) -> Result<Vec<TicketNumber>, Error> {
        known.retain(|ticket| head.accepted(*ticket).is_some());
        let mut finished = Vec::new();
        for accepted in &head.recent {
            let ticket = accepted.ticket;
            if known.contains(&ticket) {
                continue;
            }
            let update = self.update(ticket, |r| Ok(r.with_progress(*accepted)));
            let wrote = match update.await {
                Ok(wrote) => wrote,
                Err(Error::NotFiled(_) | Error::Record { .. }) => false,
                Err(e) => return Err(e),
            };
            known.insert(ticket);
            finished.extend(wrote.then_some(ticket));
        }
        Ok(finished)
    }

    /// Writes the final result of an accepted ticket unless it already has one, and
    /// returns the stored result: `result` or the earlier one.
    pub async fn write_final_result(
        &self,
        ticket: TicketNumber,
        result: &FinalResult,
    ) -> Result<FinalResult, Error> {
        let (_, head) = self.head().await?;
        if let Some(accepted) = head.accepted(ticket) {
            self.update(ticket, |r| Ok(r.with_progress(accepted)))
                .await?;
        }
        match self.update(ticket, |r| r.with_result(result)).await {
            Ok(_) => Ok(result.clone()),
            Err(Error::Record {
                error: result::Error::HasResult(old),
                ..
            }) => Ok(*old),
            Err(e) => Err(e),
        }
    }

    /// Applies `change` to a record with a conditional write, and retries until the
    /// write succeeds or `change` returns `None`.
    ///
    /// Returns whether this call may have changed the record.
    async fn update(
        &self,
        ticket: TicketNumber,
        change: impl Fn(&Record) -> Result<Option<Record>, result::Error>,
    ) -> Result<bool, Error> {
        let mut backoff = Backoff::new(&self.backoff);
        let mut wrote = false;
        loop {
            let Some(stored) = self.read_record(ticket).await? else {
                return Err(Error::NotFiled(ticket));
            };
            let changed = change(&stored.record);
            let Some(next) = changed.map_err(|error| Error::Record { ticket, error })? else {
                return Ok(wrote);
            };
            let key = result::key(ticket);
            let write = self.store.write(&key, next.encode(), stored.condition());
            let (cause, e) = match write.await {
                Ok(_) => return Ok(true),
                Err(StoreError::Conflict { .. }) => {
                    (RetryCause::Contention, Error::Contention(ticket))
                }
                Err(e) => {
                    wrote |= e.may_have_effect();
                    (RetryCause::from(&e), e.into())
                }
            };
            if !backoff.wait(&cause).await {
                return Err(e);
            }
        }
    }
}
