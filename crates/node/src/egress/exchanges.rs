//! What the egress remembers of sends of other nodes, for their inquiries.

use bytes::Bytes;
use knapweed_host::inquiry::{Begin, MAX_BODY, Options, SendResult, SendStatus, StoredResponse};
use knapweed_host::{Answer, ExchangeStore, Outcome, SendId, Unknown};
use knapweed_timer::TimerService;
use knapweed_wire::ResponseHead;
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;

/// The sends of other nodes. The lock is held for a few map operations only.
#[derive(Debug)]
pub(super) struct Exchanges {
    store: Mutex<ExchangeStore>,
    timer: TimerService,
}

impl Exchanges {
    pub(super) fn new(timer: TimerService) -> Self {
        let store = ExchangeStore::new(Options::default(), timer.now());
        Self {
            store: Mutex::new(store),
            timer,
        }
    }

    /// A send arrives; without a [`Record`] it must not run.
    pub(super) fn begin(self: &Arc<Self>, send: SendId) -> Result<Record, Begin> {
        match self.store.lock().begin(send) {
            Begin::Run => Ok(Record {
                exchanges: Arc::clone(self),
                send,
                end: Some(SendResult::Unknown(Unknown::CallerLeft)),
            }),
            refused => Err(refused),
        }
    }

    /// Another node inquires about a send made at most `age` ago.
    pub(super) fn inquire(&self, send: SendId, age: Duration) -> SendStatus {
        let now = self.timer.now();
        let mut store = self.store.lock();
        store.tick(now);
        store.inquire(send, age, now)
    }
}

/// A send that runs. Dropping it without an end counts as a caller that left.
pub(super) struct Record {
    exchanges: Arc<Exchanges>,
    send: SendId,
    end: Option<SendResult>,
}

impl Record {
    /// The send ended.
    pub(super) fn finish(mut self, end: SendResult) {
        self.end = Some(end);
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        if let Some(end) = self.end.take() {
            let now = self.exchanges.timer.now();
            self.exchanges.store.lock().finish(self.send, end, now);
        }
    }
}

/// A copy of a response that passes, given up when it is too long to be stored.
pub(super) struct Copy {
    head: ResponseHead,
    /// `None` once the body is longer than [`MAX_BODY`].
    chunks: Option<Vec<Bytes>>,
    len: usize,
}

impl Copy {
    pub(super) fn new(head: ResponseHead) -> Self {
        Self {
            head,
            chunks: Some(Vec::new()),
            len: 0,
        }
    }

    pub(super) fn add(&mut self, chunk: &Bytes) {
        self.len += chunk.len();
        match &mut self.chunks {
            Some(chunks) if self.len <= MAX_BODY => chunks.push(chunk.clone()),
            _ => self.chunks = None,
        }
    }

    /// How the send ended, with the whole body passed.
    pub(super) fn end(self) -> SendResult {
        match self.head.outcome {
            Outcome::Answered(Answer::Complete) => {
                SendResult::Answered(self.stored().map(Arc::new))
            }
            Outcome::Answered(Answer::NotStored) => SendResult::Answered(None),
            Outcome::NotRun(reason) => SendResult::NotRun(reason),
            Outcome::Unknown(reason) => SendResult::Unknown(reason),
        }
    }

    fn stored(self) -> Option<StoredResponse> {
        let headers = self.head.headers.into_iter();
        Some(StoredResponse {
            status: self.head.status,
            headers: headers.map(|h| (h.name, h.value)).collect(),
            body: Bytes::from(self.chunks?.concat()),
        })
    }
}
