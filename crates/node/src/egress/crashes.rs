//! Requests whose backend server died while it ran them.

use super::pool::Pool;
use crate::body::Body;
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http_body::Frame;
use http_body_util::{BodyExt, BodyStream, StreamBody};
use knapweed_host::crash::{CrashId, CrashRecord, CrashSubjects, Subject, Verdict};
use knapweed_host::{CrashMemory, NotRun, Outcome, SendId, Unknown};
use knapweed_observe::part;
use knapweed_timer::TimerService;
use knapweed_wire::RequestHead;
use knapweed_world::{Name, Time};
use parking_lot::Mutex;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Part of a body that belongs to the content of a request, in bytes.
const MAX_CONTENT: usize = 64 * 1024;
/// Looks to learn whether the process of a backend server is gone.
const LOOKS: u32 = 3;
/// Time between two of them; a dying process closes its sockets one by one.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// The crash memory of a host, shared by its lanes.
pub(super) struct Crashes {
    memory: Mutex<CrashMemory>,
    /// Records that other nodes have not been told.
    news: Mutex<Vec<CrashRecord>>,
    timer: TimerService,
}

impl Crashes {
    pub(super) fn new(timer: TimerService) -> Self {
        Self {
            memory: Mutex::default(),
            news: Mutex::default(),
            timer,
        }
    }

    /// Takes the records that other nodes should be told.
    pub(super) fn take_news(&self) -> Vec<CrashRecord> {
        self.memory.lock().tick(self.timer.now());
        std::mem::take(&mut *self.news.lock())
    }

    /// Takes records of another node; new ones become news here too.
    pub(super) fn merge(&self, records: Vec<CrashRecord>) {
        let now = self.timer.now();
        let mut memory = self.memory.lock();
        let new = records.into_iter().filter(|r| memory.merge(r, now));
        let new: Vec<_> = new.collect();
        drop(memory);
        self.news.lock().extend(new);
    }

    /// Decides whether a request may run, and follows its body for its content.
    pub(super) async fn examine(
        self: &Arc<Self>,
        head: &RequestHead,
        body: Body,
        deadline: Time,
    ) -> Result<(Case, Body), NotRun> {
        let copy = Arc::new(Content::new(head));
        let body = copy.follow(body);
        let mut case = Case {
            crashes: Arc::clone(self),
            content: Arc::clone(&copy),
            send: head.id,
            is_suspect: head.is_suspect,
            trial: None,
        };
        if self.memory.lock().is_empty() {
            return Ok((case, body));
        }
        let left = deadline.since(self.timer.now());
        let read = tokio::time::timeout(left, copy.read_ahead(body));
        let body = read.await.map_err(|_| NotRun::DeadlinePassed)?;
        let suspect = case.suspect();
        let now = self.timer.now();
        match self.memory.lock().check(&suspect, deadline, now) {
            Verdict::Clear => {}
            Verdict::Exclusive => case.trial = Some(suspect),
            Verdict::Refuse(reason) => return Err(reason),
        }
        Ok((case, body))
    }
}

/// A request that may turn out to crash its backend server.
pub(super) struct Case {
    crashes: Arc<Crashes>,
    content: Arc<Content>,
    send: SendId,
    /// Whether the ingress knows of an earlier crash.
    is_suspect: bool,
    /// Set while the request is being tried alone.
    trial: Option<CrashSubjects>,
}

impl Case {
    /// Whether nothing may run beside the request.
    pub(super) fn is_alone(&self) -> bool {
        self.is_suspect || self.trial.is_some()
    }

    /// Records how the request ended at the backend server of `pool`; `true` when
    /// it crashed it.
    pub(super) async fn close(mut self, outcome: Outcome, pool: &Arc<Pool>) -> bool {
        let lost = outcome == Outcome::Unknown(Unknown::ServerCrashed);
        if lost && is_gone(pool).await {
            self.crashed(pool.address());
            return true;
        }
        self.end_trial(matches!(outcome, Outcome::Answered(_)));
        false
    }

    fn crashed(&mut self, server: SocketAddr) {
        let now = self.crashes.timer.now();
        let suspect = self.trial.take().unwrap_or_else(|| self.suspect());
        let crash = CrashId::of(self.send);
        let records = self.crashes.memory.lock().crashed(&suspect, crash, now);
        log::warn!(
            target: part::EGRESS,
            "backend server {server} died while it ran request {:032x}",
            u128::from_be_bytes(self.send.request.0)
        );
        self.crashes.news.lock().extend(records);
    }

    fn end_trial(&mut self, answered: bool) {
        if let Some(suspect) = self.trial.take() {
            let now = self.crashes.timer.now();
            let records = self.crashes.memory.lock().ended(&suspect, answered, now);
            self.crashes.news.lock().extend(records);
        }
    }

    fn suspect(&self) -> CrashSubjects {
        let identity = Subject::identity(self.send.request);
        CrashSubjects {
            identity,
            content: self.content.subject().unwrap_or(identity),
        }
    }
}

impl Drop for Case {
    fn drop(&mut self) {
        self.end_trial(false);
    }
}

/// Whether the process of a backend server is gone: its port refuses.
async fn is_gone(pool: &Arc<Pool>) -> bool {
    for _ in 0..LOOKS {
        if pool.is_refused(LOOK_EVERY).await {
            return true;
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
    false
}

/// What identifies the content of a request: route, method, path and the
/// first part of its body.
struct Content {
    route: Name,
    method: Bytes,
    path: Bytes,
    /// Length of that part; `None` when the body does not announce its length.
    len: Option<usize>,
    read: Mutex<Vec<u8>>,
}

impl Content {
    fn new(head: &RequestHead) -> Self {
        Self {
            route: head.route.clone(),
            method: head.method.clone(),
            path: head.path.clone(),
            len: announced_len(head).map(|len| len.min(MAX_CONTENT)),
            read: Mutex::default(),
        }
    }

    /// The content, when enough of the body was read.
    fn subject(&self) -> Option<Subject> {
        let read = self.read.lock();
        let is_whole = self.len == Some(read.len());
        is_whole.then(|| Subject::content(&self.route, &self.method, &self.path, &read))
    }

    fn add(&self, chunk: &Bytes) {
        let mut read = self.read.lock();
        let room = self.len.unwrap_or(0).saturating_sub(read.len());
        read.extend_from_slice(&chunk[..chunk.len().min(room)]);
    }

    fn is_read(&self) -> bool {
        self.len.is_none_or(|len| self.read.lock().len() >= len)
    }

    /// Keeps a copy of what passes.
    fn follow(self: &Arc<Self>, body: Body) -> Body {
        if self.len.is_none_or(|len| len == 0) {
            return body;
        }
        let content = Arc::clone(self);
        let seen = body.map_frame(move |frame| {
            if let Some(chunk) = frame.data_ref() {
                content.add(chunk);
            }
            frame
        });
        seen.boxed_unsync()
    }

    /// Reads the body until its content is known; gives it back as a whole.
    async fn read_ahead(&self, mut body: Body) -> Body {
        if self.is_read() {
            return body;
        }
        let mut frames: Vec<io::Result<Frame<Bytes>>> = Vec::new();
        while !self.is_read() {
            match body.frame().await {
                Some(frame) => frames.push(frame),
                None => break,
            }
        }
        let whole = stream::iter(frames).chain(BodyStream::new(body));
        BodyExt::boxed_unsync(StreamBody::new(whole))
    }
}

fn announced_len(head: &RequestHead) -> Option<usize> {
    if !head.has_body {
        return Some(0);
    }
    let header = head.headers.iter().find(|h| h.name == "content-length")?;
    std::str::from_utf8(&header.value).ok()?.parse().ok()
}
