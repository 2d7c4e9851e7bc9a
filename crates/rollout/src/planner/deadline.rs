//! The planner that computes backwards from the deadline.

use crate::planner::{FIRST_SHARE_LIMIT, MIN_EVIDENCE, Plan, PlanView, Planner};
use knapweed_world::Share;
use knapweed_world::config::Caution;
use std::time::Duration;

/// Shares after the first one.
const STEPS: [Share; 5] = [
    Share(500),
    Share(1_000),
    Share(2_500),
    Share(5_000),
    Share::ALL,
];
/// The part of the ramp time, in percent, by which each of [`STEPS`] is taken
/// at the latest. The small shares get most of the time, because a fault costs
/// least there. The margin after the last one covers platform calls that wait.
const LATEST_PERCENT: [u32; 5] = [20, 36, 52, 70, 92];
/// The first share waits at most this part of the ramp time, in percent, for
/// the rate of requests to be known.
const RATE_WAIT_PERCENT: u32 = 5;
/// The first share gives the minimum evidence in this part of the time left.
const EVIDENCE_PART: u32 = 10;
/// Smallest first share.
const FIRST_SHARE_LEAST: Share = Share(20);
/// Longest time at a share that a window of counters and a decision can need.
const MAX_MIN_DWELL: Duration = Duration::from_secs(3);
/// The shortest time at a share is this part of the ramp time when that is less.
const MIN_DWELL_PART: u32 = 12;
/// Shortest bake when the last step came late.
const MIN_BAKE: Duration = Duration::from_secs(3);

/// Steps on as soon as the evidence is complete, at the latest when the
/// deadline asks for it.
#[derive(Clone, Copy, Debug, Default)]
pub struct DeadlinePlanner;

impl Planner for DeadlinePlanner {
    fn next(&self, view: &PlanView) -> Plan {
        match view.share {
            Share::NONE => first(view),
            Share::ALL => last(view),
            _ => step(view),
        }
    }
}

fn first(view: &PlanView) -> Plan {
    let waited = view.now.since(view.start) >= view.ramp_time() * RATE_WAIT_PERCENT / 100;
    let share = match view.requests_per_minute {
        Some(rate) => first_share(rate, view),
        None if waited => FIRST_SHARE_LIMIT,
        None => return Plan::Wait,
    };
    up_to_capacity(share, view)
}

/// The smallest share that gives [`MIN_EVIDENCE`] in a tenth of the time left.
fn first_share(per_minute: u64, view: &PlanView) -> Share {
    let time = view.deadline.since(view.now) / EVIDENCE_PART;
    let requests = u128::from(per_minute) * time.as_millis() / 60_000;
    let needed = u128::from(MIN_EVIDENCE) * u128::from(Share::ALL.0);
    let share = needed.checked_div(requests);
    let limit = u128::from(FIRST_SHARE_LIMIT.0);
    let share = Share(share.map_or(limit, |s| s.min(limit)) as u16);
    share.max(FIRST_SHARE_LEAST)
}

fn step(view: &PlanView) -> Plan {
    let Some(i) = STEPS.iter().position(|s| *s > view.share) else {
        return Plan::Wait;
    };
    if view.dwell() < min_dwell(view) {
        return Plan::Wait;
    }
    let latest = view.ramp_time() * LATEST_PERCENT[i] / 100;
    let is_late = view.now.since(view.start) >= latest;
    let has_evidence = view.step_requests >= MIN_EVIDENCE && view.dwell() >= careful_dwell(i, view);
    if is_late || has_evidence {
        up_to_capacity(STEPS[i], view)
    } else {
        Plan::Wait
    }
}

fn last(view: &PlanView) -> Plan {
    let dwell = view.dwell();
    let is_due = view.now >= view.deadline && dwell >= MIN_BAKE.min(view.bake());
    if dwell >= view.bake() || is_due {
        Plan::Complete
    } else {
        Plan::Wait
    }
}

fn up_to_capacity(share: Share, view: &PlanView) -> Plan {
    let share = share.min(view.capacity);
    if share > view.share {
        Plan::Step(share)
    } else {
        Plan::Wait
    }
}

fn min_dwell(view: &PlanView) -> Duration {
    MAX_MIN_DWELL.min(view.ramp_time() / MIN_DWELL_PART)
}

/// The time at a share with complete evidence before step `i`: all of the
/// planned time when careful, half of it when swift.
fn careful_dwell(i: usize, view: &PlanView) -> Duration {
    let before = i.checked_sub(1).map_or(0, |j| LATEST_PERCENT[j]);
    let planned = view.ramp_time() * (LATEST_PERCENT[i] - before) / 100;
    match view.caution {
        Caution::Careful => planned,
        Caution::Swift => planned / 2,
    }
}
