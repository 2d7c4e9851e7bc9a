//! Judges, which compare the new version of a rollout with the old one and decide
//! whether it is faulty (canary analysis).

mod history;
mod kind_test;
mod sequential;
pub mod short_rollout;
mod strata;
mod threshold;
mod time_only;

pub use sequential::{SequentialJudge, SequentialOptions};
pub use short_rollout::ShortRolloutJudge;
pub use threshold::{ThresholdJudge, ThresholdOptions};
pub use time_only::TimeOnlyJudge;

use crate::{Counters, ZoneCapacity};
use knapweed_world::{Name, Share};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The versions that a judge compares, and for how long.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ComparedVersions {
    /// Names of the versions that serve as the baseline.
    pub old: Vec<Name>,
    /// Names of the versions under test.
    pub new: Vec<Name>,
    /// Expected number of windows of the comparison.
    pub windows: u64,
}

/// Input of a judge for one window of about a second.
#[derive(Clone, Copy, Debug)]
pub struct Window<'a> {
    /// Request counts, usually of one availability zone.
    pub counters: &'a Counters,
    /// Ready slots in all availability zones.
    pub capacity: &'a [ZoneCapacity],
}

/// Kind of fault of a version.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Too many requests fail.
    Failures,
    /// Too many requests are slow.
    Slow,
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Failures => "failed",
            Self::Slow => "slow",
        })
    }
}

/// Counts of requests and of the affected ones among them.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Tally {
    /// Requests that were compared.
    pub requests: u64,
    /// Requests that failed or were slow, depending on the kind of fault.
    pub affected: u64,
}

impl Tally {
    /// Adds the counts of `other`.
    pub fn add(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.affected = self.affected.saturating_add(other.affected);
    }

    /// The share of affected requests; zero if there are no requests.
    pub fn share(&self) -> Share {
        let share = self.affected.saturating_mul(u64::from(Share::ALL.0));
        Share(share.checked_div(self.requests).unwrap_or(0) as u16)
    }
}

/// A fault of a new version on a route, with the counts that show it.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fault {
    /// Whether requests failed or were slow.
    pub kind: FaultKind,
    /// Route on which the fault was found.
    pub route: Name,
    /// Counts of the versions under test.
    pub new: Tally,
    /// Counts of the baseline versions.
    pub old: Tally,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (kind, new, old) = (self.kind, self.new, self.old);
        write!(
            f,
            "on route {} {} of {} requests of the new version {kind}, and {} of {} of the old one",
            self.route, new.affected, new.requests, old.affected, old.requests,
        )
    }
}

/// Decision of a judge, based on the windows so far.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// No fault has been detected.
    NoFault,
    /// The new version got worse while no old one ran side by side with it, so
    /// that the cause may be a disruption that affects all versions.
    Suspect(Fault),
    /// The new version is faulty.
    Bad(Fault),
}

/// Decides whether a new version is faulty.
pub trait Judge: fmt::Debug + Send {
    /// Starts a comparison and discards the previous one.
    fn begin(&mut self, compared: &ComparedVersions);

    /// Adds the counts of a window.
    fn observe(&mut self, window: &Window<'_>);

    /// The decision so far. [`Verdict::Bad`] is final until the next
    /// [`begin`](Self::begin).
    fn verdict(&self) -> Verdict;

    /// Prepares for a recheck, which compares the versions side by side to confirm
    /// or clear a suspicion.
    fn recheck(&mut self);

    /// Clears a suspicion that the recheck did not confirm.
    fn clear_suspicion(&mut self);
}
