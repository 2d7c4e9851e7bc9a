//! The lane to one backend server: slots, queue and connections.

use super::pool::Pool;
use super::{exchange, time_left};
use crate::body::Body;
use crate::carrier::Response;
use knapweed_host::admission::{Arrival, FairQueue, Flow, Options, Released, Verdict, WaiterKey};
use knapweed_host::{Admission, NotRun, Outcome};
use knapweed_timer::TimerService;
use knapweed_wire::RequestHead;
use knapweed_world::Time;
use knapweed_world::backend_server::Announcement;
use parking_lot::Mutex;
use slotmap::SecondaryMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Requests that the queue holds, and how to wake each.
struct Queue {
    admission: Box<dyn Admission>,
    waiting: SecondaryMap<WaiterKey, oneshot::Sender<Result<(), NotRun>>>,
}

/// Everything that a node knows of one backend server on its host.
pub(super) struct Lane {
    announcement: Announcement,
    queue: Mutex<Queue>,
    pool: Arc<Pool>,
    timer: TimerService,
}

/// Construction and access.
impl Lane {
    pub(super) fn new(announcement: Announcement, timer: TimerService) -> Self {
        let admission = FairQueue::new(Options::new(announcement.slots));
        let pool = Pool::new(announcement.address, announcement.max_connections);
        Self {
            announcement,
            queue: Mutex::new(Queue {
                admission: Box::new(admission),
                waiting: SecondaryMap::new(),
            }),
            pool: Arc::new(pool),
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
    }

    /// Whether the request is for the backend server of this lane.
    pub(super) fn serves(&self, head: &RequestHead) -> bool {
        head.service == self.announcement.service && head.version == self.announcement.version
    }
}

/// Requests.
impl Lane {
    /// Runs a request: waits for a slot and a connection, then exchanges.
    pub(super) async fn run(
        self: Arc<Self>,
        head: RequestHead,
        body: Body,
    ) -> Result<Response, Outcome> {
        let deadline = self.timer.now().after(time_left(&head));
        let slot = self
            .admit(flow(&head), deadline)
            .await
            .map_err(Outcome::NotRun)?;
        exchange::run(&self.pool, slot, head, body, self.timer.clone(), deadline).await
    }

    async fn admit(self: &Arc<Self>, flow: Flow, deadline: Time) -> Result<Slot, NotRun> {
        match self.arrive(Arrival {
            flow,
            deadline,
            alone: false,
        }) {
            Decision::Admitted => {}
            Decision::Shed(reason) => return Err(reason),
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
        Ok(self.slot(flow))
    }

    fn slot(self: &Arc<Self>, flow: Flow) -> Slot {
        Slot {
            lane: Arc::clone(self),
            flow,
            start: self.timer.now(),
            answered: false,
        }
    }

    fn arrive(self: &Arc<Self>, arrival: Arrival) -> Decision {
        let mut queue = self.queue.lock();
        match queue.admission.arrive(arrival, self.timer.now()) {
            Verdict::Admit => Decision::Admitted,
            Verdict::Shed(reason) => Decision::Shed(reason),
            Verdict::Queue { waiter, displaced } => {
                let (tx, rx) = oneshot::channel();
                queue.waiting.insert(waiter, tx);
                let shed = displaced.into_iter().collect();
                queue.tell(Released {
                    run: Vec::new(),
                    shed,
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
                let _ = tx.send(Err(shed.reason));
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

enum Decision {
    Admitted,
    Queued(WaiterKey, oneshot::Receiver<Result<(), NotRun>>),
    Shed(NotRun),
}

/// A place in the queue, given up when the caller leaves.
struct Place<'a> {
    lane: &'a Lane,
    flow: Flow,
    waiter: WaiterKey,
    woken: oneshot::Receiver<Result<(), NotRun>>,
    told: bool,
}

impl Place<'_> {
    async fn wait(&mut self) -> Result<(), NotRun> {
        let result = (&mut self.woken).await;
        self.told = true;
        result.unwrap_or(Err(NotRun::Overloaded))
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

/// A slot of the backend server, held while a request runs.
pub(super) struct Slot {
    lane: Arc<Lane>,
    flow: Flow,
    start: Time,
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
        let took = self.lane.timer.now().since(self.start);
        self.lane.finish(self.flow, self.answered.then_some(took));
    }
}

fn flow(head: &RequestHead) -> Flow {
    let mut hasher = DefaultHasher::new();
    head.route.hash(&mut hasher);
    Flow(hasher.finish())
}
