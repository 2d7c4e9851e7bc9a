//! Dispatch of requests to one backend server: its slots, queue and connections.

use super::crashes::CrashTracker;
use super::lost::LostRequests;
use super::pool::Pool;
use super::{exchange, time_left};
use crate::body::Body;
use crate::carrier::Response;
use crate::protocol::{ServerNotice, ServerProtocol};
use crate::request_log::{EgressLog, QueueState};
use crate::trial::{RequestRun, Trial, Trials};
use http_body_util::BodyExt;
use knapweed_host::admission::{
    Arrival, LimitChange, NamedLimit, ObjectiveQueue, Options, Refusal, Released, Verdict,
    WaiterKey,
};
use knapweed_host::{Admission, ByteBudget, NotRun, Outcome};
use knapweed_link::Backlog;
use knapweed_observe::metrics::LabeledCounter;
use knapweed_observe::part;
use knapweed_rollout::counters::{Sample, Warmth};
use knapweed_timer::TimerService;
use knapweed_wire::RequestHead;
use knapweed_world::backend_server::Announcement;
use knapweed_world::{Flow, LoadReport, Name, ServerState, Time};
use parking_lot::Mutex;
use slotmap::SecondaryMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::sync::oneshot;

/// Lowest HTTP status that counts as a failure of the backend server.
const SERVER_ERROR: u16 = 500;

/// The admission queue, with a channel to each waiting request.
struct Queue {
    admission: Box<dyn Admission>,
    waiting: SecondaryMap<WaiterKey, oneshot::Sender<Result<(), Refusal>>>,
    limit: NamedLimit,
}

/// State of one backend server on this host, and the dispatch of requests to it.
pub(super) struct Dispatcher {
    announcement: Announcement,
    ready_since: Time,
    /// Whether the backend server last announced that it is in its cold start.
    is_cold: AtomicBool,
    queue: Mutex<Queue>,
    /// Whether the backend server limits the rate of its requests, so that other answers
    /// take no lock.
    has_limit: AtomicBool,
    /// Whether the backend server has answered a request of this process.
    has_answered: AtomicBool,
    pool: Arc<Pool>,
    lost: Arc<LostRequests>,
    /// Whether the backend server has announced that it is shutting down.
    is_draining: AtomicBool,
    protocol: Arc<dyn ServerProtocol>,
    trials: Arc<Trials>,
    crashes: Arc<CrashTracker>,
    /// Receives the announcement of a backend server that says that it is shutting down.
    leaving: Arc<Mutex<Vec<Announcement>>>,
    uplink: Option<Arc<Backlog>>,
    buffered: Arc<ByteBudget>,
    rejections: LabeledCounter,
    timer: TimerService,
}

/// What a dispatcher shares with the rest of its egress.
#[derive(Clone)]
pub(super) struct Shared {
    pub(super) protocol: Arc<dyn ServerProtocol>,
    pub(super) trials: Arc<Trials>,
    pub(super) crashes: Arc<CrashTracker>,
    /// Receives the announcement of a backend server that says that it is shutting down.
    pub(super) leaving: Arc<Mutex<Vec<Announcement>>>,
    /// What the link of the host has to send; `None` when its rate is not known.
    pub(super) uplink: Option<Arc<Backlog>>,
    /// Limits the response bodies that are kept until their callers have read them.
    pub(super) buffered: Arc<ByteBudget>,
    /// Counts the responses that do not answer their request, by reason.
    pub(super) rejections: LabeledCounter,
    pub(super) timer: TimerService,
}

impl Shared {
    /// Counts the bytes of a response to another host that are handed to the link.
    pub(super) fn count_uplink(&self, body: Body) -> Body {
        let Some(uplink) = self.uplink.clone() else {
            return body;
        };
        let timer = self.timer.clone();
        let counted = body.map_frame(move |frame| {
            if let Some(data) = frame.data_ref() {
                uplink.add(data.len(), timer.now());
            }
            frame
        });
        counted.boxed_unsync()
    }
}

/// Construction, announcements and matching.
impl Dispatcher {
    pub(super) fn new(announcement: Announcement, shared: Shared) -> Self {
        let admission = ObjectiveQueue::new(Options::new(announcement.slots));
        let pool = Pool::new(announcement.address, announcement.max_connections);
        let is_cold = AtomicBool::new(announcement.is_cold);
        Self {
            announcement,
            is_cold,
            ready_since: shared.timer.now(),
            queue: Mutex::new(Queue {
                admission: Box::new(admission),
                waiting: SecondaryMap::new(),
                limit: NamedLimit::default(),
            }),
            has_limit: AtomicBool::new(false),
            has_answered: AtomicBool::new(false),
            pool: Arc::new(pool),
            lost: Arc::default(),
            is_draining: AtomicBool::new(false),
            protocol: shared.protocol,
            trials: shared.trials,
            crashes: shared.crashes,
            leaving: shared.leaving,
            uplink: shared.uplink,
            buffered: shared.buffered,
            rejections: shared.rejections,
            timer: shared.timer,
        }
    }

    /// Whether `announcement` comes from the same process with the same capacity.
    pub(super) fn is_same_server(&self, announcement: &Announcement) -> bool {
        let known = &self.announcement;
        known.service == announcement.service
            && known.version == announcement.version
            && known.slots == announcement.slots
            && known.max_connections == announcement.max_connections
            && known.instance == announcement.instance
    }

    /// Applies a later announcement of the same backend server: whether it is in its
    /// cold start.
    pub(super) fn update(&self, announcement: &Announcement) {
        self.is_cold.store(announcement.is_cold, Ordering::Relaxed);
    }

    /// Whether the backend server is past its cold start. A backend server that
    /// announces no instance does not announce its cold start either; it is judged
    /// by the time since it was first announced.
    fn warmth(&self, now: Time) -> Warmth {
        match &self.announcement.instance {
            Some(_) if self.is_cold.load(Ordering::Relaxed) => Warmth::Cold,
            Some(_) => Warmth::Warm,
            None => Warmth::of(now.since(self.ready_since)),
        }
    }

    /// Whether this backend server runs the service and version of the request.
    pub(super) fn serves(&self, head: &RequestHead) -> bool {
        head.service == self.announcement.service && head.version == self.announcement.version
    }
}

/// Execution of requests on the backend server.
impl Dispatcher {
    /// Runs a request: waits for a slot and a connection, sends it, and returns the
    /// response with the current load of the backend server.
    pub(super) async fn run(self: Arc<Self>, head: RequestHead, body: Body) -> Response {
        let flow = Flow::named(&head.route);
        let start = self.timer.now();
        let log = EgressLog::new(&head, Some(self.queue_state()));
        let result = match self.trials.find(&head.service) {
            _ if self.trials.is_pulled_back(&head.service, &head.version) => {
                Err(NotRun::Guarded.into())
            }
            Some(trial) => Arc::clone(&self).run_trial(&trial, head, body).await,
            None => {
                let start = OnceLock::new();
                Arc::clone(&self).exchange(head, body, &start).await.1
            }
        };
        let mut response = result.unwrap_or_else(Failure::into_response);
        response.head.load = Some(self.load(flow));
        let duration = self.timer.now().since(start);
        log.record_outcome(&response.head, duration);
        response
    }

    /// The load report for ingresses. They remember that a run of a backend server is
    /// shutting down, so that is reported only where the run is known.
    fn load(&self, flow: Flow) -> LoadReport {
        let is_leaving = self.is_draining.load(Ordering::Relaxed);
        let uplink = self.uplink.as_ref();
        let link_wait = uplink.map_or(Duration::ZERO, |link| link.wait(self.timer.now()));
        LoadReport {
            link_us: u32::try_from(link_wait.as_micros()).unwrap_or(u32::MAX),
            is_leaving: is_leaving && self.announcement.instance.is_some(),
            ..self.queue.lock().admission.load(flow)
        }
    }

    fn queue_state(&self) -> QueueState {
        let queue = self.queue.lock();
        QueueState {
            running: queue.admission.running(),
            queued: queue.admission.queued(),
        }
    }

    /// Runs a request of a service whose traffic is being moved, and records its
    /// outcome in `trial`.
    async fn run_trial(
        self: Arc<Self>,
        trial: &Trial,
        head: RequestHead,
        body: Body,
    ) -> Result<Response, Failure> {
        let (route, version) = (head.route.clone(), head.version.clone());
        if !trial.admits(&version) {
            return Err(NotRun::Guarded.into());
        }
        let mut trial_run = TrialRun {
            dispatcher: &self,
            trial,
            route,
            version,
            time_left: time_left(&head),
            start: OnceLock::new(),
            is_recorded: false,
        };
        let (is_crash, result) = Arc::clone(&self)
            .exchange(head, body, &trial_run.start)
            .await;
        trial_run.is_recorded = true;
        if !is_crash {
            trial_run.record_result(&result);
        }
        result
    }

    /// Waits for a slot and runs the request. The first value is whether the request
    /// crashed the backend server; such a crash is attributed to the request, not to
    /// the version.
    async fn exchange(
        self: Arc<Self>,
        head: RequestHead,
        body: Body,
        started: &OnceLock<Start>,
    ) -> (bool, Result<Response, Failure>) {
        let now = self.timer.now();
        let deadline = now.after(time_left(&head));
        let mut crash_check = match self.crashes.examine(&head, deadline) {
            Ok(crash_check) => crash_check,
            Err(reason) => return (false, Err(reason.into())),
        };
        self.adopt_limit(&head);
        let objective = head.objective_left_us.map(Duration::from_micros);
        let arrival = Arrival {
            flow: Flow::named(&head.route),
            rank: head.rank,
            objective: objective.map(|left| now.after(left)),
            deadline,
            exclusive: crash_check.is_exclusive(),
        };
        let slot = match self.admit(arrival).await {
            Ok(slot) => slot,
            Err(refusal) => return (false, Err(refusal.into())),
        };
        if let Err(reason) = crash_check.start(&self.lost, slot.start.at) {
            return (false, Err(reason.into()));
        }
        started.get_or_init(|| slot.start);
        let timer = self.timer.clone();
        let sent = slot.start.at;
        let observe = |notice| self.observe(notice, sent);
        let exchange = exchange::Exchange {
            observe: &observe,
            pool: &self.pool,
            server: &self.announcement,
            protocol: &*self.protocol,
            buffered: &self.buffered,
            rejections: &self.rejections,
            timer,
            head,
            deadline,
        };
        let result = exchange.run(slot, body).await;
        let outcome = result.as_ref().map_or_else(|o| *o, |r| r.head.outcome);
        let status = result.as_ref().map_or(0, |r| r.head.status);
        if crash_check.conclude(outcome, status, &self.pool).await {
            return (true, Ok(Response::crashed()));
        }
        (false, result.map_err(Failure::from))
    }

    /// Handles what the backend server stated in its answer to a request sent at `sent`.
    fn observe(&self, notice: ServerNotice, sent: Time) {
        self.has_answered.store(true, Ordering::Relaxed);
        if notice.is_leaving && !self.is_draining.load(Ordering::Relaxed) {
            self.leave();
        }
        if notice.rate_limit.is_none() && !self.has_limit.load(Ordering::Relaxed) {
            return;
        }
        let now = self.timer.now();
        let mut queue = self.queue.lock();
        let change = queue.limit.answered(notice.rate_limit, sent, now);
        self.apply_limit(&mut queue, change, now);
    }

    /// The backend server has said in an answer that it is shutting down: as if it had
    /// announced so.
    fn leave(&self) {
        log::info!(
            target: part::EGRESS,
            server:% = self.announcement.address;
            "the backend server says in an answer that it is leaving"
        );
        self.drain();
        self.leaving.lock().push(Announcement {
            state: ServerState::Draining,
            ..self.announcement.clone()
        });
    }

    /// Follows the limit that the ingress of a request knows, until the backend server
    /// answers. The previous process of this node may have followed it.
    fn adopt_limit(&self, head: &RequestHead) {
        let Some(rate) = head.rate_limit else { return };
        if self.has_answered.load(Ordering::Relaxed) {
            return;
        }
        let now = self.timer.now();
        let mut queue = self.queue.lock();
        let change = queue.limit.reported(rate, now);
        self.apply_limit(&mut queue, change, now);
    }

    fn apply_limit(&self, queue: &mut Queue, change: Option<LimitChange>, now: Time) {
        let Some(change) = change else { return };
        let is_limited = matches!(change, LimitChange::Limited(_));
        self.has_limit.store(is_limited, Ordering::Relaxed);
        let released = queue.admission.limit_rate(change, now);
        queue.notify(released);
        let server = self.announcement.address;
        match change {
            LimitChange::Limited(rate) => log::info!(
                target: part::EGRESS,
                server:% = server,
                limit_per_s = rate.as_f64();
                "the backend server limits its requests"
            ),
            LimitChange::Unlimited => log::info!(
                target: part::EGRESS,
                server:% = server;
                "the backend server limits its requests no longer"
            ),
        }
    }

    async fn admit(self: &Arc<Self>, arrival: Arrival) -> Result<Slot, Refusal> {
        let flow = arrival.flow;
        match self.arrive(arrival) {
            Decision::Admitted { in_use } => return Ok(self.slot(flow, in_use)),
            Decision::Shed(refusal) => return Err(refusal),
            Decision::Queued(waiter, receiver) => {
                let mut queued_request = QueuedRequest {
                    dispatcher: self,
                    flow,
                    waiter,
                    receiver,
                    is_notified: false,
                };
                queued_request.wait().await?;
            }
        }
        // A request that had to wait occupies the last free slot, so all are in use.
        Ok(self.slot(flow, u32::from(self.announcement.slots)))
    }

    fn slot(self: &Arc<Self>, flow: Flow, in_use: u32) -> Slot {
        let at = self.timer.now();
        Slot {
            dispatcher: Arc::clone(self),
            flow,
            start: Start { at, in_use },
            answered: false,
        }
    }

    fn arrive(self: &Arc<Self>, arrival: Arrival) -> Decision {
        let mut queue = self.queue.lock();
        match queue.admission.arrive(arrival, self.timer.now()) {
            Verdict::Admit => Decision::Admitted {
                in_use: queue.admission.running(),
            },
            Verdict::Shed(refusal) => Decision::Shed(refusal),
            Verdict::Queue { waiter, displaced } => {
                let (tx, rx) = oneshot::channel();
                queue.waiting.insert(waiter, tx);
                queue.notify(Released {
                    run: Vec::new(),
                    shed: displaced,
                });
                if queue.admission.queued() == 1 {
                    tokio::spawn(expire(Arc::clone(self)));
                }
                Decision::Queued(waiter, rx)
            }
        }
    }

    fn finish(&self, flow: Flow, duration: Option<Duration>) {
        let mut queue = self.queue.lock();
        let released = queue.admission.finish(flow, duration, self.timer.now());
        queue.notify(released);
    }

    /// `next` has announced itself at the address of this process. Unless this one was
    /// shutting down, the requests that it did not answer may have crashed it.
    pub(super) fn replaced_by(&self, next: &Announcement) {
        if !self.is_draining.load(Ordering::Relaxed) {
            let started = next
                .instance
                .as_ref()
                .map(|i| self.local_time(i.started_ms));
            self.crashes
                .process_ended(&self.lost, self.announcement.address, started);
        }
        self.drain();
    }

    /// The time of this node at which the wall clock of the host showed `unix_ms`.
    fn local_time(&self, unix_ms: u64) -> Time {
        let ago_ms = self.timer.wall_clock().0.saturating_sub(unix_ms);
        let ago = Duration::from_millis(ago_ms);
        Time(
            self.timer
                .now()
                .since(Time(0))
                .saturating_sub(ago)
                .as_micros() as u64,
        )
    }

    /// Refuses the queued and all new requests, because the backend server is shutting
    /// down.
    pub(super) fn drain(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
        let mut queue = self.queue.lock();
        let shed = queue.admission.drain();
        queue.notify(Released {
            run: Vec::new(),
            shed,
        });
    }

    fn shed_expired(&self) -> Option<Time> {
        let mut queue = self.queue.lock();
        let released = queue.admission.expire(self.timer.now());
        queue.notify(released);
        queue.admission.next_expiry()
    }
}

impl Queue {
    fn notify(&mut self, released: Released) {
        for shed in released.shed {
            if let Some(tx) = self.waiting.remove(shed.waiter) {
                let _ = tx.send(Err(shed.refusal));
            }
        }
        for waiter in released.run {
            if let Some(tx) = self.waiting.remove(waiter) {
                // The drop of a cancelled [`QueuedRequest`] returns the slot.
                let _ = tx.send(Ok(()));
            }
        }
    }
}

/// Sheds queued requests when they expire, until the queue is empty.
async fn expire(dispatcher: Arc<Dispatcher>) {
    while let Some(due) = dispatcher.shed_expired() {
        let wait = due.since(dispatcher.timer.now());
        dispatcher
            .timer
            .sleep(wait.max(Duration::from_millis(1)))
            .await;
    }
}

/// Outcome of a request that got no response from the backend server.
#[derive(Clone, Copy, Debug)]
struct Failure {
    outcome: Outcome,
    retry_after: Option<Duration>,
}

impl Failure {
    fn into_response(self) -> Response {
        let mut response = Response::without_answer(self.outcome);
        response.head.retry_after_us = self.retry_after.map(|wait| wait.as_micros() as u64);
        response
    }
}

impl From<Outcome> for Failure {
    fn from(outcome: Outcome) -> Self {
        Self {
            outcome,
            retry_after: None,
        }
    }
}

impl From<NotRun> for Failure {
    fn from(reason: NotRun) -> Self {
        Outcome::NotRun(reason).into()
    }
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Self {
            outcome: Outcome::NotRun(refusal.reason),
            retry_after: refusal.retry_after,
        }
    }
}

enum Decision {
    Admitted { in_use: u32 },
    Queued(WaiterKey, oneshot::Receiver<Result<(), Refusal>>),
    Shed(Refusal),
}

/// A request in the queue. Dropping it before it was notified removes it, because
/// the caller left.
struct QueuedRequest<'a> {
    dispatcher: &'a Dispatcher,
    flow: Flow,
    waiter: WaiterKey,
    receiver: oneshot::Receiver<Result<(), Refusal>>,
    is_notified: bool,
}

impl QueuedRequest<'_> {
    async fn wait(&mut self) -> Result<(), Refusal> {
        let result = (&mut self.receiver).await;
        self.is_notified = true;
        result.unwrap_or(Err(NotRun::Overloaded.into()))
    }
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        if self.is_notified {
            return;
        }
        let mut queue = self.dispatcher.queue.lock();
        if queue.waiting.remove(self.waiter).is_some() {
            let now = self.dispatcher.timer.now();
            if let Some(released) = queue.admission.cancel(self.waiter, now) {
                queue.notify(released);
            }
            return;
        }
        drop(queue);
        // The request got a slot just before its caller left; the slot is returned.
        if let Ok(Ok(())) = self.receiver.try_recv() {
            self.dispatcher.finish(self.flow, None);
        }
    }
}

/// Time and occupancy at which a request got its slot.
#[derive(Clone, Copy, Debug)]
struct Start {
    at: Time,
    /// Slots in use, that of the request included.
    in_use: u32,
}

/// Records the outcome of one request of a service whose traffic is being moved.
/// Dropping it unrecorded counts the request as failed if it was given up late.
struct TrialRun<'a> {
    dispatcher: &'a Dispatcher,
    trial: &'a Trial,
    route: Name,
    version: Name,
    time_left: Duration,
    start: OnceLock<Start>,
    is_recorded: bool,
}

/// Share of its time left, in percent, after which a cancelled request counts as
/// failed: near its deadline, the ingress gives a request up slightly before the
/// egress does.
const ABANDONED_PERCENT: u32 = 80;

impl TrialRun<'_> {
    fn record_result(&self, result: &Result<Response, Failure>) {
        let Some(start) = self.start.get() else {
            return;
        };
        let duration = self.dispatcher.timer.now().since(start.at);
        if let Some(sample) = sample(result, duration) {
            self.record(*start, sample);
        }
    }

    fn record(&self, start: Start, sample: Sample) {
        let now = self.dispatcher.timer.now();
        let run = RequestRun {
            route: &self.route,
            version: &self.version,
            in_use: start.in_use,
            slots: self.dispatcher.announcement.slots,
            warmth: self.dispatcher.warmth(now),
        };
        self.trial.record(&run, sample, now);
    }
}

impl Drop for TrialRun<'_> {
    fn drop(&mut self) {
        let Some(start) = self.start.get().filter(|_| !self.is_recorded) else {
            return;
        };
        let duration = self.dispatcher.timer.now().since(start.at);
        if duration >= self.time_left * ABANDONED_PERCENT / 100 {
            self.record(*start, Sample::Failed);
        }
    }
}

/// Converts a result into a sample for the rollout; `None` when it is no
/// evidence about the version.
fn sample(result: &Result<Response, Failure>, duration: Duration) -> Option<Sample> {
    match result {
        Ok(response) if response.head.status >= SERVER_ERROR => Some(Sample::Failed),
        Ok(_) => Some(Sample::Succeeded {
            latency_us: duration.as_micros() as u64,
        }),
        Err(failure) => match failure.outcome {
            Outcome::Unknown(_) => Some(Sample::Failed),
            _ => None,
        },
    }
}

/// A slot of the backend server, held by a running request.
pub(super) struct Slot {
    dispatcher: Arc<Dispatcher>,
    flow: Flow,
    start: Start,
    answered: bool,
}

impl Slot {
    /// Marks the request as answered, so that its duration enters the queue's
    /// estimate of service times.
    pub(super) fn mark_answered(&mut self) {
        self.answered = true;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let duration = self.dispatcher.timer.now().since(self.start.at);
        self.dispatcher
            .finish(self.flow, self.answered.then_some(duration));
    }
}
