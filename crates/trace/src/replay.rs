//! Replays a trace and checks its expected outcomes.

use crate::run::{ControlRun, GuardRun, Run};
use crate::{Check, Settings, Trace};

/// Feeds the events of `trace` to its state machine. Returns one check per
/// expected outcome, in the order of the trace.
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
    let expected = trace.outcomes.iter();
    expected
        .map(|s| Check::new(*s, run.observations()))
        .collect()
}
