//! The lane to one backend server: slots, queue and connections.

use super::crashes::Crashes;
use super::pool::Pool;
use super::{exchange, time_left};
use crate::body::Body;
use crate::carrier::Response;
use crate::protocol::ServerProtocol;
use crate::request_log::{EgressLog, QueueState};
use crate::trial::{Run, Trial, Trials};
use knapweed_host::admission::{
    Arrival, ObjectiveQueue, Options, Refusal, Released, Verdict, WaiterKey,
};
use knapweed_host::{Admission, NotRun, Outcome};
use knapweed_rollout::counters::{Sample, Warmth};
use knapweed_timer::TimerService;
use knapweed_wire::RequestHead;
use knapweed_world::backend_server::Announcement;
use knapweed_world::{Flow, Name, Time};
use parking_lot::Mutex;
use slotmap::SecondaryMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::sync::oneshot;

/// Lowest status that tells a fault of the backend server.
const SERVER_ERROR: u16 = 500;

/// Requests that the queue holds, and how to wake each.
struct Queue {
    admission: Box<dyn Admission>,
    waiting: SecondaryMap<WaiterKey, oneshot::Sender<Result<(), Refusal>>>,
}

/// Everything that a node knows of one backend server on its host.
pub(super) struct Lane {
    announcement: Announcement,
    ready_since: Time,
    /// What the backend server last said about its cold start.
    is_cold: AtomicBool,
    queue: Mutex<Queue>,
    pool: Arc<Pool>,
    protocol: Arc<dyn ServerProtocol>,
    trials: Arc<Trials>,
    crashes: Arc<Crashes>,
    timer: TimerService,
}

/// Construction and access.
impl Lane {
    pub(super) fn new(
        announcement: Announcement,
        protocol: Arc<dyn ServerProtocol>,
        trials: Arc<Trials>,
        crashes: Arc<Crashes>,
        timer: TimerService,
    ) -> Self {
        let admission = ObjectiveQueue::new(Options::new(announcement.slots));
        let pool = Pool::new(announcement.address, announcement.max_connections);
        let is_cold = AtomicBool::new(announcement.is_cold);
        Self {
            announcement,
            is_cold,
            ready_since: timer.now(),
            queue: Mutex::new(Queue {
                admission: Box::new(admission),
                waiting: SecondaryMap::new(),
            }),
            pool: Arc::new(pool),
            protocol,
            trials,
            crashes,
            timer,
        }
    }

    /// Whether `announcement` comes from the backend server of this lane.
    pub(super) fn is_same_server(&self, announcement: &Announcement) -> bool {
        let known = &self.announcement;
        known.service == announcement.service
            && known.version == announcement.version
            && known.slots == announcement.slots
            && known.max_connections == announcement.max_connections
            && known.instance == announcement.instance
    }

    /// Takes over what the backend server says about its cold start.
    pub(super) fn update(&self, announcement: &Announcement) {
        self.is_cold.store(announcement.is_cold, Ordering::Relaxed);
    }

    /// Whether the backend server is past its cold start. One that does not name
    /// its process does not say so either, and is taken by its age.
    fn warmth(&self, now: Time) -> Warmth {
        match &self.announcement.instance {
            Some(_) if self.is_cold.load(Ordering::Relaxed) => Warmth::Cold,
            Some(_) => Warmth::Warm,
            None => Warmth::of(now.since(self.ready_since)),
        }
    }

    /// Whether the request is for the backend server of this lane.
    pub(super) fn serves(&self, head: &RequestHead) -> bool {
        head.service == self.announcement.service && head.version == self.announcement.version
    }
}

/// Requests.
impl Lane {
    /// Runs a request: waits for a slot and a connection, then exchanges.
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
        response.head.load = Some(self.queue.lock().admission.load(flow));
        let took = self.timer.now().since(start);
        log.ended(&response.head, took);
        response
    }

    fn queue_state(&self) -> QueueState {
        let queue = self.queue.lock();
        QueueState {
            running: queue.admission.running(),
            queued: queue.admission.queued(),
        }
    }

    /// Runs a request of a service whose traffic is being moved, and counts it.
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
        let mut tested = Tested {
            lane: &self,
            trial,
            route,
            version,
            time_left: time_left(&head),
            start: OnceLock::new(),
            is_told: false,
        };
        let (is_crash, result) = Arc::clone(&self).exchange(head, body, &tested.start).await;
        tested.is_told = true;
        if !is_crash {
            tested.tell(&result);
        }
        result
    }

    /// Waits for a slot and runs the request; tells whether it crashed the
    /// backend server, which is attributed to the request.
    async fn exchange(
        self: Arc<Self>,
        head: RequestHead,
        body: Body,
        started: &OnceLock<Start>,
    ) -> (bool, Result<Response, Failure>) {
        let now = self.timer.now();
        let deadline = now.after(time_left(&head));
        let (case, body) = match self.crashes.examine(&head, body, deadline).await {
            Ok(examined) => examined,
            Err(reason) => return (false, Err(reason.into())),
        };
        let objective = head.objective_left_us.map(Duration::from_micros);
        let arrival = Arrival {
            flow: Flow::named(&head.route),
            rank: head.rank,
            objective: objective.map(|left| now.after(left)),
            deadline,
            exclusive: case.is_alone(),
        };
        let slot = match self.admit(arrival).await {
            Ok(slot) => slot,
            Err(refusal) => return (false, Err(refusal.into())),
        };
        started.get_or_init(|| slot.start);
        let timer = self.timer.clone();
        let exchange = exchange::Exchange {
            pool: &self.pool,
            server: &self.announcement,
            protocol: &*self.protocol,
            timer,
            head,
            deadline,
        };
        let result = exchange.run(slot, body).await;
        let outcome = result.as_ref().map_or_else(|o| *o, |r| r.head.outcome);
        if case.close(outcome, &self.pool).await {
            return (true, Ok(Response::crashed()));
        }
        (false, result.map_err(Failure::from))
    }

    async fn admit(self: &Arc<Self>, arrival: Arrival) -> Result<Slot, Refusal> {
        let flow = arrival.flow;
        match self.arrive(arrival) {
            Decision::Admitted { in_use } => return Ok(self.slot(flow, in_use)),
            Decision::Shed(refusal) => return Err(refusal),
            Decision::Queued(waiter, woken) => {
                let mut place = Place {
                    lane: self,
                    flow,
                    waiter,
                    woken,
                    told: false,
                };
                place.wait().await?;
            }
        }
        // A request that waited got the last free slot.
        Ok(self.slot(flow, u32::from(self.announcement.slots)))
    }

    fn slot(self: &Arc<Self>, flow: Flow, in_use: u32) -> Slot {
        let at = self.timer.now();
        Slot {
            lane: Arc::clone(self),
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
                queue.tell(Released {
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

    fn finish(&self, flow: Flow, took: Option<Duration>) {
        let mut queue = self.queue.lock();
        let released = queue.admission.finish(flow, took, self.timer.now());
        queue.tell(released);
    }

    /// The backend server is leaving: no new request starts.
    pub(super) fn drain(&self) {
        let mut queue = self.queue.lock();
        let shed = queue.admission.drain();
        queue.tell(Released {
            run: Vec::new(),
            shed,
        });
    }

    fn shed_expired(&self) -> Option<Time> {
        let mut queue = self.queue.lock();
        let released = queue.admission.expire(self.timer.now());
        queue.tell(released);
        queue.admission.next_expiry()
    }
}

impl Queue {
    fn tell(&mut self, released: Released) {
        for shed in released.shed {
            if let Some(tx) = self.waiting.remove(shed.waiter) {
                let _ = tx.send(Err(shed.refusal));
            }
        }
        for waiter in released.run {
            if let Some(tx) = self.waiting.remove(waiter) {
                // A waiter that left returns the slot by its [`Place`].
                let _ = tx.send(Ok(()));
            }
        }
    }
}

/// Sheds waiting requests when their time comes, until the queue is empty.
async fn expire(lane: Arc<Lane>) {
    while let Some(due) = lane.shed_expired() {
        let wait = due.since(lane.timer.now());
        lane.timer.sleep(wait.max(Duration::from_millis(1))).await;
    }
}

/// A request without a response of the backend server.
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

/// A place in the queue, given up when the caller leaves.
struct Place<'a> {
    lane: &'a Lane,
    flow: Flow,
    waiter: WaiterKey,
    woken: oneshot::Receiver<Result<(), Refusal>>,
    told: bool,
}

impl Place<'_> {
    async fn wait(&mut self) -> Result<(), Refusal> {
        let result = (&mut self.woken).await;
        self.told = true;
        result.unwrap_or(Err(NotRun::Overloaded.into()))
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if self.told {
            return;
        }
        let mut queue = self.lane.queue.lock();
        if queue.waiting.remove(self.waiter).is_some() {
            let now = self.lane.timer.now();
            if let Some(released) = queue.admission.cancel(self.waiter, now) {
                queue.tell(released);
            }
            return;
        }
        drop(queue);
        // It got the slot at the moment in which its caller left.
        if let Ok(Ok(())) = self.woken.try_recv() {
            self.lane.finish(self.flow, None);
        }
    }
}

/// When a request got its slot.
#[derive(Clone, Copy, Debug)]
struct Start {
    at: Time,
    /// Slots in use, its own included.
    in_use: u32,
}

/// A request of a service whose traffic is being moved.
struct Tested<'a> {
    lane: &'a Lane,
    trial: &'a Trial,
    route: Name,
    version: Name,
    time_left: Duration,
    start: OnceLock<Start>,
    is_told: bool,
}

/// Part of its time after which a request that is given up counts as failed, in
/// percent: its ingress gives it up a little before the egress would.
const GIVEN_UP_PERCENT: u32 = 80;

impl Tested<'_> {
    fn tell(&self, result: &Result<Response, Failure>) {
        let Some(start) = self.start.get() else {
            return;
        };
        let took = self.lane.timer.now().since(start.at);
        if let Some(sample) = sample(result, took) {
            self.record(*start, sample);
        }
    }

    fn record(&self, start: Start, sample: Sample) {
        let now = self.lane.timer.now();
        let run = Run {
            route: &self.route,
            version: &self.version,
            in_use: start.in_use,
            slots: self.lane.announcement.slots,
            warmth: self.lane.warmth(now),
        };
        self.trial.record(&run, sample, now);
    }
}

impl Drop for Tested<'_> {
    fn drop(&mut self) {
        let Some(start) = self.start.get().filter(|_| !self.is_told) else {
            return;
        };
        let took = self.lane.timer.now().since(start.at);
        if took >= self.time_left * GIVEN_UP_PERCENT / 100 {
            self.record(*start, Sample::Failed);
        }
    }
}

/// How a request counts for a rollout; `None` when it says nothing of the version.
fn sample(result: &Result<Response, Failure>, took: Duration) -> Option<Sample> {
    match result {
        Ok(response) if response.head.status >= SERVER_ERROR => Some(Sample::Failed),
        Ok(_) => Some(Sample::Succeeded {
            latency_us: took.as_micros() as u64,
        }),
        Err(failure) => match failure.outcome {
            Outcome::Unknown(_) => Some(Sample::Failed),
            _ => None,
        },
    }
}

/// A slot of the backend server, held while a request runs.
pub(super) struct Slot {
    lane: Arc<Lane>,
    flow: Flow,
    start: Start,
    answered: bool,
}

impl Slot {
    /// The backend server answered; its time counts for the estimate of the queue.
    pub(super) fn answered(&mut self) {
        self.answered = true;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let took = self.lane.timer.now().since(self.start.at);
        self.lane.finish(self.flow, self.answered.then_some(took));
    }
}
