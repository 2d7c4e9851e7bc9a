//! Tests of the planners: steps, deadlines and capacity.

mod common;

use common::START;
use insta::assert_snapshot;
use knapweed_rollout::planner::{
    DeadlinePlanner, FIRST_SHARE_LIMIT, MIN_EVIDENCE_REQUESTS, Plan, PlanInput, Planner,
    RampPlanner, ShortRolloutPlanner,
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
            Plan::Complete | Plan::PullBack => {}
        }
        steps.push((at, plan));
        if matches!(plan, Plan::Complete | Plan::PullBack) {
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
    let mut steps = steps(&DeadlinePlanner, input).into_iter().map(|s| s.1);
    assert_eq!(steps.next_back(), Some(Plan::PullBack));
    assert_eq!(steps.next_back(), Some(Plan::Step(Share(1_700))));
}

/// Guards against rollouts that never end because the new servers have too little capacity for
/// the next step, and against an end before the deadline, until which servers may start.
#[test]
fn too_little_capacity_ends_a_rollout_at_its_deadline() {
    let planners: [(&dyn Planner, u64); 3] = [
        (&DeadlinePlanner, 120),
        (&RampPlanner, 120),
        (&ShortRolloutPlanner, 16),
    ];
    for (planner, deadline_s) in planners {
        for capacity in [Share::NONE, Share(1_700), Share(4_900)] {
            let input = PlanInput {
                capacity,
                ..input(deadline_s, Caution::Careful)
            };
            let last = steps(planner, input).pop();
            let at_deadline = (deadline_s as f64, Plan::PullBack);
            assert_eq!(last, Some(at_deadline), "{planner:?} with {capacity}");
        }
    }
}

/// Guards against the end of a rollout that is late for another reason than its capacity.
#[test]
fn a_late_rollout_with_capacity_completes() {
    let planners: [&dyn Planner; 3] = [&DeadlinePlanner, &RampPlanner, &ShortRolloutPlanner];
    for planner in planners {
        let late = PlanInput {
            now: UnixMillis(START.0 + 17_000),
            share: Share(500),
            ..input(16, Caution::Careful)
        };
        let last = steps(planner, late).pop().map(|s| s.1);
        assert_eq!(last, Some(Plan::Complete), "{planner:?}");
    }
}
