//! Fair shares of the slots of one backend server.

use knapweed_host::admission::{
    Admission, Arrival, ObjectiveQueue, Options, OrganisationShare, Released, Verdict, WaiterKey,
};
use knapweed_world::{Flow, Rank, RequestRate, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::fmt::Write;
use std::time::Duration;

const SLOTS: u16 = 4;

/// A backend server under load, and a text of all decisions.
struct Replay {
    queue: ObjectiveQueue,
    rng: SmallRng,
    now: Time,
    running: Vec<(usize, Flow)>,
    waiting: HashMap<WaiterKey, (usize, Flow)>,
    arrived: usize,
    text: String,
}

impl Replay {
    fn new(seed: u64) -> Self {
        Self {
            queue: ObjectiveQueue::new(Options::new(SLOTS)),
            rng: SmallRng::seed_from_u64(seed),
            now: Time(0),
            running: Vec::new(),
            waiting: HashMap::new(),
            arrived: 0,
            text: String::new(),
        }
    }

    fn arrive(&mut self) {
        self.arrived += 1;
        let id = self.arrived;
        let flow = Flow([1, 1, 1, 2, 3][self.rng.random_range(0..5)]);
        let left = Duration::from_millis(self.rng.random_range(300..900));
        let arrival = Arrival {
            flow,
            organisation: None,
            rank: Rank((flow.0 == 3).into()),
            objective: Some(self.now.after(left)),
            deadline: self.now.after(left * 2),
            exclusive: false,
        };
        match self.queue.arrive(arrival, self.now) {
            Verdict::Admit => self.start(id, flow),
            Verdict::Shed(refusal) => {
                let ms = refusal.retry_after.unwrap_or_default().as_millis();
                write!(self.text, " -{id}@{ms}").expect("text can be extended");
            }
            Verdict::Queue { waiter, displaced } => {
                self.waiting.insert(waiter, (id, flow));
                self.apply(Released {
                    run: Vec::new(),
                    shed: displaced,
                });
            }
        }
    }

    fn start(&mut self, id: usize, flow: Flow) {
        write!(self.text, " +{id}").expect("text can be extended");
        self.running.push((id, flow));
    }

    fn apply(&mut self, released: Released) {
        for waiter in released.run {
            let (id, flow) = self.waiting.remove(&waiter).expect("a queued request");
            self.start(id, flow);
        }
        for shed in released.shed {
            let (id, _) = self.waiting.remove(&shed.waiter).expect("a queued request");
            let ms = shed.refusal.retry_after.unwrap_or_default().as_millis();
            write!(self.text, " -{id}@{ms}").expect("text can be extended");
        }
    }

    fn finish(&mut self) {
        let index = self.rng.random_range(0..self.running.len());
        let (_, flow) = self.running.swap_remove(index);
        let ms = 20 * flow.0 + self.rng.random_range(30..150);
        let took = Some(Duration::from_millis(ms));
        let released = self.queue.finish(flow, took, self.now);
        self.apply(released);
    }

    fn run(mut self, events: usize) -> String {
        for _ in 0..events {
            self.now = self.now.after(Duration::from_millis(12));
            match self.running.is_empty() || self.rng.random_bool(0.6) {
                true => self.arrive(),
                false => self.finish(),
            }
            let released = self.queue.expire(self.now);
            self.apply(released);
            if self.text.len() - self.text.rfind('\n').map_or(0, |at| at + 1) > 80 {
                self.text.push('\n');
            }
        }
        self.text
    }
}

/// Guards against a change of the order, the refusals or the retry times of requests
/// that belong to no organisation: `+` starts a request, `-` refuses it, with the time to
/// retry after in milliseconds.
#[test]
fn requests_of_no_organisation_take_turns_by_route() {
    insta::assert_snapshot!(Replay::new(7).run(500));
}

/// Requests that one organisation sends on one route, at equal intervals.
#[derive(Clone, Copy)]
struct Demand {
    organisation: &'static str,
    quota_per_s: Option<f64>,
    flow: Flow,
    per_s: u64,
    service: Duration,
}

fn demand(organisation: &'static str, per_s: u64) -> Demand {
    Demand {
        organisation,
        quota_per_s: None,
        flow: Flow(1),
        per_s,
        service: Duration::from_millis(100),
    }
}

/// Requests per second that run of each demand, over ten seconds on [`SLOTS`] slots.
fn served(demands: &[Demand]) -> Vec<u64> {
    const SECONDS: u64 = 10;
    let mut queue = ObjectiveQueue::new(Options::new(SLOTS));
    let mut waiting = HashMap::new();
    let mut ends: Vec<(Time, usize)> = Vec::new();
    let mut counts = vec![0; demands.len()];
    for ms in 0..SECONDS * 1_000 {
        let now = Time::from_millis(ms);
        let mut run = queue.expire(now).run;
        while let Some(index) = ends.iter().position(|(end, _)| *end <= now) {
            let (_, demand) = ends.swap_remove(index);
            let Demand { flow, service, .. } = demands[demand];
            run.extend(queue.finish(flow, Some(service), now).run);
        }
        let mut started: Vec<_> = run.iter().map(|waiter| waiting[waiter]).collect();
        for (index, demand) in demands.iter().enumerate() {
            for _ in ms * demand.per_s / 1_000..(ms + 1) * demand.per_s / 1_000 {
                match queue.arrive(arrival(demand, now), now) {
                    Verdict::Admit => started.push(index),
                    Verdict::Queue { waiter, .. } => drop(waiting.insert(waiter, index)),
                    Verdict::Shed(_) => {}
                }
            }
        }
        for index in started {
            counts[index] += 1;
            ends.push((now.after(demands[index].service), index));
        }
    }
    counts.iter().map(|count| count / SECONDS).collect()
}

fn arrival(demand: &Demand, now: Time) -> Arrival {
    let name = demand.organisation.parse().expect("a valid name");
    let quota = demand.quota_per_s.and_then(RequestRate::per_second);
    Arrival {
        flow: demand.flow,
        organisation: Some(OrganisationShare::new(&name, quota)),
        rank: Rank(1),
        objective: Some(now.after(Duration::from_millis(600))),
        deadline: now.after(Duration::from_millis(1_500)),
        exclusive: false,
    }
}

/// Guards against an organisation that sends many times its usual number of requests
/// and thereby takes the room of the others.
#[test]
fn a_flood_of_one_organisation_starves_no_other() {
    let served = served(&[
        demand("flood", 400),
        demand("small", 8),
        demand("usual", 12),
    ]);
    assert!(served[1] >= 7 && served[2] >= 11, "{served:?}");
    assert!(served.iter().sum::<u64>() >= 38, "idle slots: {served:?}");
}

/// Guards against shares by number of requests, which give an organisation with long
/// requests more of the slots than one with short requests.
#[test]
fn long_requests_count_for_more() {
    let long = Demand {
        flow: Flow(2),
        service: Duration::from_millis(200),
        ..demand("long", 100)
    };
    let served = served(&[long, demand("short", 100)]);
    let ratio = served[1] as f64 / served[0] as f64;
    assert!((1.5..=2.5).contains(&ratio), "{served:?}");
}

/// Guards against quotas that do not count when organisations compete.
#[test]
fn shares_follow_the_quotas() {
    let with_quota = |name, quota| Demand {
        quota_per_s: Some(quota),
        ..demand(name, 100)
    };
    let served = served(&[with_quota("large", 30.0), with_quota("small", 10.0)]);
    let ratio = served[0] as f64 / served[1] as f64;
    assert!((2.3..=3.7).contains(&ratio), "{served:?}");
}
