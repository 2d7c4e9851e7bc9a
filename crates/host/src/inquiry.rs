//! Inquiries about a send whose connection was lost.
//!
//! The egress records its sends, and the ingress derives the outcome of the
//! request from the recorded status.

use crate::{Answer, NotRun, Outcome, SendId, Unknown};
use bytes::Bytes;
use knapweed_world::Time;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Maximum size of a stored response body, in bytes.
pub const MAX_BODY: usize = 64 * 1024;
/// Longest transit time of a message between nodes for which the status `never`
/// can be trusted.
pub const MAX_TRANSIT: Duration = Duration::from_secs(5);
/// Timeout of an inquiry, and interval between two inquiries about a running send.
pub const INQUIRY_TIMEOUT: Duration = Duration::from_millis(500);

/// A complete response that the egress keeps for inquiries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Names and values of the headers, in order.
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
pub enum SendResult {
    /// The backend server answered; `None` when the response is too large to store.
    Answered(Option<Arc<StoredResponse>>),
    /// The send did not run.
    NotRun(NotRun),
    /// The send may have run.
    Unknown(Unknown),
}

/// Status of a send as the egress reports it to an inquiry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SendStatus {
    /// The send was answered; `None` when the response is not stored.
    Complete(Option<Arc<StoredResponse>>),
    /// The send is running.
    Running,
    /// The send did not arrive, and will be refused if it arrives later.
    Never,
    /// The send arrived and did not run.
    NotRun(NotRun),
    /// The send arrived and may have run.
    Unknown(Unknown),
    /// The egress no longer keeps records of sends of that age.
    Forgotten,
}

/// Whether an arriving send may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Begin {
    /// It may run; [`ExchangeStore::finish`] must be called when it ends.
    Run,
    /// It was declared as never run: reply with [`NotRun::NeverRan`].
    Refuse,
    /// It is a duplicate: reset the stream without a reply.
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

/// Methods that change one setting each.
impl Options {
    /// How long the record of a finished send and its response are kept.
    pub fn retention(mut self, time: Duration) -> Self {
        self.retention = time;
        self
    }

    /// Maximum number of finished sends, and of sends declared as never run, that are kept.
    pub fn max_sends(mut self, n: usize) -> Self {
        self.max_sends = n;
        self
    }

    /// Maximum size of all stored responses, in bytes.
    pub fn max_bytes(mut self, bytes: usize) -> Self {
        self.max_bytes = bytes;
        self
    }
}

#[derive(Clone, Debug)]
enum Record {
    Running,
    Never,
    Ended(SendResult),
}

/// Records of the sends that reached an egress.
///
/// A send that was declared as never run is refused for the whole retention
/// period. An egress that has dropped records early, for lack of space, does not
/// report `never` about a send whose record may be one of them.
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
    /// The record of a send that arrived up to this time may have been dropped.
    dropped_until: Time,
}

/// Construction and access.
impl ExchangeStore {
    /// Creates the empty store of a node that starts at `now`.
    pub fn new(options: Options, now: Time) -> Self {
        Self {
            options,
            records: HashMap::new(),
            ended: VecDeque::new(),
            never: VecDeque::new(),
            stored: VecDeque::new(),
            bytes: 0,
            dropped_until: now,
        }
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Total size of the stored responses, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

/// Events that the node reports.
impl ExchangeStore {
    /// A send arrives; decides whether it may run.
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
    pub fn finish(&mut self, send: SendId, end: SendResult, now: Time) {
        let Some(record) = self.records.get_mut(&send) else {
            return;
        };
        if !matches!(record, Record::Running) {
            return;
        }
        let end = limit_body(end);
        if let SendResult::Answered(Some(response)) = &end {
            self.bytes += response.size();
            self.stored.push_back((send, response.size()));
        }
        *record = Record::Ended(end);
        self.ended.push_back((now, send));
        self.evict(now);
    }

    /// An ingress inquires about a send that cannot have reached this egress more
    /// than `age` ago.
    pub fn inquire(&mut self, send: SendId, age: Duration, now: Time) -> SendStatus {
        match self.records.get(&send) {
            Some(Record::Running) => SendStatus::Running,
            Some(Record::Never) => SendStatus::Never,
            Some(Record::Ended(SendResult::Answered(response))) => {
                SendStatus::Complete(response.clone())
            }
            Some(Record::Ended(SendResult::NotRun(reason))) => SendStatus::NotRun(*reason),
            Some(Record::Ended(SendResult::Unknown(reason))) => SendStatus::Unknown(*reason),
            None => self.declare_never(send, age, now),
        }
    }

    /// Drops records that have passed their retention; must be called every few seconds.
    pub fn tick(&mut self, now: Time) {
        self.evict(now);
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

/// Declarations and eviction.
impl ExchangeStore {
    fn declare_never(&mut self, send: SendId, age: Duration, now: Time) -> SendStatus {
        let earliest = now.0.saturating_sub((age + MAX_TRANSIT).as_micros() as u64);
        let may_be_dropped = Time(earliest) <= self.dropped_until;
        // A declaration must be kept for its whole retention, so a full store
        // makes no further ones.
        if may_be_dropped || self.never.len() >= self.options.max_sends {
            return SendStatus::Forgotten;
        }
        self.records.insert(send, Record::Never);
        self.never.push_back((now, send));
        SendStatus::Never
    }

    fn evict(&mut self, now: Time) {
        while let Some((at, send)) = self.ended.front().copied() {
            let is_due = now.since(at) > self.options.retention;
            if !is_due && self.ended.len() <= self.options.max_sends {
                break;
            }
            self.ended.pop_front();
            self.drop_response(send);
            self.records.remove(&send);
            self.dropped_until = self.dropped_until.max(at);
        }
        while self.bytes > self.options.max_bytes {
            let Some((send, size)) = self.stored.pop_front() else {
                break;
            };
            self.clear_response(send, size);
        }
    }

    /// Drops the response of a send whose record is about to be removed.
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
        if let Some(Record::Ended(SendResult::Answered(response))) = self.records.get_mut(&send) {
            *response = None;
        }
    }
}

fn limit_body(end: SendResult) -> SendResult {
    match end {
        SendResult::Answered(Some(response)) if response.body.len() > MAX_BODY => {
            SendResult::Answered(None)
        }
        other => other,
    }
}

/// Next step of an inquiry at the ingress.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Send an inquiry on a new connection, with the age of the send.
    Ask {
        /// Time since the request was sent.
        age: Duration,
    },
    /// Call [`Inquiry::wake`] at this time.
    Wait(Time),
    /// Send the stored response to the caller.
    Deliver(Arc<StoredResponse>),
    /// End the inquiry with this outcome.
    End(Outcome),
}

/// The inquiry of an ingress about one of its sends.
#[derive(Clone, Copy, Debug)]
pub struct Inquiry {
    sent_at: Time,
    deadline: Time,
    sent_inquiry_at: Time,
    next_inquiry_at: Time,
}

impl Inquiry {
    /// Starts an inquiry about a send made at `sent_at`.
    pub fn start(sent_at: Time, deadline: Time, now: Time) -> (Self, Step) {
        let mut inquiry = Self {
            sent_at,
            deadline,
            sent_inquiry_at: now,
            next_inquiry_at: now,
        };
        let step = inquiry.wake(now);
        (inquiry, step)
    }

    /// Returns the next step; must be called at the time of [`Step::Wait`], and
    /// [`INQUIRY_TIMEOUT`] after [`Step::Ask`] without a reply.
    pub fn wake(&mut self, now: Time) -> Step {
        if now >= self.deadline {
            return Step::End(Outcome::Unknown(Unknown::ConnectionLost));
        }
        if now < self.next_inquiry_at {
            return Step::Wait(self.next_inquiry_at.min(self.deadline));
        }
        self.sent_inquiry_at = now;
        self.next_inquiry_at = now.after(INQUIRY_TIMEOUT);
        Step::Ask {
            age: now.since(self.sent_at),
        }
    }

    /// The egress replied with the status of the send.
    pub fn status_received(&mut self, send_status: SendStatus, now: Time) -> Step {
        let lost = Outcome::Unknown(Unknown::ConnectionLost);
        match send_status {
            SendStatus::Complete(Some(response)) => Step::Deliver(response),
            SendStatus::Complete(None) => Step::End(Outcome::Answered(Answer::NotStored)),
            SendStatus::Running => self.wake(now),
            // With a longer transit, the send may be older than the age in the inquiry.
            SendStatus::Never if now.since(self.sent_inquiry_at) > MAX_TRANSIT => Step::End(lost),
            SendStatus::Never => Step::End(Outcome::NotRun(NotRun::NeverRan)),
            SendStatus::NotRun(reason) => Step::End(Outcome::NotRun(reason)),
            SendStatus::Unknown(reason) => Step::End(Outcome::Unknown(reason)),
            SendStatus::Forgotten => Step::End(lost),
        }
    }
}
