//! A choice of strategies for tests that do not depend on reports.

use knapweed_rollout::judge::TimeOnlyJudge;
use knapweed_rollout::planner::RampPlanner;
use knapweed_rollout::{ChooseStrategy, Strategy};
use knapweed_world::config::RolloutTerms;

/// Chooses the judge and planner that follow the clock alone.
#[derive(Debug)]
pub struct ByTime;

impl ChooseStrategy for ByTime {
    fn choose(&self, _terms: &RolloutTerms) -> Strategy {
        Strategy {
            judge: Box::new(TimeOnlyJudge),
            planner: Box::new(RampPlanner),
        }
    }
}
