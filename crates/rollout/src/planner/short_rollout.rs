//! The planner of rollouts that last less than a minute.

use crate::planner::{Plan, PlanInput, Planner};
use knapweed_world::Share;
use std::time::Duration;

/// Rollouts with less time than this use [`ShortRolloutPlanner`] and
/// [`crate::judge::ShortRolloutJudge`], because the steps of
/// [`DeadlinePlanner`](crate::planner::DeadlinePlanner) need minutes.
pub const SHORT_ROLLOUT_LIMIT: Duration = Duration::from_secs(60);
/// Traffic share while the new version is tested. A faulty version may get a
/// tenth of all requests of the rollout; this share leaves part of that budget
/// for the step to all traffic.
const TEST_SHARE: Share = Share(500);
/// Time before the deadline at which all traffic moves, in percent of the
/// duration of the rollout, limited by the two constants below.
const LAST_STEP_PERCENT: u32 = 20;
/// Shortest time for the last step: requests on the old version must end, and
/// the new version must be observed under the full load.
const MIN_LAST_STEP: Duration = Duration::from_millis(2_600);
/// Longest time for the last step.
const MAX_LAST_STEP: Duration = Duration::from_millis(3_400);
/// Shortest time with all traffic on the new version before the rollout completes.
const MIN_FULL_TRAFFIC: Duration = Duration::from_millis(1_400);
/// Time before the deadline at which the rollout completes. It leaves room for an
/// object store that is slow or loses a response.
const END_MARGIN: Duration = Duration::from_millis(1_100);
/// Part of the traffic that the new servers must be able to carry before the
/// last step.
const MIN_LAST_STEP_CAPACITY: Share = Share(5_000);

/// Tests the new version on a small share until shortly before the deadline, then
/// moves all traffic in one step.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShortRolloutPlanner;

impl ShortRolloutPlanner {
    /// Time before the deadline at which all traffic moves, for a rollout that
    /// lasts `duration`.
    pub fn last_step(duration: Duration) -> Duration {
        let planned = duration * LAST_STEP_PERCENT / 100;
        planned
            .clamp(MIN_LAST_STEP, MAX_LAST_STEP)
            .min(duration / 2)
    }
}

impl Planner for ShortRolloutPlanner {
    fn next(&self, input: &PlanInput) -> Plan {
        let duration = input.deadline.since(input.start);
        let left = input.deadline.since(input.now);
        match input.share {
            Share::NONE if input.capacity > Share::NONE => Plan::Step(TEST_SHARE),
            Share::ALL if input.dwell() >= MIN_FULL_TRAFFIC && left <= END_MARGIN => Plan::Complete,
            Share::NONE => input.without_capacity(),
            Share::ALL => Plan::Wait,
            _ if left > Self::last_step(duration) => Plan::Wait,
            _ if input.capacity >= MIN_LAST_STEP_CAPACITY => Plan::Step(Share::ALL),
            _ => input.without_capacity(),
        }
    }
}
