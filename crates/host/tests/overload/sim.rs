//! A discrete-event simulation of calls through several levels of services.
//!
//! Each level has a few backend servers that use the production admission. A call
//! holds its slot while it calls the next level. Ingresses retry with the
//! production policy. A backend server responds with an error when its call to the
//! next level fails.
#![allow(missing_docs, unreachable_pub)]

use knapweed_host::Outcome;
use knapweed_host::admission::{
    Admission, Arrival, ObjectiveQueue, Options, Refusal, Released, Verdict, WaiterKey,
};
use knapweed_host::retry::{Body, Decision, Failure, RetryPolicy};
use knapweed_world::service::RetryTokens;
use knapweed_world::{Flow, Rank, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

/// Settings of a run.
#[derive(Clone)]
pub struct Setup {
    /// Mean service time of a backend server at each level without the calls to the
    /// next level, in microseconds.
    pub service_us: Vec<u64>,
    pub servers: usize,
    /// Slots of each backend server, by level.
    pub slots: Vec<u16>,
    /// Calls per second at the first level.
    pub rate: f64,
    pub timeout: Duration,
    pub length: Duration,
    pub retries: bool,
}

/// Counts and extremes of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub arrived: u64,
    pub good: u64,
    pub errors: u64,
    pub shed: u64,
    /// Attempts at each level, including retries.
    pub attempts: Vec<u64>,
    pub first_attempts: Vec<u64>,
    /// Longest time from arrival at an egress to being shed.
    pub longest_shed: Duration,
    /// Maximum number of concurrent requests on one backend server, by level.
    pub max_running: Vec<u32>,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Call,
    /// The backend server has finished its own work on a call.
    OwnDone(usize),
    /// A queue may have requests to expire.
    Expire {
        level: usize,
        server: usize,
    },
}

/// One attempt of a call at one level.
struct Call {
    level: usize,
    server: usize,
    /// The call at the previous level that waits for this one.
    parent: Option<usize>,
    arrived: Time,
    started: Time,
    deadline: Time,
    retries: u8,
}

pub struct Sim {
    setup: Setup,
    rng: SmallRng,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    egresses: Vec<Vec<ObjectiveQueue>>,
    waiting: HashMap<(usize, usize, WaiterKey), usize>,
    /// The pending timer of each queue. It may fire early and is then set again.
    expiries: HashMap<(usize, usize), Time>,
    calls: Vec<Option<Call>>,
    policies: Vec<RetryPolicy>,
    tokens: Vec<RetryTokens>,
    report: Report,
}

const FLOW: Flow = Flow(1);

impl Sim {
    pub fn run(setup: Setup, seed: u64) -> Report {
        let levels = setup.service_us.len();
        let server = |slots: &u16| ObjectiveQueue::new(Options::new(*slots));
        let level = |slots| (0..setup.servers).map(|_| server(slots)).collect();
        let mut sim = Self {
            rng: SmallRng::seed_from_u64(seed),
            now: Time(0),
            events: BinaryHeap::new(),
            sequence: 0,
            egresses: setup.slots.iter().map(level).collect(),
            waiting: HashMap::new(),
            expiries: HashMap::new(),
            calls: Vec::new(),
            policies: (0..levels).map(|_| RetryPolicy::default()).collect(),
            tokens: (0..levels).map(|_| RetryTokens::default()).collect(),
            report: Report {
                attempts: vec![0; levels],
                first_attempts: vec![0; levels],
                max_running: vec![0; levels],
                ..Report::default()
            },
            setup,
        };
        sim.schedule(Time(0), Event::Call);
        while let Some(Reverse((at, _, event))) = sim.events.pop() {
            sim.now = at;
            sim.handle(event);
        }
        sim.report
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Call => self.arrive_call(),
            Event::OwnDone(call) => self.own_done(call),
            Event::Expire { level, server } => {
                self.expiries.remove(&(level, server));
                let released = self.egresses[level][server].expire(self.now);
                self.release(level, server, released);
                self.schedule_expiry(level, server);
            }
        }
    }

    fn exponential(&mut self, mean_us: f64) -> Duration {
        let draw: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        Duration::from_micros((-draw.ln() * mean_us) as u64)
    }

    fn arrive_call(&mut self) {
        let gap = self.exponential(1e6 / self.setup.rate);
        let next = self.now.after(gap);
        if next.since(Time(0)) < self.setup.length {
            self.schedule(next, Event::Call);
        }
        self.report.arrived += 1;
        let deadline = self.now.after(self.setup.timeout);
        self.call(0, None, deadline, 0);
    }

    fn call(&mut self, level: usize, parent: Option<usize>, deadline: Time, retries: u8) {
        let server = self.rng.random_range(0..self.setup.servers);
        self.report.attempts[level] += 1;
        self.report.first_attempts[level] += u64::from(retries == 0);
        if retries == 0 {
            self.policies[level].arrived(level as u8 + 1, &self.tokens[level]);
        }
        let call = self.calls.len();
        let (arrived, started) = (self.now, self.now);
        self.calls.push(Some(Call {
            level,
            server,
            parent,
            arrived,
            started,
            deadline,
            retries,
        }));
        let arrival = Arrival {
            flow: FLOW,
            organisation: None,
            rank: Rank::of(0, level > 0),
            objective: None,
            deadline,
            exclusive: false,
        };
        match self.egresses[level][server].arrive(arrival, self.now) {
            Verdict::Admit => self.start(call),
            Verdict::Shed(refusal) => self.shed(call, refusal),
            Verdict::Queue { waiter, displaced } => {
                self.waiting.insert((level, server, waiter), call);
                let released = Released {
                    run: Vec::new(),
                    shed: displaced,
                };
                self.release(level, server, released);
            }
        }
        self.schedule_expiry(level, server);
    }

    fn schedule_expiry(&mut self, level: usize, server: usize) {
        let due = self.egresses[level][server].next_expiry();
        if let Some(due) = due.filter(|_| !self.expiries.contains_key(&(level, server))) {
            self.expiries.insert((level, server), due);
            self.schedule(due.max(self.now), Event::Expire { level, server });
        }
    }

    fn start(&mut self, call: usize) {
        let now = self.now;
        let Some(state) = &mut self.calls[call] else {
            return;
        };
        state.started = now;
        let (level, server) = (state.level, state.server);
        let running = self.egresses[level][server].running();
        let max = &mut self.report.max_running[level];
        *max = running.max(*max);
        let own = self.exponential(self.setup.service_us[level] as f64);
        self.schedule(now.after(own), Event::OwnDone(call));
    }

    /// The backend server calls the next level, or responds.
    fn own_done(&mut self, call: usize) {
        let Some(state) = &self.calls[call] else {
            return;
        };
        let (level, deadline) = (state.level, state.deadline);
        if level + 1 < self.setup.service_us.len() && self.now < deadline {
            self.call(level + 1, Some(call), deadline, 0);
        } else {
            self.respond(call, true);
        }
    }

    /// The backend server of a call responds with success or an error.
    fn respond(&mut self, call: usize, is_good: bool) {
        let Some(state) = self.calls[call].take() else {
            return;
        };
        let Call {
            level,
            server,
            parent,
            started,
            deadline,
            ..
        } = state;
        let took = self.now.since(started);
        let released = self.egresses[level][server].finish(FLOW, Some(took), self.now);
        let is_good = is_good && self.now <= deadline;
        match parent {
            Some(parent) => self.respond(parent, is_good),
            None if is_good => self.report.good += 1,
            None => self.report.errors += 1,
        }
        self.release(level, server, released);
    }

    fn release(&mut self, level: usize, server: usize, released: Released) {
        for waiter in released.run {
            if let Some(call) = self.waiting.remove(&(level, server, waiter)) {
                self.start(call);
            }
        }
        for shed in released.shed {
            if let Some(call) = self.waiting.remove(&(level, server, shed.waiter)) {
                self.shed(call, shed.refusal);
            }
        }
    }

    fn shed(&mut self, call: usize, refusal: Refusal) {
        let Some(state) = self.calls[call].take() else {
            return;
        };
        let waited = self.now.since(state.arrived);
        self.report.longest_shed = self.report.longest_shed.max(waited);
        let failure = Failure {
            depth: state.level as u8 + 1,
            tries: state.retries + 1,
            sends: 0,
            max_sends: 3,
            outcome: Outcome::NotRun(refusal.reason),
            idempotent: true,
            body: Body::Empty,
            arrived: state.arrived,
            objective: None,
            deadline: state.deadline,
        };
        let policy = &self.policies[state.level];
        let tokens = &self.tokens[state.level];
        let decision = policy.decide(&failure, tokens, self.now);
        if self.setup.retries && decision == Decision::Retry {
            return self.call(state.level, state.parent, state.deadline, state.retries + 1);
        }
        match state.parent {
            Some(parent) => self.respond(parent, false),
            None => self.report.shed += 1,
        }
    }
}

impl Report {
    /// Successful responses per second.
    pub fn goodput(&self, setup: &Setup) -> f64 {
        self.good as f64 / setup.length.as_secs_f64()
    }

    /// Ratio of all attempts to first attempts, at the level where it is highest.
    pub fn amplification(&self) -> f64 {
        let levels = self.attempts.iter().zip(&self.first_attempts);
        let ratios = levels.map(|(all, first)| *all as f64 / (*first).max(1) as f64);
        ratios.fold(1.0, f64::max)
    }

    /// Ratio of all attempts to first attempts, over all levels.
    pub fn overall_amplification(&self) -> f64 {
        let all: u64 = self.attempts.iter().sum();
        let first: u64 = self.first_attempts.iter().sum();
        all as f64 / first as f64
    }

    /// Whether every call was counted as good, failed or shed.
    pub fn is_complete(&self) -> bool {
        self.arrived == self.good + self.errors + self.shed
    }
}
