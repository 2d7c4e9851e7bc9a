//! Tests of the planners: steps, deadlines and capacity.

mod common;

use common::START;
use insta::assert_snapshot;
use knapweed_rollout::planner::{
    DeadlinePlanner, FIRST_SHARE_LIMIT, MIN_EVIDENCE_REQUESTS, Plan, PlanInput, Planner,
    RampPlanner,
};
use knapweed_world::config::Caution;
use knapweed_world::{Share, UnixMillis};
use std::time::Duration;

const TICK_MS: u64 = 250;

fn input(deadline_s: u64, caution: Caution) -> PlanInput {
    PlanInput {
        start: START,
        deadline: UnixMillis(START.0 + deadline_s * 1_000),
        caution,
        now: START,
        share: Share::NONE,
        since: START,
        capacity: Share::ALL,
        step_requests: 0,
        requests_per_minute: None,
    }
}

/// All steps with their times in seconds, until the rollout completes.
fn steps(planner: &dyn Planner, mut input: PlanInput) -> Vec<(f64, Plan)> {
    let mut steps = Vec::new();
    let limit = input.deadline.after(Duration::from_secs(60));
    while input.now < limit {
        input.now = UnixMillis(input.now.0 + TICK_MS);
        let plan = planner.next(&input);
        let at = input.now.since(START).as_secs_f64();
        match plan {
            Plan::Wait => continue,
            Plan::Step(share) => (input.share, input.since) = (share, input.now),
            Plan::Complete => {}
        }
        steps.push((at, plan));
        if plan == Plan::Complete {
            break;
        }
    }
    steps
}

/// Guards against rollouts that miss their deadline, both without any requests and
/// with complete evidence.
#[test]
fn every_deadline_from_10_s_on_is_met() {
    for deadline_s in (10..60).chain([120, 600, 3_600]) {
        for caution in [Caution::Careful, Caution::Swift] {
            for requests in [0, MIN_EVIDENCE_REQUESTS] {
                let input = PlanInput {
                    step_requests: requests,
                    requests_per_minute: Some(requests),
                    ..input(deadline_s, caution)
                };
                let steps = steps(&DeadlinePlanner, input);
                let (at, last) = steps[steps.len() - 1];
                assert_eq!(last, Plan::Complete);
                assert!(
                    at <= deadline_s as f64,
                    "{deadline_s} s: complete at {at} s"
                );
            }
        }
    }
}

/// Guards against steps that are skipped or repeated.
#[test]
fn shares_follow_the_steps_of_the_design() {
    let mut out = String::new();
    for (title, planner, caution) in [
        (
            "careful",
            &DeadlinePlanner as &dyn Planner,
            Caution::Careful,
        ),
        ("swift", &DeadlinePlanner, Caution::Swift),
        ("ramp", &RampPlanner, Caution::Careful),
    ] {
        let input = PlanInput {
            step_requests: MIN_EVIDENCE_REQUESTS,
            requests_per_minute: Some(60_000),
            ..input(300, caution)
        };
        out += &format!("{title}:");
        for (at, plan) in steps(planner, input) {
            match plan {
                Plan::Step(share) => out += &format!(" {share} at {at} s,"),
                _ => out += &format!(" {plan:?} at {at} s\n"),
            }
        }
    }
    assert_snapshot!(out);
}

/// Guards against a first share that is larger or smaller than the minimum evidence
/// requires.
#[test]
fn the_first_share_gives_the_evidence_in_a_tenth_of_the_time() {
    for per_minute in [0, 10, 1_000, 50_000, 1_000_000] {
        let input = PlanInput {
            requests_per_minute: Some(per_minute),
            ..input(600, Caution::Careful)
        };
        let Plan::Step(share) = DeadlinePlanner.next(&input) else {
            panic!("a first step at {per_minute} a minute");
        };
        assert!(share <= FIRST_SHARE_LIMIT);
        let requests = per_minute * u64::from(share.0) / 10_000;
        let is_enough = requests + 1 >= MIN_EVIDENCE_REQUESTS;
        assert!(
            is_enough || share == FIRST_SHARE_LIMIT,
            "{share} at {per_minute}"
        );
    }
}

/// Guards against more traffic to the new version than its ready servers can carry.
#[test]
fn steps_stay_within_the_started_capacity() {
    let input = PlanInput {
        capacity: Share(1_700),
        step_requests: MIN_EVIDENCE_REQUESTS,
        requests_per_minute: Some(10_000),
        ..input(120, Caution::Swift)
    };
    let last = steps(&DeadlinePlanner, input).pop().map(|s| s.1);
    assert_eq!(last, Some(Plan::Step(Share(1_700))));
}
