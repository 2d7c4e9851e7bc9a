//! Outcomes of the sends of other nodes, stored so that inquiries can be answered.

use bytes::Bytes;
use knapweed_host::inquiry::{Begin, MAX_BODY, Options, SendResult, SendStatus, StoredResponse};
use knapweed_host::{Answer, ExchangeStore, Outcome, SendId, Unknown};
use knapweed_timer::TimerService;
use knapweed_wire::ResponseHead;
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;

/// The sends that this egress received from other nodes. The lock is held for a
/// few map operations only.
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

    /// Registers a send that has arrived.
    ///
    /// # Errors
    ///
    /// The send must not run: it is a duplicate, or was declared as never run.
    pub(super) fn begin(self: &Arc<Self>, send: SendId) -> Result<SendRecord, Begin> {
        match self.store.lock().begin(send) {
            Begin::Run => Ok(SendRecord {
                exchanges: Arc::clone(self),
                send,
                send_result: Some(SendResult::Unknown(Unknown::CallerLeft)),
            }),
            refused => Err(refused),
        }
    }

    /// Status of a send that was made at most `age` ago.
    pub(super) fn inquire(&self, send: SendId, age: Duration) -> SendStatus {
        let now = self.timer.now();
        let mut store = self.store.lock();
        store.tick(now);
        store.inquire(send, age, now)
    }
}

/// A running send. Dropping it before [`SendRecord::finish`] records that the caller
/// left.
pub(super) struct SendRecord {
    exchanges: Arc<Exchanges>,
    send: SendId,
    send_result: Option<SendResult>,
}

impl SendRecord {
    /// Records the result of the send.
    pub(super) fn finish(mut self, send_result: SendResult) {
        self.send_result = Some(send_result);
    }
}

impl Drop for SendRecord {
    fn drop(&mut self) {
        if let Some(send_result) = self.send_result.take() {
            let now = self.exchanges.timer.now();
            self.exchanges
                .store
                .lock()
                .finish(self.send, send_result, now);
        }
    }
}

/// A copy of a response for the store, made while the response is forwarded. It is
/// discarded when the response is too long to be stored.
pub(super) struct ResponseCopy {
    head: ResponseHead,
    /// `None` once the body is longer than [`MAX_BODY`].
    chunks: Option<Vec<Bytes>>,
    len: usize,
}

impl ResponseCopy {
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

    /// Result of the send after its complete body was forwarded.
    pub(super) fn send_result(self) -> SendResult {
        match self.head.outcome {
            Outcome::Answered(Answer::Complete) => {
                SendResult::Answered(self.into_stored().map(Arc::new))
            }
            Outcome::Answered(Answer::NotStored) => SendResult::Answered(None),
            Outcome::NotRun(reason) => SendResult::NotRun(reason),
            Outcome::Unknown(reason) => SendResult::Unknown(reason),
        }
    }

    fn into_stored(self) -> Option<StoredResponse> {
        let headers = self.head.headers.into_iter();
        Some(StoredResponse {
            status: self.head.status,
            headers: headers.map(|h| (h.name, h.value)).collect(),
            body: Bytes::from(self.chunks?.concat()),
        })
    }
}
