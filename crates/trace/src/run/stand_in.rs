//! A simulated platform that replies at once.

use knapweed_rollout::control::WriteResult;
use knapweed_rollout::{Action, Event, Revision, RolloutState};

/// Platform that stores one rollout state, with compare-and-set by revision.
#[derive(Clone, Debug, Default)]
pub(super) struct StandIn {
    pub(super) is_down: bool,
    state: Option<RolloutState>,
    revision: Revision,
}

impl StandIn {
    /// Performs an action and returns the reply; `None` when the action has none
    /// or the reply does not arrive.
    pub(super) fn perform(&mut self, action: &Action) -> Option<Event> {
        match action {
            Action::Read if self.is_down => Some(Event::ReadFailed),
            Action::Read => Some(Event::Read {
                state: self.state.clone(),
                revision: self.revision,
            }),
            Action::Write { state, condition } => Some(Event::Write(self.write(state, *condition))),
            Action::Finish(_) if self.is_down => None,
            Action::Finish(result) => Some(Event::ResultWritten(result.ticket)),
            Action::Publish(_) => None,
        }
    }

    fn write(&mut self, state: &RolloutState, condition: Revision) -> WriteResult {
        if self.is_down {
            return WriteResult::Unknown;
        }
        if condition != self.revision {
            return WriteResult::Conflict;
        }
        self.revision = Revision::new(self.revision.number + 1);
        self.state = Some(state.clone());
        WriteResult::Written(self.revision)
    }
}
