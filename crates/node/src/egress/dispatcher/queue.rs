//! Admission of requests to a backend server: its queue and its slots.

use super::Dispatcher;
use knapweed_host::admission::{
    Arrival, ColdStart, NamedLimit, ObjectiveQueue, Options, Refusal, Released, Verdict, WaiterKey,
};
use knapweed_host::{Admission, NotRun};
use knapweed_world::{Flow, Time};
use slotmap::SecondaryMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::oneshot;

/// The admission queue, with a channel to each waiting request.
pub(super) struct Queue {
    pub(super) admission: Box<dyn Admission>,
    waiting: SecondaryMap<WaiterKey, oneshot::Sender<Result<(), Refusal>>>,
    pub(super) limit: NamedLimit,
    pub(super) cold_start: ColdStart,
    /// Whether the limit of the cold start is in force.
    pub(super) is_cold_limited: bool,
}

/// Admission of requests.
impl Dispatcher {
    pub(super) async fn admit(self: &Arc<Self>, arrival: Arrival) -> Result<Slot, Refusal> {
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
        let now = self.timer.now();
        let mut queue = self.queue.lock();
        if let Err(refusal) = self.check_cold_limit(&mut queue, arrival.flow, now) {
            return Decision::Shed(refusal);
        }
        match queue.admission.arrive(arrival, now) {
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

    /// Refuses the queued and all new requests, because the backend server is shutting
    /// down.
    pub(in crate::egress) fn drain(&self) {
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
    pub(super) fn new(slots: u16) -> Self {
        Self {
            admission: Box::new(ObjectiveQueue::new(Options::new(slots))),
            waiting: SecondaryMap::new(),
            limit: NamedLimit::default(),
            cold_start: ColdStart::WARM,
            is_cold_limited: false,
        }
    }

    pub(super) fn notify(&mut self, released: Released) {
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
pub(super) struct Start {
    pub(super) at: Time,
    /// Slots in use, that of the request included.
    pub(super) in_use: u32,
}

/// A slot of the backend server, held by a running request.
pub(in crate::egress) struct Slot {
    dispatcher: Arc<Dispatcher>,
    flow: Flow,
    pub(super) start: Start,
    answered: bool,
}

impl Slot {
    /// Marks the request as answered, so that its duration enters the queue's
    /// estimate of service times.
    pub(in crate::egress) fn mark_answered(&mut self) {
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
