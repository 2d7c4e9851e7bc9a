//! Verdicts on requests that crash backend servers, in the object store.
//!
//! Nodes learn verdicts from each other. The store keeps them for nodes that can reach no
//! other node that knows them: when all were killed, and while a node is cut off.

use super::Controller;
use crate::egress::Egress;
use knapweed_host::crash::verdicts::Verdicts;
use knapweed_host::crash::{CrashRecord, Subject};
use knapweed_observe::part;
use knapweed_store::{Condition, Error, ObjectKey, ObjectStore, Revision};
use knapweed_timer::TimerService;
use knapweed_world::Time;
use knapweed_zone::MemberState;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

/// Object kind and name of the document.
const KIND: &str = "mesh-verdicts";
const NAME: &str = "requests";
/// Interval at which a node reads the document while it is cut off.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Number of reads after the start. They may return an outdated document, which costs the
/// store less; the second one finds what the first was too early for.
const START_READS: u32 = 2;
/// Time between them: the store's outdated documents are seconds old.
const START_READ_INTERVAL: Duration = Duration::from_secs(4);
/// Interval of the reads after [`CUT_PERIOD`].
const SLOW_READ_INTERVAL: Duration = Duration::from_secs(10);
/// Time after which a node that sees most hosts dead takes them to be gone rather than
/// cut off.
const CUT_PERIOD: Duration = Duration::from_secs(30);
/// Attempts to read verdicts or to write new ones, while other nodes write theirs or the
/// store fails.
const MAX_ATTEMPTS: u32 = 20;
/// Time between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Number of verdicts that a process remembers to have written.
const MAX_WRITTEN: usize = 1_024;

/// Calls to the store for verdicts.
#[derive(Debug, Default)]
pub(super) struct VerdictCalls {
    /// Earliest time of the next read; `None` before the first one.
    next_read: Option<Time>,
    /// Reads after the start, [`START_READS`] at most.
    start_reads: u32,
    /// Since when most other hosts have been out of reach.
    cut_off_since: Option<Time>,
    /// Subjects of verdicts that this process has written, [`MAX_WRITTEN`] at most.
    written: HashSet<Subject>,
}

impl VerdictCalls {
    /// Lets the verdicts be written again, because the store may have lost them.
    pub(super) fn forget_written(&mut self) {
        self.written.clear();
    }
}

impl Controller {
    /// Reads the verdicts after the start, and while most other hosts are out of reach.
    ///
    /// A node that keeps objects in the store writes the verdicts that are new.
    pub(super) fn verdict_tick(&mut self, now: Time) {
        self.store_verdicts();
        let is_cut_off = self.is_cut_off();
        let calls = &mut self.verdicts;
        calls.cut_off_since = match is_cut_off {
            true => calls.cut_off_since.or(Some(now)),
            false => None,
        };
        let is_starting = calls.start_reads < START_READS;
        let waits = |next: Time| now < next || !(is_cut_off || is_starting);
        if calls.next_read.is_some_and(waits) {
            return;
        }
        let cut_off_for = calls.cut_off_since.map(|at| now.since(at));
        let interval = match cut_off_for {
            _ if is_starting => START_READ_INTERVAL,
            Some(time) if time >= CUT_PERIOD => SLOW_READ_INTERVAL,
            Some(_) | None => READ_INTERVAL,
        };
        // Later reads are repeated by the next tick that is due.
        let attempts = match calls.next_read.replace(now.after(interval)) {
            None => MAX_ATTEMPTS,
            Some(_) => 1,
        };
        calls.start_reads += u32::from(is_starting);
        let freshness = match is_starting && !is_cut_off {
            true => Freshness::Outdated,
            false => Freshness::Latest,
        };
        let stored = self.stored_verdicts();
        tokio::spawn(async move { stored.adopt_within(attempts, freshness).await });
    }

    /// Writes the verdicts that this node has not written yet, if it has the duty to keep
    /// objects in the store.
    fn store_verdicts(&mut self) {
        let egress = &self.dependencies.egress;
        if !self.membership.role().keeps_tickets || egress.crash_counts().convicted == 0 {
            return;
        }
        let mut records = egress.crash_records();
        records.retain(|r| r.evidence.convicted && !self.verdicts.written.contains(&r.subject));
        if records.is_empty() {
            return;
        }
        if self.verdicts.written.len() >= MAX_WRITTEN {
            self.verdicts.written.clear();
        }
        let subjects = records.iter().map(|r| r.subject);
        self.verdicts.written.extend(subjects);
        let stored = self.stored_verdicts();
        tokio::spawn(async move { stored.add_with_retries(&records).await });
    }

    /// Whether this node sees fewer than half of the other hosts that it knows alive.
    fn is_cut_off(&self) -> bool {
        let directory = self.membership.directory();
        let own = &self.membership.own().host;
        let others = directory.iter().map(|(_, r)| r).filter(|r| r.host != *own);
        let (alive, all) = others.fold((0, 0), |(alive, all), record| {
            (
                alive + u32::from(record.state == MemberState::Alive),
                all + 1,
            )
        });
        alive * 2 < all
    }

    fn stored_verdicts(&self) -> StoredVerdicts {
        StoredVerdicts {
            store: Arc::clone(&self.dependencies.store),
            egress: Arc::clone(&self.dependencies.egress),
            timer: self.dependencies.timer.clone(),
            key: ObjectKey::new(KIND, NAME),
        }
    }
}

/// Which state of the document a read returns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Freshness {
    /// The latest one.
    Latest,
    /// One that may be seconds old.
    Outdated,
}

/// Access to the document.
struct StoredVerdicts {
    store: Arc<dyn ObjectStore>,
    egress: Arc<Egress>,
    timer: TimerService,
    key: ObjectKey,
}

impl StoredVerdicts {
    /// Reads the verdicts and the revision of the document; `None` when there is none.
    async fn read(&self, freshness: Freshness) -> Result<(Verdicts, Option<Revision>), Error> {
        let object = match freshness {
            Freshness::Latest => self.store.read(&self.key).await?,
            Freshness::Outdated => {
                let listing = self.store.list_outdated(KIND).await?;
                let mut objects = listing.objects.into_iter();
                objects.find(|(key, _)| *key == self.key).map(|(_, o)| o)
            }
        };
        let Some(object) = object else {
            return Ok((Verdicts::default(), None));
        };
        let verdicts = serde_json::from_slice(&object.value);
        let verdicts = verdicts.unwrap_or_else(|err| {
            log::warn!(target: part::MEMBER, "the stored verdicts cannot be read: {err}");
            Verdicts::default()
        });
        Ok((verdicts, Some(object.revision)))
    }

    /// Merges the stored verdicts into the crash memory of this node.
    async fn adopt_within(&self, attempts: u32, freshness: Freshness) {
        for _ in 0..attempts {
            match self.read(freshness).await {
                Ok((verdicts, _)) => return self.adopt(&verdicts),
                Err(err) => log::info!(target: part::MEMBER, "could not read verdicts: {err}"),
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    async fn add_with_retries(&self, records: &[CrashRecord]) {
        for _ in 0..MAX_ATTEMPTS {
            match self.add(records).await {
                Ok(()) => return,
                Err(err) => log::info!(target: part::MEMBER, "could not store a verdict: {err}"),
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Adds the verdicts in `records` to the document.
    ///
    /// # Errors
    ///
    /// The store failed, or another node has changed the document meanwhile.
    async fn add(&self, records: &[CrashRecord]) -> Result<(), Error> {
        let (mut verdicts, revision) = self.read(Freshness::Latest).await?;
        if !verdicts.add(records, self.timer.wall_clock()) {
            return Ok(());
        }
        let value = serde_json::to_vec(&verdicts);
        let value = value.map_err(|e| Error::Malformed(e.to_string()))?;
        let condition = revision.map_or(Condition::Absent, Condition::Revision);
        let written = self.store.write(&self.key, value.into(), condition).await;
        written.map(drop)
    }

    fn adopt(&self, verdicts: &Verdicts) {
        let records = verdicts.records(self.timer.wall_clock());
        self.egress.merge_crashes(records);
    }
}
