//! A judge that trusts every version, for comparison.

use crate::judge::{Judge, Trial, Verdict, Window};

/// Finds no fault ever; the clock alone decides when a rollout is complete.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClockJudge;

impl Judge for ClockJudge {
    fn begin(&mut self, _trial: &Trial) {}

    fn observe(&mut self, _window: &Window<'_>) {}

    fn verdict(&self) -> Verdict {
        Verdict::NoFault
    }

    fn recheck(&mut self) {}

    fn acquit(&mut self) {}
}
