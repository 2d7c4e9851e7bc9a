//! Baseline policies that the product is compared with.

use knapweed_host::NotRun;
use knapweed_host::admission::{
    Admission, Arrival, LimitChange, Refusal, Released, Shed, Verdict, WaiterKey,
};
use knapweed_host::choice::{Choice, Query, Reason, ServerChoice};
use knapweed_world::{Flow, LoadReport, Snapshot, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use slotmap::SlotMap;
use std::collections::VecDeque;
use std::time::Duration;

/// First-come-first-served queue, with an optional limit on its length.
///
/// A request leaves the queue when its deadline passes. A refusal carries no
/// retry-after time.
#[derive(Debug)]
pub struct FifoQueue {
    slots: u32,
    limit: Option<usize>,
    running: u32,
    order: VecDeque<WaiterKey>,
    deadlines: SlotMap<WaiterKey, Time>,
}

impl FifoQueue {
    /// Creates a queue of at most `limit` requests that wait for one of `slots` slots.
    pub fn new(slots: u16, limit: Option<usize>) -> Self {
        Self {
            slots: u32::from(slots),
            limit,
            running: 0,
            order: VecDeque::new(),
            deadlines: SlotMap::with_key(),
        }
    }

    fn remove(&mut self, waiter: WaiterKey) -> bool {
        self.order.retain(|key| *key != waiter);
        self.deadlines.remove(waiter).is_some()
    }
}

impl Admission for FifoQueue {
    fn arrive(&mut self, arrival: Arrival, _now: Time) -> Verdict {
        if self.running < self.slots {
            self.running += 1;
            return Verdict::Admit;
        }
        if self.limit.is_some_and(|limit| self.order.len() >= limit) {
            return Verdict::Shed(NotRun::Overloaded.into());
        }
        let waiter = self.deadlines.insert(arrival.deadline);
        self.order.push_back(waiter);
        Verdict::Queue {
            waiter,
            displaced: Vec::new(),
        }
    }

    fn finish(&mut self, _flow: Flow, _took: Option<Duration>, now: Time) -> Released {
        self.running -= 1;
        self.expire(now)
    }

    fn cancel(&mut self, waiter: WaiterKey, now: Time) -> Option<Released> {
        self.remove(waiter).then(|| self.expire(now))
    }

    fn expire(&mut self, now: Time) -> Released {
        let due = self.deadlines.iter().filter(|(_, due)| **due <= now);
        let due: Vec<_> = due.map(|(waiter, _)| waiter).collect();
        let refusal = Refusal::from(NotRun::DeadlinePassed);
        let mut released = Released::default();
        for waiter in due {
            self.remove(waiter);
            released.shed.push(Shed { waiter, refusal });
        }
        while self.running < self.slots
            && let Some(waiter) = self.order.pop_front()
        {
            self.deadlines.remove(waiter);
            self.running += 1;
            released.run.push(waiter);
        }
        released
    }

    fn next_expiry(&self) -> Option<Time> {
        self.deadlines.values().min().copied()
    }

    fn drain(&mut self) -> Vec<Shed> {
        let refusal = Refusal::from(NotRun::Draining);
        self.order.clear();
        let all = self.deadlines.drain();
        all.map(|(waiter, _)| Shed { waiter, refusal }).collect()
    }

    fn limit_rate(&mut self, _change: LimitChange, _now: Time) -> Released {
        Released::default()
    }

    fn load(&self, _flow: Flow) -> LoadReport {
        LoadReport::default()
    }

    fn running(&self) -> u32 {
        self.running
    }

    fn queued(&self) -> usize {
        self.order.len()
    }
}

/// Chooses a random backend server of the own region, except those that earlier
/// tries excluded.
#[derive(Clone, Copy, Debug, Default)]
pub struct RandomChoice;

impl ServerChoice for RandomChoice {
    fn choose(&self, snapshot: &Snapshot, query: &Query<'_>) -> Result<Choice, NotRun> {
        let service = snapshot.service(query.service);
        let version = service.versions.first().ok_or(NotRun::NoServer)?;
        let own_region = version.servers[..2].iter().flatten().copied();
        let all: Vec<_> = own_region
            .filter(|key| !query.excluded.contains(snapshot, *key))
            .collect();
        if all.is_empty() {
            return Err(NotRun::NoServer);
        }
        let mut rng = SmallRng::seed_from_u64(query.server_draw);
        Ok(Choice {
            server: all[rng.random_range(0..all.len())],
            reason: Reason::OwnZone,
        })
    }
}
