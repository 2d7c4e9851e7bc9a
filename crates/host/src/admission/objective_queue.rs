//! Admission by slots, with a queue of requests that can still meet their objective.
//!
//! Load patterns:
//!
//! - A short burst of more requests than slots: a request waits as long as it can
//!   still meet its objective.
//! - Sustained overload: a request that cannot meet its objective is refused as
//!   soon as that is known, with a time to retry after, instead of staying in the
//!   queue until every request is late.
//! - Steady requests of a higher rank beside many of a lower one: the expected wait of the
//!   lower rank includes the requests that will arrive ahead of it.
//! - Nested calls of backend servers: they run first, since the requests that wait
//!   for them hold slots elsewhere; after them, requests run by priority.
//! - One route, or one organisation, with far more requests than the others of its rank:
//!   slots are shared fairly between the routes of each organisation, so one that demands
//!   less than its fair share gets all it demands.
//! - Slots that would stay free: they go to requests that are late already.
//! - A backend server that limits its requests per second: a request waits for its turn
//!   like for a slot, and ingresses learn of the longer wait.

use super::flows::Flows;
use super::preceding::PrecedingWork;
use super::queue_position::{Class, FIRST_LATE, QueuePosition};
use super::rate_limit::TokenBucket;
use super::shares::{Shares, Turn, UnitKey};
use super::{Admission, Arrival, LimitChange, Refusal, Released, Shed, Verdict, WaiterKey};
use crate::NotRun;
use knapweed_world::load::RANKS;
use knapweed_world::{Flow, LoadReport, Rank, Time};
use slotmap::SlotMap;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Settings of an [`ObjectiveQueue`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    slots: u16,
    max_queued: usize,
    default_wait: Duration,
}

/// Defaults, and methods that change one setting each.
impl Options {
    /// Default settings for a backend server with `slots`.
    pub fn new(slots: u16) -> Self {
        Self {
            slots,
            max_queued: 16 * usize::from(slots),
            // Requests without an objective are shed within 50 ms of their arrival;
            // 10 ms of that remain for the timer and the way to the caller.
            default_wait: Duration::from_millis(40),
        }
    }

    /// Maximum number of queued requests.
    pub fn max_queued(mut self, len: usize) -> Self {
        self.max_queued = len;
        self
    }

    /// Maximum wait of requests without an objective.
    pub fn default_wait(mut self, wait: Duration) -> Self {
        self.default_wait = wait;
        self
    }
}

/// A late request waits for at most 1 in this many parts of the time left to its deadline.
const LATE_WAIT_DIVISOR: u32 = 4;
/// Maximum number of queued late requests for each slot.
const LATE_PER_SLOT: usize = 1;
/// State of the exclusive request, which no other may run beside; there is at most one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Exclusive {
    None,
    Queued(WaiterKey),
    Running,
}

/// A queued request.
#[derive(Clone, Copy, Debug)]
struct Waiter {
    flow: Flow,
    unit: UnitKey,
    turn: Turn,
    rank: Rank,
    objective: Time,
    deadline: Time,
    /// Whether the objective came with the request, rather than from the default wait.
    has_objective: bool,
    position: QueuePosition,
    /// When an on-time request becomes late, or a late one is shed.
    latest_start: Time,
}

/// Slots and queue of one backend server.
///
/// An exclusive request waits until no other request runs, and blocks all others
/// until it has ended.
#[derive(Debug)]
pub struct ObjectiveQueue {
    options: Options,
    running: u32,
    draining: bool,
    exclusive: Exclusive,
    waiters: SlotMap<WaiterKey, Waiter>,
    order: BTreeMap<QueuePosition, WaiterKey>,
    expiries: BTreeSet<(Time, WaiterKey)>,
    flows: Flows,
    shares: Shares,
    preceding: PrecedingWork,
    arrivals: u64,
    /// By rank, the earliest time at which the next refused caller is told to retry.
    retry_times: [Time; RANKS],
    /// Limits the rate of the requests; `None` without a limit.
    bucket: Option<TokenBucket>,
}

impl ObjectiveQueue {
    /// Creates an admission with all slots free.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            running: 0,
            draining: false,
            exclusive: Exclusive::None,
            waiters: SlotMap::with_key(),
            order: BTreeMap::new(),
            expiries: BTreeSet::new(),
            flows: Flows::default(),
            shares: Shares::default(),
            preceding: PrecedingWork::default(),
            arrivals: 0,
            retry_times: [Time(0); RANKS],
            bucket: None,
        }
    }
}

impl Admission for ObjectiveQueue {
    fn arrive(&mut self, arrival: Arrival, now: Time) -> Verdict {
        if self.draining {
            return Verdict::Shed(NotRun::Draining.into());
        }
        if arrival.deadline <= now {
            return Verdict::Shed(NotRun::DeadlinePassed.into());
        }
        self.refill(now);
        if arrival.exclusive {
            return self.arrive_exclusive(arrival, now);
        }
        if self.may_start() && self.waiters.is_empty() {
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
        self.remove_unrun(waiter)?;
        Some(self.expire(now))
    }

    fn expire(&mut self, now: Time) -> Released {
        self.refill(now);
        let mut run = self.fill_slots();
        let mut shed = Vec::new();
        while let Some((due, waiter)) = self.expiries.first().copied() {
            if due > now {
                break;
            }
            shed.extend(self.demote_or_shed(waiter, now));
        }
        // An exclusive request may have been shed and no longer blocks the others.
        run.extend(self.fill_slots());
        Released { run, shed }
    }

    fn next_expiry(&self) -> Option<Time> {
        let (due, _) = self.expiries.first()?;
        let next_token = self.bucket.as_ref().map(TokenBucket::next_token);
        // Without a free slot, the end of a request releases the next one.
        match next_token.filter(|_| self.has_free_slot()) {
            Some(token) => Some(token.min(*due)),
            None => Some(*due),
        }
    }

    fn drain(&mut self) -> Vec<Shed> {
        self.draining = true;
        let all: Vec<_> = self.waiters.keys().collect();
        let shed = all.into_iter().filter_map(|waiter| {
            self.remove(waiter)?;
            let refusal = NotRun::Draining.into();
            Some(Shed { waiter, refusal })
        });
        shed.collect()
    }

    fn limit_rate(&mut self, change: LimitChange, now: Time) -> Released {
        let burst = match change {
            LimitChange::Bounded { burst, .. } => Some(burst),
            LimitChange::Limited(_) | LimitChange::Unlimited => None,
        };
        self.bucket = change.rate().map(|rate| {
            let known = self.bucket;
            let mut bucket = known.unwrap_or_else(|| TokenBucket::new(rate, now));
            bucket.set_limit(rate, burst, now);
            bucket
        });
        self.expire(now)
    }

    fn load(&self, flow: Flow) -> LoadReport {
        let slots = u32::from(self.options.slots);
        let mut wait_us = [0; RANKS];
        let free = slots
            .saturating_sub(self.running)
            .min(self.available_tokens());
        if free == 0 {
            let mut ahead = [0; RANKS];
            for waiter in self.waiters.values() {
                let first = match waiter.position.class {
                    Class::OnTime => waiter.rank.index(),
                    // A late request delays no on-time one.
                    Class::Late => RANKS,
                };
                ahead.iter_mut().skip(first).for_each(|n| *n += 1);
            }
            for (index, wait) in wait_us.iter_mut().enumerate() {
                let rank = Rank(index as u8);
                *wait = self.expected_wait(ahead[index], rank).as_micros() as u32;
            }
        }
        LoadReport {
            wait_us,
            slot_us: self.slot_time_us() as u32,
            service_us: self.flows.high_estimate_us(flow) as u32,
            free: free as u16,
            link_us: 0,
            rate_limit: self.bucket.map(|bucket| bucket.rate()),
            is_leaving: false,
        }
    }

    fn running(&self) -> u32 {
        self.running
    }

    fn queued(&self) -> usize {
        self.waiters.len()
    }
}

/// Bookkeeping of occupied slots.
impl ObjectiveQueue {
    fn has_free_slot(&self) -> bool {
        self.exclusive != Exclusive::Running && self.running < u32::from(self.options.slots)
    }

    fn refill(&mut self, now: Time) {
        if let Some(bucket) = &mut self.bucket {
            bucket.refill(now);
        }
    }

    /// Requests that may be sent now under the rate limit.
    fn available_tokens(&self) -> u32 {
        self.bucket.map_or(u32::MAX, |bucket| bucket.available())
    }

    /// Whether a request may be sent now.
    fn may_start(&self) -> bool {
        self.has_free_slot() && self.available_tokens() > 0
    }

    fn start(&mut self, flow: Flow) {
        if let Some(bucket) = &mut self.bucket {
            bucket.take();
        }
        self.running += 1;
        self.flows.start(flow);
    }

    fn end(&mut self, flow: Flow, took: Option<Duration>) {
        self.flows.end(flow, took);
        self.running -= 1;
        if self.exclusive == Exclusive::Running {
            self.exclusive = Exclusive::None;
        }
    }
}

/// Estimates of waiting times.
impl ObjectiveQueue {
    /// Average time between two starts of a request while others wait.
    fn slot_time_us(&self) -> u64 {
        let slot_us = self.flows.mean_us() / u64::from(self.options.slots.max(1));
        let token_us = self.bucket.map_or(0, |bucket| bucket.interval_us());
        slot_us.max(token_us)
    }

    /// Expected wait of a request of `rank` with `ahead` others before it.
    fn expected_wait(&self, ahead: usize, rank: Rank) -> Duration {
        let wait = Duration::from_micros(self.slot_time_us() * (ahead as u64 + 1));
        self.preceding.stretch(wait, rank)
    }
}

/// Queueing and displacement.
impl ObjectiveQueue {
    fn enqueue(&mut self, arrival: Arrival, now: Time) -> Verdict {
        let waiter = self.waiter(&arrival, now);
        let ahead = self.order.range(..waiter.position).count();
        let expected = now
            .after(self.expected_wait(ahead, waiter.rank) + self.flows.high_estimate(waiter.flow));
        let is_full = ahead >= self.options.max_queued;
        if expected <= waiter.objective && !is_full {
            let key = self.insert(waiter);
            let displaced = self.displace_last(now);
            return Verdict::Queue {
                waiter: key,
                displaced,
            };
        }
        match self.to_late(waiter, now) {
            Some(late) if !is_full => Verdict::Queue {
                waiter: self.insert(late),
                displaced: Vec::new(),
            },
            _ => Verdict::Shed(self.refuse(&waiter, now)),
        }
    }

    fn waiter(&mut self, arrival: &Arrival, now: Time) -> Waiter {
        let service = self.flows.high_estimate(arrival.flow);
        let objective = match arrival.objective {
            Some(objective) => objective,
            None => now.after(self.options.default_wait + service),
        };
        let objective = objective.min(arrival.deadline);
        self.arrivals += 1;
        let unit = UnitKey::new(arrival.organisation, arrival.flow);
        let quota_rate = arrival.organisation.and_then(|share| share.quota_rate());
        let work = (self.flows.usual_us(arrival.flow), self.flows.mean_us());
        let turn = self.shares.next_turn(unit, quota_rate, arrival.rank, work);
        Waiter {
            flow: arrival.flow,
            unit,
            turn,
            rank: arrival.rank,
            objective,
            deadline: arrival.deadline,
            has_objective: arrival.objective.is_some(),
            position: QueuePosition {
                class: Class::OnTime,
                rank: arrival.rank,
                turn: turn.start,
                objective,
                arrival: self.arrivals,
            },
            latest_start: objective.before(service),
        }
    }

    fn insert(&mut self, waiter: Waiter) -> WaiterKey {
        self.flows.enqueue(waiter.flow);
        self.shares.enqueue(waiter.unit, waiter.turn);
        let key = self.waiters.insert(waiter);
        self.order.insert(waiter.position, key);
        self.expiries.insert((waiter.latest_start, key));
        key
    }

    fn remove(&mut self, key: WaiterKey) -> Option<Waiter> {
        let removed = self.waiters.remove(key)?;
        if self.exclusive == Exclusive::Queued(key) {
            self.exclusive = Exclusive::None;
        }
        self.order.remove(&removed.position);
        self.expiries.remove(&(removed.latest_start, key));
        self.flows.dequeue(removed.flow);
        self.shares.dequeue(removed.unit);
        Some(removed)
    }

    /// Removes a queued request that does not run.
    fn remove_unrun(&mut self, key: WaiterKey) -> Option<Waiter> {
        let removed = self.remove(key)?;
        self.shares.refund(removed.unit, removed.turn);
        Some(removed)
    }

    /// Moves a queued request to its position as a late one; its key stays valid.
    fn requeue_late(&mut self, key: WaiterKey, late: Waiter) {
        if let Some(waiter) = self.waiters.get_mut(key) {
            self.order.remove(&waiter.position);
            self.expiries.remove(&(waiter.latest_start, key));
            *waiter = late;
            self.order.insert(late.position, key);
            self.expiries.insert((late.latest_start, key));
        }
    }

    /// Displaces the last on-time request if the requests ahead of it make it miss its
    /// objective, or if the queue is too long.
    fn displace_last(&mut self, now: Time) -> Vec<Shed> {
        let on_time = self.order.range(..FIRST_LATE);
        let ahead = on_time.clone().count().saturating_sub(1);
        let Some((_, key)) = on_time.last() else {
            return Vec::new();
        };
        let key = *key;
        let waiter = self.waiters[key];
        let expected = now
            .after(self.expected_wait(ahead, waiter.rank) + self.flows.high_estimate(waiter.flow));
        let is_too_long = self.waiters.len() > self.options.max_queued;
        match expected > waiter.objective || is_too_long {
            true => self.demote_or_shed(key, now).into_iter().collect(),
            false => Vec::new(),
        }
    }

    /// Lets a request that cannot meet its objective wait as a late one, or sheds it.
    fn demote_or_shed(&mut self, key: WaiterKey, now: Time) -> Option<Shed> {
        let waiter = *self.waiters.get(key)?;
        if let Some(late) = self.to_late(waiter, now) {
            self.requeue_late(key, late);
            return None;
        }
        self.remove_unrun(key);
        let refusal = self.refuse(&waiter, now);
        Some(Shed {
            waiter: key,
            refusal,
        })
    }

    /// The request as a late one; `None` if it may not wait any longer.
    fn to_late(&self, waiter: Waiter, now: Time) -> Option<Waiter> {
        let late = self.order.range(FIRST_LATE..).count();
        let end = now.after(self.flows.high_estimate(waiter.flow));
        let position = QueuePosition {
            class: Class::Late,
            ..waiter.position
        };
        let longest = waiter.deadline.since(end) / LATE_WAIT_DIVISOR;
        let others = self.order.range(..position);
        let ahead = others.filter(|(at, _)| **at != waiter.position).count();
        let may_wait = waiter.has_objective
            && waiter.position.class == Class::OnTime
            && self.waiters.len() <= self.options.max_queued
            && late < LATE_PER_SLOT * usize::from(self.options.slots)
            && end < waiter.deadline
            // It would be refused at the end of its wait, when its caller has less time
            // left for another attempt.
            && self.expected_wait(ahead, waiter.rank) <= longest;
        may_wait.then(|| Waiter {
            position,
            latest_start: now.after(longest),
            ..waiter
        })
    }
}

/// Refusals and the times to retry after.
impl ObjectiveQueue {
    fn refuse(&mut self, waiter: &Waiter, now: Time) -> Refusal {
        if waiter.deadline <= now {
            return NotRun::DeadlinePassed.into();
        }
        let ahead = self.order.range(..waiter.position).count();
        if self.expected_wait(ahead, waiter.rank) < self.flows.high_estimate(waiter.flow) {
            // Its own service time makes it late rather than the queue.
            self.flows.decay(waiter.flow);
        }
        Refusal {
            reason: NotRun::Overloaded,
            retry_after: Some(self.reserve_retry(waiter, now)),
        }
    }

    /// Time after which there is expected to be capacity for the request.
    ///
    /// Each refused caller reserves one slot time, so that callers get
    /// successive retry times and do not all return at once.
    fn reserve_retry(&mut self, waiter: &Waiter, now: Time) -> Duration {
        let service = self.flows.high_estimate(waiter.flow);
        let ahead = self.order.range(..waiter.position).count();
        let left = waiter.objective.since(now);
        let delay = (self.expected_wait(ahead, waiter.rank) + service).saturating_sub(left);
        let rank = waiter.rank.index();
        let first = now.after(delay.max(service / 2));
        let retry_times = self.retry_times.iter().take(rank + 1).copied();
        let retry_at = retry_times.fold(first, Ord::max);
        if retry_at < waiter.deadline {
            let slot = Duration::from_micros(self.slot_time_us());
            self.retry_times[rank] = retry_at.after(slot);
        }
        retry_at.since(now)
    }
}

/// Assignment of free slots to queued requests.
impl ObjectiveQueue {
    fn fill_slots(&mut self) -> Vec<WaiterKey> {
        std::iter::from_fn(|| self.start_next()).collect()
    }

    fn start_next(&mut self) -> Option<WaiterKey> {
        if !self.may_start() {
            return None;
        }
        if let Exclusive::Queued(waiter) = self.exclusive {
            return self.start_next_exclusive(waiter);
        }
        let (_, key) = self.order.first_key_value()?;
        let key = *key;
        let waiter = self.remove(key)?;
        self.shares.start(waiter.rank, waiter.turn);
        let work_us = self.flows.usual_us(waiter.flow);
        self.preceding.record_start(waiter.rank, work_us);
        self.start(waiter.flow);
        Some(key)
    }
}

/// Handling of exclusive requests, which run alone on the backend server.
impl ObjectiveQueue {
    fn arrive_exclusive(&mut self, arrival: Arrival, now: Time) -> Verdict {
        if self.exclusive != Exclusive::None || self.waiters.len() >= self.options.max_queued {
            return Verdict::Shed(NotRun::Overloaded.into());
        }
        if self.running == 0 && self.options.slots > 0 && self.available_tokens() > 0 {
            self.exclusive = Exclusive::Running;
            self.start(arrival.flow);
            return Verdict::Admit;
        }
        let waiter = self.waiter(&arrival, now);
        let waiter = self.insert(Waiter {
            has_objective: false,
            turn: Turn::default(),
            position: QueuePosition {
                class: Class::OnTime,
                arrival: self.arrivals,
                ..FIRST_LATE
            },
            ..waiter
        });
        self.exclusive = Exclusive::Queued(waiter);
        Verdict::Queue {
            waiter,
            displaced: Vec::new(),
        }
    }

    fn start_next_exclusive(&mut self, key: WaiterKey) -> Option<WaiterKey> {
        if self.running > 0 {
            return None;
        }
        let waiter = self.remove(key)?;
        self.exclusive = Exclusive::Running;
        self.start(waiter.flow);
        Some(key)
    }
}
