//! Memory of requests that crashed a backend server.

use crate::request::short_digest;
use crate::{NotRun, RequestId, SendId};
use knapweed_world::{Name, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// How long a crash is remembered.
pub const RETENTION: Duration = Duration::from_secs(600);
/// Crashes after which a request is refused.
pub const MAX_CRASHES: usize = 2;
/// Crash ids kept in one record.
const MAX_IDS: usize = 4;

/// What a crash is attributed to: the identity of a request, or its content.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Subject(pub [u8; 16]);

impl Subject {
    /// The identity of a request.
    pub fn identity(id: RequestId) -> Self {
        Self(id.0)
    }

    /// The content of a request: route, method, path with query, and the
    /// first 64 KB of the body.
    pub fn content(route: &Name, method: &[u8], path: &[u8], body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [route.as_bytes(), method, path, body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(short_digest(hasher.finalize()))
    }
}

/// Number of a crash: the same at each node that learns of it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashId(pub u32);

impl CrashId {
    /// The crash that ended a send.
    pub fn of(send: SendId) -> Self {
        Self(send.attempt as u32 ^ (send.attempt >> 32) as u32)
    }
}

/// What is known about a subject, as it is disseminated.
///
/// Records of one subject are joined by union, so their order and repetition
/// do not matter.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evidence {
    /// Crashes of a backend server that ran it.
    pub crashes: BTreeSet<CrashId>,
    /// Those after which it was tried alone and did not crash.
    pub cleared: BTreeSet<CrashId>,
    /// Whether it has been refused for good.
    pub convicted: bool,
}

impl Evidence {
    /// Crashes that count.
    pub fn count(&self) -> usize {
        self.crashes.difference(&self.cleared).count()
    }

    /// Adds what `other` knows; `true` when something was new.
    fn join(&mut self, other: &Self) -> bool {
        let before = self.clone();
        self.crashes.extend(&other.crashes);
        self.cleared.extend(&other.cleared);
        self.convicted |= other.convicted || self.count() >= MAX_CRASHES;
        self.limit();
        *self != before
    }

    /// Drops cleared crashes first; more than [`MAX_CRASHES`] others change nothing.
    fn limit(&mut self) {
        while self.crashes.len() > MAX_IDS {
            let cleared = self.crashes.intersection(&self.cleared).next().copied();
            let drop = cleared.or(self.crashes.first().copied());
            self.crashes.retain(|id| Some(*id) != drop);
        }
        while self.cleared.len() > MAX_IDS {
            self.cleared.pop_first();
        }
    }
}

/// A record between nodes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashRecord {
    /// The subject.
    pub subject: Subject,
    /// What is known.
    pub evidence: Evidence,
    /// Seconds since the last crash.
    pub age_s: u16,
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It may.
    Clear,
    /// It may, with nothing beside it; [`CrashMemory::ended`] or
    /// [`CrashMemory::crashed`] must follow.
    Alone,
    /// It may not.
    Refuse(NotRun),
}

/// The identity and the content of a request.
#[derive(Clone, Copy, Debug)]
pub struct Suspect {
    /// Its identity.
    pub identity: Subject,
    /// Its content.
    pub content: Subject,
}

impl Suspect {
    fn subjects(&self) -> [Subject; 2] {
        [self.identity, self.content]
    }
}

#[derive(Debug)]
struct Entry {
    evidence: Evidence,
    last: Time,
    /// Until when a request is being tried alone.
    trial_until: Option<Time>,
}

/// Requests that crashed a backend server in the last ten minutes.
///
/// The oldest subjects are forgotten when there are too many.
#[derive(Debug)]
pub struct CrashMemory {
    max: usize,
    entries: HashMap<Subject, Entry>,
    /// Subjects in the order in which they were first seen.
    order: VecDeque<Subject>,
}

impl Default for CrashMemory {
    fn default() -> Self {
        Self::new(4_096)
    }
}

/// Construction and access.
impl CrashMemory {
    /// A memory for at most `max` subjects.
    pub fn new(max: usize) -> Self {
        Self {
            max,
            entries: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Number of subjects.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no subjects, so that [`CrashMemory::check`] need not be called.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Events.
impl CrashMemory {
    /// Decides whether a request may run now and, if alone, starts its trial.
    pub fn check(&mut self, suspect: &Suspect, deadline: Time, now: Time) -> Verdict {
        let subjects = suspect.subjects();
        let known = || subjects.iter().filter_map(|s| self.entries.get(s));
        if known().any(|e| e.evidence.convicted) {
            return Verdict::Refuse(NotRun::CrashesServers);
        }
        if known().all(|e| e.evidence.count() == 0) {
            return Verdict::Clear;
        }
        if known().any(|e| e.trial_until.is_some_and(|until| now < until)) {
            return Verdict::Refuse(NotRun::CrashSuspect);
        }
        self.set_trial(suspect, Some(deadline));
        Verdict::Alone
    }

    /// A backend server crashed while it ran the request; returns what to disseminate.
    pub fn crashed(&mut self, suspect: &Suspect, crash: CrashId, now: Time) -> Vec<CrashRecord> {
        let evidence = Evidence {
            crashes: [crash].into(),
            ..Evidence::default()
        };
        let records = suspect.subjects().map(|subject| {
            self.learn(subject, &evidence, now);
            self.record(subject, now)
        });
        self.set_trial(suspect, None);
        records.into_iter().flatten().collect()
    }

    /// A request that was tried alone ended; `answered` when the backend server
    /// has answered it. Returns what to disseminate.
    pub fn ended(&mut self, suspect: &Suspect, answered: bool, now: Time) -> Vec<CrashRecord> {
        self.set_trial(suspect, None);
        if !answered {
            return Vec::new();
        }
        let clear = |subject: Subject| {
            let entry = self.entries.get_mut(&subject)?;
            entry.evidence.cleared.extend(&entry.evidence.crashes);
            entry.evidence.limit();
            self.record(subject, now)
        };
        suspect.subjects().into_iter().filter_map(clear).collect()
    }

    /// Takes a record of another node; `true` when it should be passed on.
    pub fn merge(&mut self, record: &CrashRecord, now: Time) -> bool {
        let age = Duration::from_secs(u64::from(record.age_s));
        if age >= RETENTION {
            return false;
        }
        let last = Time(now.0.saturating_sub(age.as_micros() as u64));
        self.learn(record.subject, &record.evidence, last)
    }

    /// Forgets what has passed its retention; due every few seconds.
    pub fn tick(&mut self, now: Time) {
        self.entries.retain(|_, e| now.since(e.last) < RETENTION);
        let entries = &self.entries;
        self.order.retain(|s| entries.contains_key(s));
    }
}

/// Steps.
impl CrashMemory {
    fn learn(&mut self, subject: Subject, evidence: &Evidence, last: Time) -> bool {
        if !self.entries.contains_key(&subject) {
            self.make_room();
            self.order.push_back(subject);
        }
        let entry = self.entries.entry(subject).or_insert(Entry {
            evidence: Evidence::default(),
            last,
            trial_until: None,
        });
        entry.last = entry.last.max(last);
        entry.evidence.join(evidence)
    }

    fn make_room(&mut self) {
        if self.entries.len() < self.max {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.entries.remove(&oldest);
        }
    }

    fn set_trial(&mut self, suspect: &Suspect, until: Option<Time>) {
        for subject in suspect.subjects() {
            if let Some(entry) = self.entries.get_mut(&subject) {
                entry.trial_until = until;
            }
        }
    }

    fn record(&self, subject: Subject, now: Time) -> Option<CrashRecord> {
        let entry = self.entries.get(&subject)?;
        let age_s = u16::try_from(now.since(entry.last).as_secs()).unwrap_or(u16::MAX);
        Some(CrashRecord {
            subject,
            evidence: entry.evidence.clone(),
            age_s,
        })
    }
}
