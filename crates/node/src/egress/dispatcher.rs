//! Dispatch of requests to one backend server: its slots, queue and connections.

mod cold;
mod failure;
mod notices;
mod queue;
mod trial_run;

use super::cold_limits::ColdLimits;
use super::crashes::CrashTracker;
use super::lost::LostRequests;
use super::pool::Pool;
use super::{exchange, time_left};
use crate::body::Body;
use crate::carrier::Response;
use crate::protocol::ServerProtocol;
use crate::request_log::{EgressLog, QueueState};
use crate::trial::Trials;
use failure::Failure;
use http_body_util::BodyExt;
use knapweed_host::admission::{Arrival, OrganisationShare};
use knapweed_host::{ByteBudget, NotRun};
use knapweed_link::Backlog;
use knapweed_observe::metrics::LabeledCounter;
use knapweed_rollout::counters::Warmth;
use knapweed_timer::TimerService;
use knapweed_wire::RequestHead;
use knapweed_world::backend_server::Announcement;
use knapweed_world::{Flow, LoadReport, Time};
use parking_lot::Mutex;
pub(super) use queue::Slot;
use queue::{Queue, Start};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

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
    cold_limits: Arc<ColdLimits>,
    is_evacuated: Arc<AtomicBool>,
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
    pub(super) cold_limits: Arc<ColdLimits>,
    /// Whether the availability zone of the host is evacuated.
    pub(super) is_evacuated: Arc<AtomicBool>,
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
        let pool = Pool::new(announcement.address, announcement.max_connections);
        let is_cold = AtomicBool::new(announcement.is_cold);
        let queue = Queue::new(announcement.slots);
        let dispatcher = Self {
            announcement,
            is_cold,
            ready_since: shared.timer.now(),
            queue: Mutex::new(queue),
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
            cold_limits: shared.cold_limits,
            is_evacuated: shared.is_evacuated,
            rejections: shared.rejections,
            timer: shared.timer,
        };
        dispatcher.announce_cold_start(dispatcher.announcement.is_cold);
        dispatcher
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
        self.announce_cold_start(announcement.is_cold);
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

    /// Waits for a slot and runs the request. The first value is whether the request
    /// crashed the backend server; such a crash is attributed to the request, not to
    /// the version.
    async fn exchange(
        self: Arc<Self>,
        head: RequestHead,
        body: Body,
        started: &OnceLock<Start>,
    ) -> (bool, Result<Response, Failure>) {
        if self.is_evacuated.load(Ordering::SeqCst) {
            return (false, Err(NotRun::Evacuated.into()));
        }
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
            organisation: organisation_share(&head),
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
            is_evacuated: &self.is_evacuated,
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
}

/// The unit of fair queueing that the organisation of a request makes.
fn organisation_share(head: &RequestHead) -> Option<OrganisationShare> {
    let organisation = head.organisation.as_ref();
    organisation.map(|name| OrganisationShare::new(name, head.organisation_rate))
}
