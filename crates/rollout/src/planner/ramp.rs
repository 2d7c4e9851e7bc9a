//! A planner that follows a fixed schedule and ignores the evidence. It serves
//! as a reference for other planners.

use crate::planner::{Plan, PlanInput, Planner};
use knapweed_world::Share;

/// Shares of the ramp. All steps take the same time; after the last one the bake
/// time begins.
const STEPS: [Share; 5] = [
    Share(500),
    Share(1_000),
    Share(2_500),
    Share(5_000),
    Share::ALL,
];

/// Takes each step at a fixed time, as far as the capacity allows.
#[derive(Clone, Copy, Debug, Default)]
pub struct RampPlanner;

impl Planner for RampPlanner {
    fn next(&self, input: &PlanInput) -> Plan {
        if input.share == Share::ALL {
            let baked = input.dwell() >= input.bake();
            return if baked { Plan::Complete } else { Plan::Wait };
        }
        let steps = STEPS.len() as u32;
        let elapsed = input.now.since(input.start);
        let due = (0..steps).filter(|i| elapsed >= input.ramp_time() * *i / steps);
        let share = due.map(|i| STEPS[i as usize]).max().unwrap_or(Share::NONE);
        match share > input.share {
            true => input.step_within_capacity(share),
            false => Plan::Wait,
        }
    }
}
