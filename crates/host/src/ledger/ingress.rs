//! Ingress side: asks for a permit and follows the answers.

use super::message::PermitAnswer;
use super::table::{Epoch, Member};
use crate::{NotRun, Outcome, SendId, Unknown};
use knapweed_world::Time;
use std::time::Duration;

/// Longest wait for the first answer of an owner.
pub const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// What the ingress does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Send the request, once, to the egress that was named; then settle.
    Send,
    /// Wait for a further answer until this time.
    Wait(Time),
    /// Fetch the stored response of an earlier send; without one the outcome is
    /// `Answered(NotStored)`.
    Fetch {
        /// The egress.
        egress: Member,
        /// The earlier send.
        send: SendId,
    },
    /// Load the table, which has at least this epoch elsewhere, and ask again.
    AskAgain(Epoch),
    /// Report the outcome.
    End(Outcome),
    /// Report the outcome, and settle the send as not run: a permit may be on its way.
    GiveUp(Outcome),
    /// Settle the send as not run; its outcome was reported before.
    Release,
    /// Nothing: a late or repeated message.
    Ignore,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Asking {
        until: Time,
    },
    Waiting,
    /// Sent to an egress, or ended.
    Done,
    /// Ended, and no permit of this send will be used.
    GivenUp,
}

/// One send of a request with a key.
///
/// A permit is used at most once, and not after the deadline.
#[derive(Clone, Copy, Debug)]
pub struct KeyedSend {
    state: State,
    deadline: Time,
}

impl KeyedSend {
    /// Starts to ask.
    pub fn new(now: Time, deadline: Time) -> Self {
        let until = now.after(ASK_TIMEOUT).min(deadline);
        Self {
            state: State::Asking { until },
            deadline,
        }
    }

    /// When [`KeyedSend::timeout`] is due, if at all.
    pub fn due(&self) -> Option<Time> {
        match self.state {
            State::Asking { until } => Some(until),
            State::Waiting => Some(self.deadline),
            State::Done | State::GivenUp => None,
        }
    }

    /// The owner answered.
    pub fn answered(&mut self, answer: PermitAnswer, now: Time) -> Step {
        match self.state {
            State::Done => Step::Ignore,
            State::GivenUp if answer == PermitAnswer::Granted => Step::Release,
            State::GivenUp => Step::Ignore,
            State::Asking { .. } | State::Waiting => self.follow(answer, now),
        }
    }

    /// The time of [`KeyedSend::due`] has come.
    pub fn timeout(&mut self, now: Time) -> Step {
        match self.due() {
            Some(due) if now >= due => self.give_up(),
            Some(due) => Step::Wait(due),
            None => Step::Ignore,
        }
    }

    /// The owner cannot be reached.
    pub fn unreachable(&mut self) -> Step {
        match self.due() {
            Some(_) => self.give_up(),
            None => Step::Ignore,
        }
    }

    fn follow(&mut self, answer: PermitAnswer, now: Time) -> Step {
        match answer {
            PermitAnswer::Granted if now >= self.deadline => self.give_up(),
            PermitAnswer::Granted => self.end(Step::Send),
            PermitAnswer::Waiting => {
                self.state = State::Waiting;
                Step::Wait(self.deadline)
            }
            PermitAnswer::Answered { egress, send } => self.end(Step::Fetch { egress, send }),
            PermitAnswer::Refused(reason) => self.end(Step::End(Outcome::NotRun(reason))),
            PermitAnswer::Unresolved(reason) => self.end(Step::End(Outcome::Unknown(reason))),
            PermitAnswer::Moved(epoch) => Step::AskAgain(epoch),
        }
    }

    fn end(&mut self, step: Step) -> Step {
        self.state = State::Done;
        step
    }

    /// While another send of the key runs, the key as a whole has no known
    /// outcome, so the caller is not told that it did not run.
    fn give_up(&mut self) -> Step {
        let outcome = match self.state {
            State::Waiting => Outcome::Unknown(Unknown::KeyRunning),
            _ => Outcome::NotRun(NotRun::KeyUndecided),
        };
        self.state = State::GivenUp;
        Step::GiveUp(outcome)
    }
}
