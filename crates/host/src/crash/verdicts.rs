//! The verdicts on requests that outlive all nodes: a document in the object store.

use super::{CrashRecord, Evidence, RETENTION, Subject};
use knapweed_world::UnixMillis;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Maximum number of verdicts in the document; the oldest are dropped first.
const MAX_VERDICTS: usize = 256;

/// A request that is refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Verdict {
    /// Identity or content of the request.
    pub subject: Subject,
    /// Time of its last crash, by the wall clock of the node that saw it.
    pub crashed_at: UnixMillis,
}

/// The verdicts of all nodes, within [`RETENTION`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Verdicts {
    verdicts: Vec<Verdict>,
}

impl Verdicts {
    /// Adds the verdicts in `records`, and drops those that have passed their retention.
    /// Returns whether there was a new one.
    pub fn add(&mut self, records: &[CrashRecord], now: UnixMillis) -> bool {
        self.verdicts.retain(|verdict| verdict.age(now) < RETENTION);
        let mut has_new = false;
        for record in records.iter().filter(|r| r.evidence.convicted) {
            if self.verdicts.iter().any(|v| v.subject == record.subject) {
                continue;
            }
            if self.verdicts.len() >= MAX_VERDICTS {
                self.verdicts.remove(0);
            }
            self.verdicts.push(Verdict {
                subject: record.subject,
                crashed_at: UnixMillis(now.0.saturating_sub(u64::from(record.age_ms))),
            });
            has_new = true;
        }
        has_new
    }

    /// The verdicts as records.
    pub fn records(&self, now: UnixMillis) -> Vec<CrashRecord> {
        let record = |verdict: &Verdict| CrashRecord {
            subject: verdict.subject,
            evidence: Evidence {
                convicted: true,
                ..Evidence::default()
            },
            age_ms: u32::try_from(verdict.age(now).as_millis()).unwrap_or(u32::MAX),
        };
        self.verdicts.iter().map(record).collect()
    }
}

impl Verdict {
    fn age(&self, now: UnixMillis) -> Duration {
        Duration::from_millis(now.0.saturating_sub(self.crashed_at.0))
    }
}
