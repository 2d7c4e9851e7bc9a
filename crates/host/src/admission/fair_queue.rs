//! The default admission: slots and a short queue that flows share fairly.

use super::{Admission, Arrival, Flow, Released, Shed, Verdict, WaiterKey};
use crate::NotRun;
use knapweed_world::Time;
use slotmap::SlotMap;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Settings of a [`FairQueue`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    slots: u16,
    queue: usize,
    lifo_after: Duration,
    max_wait: Duration,
}

/// Settings, one by one.
impl Options {
    /// Settings for a backend server with `slots`.
    pub fn new(slots: u16) -> Self {
        Self {
            slots,
            queue: 2 * usize::from(slots),
            lifo_after: Duration::from_millis(20),
            // Shed requests are answered within 50 ms of their arrival; the
            // rest is left for the timer and the way back.
            max_wait: Duration::from_millis(40),
        }
    }

    /// Most queued requests.
    pub fn queue(mut self, len: usize) -> Self {
        self.queue = len;
        self
    }

    /// Wait of the oldest queued request from which the newest is served first.
    pub fn lifo_after(mut self, wait: Duration) -> Self {
        self.lifo_after = wait;
        self
    }

    /// Longest wait in the queue.
    pub fn max_wait(mut self, wait: Duration) -> Self {
        self.max_wait = wait;
        self
    }
}

/// Slots and a short queue of one backend server.
///
/// A free slot goes to the queued flow with the fewest running requests. Within
/// the flow it goes to the oldest request, or to the newest one while the queue
/// is slow: under overload the newest still has time left. When the queue is
/// full, the flow with the most queued requests loses its oldest. A request that
/// must run alone waits until nothing runs, and holds back the others meanwhile.
#[derive(Debug)]
pub struct FairQueue {
    options: Options,
    running: u32,
    draining: bool,
    alone: Alone,
    waiters: SlotMap<WaiterKey, Waiter>,
    flows: BTreeMap<Flow, FlowState>,
    served: u64,
}

/// The request that must run alone, of which there is at most one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Alone {
    None,
    Queued(WaiterKey),
    Running,
}

#[derive(Debug)]
struct Waiter {
    flow: Flow,
    arrived: Time,
    latest_start: Time,
    deadline: Time,
}

#[derive(Debug, Default)]
struct FlowState {
    running: u32,
    /// Oldest first.
    queue: VecDeque<WaiterKey>,
    /// Moving average of the time in the backend server; 0 before the first answer.
    service_us: u64,
    /// Position in the order in which flows got a slot.
    served: u64,
}

impl FlowState {
    fn is_idle(&self) -> bool {
        self.running == 0 && self.queue.is_empty()
    }
}

/// Flows whose service time is remembered while they are idle.
const MAX_FLOWS: usize = 256;

/// Construction.
impl FairQueue {
    /// An admission with nothing running.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            running: 0,
            draining: false,
            alone: Alone::None,
            waiters: SlotMap::with_key(),
            flows: BTreeMap::new(),
            served: 0,
        }
    }
}

impl Admission for FairQueue {
    fn arrive(&mut self, arrival: Arrival, now: Time) -> Verdict {
        if self.draining {
            return Verdict::Shed(NotRun::Draining);
        }
        if arrival.deadline <= now {
            return Verdict::Shed(NotRun::DeadlinePassed);
        }
        if arrival.alone {
            return self.arrive_alone(arrival, now);
        }
        if self.has_free_slot() && self.waiters.is_empty() {
            self.start(arrival.flow);
            return Verdict::Admit;
        }
        self.enqueue(arrival, now)
    }

    fn finish(&mut self, flow: Flow, took: Option<Duration>, now: Time) -> Released {
        self.end(flow, took);
        self.expire(now)
    }

    fn cancel(&mut self, waiter: WaiterKey, now: Time) -> Option<Released> {
        self.remove(waiter)?;
        Some(self.expire(now))
    }

    fn expire(&mut self, now: Time) -> Released {
        let due = self.waiters.iter().filter(|(_, w)| w.latest_start <= now);
        let due: Vec<WaiterKey> = due.map(|(key, _)| key).collect();
        let shed = due.into_iter().filter_map(|key| self.shed_late(key, now));
        Released {
            shed: shed.collect(),
            run: self.fill_slots(now),
        }
    }

    fn next_expiry(&self) -> Option<Time> {
        self.waiters.values().map(|w| w.latest_start).min()
    }

    fn drain(&mut self) -> Vec<Shed> {
        self.draining = true;
        for flow in self.flows.values_mut() {
            flow.queue.clear();
        }
        if matches!(self.alone, Alone::Queued(_)) {
            self.alone = Alone::None;
        }
        let all = self.waiters.drain();
        let reason = NotRun::Draining;
        all.map(|(waiter, _)| Shed { waiter, reason }).collect()
    }

    fn running(&self) -> u32 {
        self.running
    }

    fn queued(&self) -> usize {
        self.waiters.len()
    }
}

/// Slots.
impl FairQueue {
    fn has_free_slot(&self) -> bool {
        self.alone != Alone::Running && self.running < u32::from(self.options.slots)
    }

    fn start(&mut self, flow: Flow) {
        self.running += 1;
        self.served += 1;
        let served = self.served;
        let state = self.flow(flow);
        state.running += 1;
        state.served = served;
    }

    fn end(&mut self, flow: Flow, took: Option<Duration>) {
        let state = self.flow(flow);
        assert!(state.running > 0, "a request ended that was not running");
        state.running -= 1;
        if let Some(took) = took {
            let took = took.as_micros() as u64;
            let old = state.service_us;
            state.service_us = if old == 0 {
                took
            } else {
                old - old / 8 + took / 8
            };
        }
        self.running -= 1;
        if self.alone == Alone::Running {
            self.alone = Alone::None;
        }
    }

    fn flow(&mut self, flow: Flow) -> &mut FlowState {
        if self.flows.len() >= MAX_FLOWS && !self.flows.contains_key(&flow) {
            self.flows.retain(|_, state| !state.is_idle());
        }
        self.flows.entry(flow).or_default()
    }
}

/// The queue.
impl FairQueue {
    fn enqueue(&mut self, arrival: Arrival, now: Time) -> Verdict {
        let service_us = self.flow(arrival.flow).service_us;
        let start_by = Time(arrival.deadline.0.saturating_sub(service_us));
        if start_by <= now {
            self.doubt_estimate(arrival.flow);
            return Verdict::Shed(NotRun::Overloaded);
        }
        let displaced = match self.make_room(arrival.flow) {
            Ok(displaced) => displaced,
            Err(reason) => return Verdict::Shed(reason),
        };
        let waiter = self.insert(arrival, start_by, now);
        self.flow(arrival.flow).queue.push_back(waiter);
        Verdict::Queue { waiter, displaced }
    }

    fn insert(&mut self, arrival: Arrival, start_by: Time, now: Time) -> WaiterKey {
        self.waiters.insert(Waiter {
            flow: arrival.flow,
            arrived: now,
            latest_start: start_by.min(now.after(self.options.max_wait)),
            deadline: arrival.deadline,
        })
    }

    /// Takes the place of the oldest request of the flow with the most of them.
    fn make_room(&mut self, arriving: Flow) -> Result<Option<Shed>, NotRun> {
        if self.waiters.len() < self.options.queue {
            return Ok(None);
        }
        let len = |(flow, state): &(&Flow, &FlowState)| {
            // The arriving request counts, and its own flow gives way on a tie.
            let arrives = **flow == arriving;
            (state.queue.len() + usize::from(arrives), arrives)
        };
        let longest = self.flows.iter().max_by_key(len);
        let oldest = longest.and_then(|(_, state)| state.queue.front().copied());
        let waiter = oldest.ok_or(NotRun::Overloaded)?;
        self.remove(waiter);
        let reason = NotRun::Overloaded;
        Ok(Some(Shed { waiter, reason }))
    }

    fn fill_slots(&mut self, now: Time) -> Vec<WaiterKey> {
        std::iter::from_fn(|| self.next(now)).collect()
    }

    fn next(&mut self, now: Time) -> Option<WaiterKey> {
        if !self.has_free_slot() {
            return None;
        }
        match self.alone {
            Alone::Queued(waiter) => self.next_alone(waiter),
            _ => self.next_of_flows(now),
        }
    }

    fn next_of_flows(&mut self, now: Time) -> Option<WaiterKey> {
        let oldest = self.waiters.values().map(|w| w.arrived).min()?;
        let newest_first = now.since(oldest) > self.options.lifo_after;
        let waiting = self
            .flows
            .iter()
            .filter(|(_, state)| !state.queue.is_empty());
        let (flow, state) = waiting.min_by_key(|(_, state)| (state.running, state.served))?;
        let (flow, queue) = (*flow, &state.queue);
        let waiter = *if newest_first {
            queue.back()
        } else {
            queue.front()
        }?;
        self.remove(waiter);
        self.start(flow);
        Some(waiter)
    }

    fn remove(&mut self, waiter: WaiterKey) -> Option<Waiter> {
        let removed = self.waiters.remove(waiter)?;
        if self.alone == Alone::Queued(waiter) {
            self.alone = Alone::None;
        }
        self.flow(removed.flow).queue.retain(|key| *key != waiter);
        Some(removed)
    }

    fn shed_late(&mut self, waiter: WaiterKey, now: Time) -> Option<Shed> {
        let removed = self.remove(waiter)?;
        if now.since(removed.arrived) < self.options.max_wait {
            self.doubt_estimate(removed.flow);
        }
        let reason = if removed.deadline <= now {
            NotRun::DeadlinePassed
        } else {
            NotRun::Overloaded
        };
        Some(Shed { waiter, reason })
    }

    /// Lowers the expected service time of a flow after a request was shed
    /// because of it; otherwise one slow period could shed the flow for good.
    fn doubt_estimate(&mut self, flow: Flow) {
        let state = self.flow(flow);
        state.service_us -= state.service_us / 16;
    }
}

/// Requests that must run alone.
impl FairQueue {
    fn arrive_alone(&mut self, arrival: Arrival, now: Time) -> Verdict {
        if self.alone != Alone::None || self.waiters.len() >= self.options.queue {
            return Verdict::Shed(NotRun::Overloaded);
        }
        if self.running == 0 && self.options.slots > 0 {
            self.alone = Alone::Running;
            self.start(arrival.flow);
            return Verdict::Admit;
        }
        let waiter = self.insert(arrival, arrival.deadline, now);
        self.alone = Alone::Queued(waiter);
        Verdict::Queue {
            waiter,
            displaced: None,
        }
    }

    fn next_alone(&mut self, waiter: WaiterKey) -> Option<WaiterKey> {
        if self.running > 0 {
            return None;
        }
        let removed = self.remove(waiter)?;
        self.alone = Alone::Running;
        self.start(removed.flow);
        Some(waiter)
    }
}
