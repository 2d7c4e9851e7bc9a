//! Planners, which decide when a rollout takes its next step and to which share.

mod deadline;
mod ramp;
mod short_rollout;

pub use deadline::DeadlinePlanner;
pub use ramp::RampPlanner;
pub use short_rollout::{SHORT_ROLLOUT_LIMIT, ShortRolloutPlanner};

use knapweed_world::config::{Caution, RolloutTerms};
use knapweed_world::{Share, UnixMillis};
use std::fmt;
use std::time::Duration;

/// Longest time for which the old versions stay warm after the last step.
pub const MAX_BAKE: Duration = Duration::from_secs(60);
/// Requests to the new version on each route that make the evidence complete.
pub const MIN_EVIDENCE_REQUESTS: u64 = 200;
/// Largest traffic share of the new version before the evidence is complete.
pub const FIRST_SHARE_LIMIT: Share = Share(500);

/// Input of a planner: the schedule of the rollout and its current progress.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlanInput {
    /// When the rollout started.
    pub start: UnixMillis,
    /// When the rollout must be complete.
    pub deadline: UnixMillis,
    /// Whether evidence or speed has priority.
    pub caution: Caution,
    /// Wall-clock time of the decision.
    pub now: UnixMillis,
    /// Progress of the traffic shift.
    pub share: Share,
    /// When the current share was reached.
    pub since: UnixMillis,
    /// The largest share that the ready servers of the new versions can carry.
    pub capacity: Share,
    /// Requests to the new versions at the current share, on the route with the
    /// fewest.
    pub step_requests: u64,
    /// Requests per minute on the route with the fewest; `None` until enough
    /// reports have arrived.
    pub requests_per_minute: Option<u64>,
}

impl PlanInput {
    /// How long the old versions stay warm after the last step.
    pub fn bake(&self) -> Duration {
        bake(self.start, self.deadline)
    }

    /// The step to `share`, as far as the capacity allows one.
    fn step_within_capacity(&self, share: Share) -> Plan {
        let share = share.min(self.capacity);
        if share > self.share {
            Plan::Step(share)
        } else {
            self.without_capacity()
        }
    }

    /// What follows from too little capacity for the next step. Servers that are ready only
    /// after the deadline are too late.
    fn without_capacity(&self) -> Plan {
        match self.now >= self.deadline {
            true => Plan::PullBack,
            false => Plan::Wait,
        }
    }

    /// How long the rollout has been at its current share.
    pub fn dwell(&self) -> Duration {
        self.now.since(self.since)
    }

    /// Longest time from the start of the rollout to its last step.
    pub fn ramp_time(&self) -> Duration {
        self.deadline.since(self.start).saturating_sub(self.bake())
    }
}

/// The bake time of a rollout with these terms: a fifth of its duration, at most
/// [`MAX_BAKE`].
pub fn bake_of(terms: &RolloutTerms) -> Duration {
    bake(terms.start, terms.deadline)
}

fn bake(start: UnixMillis, deadline: UnixMillis) -> Duration {
    MAX_BAKE.min(deadline.since(start) / 5)
}

/// Decision of a planner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Plan {
    /// Stay at the current share.
    Wait,
    /// Increase the share to this one.
    Step(Share),
    /// Complete the rollout.
    Complete,
    /// Pull the rollout back: its deadline has passed, and the ready servers of the new
    /// versions cannot carry the next step.
    PullBack,
}

/// Decides when a rollout takes its next step and to which share.
pub trait Planner: fmt::Debug + Send {
    /// The next step if it is due, otherwise [`Plan::Wait`].
    fn next(&self, input: &PlanInput) -> Plan;
}
