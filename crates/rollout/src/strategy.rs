//! The judge and the planner of a rollout, chosen by its terms.

use crate::judge::{Judge, SequentialJudge, SequentialOptions, ShortRolloutJudge, short_rollout};
use crate::planner::{DeadlinePlanner, Planner, SHORT_ROLLOUT_LIMIT, ShortRolloutPlanner};
use knapweed_world::config::RolloutTerms;
use std::fmt;

/// How the versions of a rollout are compared, and when it takes its steps.
#[derive(Debug)]
pub struct Strategy {
    /// Decides whether the new version is faulty.
    pub judge: Box<dyn Judge>,
    /// Decides about forward steps.
    pub planner: Box<dyn Planner>,
}

/// Chooses the strategy of a rollout.
///
/// The terms are those of the stored state, so every holder of the duty chooses the same
/// strategy, whatever it knows of the order.
pub trait ChooseStrategy: fmt::Debug + Send {
    /// A strategy for a rollout with these terms, without any evidence.
    fn choose(&self, terms: &RolloutTerms) -> Strategy;
}

/// Chooses the strategy by the duration of the rollout.
#[derive(Clone, Copy, Debug, Default)]
pub struct ByDuration;

impl ChooseStrategy for ByDuration {
    fn choose(&self, terms: &RolloutTerms) -> Strategy {
        match is_short(terms) {
            true => Strategy {
                judge: Box::new(ShortRolloutJudge::new(short_rollout::Options::default())),
                planner: Box::new(ShortRolloutPlanner),
            },
            false => Strategy {
                judge: Box::new(SequentialJudge::new(SequentialOptions::default())),
                planner: Box::new(DeadlinePlanner),
            },
        }
    }
}

/// Whether a rollout with these terms lasts less than [`SHORT_ROLLOUT_LIMIT`].
pub fn is_short(terms: &RolloutTerms) -> bool {
    terms.deadline.since(terms.start) < SHORT_ROLLOUT_LIMIT
}
