//! Remembers which requests crashed a backend server and decides whether they may run.

pub mod verdicts;

use crate::request::short_digest;
use crate::{NotRun, RequestId, SendId};
use knapweed_world::Time;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::fmt;
use std::time::Duration;

/// How long evidence is kept after the last crash.
pub const RETENTION: Duration = Duration::from_secs(600);
/// Number of crashes after which a request is refused.
pub const MAX_CRASHES: usize = 2;
/// Length of the body prefix that belongs to the content of a request, in bytes.
pub const MAX_CONTENT_LEN: usize = 64 * 1024;
/// Maximum number of crash ids in each set of one record.
const MAX_IDS: usize = 4;

/// Digest that a crash is attributed to: the identity or the content of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Subject(pub [u8; 16]);

impl Subject {
    /// The subject for the identity of a request.
    pub fn identity(id: RequestId) -> Self {
        Self(id.0)
    }

    /// The subject for the content of a request: what its caller sent, and nothing that
    /// depends on the configuration or on how the body arrived. Of `body`, the first
    /// [`MAX_CONTENT_LEN`] bytes count; `host` is compared without case.
    pub fn content(host: &[u8], method: &[u8], path_and_query: &[u8], body: &[u8]) -> Self {
        let body = &body[..body.len().min(MAX_CONTENT_LEN)];
        let host = host.to_ascii_lowercase();
        let mut hasher = blake3::Hasher::new();
        for part in [&host, method, path_and_query, body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(short_digest(hasher.finalize()))
    }
}

impl fmt::Display for Subject {
    /// Writes the first 8 bytes in hexadecimal, which is enough to tell log lines apart.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..8]
            .iter()
            .try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Identifier of a crash, the same on every node that learns of it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashId(pub u32);

impl CrashId {
    /// The identifier of the crash that ended `send`.
    pub fn of(send: SendId) -> Self {
        Self(send.attempt as u32 ^ (send.attempt >> 32) as u32)
    }
}

/// Evidence about a subject, as nodes disseminate it.
///
/// Evidence is merged by set union, so the order and the repetition of records
/// do not matter.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evidence {
    /// Crashes of a backend server while it ran the request.
    pub crashes: BTreeSet<CrashId>,
    /// Crashes after which the request was tried exclusively and did not crash the server.
    pub cleared: BTreeSet<CrashId>,
    /// Whether the request is refused for as long as the evidence is kept.
    pub convicted: bool,
}

impl Evidence {
    /// Number of crashes that are not cleared.
    pub fn count(&self) -> usize {
        self.crashes.difference(&self.cleared).count()
    }

    /// Merges `other`; returns `true` when it added something.
    fn merge_from(&mut self, other: &Self) -> bool {
        let before = self.clone();
        self.crashes.extend(&other.crashes);
        self.cleared.extend(&other.cleared);
        self.convicted |= other.convicted || self.count() >= MAX_CRASHES;
        self.limit();
        *self != before
    }

    /// Whether a request of the subject is refused or tried exclusively.
    fn is_held_against(&self) -> bool {
        self.convicted || self.count() > 0
    }

    /// Bounds the sets. A verdict replaces its crashes, so that all copies of it are
    /// equal; cleared crashes are dropped before others.
    fn limit(&mut self) {
        if self.convicted {
            self.crashes.clear();
            self.cleared.clear();
        }
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

/// Evidence about one subject, as sent between nodes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashRecord {
    /// Identity or content that the evidence is about.
    pub subject: Subject,
    /// Crashes and verdict so far.
    pub evidence: Evidence,
    /// Milliseconds since the last crash, rounded up, so that evidence does not get
    /// younger on its way through many nodes.
    pub age_ms: u32,
}

impl CrashRecord {
    /// The record of a crash that has just happened.
    pub fn of_crash(subject: Subject, crash: CrashId) -> Self {
        let evidence = Evidence {
            crashes: [crash].into(),
            ..Evidence::default()
        };
        Self {
            subject,
            evidence,
            age_ms: 0,
        }
    }
}

/// Digest of the evidence in a [`CrashMemory`]; equal in two memories that refuse and
/// suspect the same requests for the same crashes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashDigest(pub u64);

/// What is held against a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Suspicion {
    /// Nothing.
    None,
    /// It crashed a backend server and may run exclusively.
    Suspected,
    /// It crashed several backend servers and is refused.
    Convicted,
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It may run.
    Clear,
    /// It may run if no other request runs beside it; [`CrashMemory::ended`] or
    /// [`CrashMemory::crashed`] must be called when it ends.
    Exclusive,
    /// It may not run.
    Refuse(NotRun),
}

/// The subjects of one request: a crash counts against both.
#[derive(Clone, Copy, Debug)]
pub struct CrashSubjects {
    /// Subject for the identity of the request.
    pub identity: Subject,
    /// Subject for the content of the request.
    pub content: Subject,
}

impl CrashSubjects {
    fn subjects(&self) -> [Subject; 2] {
        [self.identity, self.content]
    }
}

#[derive(Debug)]
struct Entry {
    evidence: Evidence,
    last_crash_at: Time,
    /// End of the running trial: until then, other requests of the subject are refused.
    trial_until: Option<Time>,
}

/// Evidence about the requests that crashed a backend server within [`RETENTION`].
///
/// The subjects that were seen first are evicted when there are too many.
#[derive(Debug)]
pub struct CrashMemory {
    max: usize,
    entries: HashMap<Subject, Entry>,
    /// Subjects in the order in which they were added.
    order: VecDeque<Subject>,
}

impl Default for CrashMemory {
    fn default() -> Self {
        Self::new(4_096)
    }
}

/// Construction and size.
impl CrashMemory {
    /// Creates an empty memory for at most `max` subjects.
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

    /// Number of subjects by verdict; those whose crashes are all cleared are not counted.
    pub fn counts(&self) -> CrashCounts {
        let mut counts = CrashCounts::default();
        for entry in self.entries.values() {
            counts.convicted += usize::from(entry.evidence.convicted);
            counts.suspects += usize::from(!entry.evidence.convicted && entry.evidence.count() > 0);
        }
        counts
    }
}

/// Number of subjects in a [`CrashMemory`], by verdict.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CrashCounts {
    /// Subjects that are refused.
    pub convicted: usize,
    /// Subjects that are tried exclusively.
    pub suspects: usize,
}

/// Events that the node reports.
impl CrashMemory {
    /// Decides whether a request may run now; [`Verdict::Exclusive`] starts its trial,
    /// which ends at `deadline` at the latest.
    pub fn check(&mut self, crash_subjects: &CrashSubjects, deadline: Time, now: Time) -> Verdict {
        match self.suspicion(crash_subjects) {
            Suspicion::None => return Verdict::Clear,
            Suspicion::Suspected => {}
            Suspicion::Convicted => return Verdict::Refuse(NotRun::CrashesServers),
        }
        let subjects = crash_subjects.subjects();
        let mut known = subjects.iter().filter_map(|s| self.entries.get(s));
        if known.any(|e| e.trial_until.is_some_and(|until| now < until)) {
            return Verdict::Refuse(NotRun::CrashSuspect);
        }
        self.set_trial(crash_subjects, Some(deadline));
        Verdict::Exclusive
    }

    /// What is held against a request, without starting a trial.
    pub fn suspicion(&self, crash_subjects: &CrashSubjects) -> Suspicion {
        let subjects = crash_subjects.subjects();
        let known = || subjects.iter().filter_map(|s| self.entries.get(s));
        if known().any(|e| e.evidence.convicted) {
            return Suspicion::Convicted;
        }
        match known().any(|e| e.evidence.count() > 0) {
            true => Suspicion::Suspected,
            false => Suspicion::None,
        }
    }

    /// A backend server crashed while it ran the request.
    ///
    /// Returns the records to disseminate.
    pub fn crashed(
        &mut self,
        crash_subjects: &CrashSubjects,
        crash: CrashId,
        now: Time,
    ) -> Vec<CrashRecord> {
        let evidence = Evidence {
            crashes: [crash].into(),
            ..Evidence::default()
        };
        let records = crash_subjects.subjects().map(|subject| {
            self.add_evidence(subject, &evidence, now);
            self.record(subject, now)
        });
        self.set_trial(crash_subjects, None);
        records.into_iter().flatten().collect()
    }

    /// Handles the end of a request that was tried exclusively; `answered` is whether
    /// the backend server answered it. Returns the records to disseminate.
    pub fn ended(
        &mut self,
        crash_subjects: &CrashSubjects,
        answered: bool,
        now: Time,
    ) -> Vec<CrashRecord> {
        self.set_trial(crash_subjects, None);
        if !answered {
            return Vec::new();
        }
        let clear = |subject: Subject| {
            let entry = self.entries.get_mut(&subject)?;
            entry.evidence.cleared.extend(&entry.evidence.crashes);
            entry.evidence.limit();
            self.record(subject, now)
        };
        crash_subjects
            .subjects()
            .into_iter()
            .filter_map(clear)
            .collect()
    }

    /// Merges a record of another node; returns `true` when it should be passed on.
    pub fn merge(&mut self, record: &CrashRecord, now: Time) -> bool {
        let age = Duration::from_millis(u64::from(record.age_ms));
        if age >= RETENTION {
            return false;
        }
        let last_crash_at = Time(now.0.saturating_sub(age.as_micros() as u64));
        self.add_evidence(record.subject, &record.evidence, last_crash_at)
    }

    /// Drops evidence that has passed its retention; must be called every few seconds.
    pub fn tick(&mut self, now: Time) {
        self.entries
            .retain(|_, e| now.since(e.last_crash_at) < RETENTION);
        let entries = &self.entries;
        self.order.retain(|s| entries.contains_key(s));
    }
}

/// Evidence and trials of single subjects.
impl CrashMemory {
    fn add_evidence(&mut self, subject: Subject, evidence: &Evidence, last_crash_at: Time) -> bool {
        if !self.entries.contains_key(&subject) {
            self.evict_oldest();
            self.order.push_back(subject);
        }
        let entry = self.entries.entry(subject).or_insert(Entry {
            evidence: Evidence::default(),
            last_crash_at,
            trial_until: None,
        });
        let is_new = entry.evidence.merge_from(evidence);
        // Evidence that is known already does not prolong the retention.
        if is_new {
            entry.last_crash_at = entry.last_crash_at.max(last_crash_at);
        }
        is_new
    }

    fn evict_oldest(&mut self) {
        if self.entries.len() < self.max {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.entries.remove(&oldest);
        }
    }

    fn set_trial(&mut self, crash_subjects: &CrashSubjects, until: Option<Time>) {
        for subject in crash_subjects.subjects() {
            if let Some(entry) = self.entries.get_mut(&subject) {
                entry.trial_until = until;
            }
        }
    }

    fn record(&self, subject: Subject, now: Time) -> Option<CrashRecord> {
        let entry = self.entries.get(&subject)?;
        let age_ms = now.since(entry.last_crash_at).as_micros().div_ceil(1_000);
        Some(CrashRecord {
            subject,
            evidence: entry.evidence.clone(),
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
        })
    }
}

/// Comparison with the memory of another node.
impl CrashMemory {
    /// Digest of the evidence that is held against requests.
    pub fn digest(&self) -> CrashDigest {
        let held = self.entries.iter();
        let held = held.filter(|(_, e)| e.evidence.is_held_against());
        CrashDigest(held.fold(0, |digest, (s, e)| digest ^ checksum(s, &e.evidence)))
    }

    /// Records of all subjects.
    pub fn records(&self, now: Time) -> Vec<CrashRecord> {
        let subjects = self.order.iter();
        subjects.filter_map(|s| self.record(*s, now)).collect()
    }
}

fn checksum(subject: &Subject, evidence: &Evidence) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&subject.0);
    hasher.update(&[u8::from(evidence.convicted)]);
    for crash in evidence.crashes.difference(&evidence.cleared) {
        hasher.update(&crash.0.to_le_bytes());
    }
    let mut checksum = [0; 8];
    checksum.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(checksum)
}
