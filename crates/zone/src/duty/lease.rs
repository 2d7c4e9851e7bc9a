//! The lease of one duty at one node.
//!
//! The platform's revision of the lease object is the fencing token. No clock is
//! compared between hosts: a candidate takes over when it has seen the revision
//! unchanged for the whole [`TTL`], and a holder stops before that by its own clock.

use super::Duty;
use crate::record::Incarnation;
use knapweed_platform::{Condition, Error, Revision};
use knapweed_world::{Name, Time};
use rand::Rng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time for which an unchanged revision protects its holder.
pub const TTL: Duration = Duration::from_secs(6);
/// Time between renewals by the holder.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(2);
/// Time between reads by a candidate.
pub const READ_INTERVAL: Duration = Duration::from_secs(2);
/// Time after the start of its last successful write in which the holder may
/// use the duty.
pub const USE_LIMIT: Duration = Duration::from_secs(4);
/// Longest wait before the first repetition of a failed call.
pub const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// Longest wait before any repetition of a failed call.
pub const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Time after which a call without an answer counts as failed.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Content of a lease object.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseValue {
    /// The holder; `None` after it has released the lease.
    pub holder: Option<Holder>,
}

/// The process that holds a lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holder {
    /// Name of its host.
    pub host: Name,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// A lease object as read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseObject {
    /// Its revision.
    pub revision: Revision,
    /// Its content.
    pub value: LeaseValue,
}

/// Number of a call to the platform, to match its answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallNumber(pub u64);

/// What happened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// Whether this node is one of the candidates now.
    Candidate(bool),
    /// The answer to [`Action::Read`]; `None` when the object does not exist.
    Read(CallNumber, Result<Option<LeaseObject>, Error>),
    /// The answer to [`Action::Write`].
    Written(CallNumber, Result<Revision, Error>),
    /// The node stops soon.
    Leave,
}

/// What the node must do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Read the lease object.
    Read(CallNumber),
    /// Write the lease object on a condition.
    Write {
        /// To be repeated with the answer.
        call: CallNumber,
        /// The content.
        value: LeaseValue,
        /// The condition.
        condition: Condition,
    },
    /// The duty may be used, with this fencing token.
    Acquired(Revision),
    /// The fencing token has changed with a renewal.
    Renewed(Revision),
    /// The duty must not be used any more.
    StopUsing,
}

/// The lease as this node knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// Not held; `seen` is the last revision read and when it was first read.
    Observing { seen: Option<(Revision, Time)> },
    /// Held; `confirmed` is the start of the last successful write.
    Held { token: Revision, confirmed: Time },
    /// Given up because the node stops.
    Left,
}

/// A call without an answer so far.
#[derive(Clone, Copy, Debug)]
struct Call {
    number: CallNumber,
    started: Time,
}

/// The lease of one duty at one node.
#[derive(Debug)]
pub struct Lease {
    duty: Duty,
    holder: Holder,
    state: State,
    is_candidate: bool,
    call: Option<Call>,
    last_call: CallNumber,
    next_call: Time,
    failures: u32,
    rng: SmallRng,
}

/// Construction.
impl Lease {
    /// A lease that this node does not hold.
    pub fn new(now: Time, duty: Duty, holder: Holder, mut rng: SmallRng) -> Self {
        // Candidates that start together do not read together.
        let phase = READ_INTERVAL.mul_f64(rng.random_range(0.0..1.0));
        Self {
            duty,
            holder,
            state: State::Observing { seen: None },
            is_candidate: false,
            call: None,
            last_call: CallNumber(0),
            next_call: now.after(phase),
            failures: 0,
            rng,
        }
    }
}

/// Access.
impl Lease {
    /// The duty.
    pub fn duty(&self) -> &Duty {
        &self.duty
    }

    /// The fencing token, while the duty may be used.
    ///
    /// Every write under the duty must be conditional on state that was read
    /// under this token.
    pub fn token(&self, now: Time) -> Option<Revision> {
        match self.state {
            State::Held { token, confirmed } if now.since(confirmed) < USE_LIMIT => Some(token),
            _ => None,
        }
    }
}

/// Events.
impl Lease {
    /// Handles an event and returns what the node must do, in order.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = self.expire(now);
        actions.extend(match event {
            Event::Tick => self.tick(now),
            Event::Candidate(is_candidate) => {
                self.is_candidate = is_candidate;
                Vec::new()
            }
            Event::Read(number, result) => match self.finish(number) {
                Some(call) => self.read(now, call, result),
                None => Vec::new(),
            },
            Event::Written(number, result) => match self.finish(number) {
                Some(call) => self.written(now, call, result),
                None => Vec::new(),
            },
            Event::Leave => self.leave(now),
        });
        actions
    }

    /// Stops the use of the duty in time when renewals fail.
    fn expire(&mut self, now: Time) -> Vec<Action> {
        match self.state {
            State::Held { .. } if self.token(now).is_none() => {
                self.observe(now, None);
                self.next_call = now;
                vec![Action::StopUsing]
            }
            _ => Vec::new(),
        }
    }

    fn tick(&mut self, now: Time) -> Vec<Action> {
        if let Some(call) = self.call {
            if now.since(call.started) < CALL_TIMEOUT {
                return Vec::new();
            }
            self.call = None;
            self.back_off(now);
        }
        if now < self.next_call {
            return Vec::new();
        }
        match self.state {
            State::Held { token, .. } => vec![self.claim(now, Condition::Revision(token))],
            State::Observing { .. } if self.is_candidate => vec![self.start_read(now)],
            State::Observing { .. } | State::Left => Vec::new(),
        }
    }

    fn read(
        &mut self,
        now: Time,
        call: Call,
        result: Result<Option<LeaseObject>, Error>,
    ) -> Vec<Action> {
        let State::Observing { seen } = self.state else {
            return Vec::new();
        };
        let object = match result {
            Ok(object) => object,
            Err(_) => {
                self.back_off(now);
                return Vec::new();
            }
        };
        self.failures = 0;
        let Some(object) = object else {
            return vec![self.claim(now, Condition::Absent)];
        };
        let revision = object.revision;
        let since = match seen {
            Some((known, since)) if known == revision => since,
            _ => now,
        };
        let has_expired = call.started.since(since) >= TTL;
        let is_free = object.value.holder.is_none();
        // A write of this process whose answer was lost: nobody else holds it.
        let is_own = object.value.holder.as_ref() == Some(&self.holder);
        if has_expired || is_free || is_own {
            return vec![self.claim(now, Condition::Revision(revision))];
        }
        self.observe(now, Some((revision, since)));
        Vec::new()
    }

    fn written(&mut self, now: Time, call: Call, result: Result<Revision, Error>) -> Vec<Action> {
        let was_held = matches!(self.state, State::Held { .. });
        if self.state == State::Left {
            return Vec::new();
        }
        match result {
            Ok(token) => {
                let confirmed = call.started;
                self.state = State::Held { token, confirmed };
                self.failures = 0;
                self.next_call = confirmed.after(RENEW_INTERVAL);
                // The answer may be so late that the time of use is over.
                match (self.token(now).is_some(), was_held) {
                    (true, true) => vec![Action::Renewed(token)],
                    (true, false) => vec![Action::Acquired(token)],
                    (false, _) => self.expire_silently(now, was_held),
                }
            }
            // After a lost answer the token may have changed: it is read again
            // before the next write.
            Err(error) if is_conflict(&error) || error.may_have_effect() => {
                self.observe(now, None);
                self.back_off(now);
                match was_held {
                    true => vec![Action::StopUsing],
                    false => Vec::new(),
                }
            }
            Err(_) => {
                self.back_off(now);
                Vec::new()
            }
        }
    }

    fn leave(&mut self, now: Time) -> Vec<Action> {
        let state = std::mem::replace(&mut self.state, State::Left);
        let State::Held { token, .. } = state else {
            return Vec::new();
        };
        let call = self.start_call(now);
        let release = Action::Write {
            call,
            value: LeaseValue::default(),
            condition: Condition::Revision(token),
        };
        vec![Action::StopUsing, release]
    }
}

/// Steps.
impl Lease {
    fn observe(&mut self, now: Time, seen: Option<(Revision, Time)>) {
        self.state = State::Observing { seen };
        let regular = now.after(READ_INTERVAL);
        // The read that may find the lease expired is not later than needed.
        let expiry = seen.map(|(_, since)| since.after(TTL));
        self.next_call = expiry
            .filter(|t| *t > now)
            .map_or(regular, |t| t.min(regular));
    }

    fn claim(&mut self, now: Time, condition: Condition) -> Action {
        let holder = Some(self.holder.clone());
        Action::Write {
            call: self.start_call(now),
            value: LeaseValue { holder },
            condition,
        }
    }

    fn start_read(&mut self, now: Time) -> Action {
        Action::Read(self.start_call(now))
    }

    fn start_call(&mut self, now: Time) -> CallNumber {
        self.last_call = CallNumber(self.last_call.0 + 1);
        self.call = Some(Call {
            number: self.last_call,
            started: now,
        });
        self.last_call
    }

    /// Ends a call; `None` when its answer is late and was given up.
    fn finish(&mut self, number: CallNumber) -> Option<Call> {
        self.call.take_if(|c| c.number == number)
    }

    fn expire_silently(&mut self, now: Time, was_held: bool) -> Vec<Action> {
        let actions = self.expire(now);
        match was_held {
            true => actions,
            false => Vec::new(),
        }
    }

    /// Full jitter below a limit that doubles with each failure.
    fn back_off(&mut self, now: Time) {
        let limit = (FIRST_BACKOFF * 2u32.pow(self.failures.min(10))).min(MAX_BACKOFF);
        self.failures += 1;
        let wait = limit.mul_f64(self.rng.random_range(0.0..1.0));
        self.next_call = now.after(wait);
    }
}

fn is_conflict(error: &Error) -> bool {
    matches!(error, Error::Conflict { .. })
}
