//! A stand-in for the platform that stores one rollout state and the results of
//! tickets.

use knapweed_rollout::control::WriteResult;
use knapweed_rollout::{Action, Event, Revision, RolloutState, StoreEra, TicketResult};
use knapweed_world::TicketNumber;
use std::collections::BTreeMap;

#[derive(Clone, Debug, Default)]
pub struct FakePlatform {
    pub stored: Option<RolloutState>,
    pub revision: u64,
    /// Era of the store, which rises with each restore.
    pub era: StoreEra,
    pub results: BTreeMap<TicketNumber, TicketResult>,
    /// Number of writes of a result that differed from the first one of the ticket.
    pub contradictions: u32,
    /// Whether all calls fail without an effect.
    pub down: bool,
    /// Whether calls take effect but their responses are lost.
    pub loses_answers: bool,
    /// All states that were written, in order.
    pub history: Vec<RolloutState>,
}

impl FakePlatform {
    /// Executes an action and returns the event that answers it, if there is one.
    pub fn answer(&mut self, action: &Action) -> Option<Event> {
        let answer = match action {
            Action::Read => self.read(),
            Action::Write { state, condition } => Event::Write(self.write(state, *condition)),
            Action::Finish(result) => return self.finish(result),
            Action::Publish(_) => return None,
        };
        match answer {
            Event::Write(_) if self.loses_answers => Some(Event::Write(WriteResult::Unknown)),
            answer => Some(answer),
        }
    }

    /// Comes back from an older copy, which begins a new era. The lists of what was ever
    /// written stay.
    pub fn restore(&mut self, copy: &Self) {
        self.stored = copy.stored.clone();
        self.revision = copy.revision;
        self.era = StoreEra(self.era.0 + 1);
    }

    fn latest(&self) -> Revision {
        Revision::new(self.revision).in_era(self.era)
    }

    fn read(&self) -> Event {
        if self.down {
            return Event::ReadFailed;
        }
        Event::Read {
            state: self.stored.clone(),
            revision: self.latest(),
        }
    }

    fn write(&mut self, state: &RolloutState, condition: Revision) -> WriteResult {
        if self.down {
            return WriteResult::Unknown;
        }
        if condition != self.latest() {
            return WriteResult::Conflict;
        }
        self.revision += 1;
        self.stored = Some(state.clone());
        self.history.push(state.clone());
        WriteResult::Written(self.latest())
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
