//! Inquiry about a send whose connection was lost: the egress remembers its
//! sends, and the ingress decides from its answer.

use crate::{Answer, NotRun, Outcome, SendId, Unknown};
use bytes::Bytes;
use knapweed_world::Time;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Largest body that is stored, in bytes.
pub const MAX_BODY: usize = 64 * 1024;
/// Longest way of a message between nodes that `never` can be trusted across.
pub const MAX_TRANSIT: Duration = Duration::from_secs(5);
/// Wait for the answer of an egress, and between two inquiries about a running send.
pub const INQUIRY_TIMEOUT: Duration = Duration::from_millis(500);

/// A complete response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredResponse {
    /// Status.
    pub status: u16,
    /// Names and values of the headers.
    pub headers: Vec<(Bytes, Bytes)>,
    /// Body, at most [`MAX_BODY`] bytes.
    pub body: Bytes,
}

impl StoredResponse {
    fn size(&self) -> usize {
        let headers = self.headers.iter().map(|(n, v)| n.len() + v.len());
        self.body.len() + headers.sum::<usize>()
    }
}

/// How a send ended at the egress.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum End {
    /// The backend server answered; the response, when it is small enough.
    Answered(Option<Arc<StoredResponse>>),
    /// It did not run.
    NotRun(NotRun),
    /// It may have run.
    Unknown(Unknown),
}

/// What the egress says about a send.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Finding {
    /// It was answered; the response, when it is still stored.
    Complete(Option<Arc<StoredResponse>>),
    /// It is running.
    Running,
    /// It did not arrive, and is refused if it still does.
    Never,
    /// It arrived and did not run.
    NotRun(NotRun),
    /// It arrived and may have run.
    Unknown(Unknown),
    /// The egress no longer knows sends of that age.
    Forgotten,
}

/// Whether an arriving send may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Begin {
    /// It may; [`ExchangeStore::finish`] must follow.
    Run,
    /// It was declared as never run: answer [`NotRun::NeverRan`].
    Refuse,
    /// It has arrived before: reset the stream without an answer.
    Repeated,
}

/// Settings of an [`ExchangeStore`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    retention: Duration,
    max_sends: usize,
    max_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(600),
            max_sends: 100_000,
            max_bytes: 8 << 20,
        }
    }
}

/// Settings, one by one.
impl Options {
    /// How long a finished send is remembered and a response is stored.
    pub fn retention(mut self, time: Duration) -> Self {
        self.retention = time;
        self
    }

    /// Most finished or refused sends that are remembered.
    pub fn max_sends(mut self, n: usize) -> Self {
        self.max_sends = n;
        self
    }

    /// Most bytes of stored responses.
    pub fn max_bytes(mut self, bytes: usize) -> Self {
        self.max_bytes = bytes;
        self
    }
}

#[derive(Clone, Debug)]
enum Record {
    Running,
    Never,
    Ended(End),
}

/// The sends that reached an egress.
///
/// A send that was declared as never run is refused for the whole retention. An
/// egress that has forgotten ended sends early does not say `never` about a
/// send that may be one of them.
#[derive(Debug)]
pub struct ExchangeStore {
    options: Options,
    records: HashMap<SendId, Record>,
    /// Ended sends, oldest first.
    ended: VecDeque<(Time, SendId)>,
    /// Sends declared as never run, oldest first.
    never: VecDeque<(Time, SendId)>,
    /// Ended sends with a stored response, oldest first.
    stored: VecDeque<(SendId, usize)>,
    bytes: usize,
    /// Sends that arrived up to this time may be forgotten.
    forgotten_until: Time,
}

/// Construction and access.
impl ExchangeStore {
    /// An empty store of a node that starts now.
    pub fn new(options: Options, now: Time) -> Self {
        Self {
            options,
            records: HashMap::new(),
            ended: VecDeque::new(),
            never: VecDeque::new(),
            stored: VecDeque::new(),
            bytes: 0,
            forgotten_until: now,
        }
    }

    /// Sends that are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no send is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Bytes of stored responses.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

/// Events.
impl ExchangeStore {
    /// A send arrives.
    pub fn begin(&mut self, send: SendId) -> Begin {
        match self.records.get(&send) {
            None => {
                self.records.insert(send, Record::Running);
                Begin::Run
            }
            Some(Record::Never) => Begin::Refuse,
            Some(Record::Running | Record::Ended(_)) => Begin::Repeated,
        }
    }

    /// A send that was running ended.
    pub fn finish(&mut self, send: SendId, end: End, now: Time) {
        let Some(record) = self.records.get_mut(&send) else {
            return;
        };
        if !matches!(record, Record::Running) {
            return;
        }
        let end = limit_body(end);
        if let End::Answered(Some(response)) = &end {
            self.bytes += response.size();
            self.stored.push_back((send, response.size()));
        }
        *record = Record::Ended(end);
        self.ended.push_back((now, send));
        self.make_room(now);
    }

    /// An ingress or the owner of a key inquires about a send that cannot have
    /// reached this egress more than `age` ago.
    pub fn inquire(&mut self, send: SendId, age: Duration, now: Time) -> Finding {
        match self.records.get(&send) {
            Some(Record::Running) => Finding::Running,
            Some(Record::Never) => Finding::Never,
            Some(Record::Ended(End::Answered(response))) => Finding::Complete(response.clone()),
            Some(Record::Ended(End::NotRun(reason))) => Finding::NotRun(*reason),
            Some(Record::Ended(End::Unknown(reason))) => Finding::Unknown(*reason),
            None => self.declare_never(send, age, now),
        }
    }

    /// Forgets what has passed its retention; due every few seconds.
    pub fn tick(&mut self, now: Time) {
        self.make_room(now);
        let retention = self.options.retention;
        while let Some((at, send)) = self.never.front().copied() {
            if now.since(at) <= retention {
                break;
            }
            self.never.pop_front();
            self.records.remove(&send);
        }
    }
}

/// Steps.
impl ExchangeStore {
    fn declare_never(&mut self, send: SendId, age: Duration, now: Time) -> Finding {
        let earliest = now.0.saturating_sub((age + MAX_TRANSIT).as_micros() as u64);
        let may_be_forgotten = Time(earliest) <= self.forgotten_until;
        // A mark must not be dropped before its retention, so a full store
        // makes no further promises.
        if may_be_forgotten || self.never.len() >= self.options.max_sends {
            return Finding::Forgotten;
        }
        self.records.insert(send, Record::Never);
        self.never.push_back((now, send));
        Finding::Never
    }

    fn make_room(&mut self, now: Time) {
        while let Some((at, send)) = self.ended.front().copied() {
            let is_due = now.since(at) > self.options.retention;
            if !is_due && self.ended.len() <= self.options.max_sends {
                break;
            }
            self.ended.pop_front();
            self.drop_response(send);
            self.records.remove(&send);
            self.forgotten_until = self.forgotten_until.max(at);
        }
        while self.bytes > self.options.max_bytes {
            let Some((send, size)) = self.stored.pop_front() else {
                break;
            };
            self.clear_response(send, size);
        }
    }

    /// Drops the response of a send that is about to be forgotten.
    fn drop_response(&mut self, send: SendId) {
        // Responses are stored in the order in which sends ended.
        if let Some((oldest, size)) = self.stored.front().copied()
            && oldest == send
        {
            self.stored.pop_front();
            self.clear_response(send, size);
        }
    }

    fn clear_response(&mut self, send: SendId, size: usize) {
        self.bytes -= size;
        if let Some(Record::Ended(End::Answered(response))) = self.records.get_mut(&send) {
            *response = None;
        }
    }
}

fn limit_body(end: End) -> End {
    match end {
        End::Answered(Some(response)) if response.body.len() > MAX_BODY => End::Answered(None),
        other => other,
    }
}

/// What the ingress does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Inquire on a fresh connection, with the age of the send.
    Ask {
        /// Time since the request was sent.
        age: Duration,
    },
    /// Wait until this time.
    Wait(Time),
    /// Give the stored response to the caller.
    Deliver(Arc<StoredResponse>),
    /// Report the outcome.
    End(Outcome),
}

/// The inquiry of an ingress about one of its sends.
#[derive(Clone, Copy, Debug)]
pub struct Inquiry {
    sent_at: Time,
    deadline: Time,
    asked_at: Time,
    ask_next: Time,
}

impl Inquiry {
    /// Starts an inquiry about a send made at `sent_at`.
    pub fn start(sent_at: Time, deadline: Time, now: Time) -> (Self, Step) {
        let mut inquiry = Self {
            sent_at,
            deadline,
            asked_at: now,
            ask_next: now,
        };
        let step = inquiry.wake(now);
        (inquiry, step)
    }

    /// The time of [`Step::Wait`] has come, or [`INQUIRY_TIMEOUT`] after [`Step::Ask`].
    pub fn wake(&mut self, now: Time) -> Step {
        if now >= self.deadline {
            return Step::End(Outcome::Unknown(Unknown::ConnectionLost));
        }
        if now < self.ask_next {
            return Step::Wait(self.ask_next.min(self.deadline));
        }
        self.asked_at = now;
        self.ask_next = now.after(INQUIRY_TIMEOUT);
        Step::Ask {
            age: now.since(self.sent_at),
        }
    }

    /// The egress answered.
    pub fn found(&mut self, finding: Finding, now: Time) -> Step {
        let lost = Outcome::Unknown(Unknown::ConnectionLost);
        match finding {
            Finding::Complete(Some(response)) => Step::Deliver(response),
            Finding::Complete(None) => Step::End(Outcome::Answered(Answer::NotStored)),
            Finding::Running => self.wake(now),
            // After a longer way the age in the inquiry was too small.
            Finding::Never if now.since(self.asked_at) > MAX_TRANSIT => Step::End(lost),
            Finding::Never => Step::End(Outcome::NotRun(NotRun::NeverRan)),
            Finding::NotRun(reason) => Step::End(Outcome::NotRun(reason)),
            Finding::Unknown(reason) => Step::End(Outcome::Unknown(reason)),
            Finding::Forgotten => Step::End(lost),
        }
    }
}
