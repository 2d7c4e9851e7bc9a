//! A planner that derives the latest time of each step from the deadline.

use crate::planner::{FIRST_SHARE_LIMIT, MIN_EVIDENCE_REQUESTS, Plan, PlanInput, Planner};
use knapweed_world::Share;
use knapweed_world::config::Caution;
use std::time::Duration;

/// Shares of the steps that follow the first one, whose share depends on the rate
/// of requests.
const STEPS: [Share; 5] = [
    Share(500),
    Share(1_000),
    Share(2_500),
    Share(5_000),
    Share::ALL,
];
/// Latest time of each of [`STEPS`], in percent of the ramp time. The small
/// shares get most of the time, because a fault affects the fewest requests there.
/// The margin after the last one covers calls to the object store that are delayed.
const LATEST_PERCENT: [u32; 5] = [20, 36, 52, 70, 92];
/// The first step waits at most this part of the ramp time, in percent, until the
/// rate of requests is known.
const RATE_WAIT_PERCENT: u32 = 5;
/// The first share is chosen to collect the minimum evidence in one part in this
/// many of the remaining time.
const EVIDENCE_TIME_DIVISOR: u32 = 10;
/// Smallest first share, however high the rate of requests is.
const MIN_FIRST_SHARE: Share = Share(20);
/// Upper limit of the shortest time at a share: enough for a window of counters
/// and a decision on it.
const MAX_MIN_DWELL: Duration = Duration::from_secs(3);
/// The shortest time at a share is the ramp time divided by this, if that is less
/// than [`MAX_MIN_DWELL`].
const MIN_DWELL_DIVISOR: u32 = 12;
/// Shortest bake time when the last step was taken late.
const MIN_BAKE: Duration = Duration::from_secs(3);

/// Takes a step as soon as the evidence is complete, or at its latest time before
/// the deadline.
#[derive(Clone, Copy, Debug, Default)]
pub struct DeadlinePlanner;

impl Planner for DeadlinePlanner {
    fn next(&self, input: &PlanInput) -> Plan {
        match input.share {
            Share::NONE => first_step(input),
            Share::ALL => complete(input),
            _ => next_step(input),
        }
    }
}

fn first_step(input: &PlanInput) -> Plan {
    let waited = input.now.since(input.start) >= input.ramp_time() * RATE_WAIT_PERCENT / 100;
    let share = match input.requests_per_minute {
        Some(rate) => first_share(rate, input),
        None if waited => FIRST_SHARE_LIMIT,
        None => return Plan::Wait,
    };
    input.step_within_capacity(share)
}

/// The smallest share that yields [`MIN_EVIDENCE_REQUESTS`] requests in a tenth of the
/// remaining time.
fn first_share(per_minute: u64, input: &PlanInput) -> Share {
    let time = input.deadline.since(input.now) / EVIDENCE_TIME_DIVISOR;
    let requests = u128::from(per_minute) * time.as_millis() / 60_000;
    let needed = u128::from(MIN_EVIDENCE_REQUESTS) * u128::from(Share::ALL.0);
    let share = needed.checked_div(requests);
    let limit = u128::from(FIRST_SHARE_LIMIT.0);
    let share = Share(share.map_or(limit, |s| s.min(limit)) as u16);
    share.max(MIN_FIRST_SHARE)
}

fn next_step(input: &PlanInput) -> Plan {
    let Some(i) = STEPS.iter().position(|s| *s > input.share) else {
        return Plan::Wait;
    };
    if input.dwell() < min_dwell(input) {
        return Plan::Wait;
    }
    let latest = input.ramp_time() * LATEST_PERCENT[i] / 100;
    let is_late = input.now.since(input.start) >= latest;
    let has_evidence =
        input.step_requests >= MIN_EVIDENCE_REQUESTS && input.dwell() >= evidence_dwell(i, input);
    if is_late || has_evidence {
        input.step_within_capacity(STEPS[i])
    } else {
        Plan::Wait
    }
}

fn complete(input: &PlanInput) -> Plan {
    let dwell = input.dwell();
    let is_due = input.now >= input.deadline && dwell >= MIN_BAKE.min(input.bake());
    if dwell >= input.bake() || is_due {
        Plan::Complete
    } else {
        Plan::Wait
    }
}

fn min_dwell(input: &PlanInput) -> Duration {
    MAX_MIN_DWELL.min(input.ramp_time() / MIN_DWELL_DIVISOR)
}

/// Time at a share with complete evidence before step `i` is taken: all of the
/// planned time for careful rollouts, half of it for swift ones.
fn evidence_dwell(i: usize, input: &PlanInput) -> Duration {
    let before = i.checked_sub(1).map_or(0, |j| LATEST_PERCENT[j]);
    let planned = input.ramp_time() * (LATEST_PERCENT[i] - before) / 100;
    match input.caution {
        Caution::Careful => planned,
        Caution::Swift => planned / 2,
    }
}
