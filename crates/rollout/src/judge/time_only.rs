//! A judge that never finds a fault. It serves as a reference for other judges.

use crate::judge::{ComparedVersions, Judge, Verdict, Window};

/// Never finds a fault, so that only time decides when a rollout is complete.
#[derive(Clone, Copy, Debug, Default)]
pub struct TimeOnlyJudge;

impl Judge for TimeOnlyJudge {
    fn begin(&mut self, _compared: &ComparedVersions) {}

    fn observe(&mut self, _window: &Window<'_>) {}

    fn verdict(&self) -> Verdict {
        Verdict::NoFault
    }

    fn recheck(&mut self) {}

    fn clear_suspicion(&mut self) {}
}
