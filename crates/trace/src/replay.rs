//! Replays a trace and compares the outcomes.

use crate::run::{ControlRun, GuardRun, Run};
use crate::{Check, Settings, Trace};

/// Feeds the events of `trace` to its state machine and compares what came of
/// it with the stated outcomes, in their order.
pub fn replay(trace: &Trace) -> Vec<Check> {
    let mut run: Box<dyn Run> = match &trace.header.settings {
        Settings::RolloutControl(settings) => Box::new(ControlRun::new(
            settings.clone(),
            trace.header.start_unix_ms,
        )),
        Settings::Guard(settings) => Box::new(GuardRun::new(settings)),
    };
    for record in &trace.records {
        run.feed(record);
    }
    let stated = trace.outcomes.iter();
    stated.map(|s| Check::new(*s, run.seen())).collect()
}
