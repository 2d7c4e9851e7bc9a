//! A stand-in for the platform: one state object and the ticket objects.

use knapweed_rollout::control::WriteAnswer;
use knapweed_rollout::{Action, Event, Revision, RolloutState, TicketResult};
use knapweed_world::TicketNumber;
use std::collections::BTreeMap;

#[derive(Clone, Debug, Default)]
pub struct FakePlatform {
    pub stored: Option<RolloutState>,
    pub revision: u64,
    pub results: BTreeMap<TicketNumber, TicketResult>,
    /// Results that differ from the one that was written first.
    pub contradictions: u32,
    /// No call takes effect.
    pub down: bool,
    /// Calls take effect, but answers are lost.
    pub loses_answers: bool,
    /// Every state that was written.
    pub history: Vec<RolloutState>,
}

impl FakePlatform {
    /// Carries out an action and returns the answer to it.
    pub fn answer(&mut self, action: &Action) -> Option<Event> {
        let answer = match action {
            Action::Read => self.read(),
            Action::Write { state, condition } => Event::Write(self.write(state, *condition)),
            Action::Finish(result) => return self.finish(result),
            Action::Publish(_) => return None,
        };
        match answer {
            Event::Write(_) if self.loses_answers => Some(Event::Write(WriteAnswer::Unknown)),
            answer => Some(answer),
        }
    }

    fn read(&self) -> Event {
        if self.down {
            return Event::ReadFailed;
        }
        Event::Read {
            state: self.stored.clone(),
            revision: Revision(self.revision),
        }
    }

    fn write(&mut self, state: &RolloutState, condition: Revision) -> WriteAnswer {
        if self.down {
            return WriteAnswer::Unknown;
        }
        if condition != Revision(self.revision) {
            return WriteAnswer::Conflict;
        }
        self.revision += 1;
        self.stored = Some(state.clone());
        self.history.push(state.clone());
        WriteAnswer::Written(Revision(self.revision))
    }

    fn finish(&mut self, result: &TicketResult) -> Option<Event> {
        if self.down {
            return None;
        }
        let first = self.results.entry(result.ticket).or_insert(result.clone());
        if first != result {
            self.contradictions += 1;
        }
        (!self.loses_answers).then_some(Event::ResultWritten(result.ticket))
    }
}
