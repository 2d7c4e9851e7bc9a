//! The state of a rollout and its monotone join.

use crate::result::PullBackReason;
use crate::shares;
use crate::{Evidence, Outcome, TicketResult};
use knapweed_world::config::{RolloutTerms, VersionShare};
use knapweed_world::{Name, Share, TicketNumber, UnixMillis};
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;

/// Number of a rollout's state; each change of the state increases it by one.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Epoch(pub u64);

/// Phase of a rollout. Shares are the progress of the traffic shift.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The new servers are starting; no traffic has moved.
    Warming,
    /// Traffic is moving step by step; this share has moved.
    Ramping(Share),
    /// Forward steps are suspended; this share has moved.
    Holding(Share),
    /// All traffic has moved; the rollout has ended.
    Completed,
    /// The rollout was pulled back: all traffic is on the old versions again.
    PulledBack(PullBackReason),
}

impl Phase {
    /// Progress of the traffic shift.
    pub fn progress(&self) -> Share {
        match self {
            Self::Warming | Self::PulledBack(_) => Share::NONE,
            Self::Ramping(share) | Self::Holding(share) => *share,
            Self::Completed => Share::ALL,
        }
    }

    /// Whether the rollout has ended, completed or pulled back.
    pub fn is_final(&self) -> bool {
        matches!(self, Self::Completed | Self::PulledBack(_))
    }

    fn rank(&self) -> u8 {
        match self {
            Self::Warming | Self::Ramping(_) | Self::Holding(_) => 0,
            Self::Completed => 1,
            Self::PulledBack(_) => 2,
        }
    }
}

/// State of the rollout of one service that one ticket requested.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutState {
    /// The service whose traffic moves.
    pub service: Name,
    /// The ticket that requested the rollout.
    pub ticket: TicketNumber,
    /// Number of this state within the ticket.
    pub epoch: Epoch,
    /// Phase of the rollout.
    pub phase: Phase,
    /// When the phase began.
    pub changed: UnixMillis,
    /// Schedule and limits; `from` holds the shares in force at the start of this
    /// rollout.
    pub terms: RolloutTerms,
    /// Shares after the rollout completes.
    pub target: Vec<VersionShare>,
    /// Old versions of the superseded rollout. A rollout to only these returns to
    /// versions that are known and warm, so it needs no test.
    pub proven: Vec<Name>,
    /// Whether the outcome of the rollout is the result of the ticket. It is not
    /// for a ticket without a rollout, whose result is written when the ticket is
    /// accepted.
    pub has_result: bool,
    /// Request counts so far.
    pub evidence: Evidence,
    /// Results of earlier tickets that may not have been written yet.
    pub owed: Vec<TicketResult>,
}

/// Join of two copies of the state.
impl RolloutState {
    /// The state with precedence: the higher ticket; then pulled back before
    /// completed before other phases; then the higher epoch. States that are equal
    /// in these are ordered by their contents, so that the join is always
    /// commutative.
    pub fn join(self, other: Self) -> Self {
        match self.cmp_precedence(&other) {
            Ordering::Less => other,
            Ordering::Equal | Ordering::Greater => self,
        }
    }

    /// The total order whose maximum [`join`](Self::join) returns.
    pub fn cmp_precedence(&self, other: &Self) -> Ordering {
        let rank = |s: &Self| (s.ticket, s.phase.rank(), s.epoch);
        rank(self)
            .cmp(&rank(other))
            .then_with(|| self.contents().cmp(&other.contents()))
    }

    fn contents(&self) -> impl Ord + '_ {
        let shares = |list: &[VersionShare]| -> Vec<(Name, Share)> {
            list.iter().map(|s| (s.version.clone(), s.share)).collect()
        };
        let terms = &self.terms;
        let times = (terms.start, terms.deadline, self.changed);
        let limits = (terms.min_old_capacity, terms.caution);
        let moves = (shares(&terms.from), shares(&self.target), &self.proven);
        let known = (&self.phase, &self.evidence, &self.owed, &self.service);
        let known = (known, self.has_result);
        (known, times, limits, moves)
    }
}

/// Values derived from the state.
impl RolloutState {
    /// The traffic shares that proxies apply.
    pub fn shares(&self) -> Vec<VersionShare> {
        shares::interpolate(&self.terms.from, &self.target, self.phase.progress())
    }

    /// Versions under test: those whose share grows.
    pub fn new_versions(&self) -> Vec<Name> {
        shares::increasing(&self.terms.from, &self.target)
    }

    /// Baseline versions, which the new ones are compared with.
    pub fn old_versions(&self) -> Vec<Name> {
        shares::baseline(&self.terms.from, &self.target)
    }

    /// Whether the rollout is still running and ends at `target`.
    pub fn is_moving_to(&self, target: &[VersionShare]) -> bool {
        !self.phase.is_final() && self.target == target
    }

    /// Whether the rollout only returns to proven versions.
    pub fn is_return_to_proven(&self) -> bool {
        let new = self.new_versions();
        new.iter().all(|v| self.proven.contains(v))
    }

    /// The result of the ticket; `None` while the rollout is running or when the
    /// ticket gets its result elsewhere.
    pub fn result(&self) -> Option<TicketResult> {
        let at = self.changed;
        let outcome = match &self.phase {
            Phase::Completed => Outcome::Completed {
                at,
                late: at > self.terms.deadline,
            },
            Phase::PulledBack(reason) => Outcome::PulledBack {
                at,
                reason: reason.clone(),
            },
            Phase::Warming | Phase::Ramping(_) | Phase::Holding(_) => return None,
        };
        self.has_result.then(|| self.result_with_outcome(outcome))
    }

    /// A result with the given outcome and the evidence so far.
    pub fn result_with_outcome(&self, outcome: Outcome) -> TicketResult {
        TicketResult {
            ticket: self.ticket,
            service: self.service.clone(),
            outcome,
            evidence: self.evidence.clone(),
        }
    }
}

/// Transitions to the next state.
impl RolloutState {
    /// Returns this state of a newer ticket without shares at its start for versions that
    /// `earlier` has pulled back.
    ///
    /// The shares at its start were those in force when it was proposed. The pull-back may have
    /// been decided while it was being written, or by another holder.
    pub fn superseding(self, earlier: &Self) -> Self {
        let share = |list: &[VersionShare], version: &Name| {
            let found = list.iter().find(|s| s.version == *version);
            found.map_or(Share::NONE, |s| s.share)
        };
        let has_returned =
            |version: &Name| share(&self.terms.from, version) > share(&earlier.terms.from, version);
        let is_pulled_back = matches!(earlier.phase, Phase::PulledBack(_));
        let is_newer = self.ticket > earlier.ticket && self.phase != Phase::Completed;
        let must_change =
            is_newer && is_pulled_back && earlier.new_versions().iter().any(has_returned);
        if !must_change {
            return self;
        }
        let mut next = self;
        next.epoch = Epoch(next.epoch.0 + 1);
        next.terms.from = earlier.shares();
        next
    }

    /// The next state of the same ticket, with its epoch increased by one.
    pub fn next(&self, phase: Phase, now: UnixMillis, evidence: &Evidence) -> Self {
        Self {
            epoch: Epoch(self.epoch.0 + 1),
            phase,
            changed: now,
            evidence: evidence.clone(),
            ..self.clone()
        }
    }
}
