//! Slots are never exceeded, nothing is lost, and shed requests never run.

use knapweed_host::NotRun;
use knapweed_host::admission::{
    Admission, Arrival, FairQueue, Flow, Options, Released, Shed, Verdict, WaiterKey,
};
use knapweed_world::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::time::Duration;

const SLOTS: u16 = 3;

fn ms(ms: u64) -> Time {
    Time::from_millis(ms)
}

#[derive(Clone, Copy, Debug)]
struct Queued {
    flow: Flow,
    alone: bool,
    arrived: Time,
}

/// What the egress sees: each request is running, queued, or ended once.
struct Model {
    admission: Box<dyn Admission>,
    running: Vec<(Flow, bool)>,
    queued: HashMap<WaiterKey, Queued>,
    arrived: u64,
    ran: u64,
    shed: u64,
    cancelled: u64,
    now: Time,
}

impl Model {
    fn new() -> Self {
        Self {
            admission: Box::new(FairQueue::new(Options::new(SLOTS))),
            running: Vec::new(),
            queued: HashMap::new(),
            arrived: 0,
            ran: 0,
            shed: 0,
            cancelled: 0,
            now: Time(0),
        }
    }

    fn arrive(&mut self, flow: Flow, deadline: Time) {
        self.arrive_as(flow, deadline, false);
    }

    fn arrive_as(&mut self, flow: Flow, deadline: Time, alone: bool) {
        self.arrived += 1;
        let arrival = Arrival {
            flow,
            deadline,
            alone,
        };
        match self.admission.arrive(arrival, self.now) {
            Verdict::Admit => self.run(flow, alone),
            Verdict::Shed(_) => self.shed += 1,
            Verdict::Queue { waiter, displaced } => {
                self.shed(displaced);
                let arrived = self.now;
                self.queued.insert(
                    waiter,
                    Queued {
                        flow,
                        alone,
                        arrived,
                    },
                );
            }
        }
    }

    fn run(&mut self, flow: Flow, alone: bool) {
        self.ran += 1;
        self.running.push((flow, alone));
    }

    fn shed(&mut self, shed: impl IntoIterator<Item = Shed>) {
        for shed in shed {
            let queued = self.queued.remove(&shed.waiter).expect("a queued request");
            assert!(self.now.since(queued.arrived) <= Duration::from_millis(50));
            self.shed += 1;
        }
    }

    fn release(&mut self, released: Released) {
        self.shed(released.shed);
        for waiter in released.run {
            let queued = self.queued.remove(&waiter).expect("a queued request");
            self.run(queued.flow, queued.alone);
        }
    }

    fn finish(&mut self, index: usize, took: Option<Duration>) {
        let (flow, _) = self.running.swap_remove(index);
        let released = self.admission.finish(flow, took, self.now);
        self.release(released);
    }

    fn cancel(&mut self, waiter: WaiterKey) {
        let released = self.admission.cancel(waiter, self.now);
        self.queued.remove(&waiter);
        self.cancelled += 1;
        self.release(released.expect("a queued request"));
        assert_eq!(self.admission.cancel(waiter, self.now), None);
    }

    /// Moves the clock as the egress does: a due expiry is never skipped.
    fn advance(&mut self, us: u64) {
        let target = Time(self.now.0 + us);
        while let Some(due) = self.admission.next_expiry().filter(|due| *due <= target) {
            self.now = self.now.max(due);
            let released = self.admission.expire(self.now);
            self.release(released);
        }
        self.now = target;
    }

    fn check(&self) {
        assert!(self.running.len() <= usize::from(SLOTS));
        assert_eq!(self.running.len() as u32, self.admission.running());
        assert_eq!(self.queued.len(), self.admission.queued());
        assert!(self.queued.len() <= 2 * usize::from(SLOTS));
        let free = self.running.len() < usize::from(SLOTS);
        let alone_queued = self.queued.values().any(|q| q.alone);
        let alone_runs = self.running.iter().any(|(_, alone)| *alone);
        assert!(!alone_runs || self.running.len() == 1, "not alone");
        let held_back = alone_runs || alone_queued && !self.running.is_empty();
        let waits = free && !held_back && !self.queued.is_empty();
        assert!(!waits, "a request waits beside a free slot");
        let ended = self.ran + self.shed + self.cancelled;
        assert_eq!(self.arrived, ended + self.queued.len() as u64);
    }
}

/// Guards against slots that are exceeded (B8), lost requests, a shed request
/// that runs (H6), and company for a request that must run alone.
#[test]
fn random_events_keep_the_rules() {
    for seed in 0..300 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut model = Model::new();
        for _ in 0..400 {
            match rng.random_range(0..10) {
                0..5 => {
                    let flow = Flow(rng.random_range(0..4));
                    let left = rng.random_range(0..100);
                    let alone = rng.random_range(0..20) == 0;
                    model.arrive_as(flow, Time(model.now.0 + left * 1_000), alone);
                }
                5..8 if !model.running.is_empty() => {
                    let index = rng.random_range(0..model.running.len());
                    let took = Duration::from_millis(rng.random_range(0..30));
                    model.finish(index, rng.random::<bool>().then_some(took));
                }
                8 if !model.queued.is_empty() => {
                    let waiter = *model.queued.keys().min().expect("a queued request");
                    model.cancel(waiter);
                }
                _ => model.advance(rng.random_range(0..20_000)),
            }
            model.check();
        }
    }
}

/// Guards against new work on a leaving backend server (H8).
#[test]
fn draining_sheds_the_queue_and_all_arrivals() {
    let mut model = Model::new();
    for _ in 0..5 {
        model.arrive(Flow(1), ms(1_000));
    }
    let shed = model.admission.drain();
    assert!(shed.iter().all(|s| s.reason == NotRun::Draining));
    model.shed(shed);
    model.arrive(Flow(1), ms(1_000));
    for _ in 0..SLOTS {
        model.finish(0, None);
    }
    assert_eq!((model.ran, model.shed), (3, 3));
    model.check();
}

/// The order in which four queued requests of one flow run when the first slot
/// becomes free at `at`.
fn order(at: u64) -> Vec<usize> {
    let mut queue = FairQueue::new(Options::new(1));
    let arrival = Arrival {
        flow: Flow(1),
        deadline: ms(1_000),
        alone: false,
    };
    assert_eq!(queue.arrive(arrival, ms(0)), Verdict::Admit);
    let waiters: Vec<WaiterKey> = (1..=2)
        .map(|i| match queue.arrive(arrival, ms(i)) {
            Verdict::Queue { waiter, .. } => waiter,
            other => panic!("{other:?}"),
        })
        .collect();
    let mut order = Vec::new();
    while let [waiter] = queue.finish(Flow(1), None, ms(at)).run[..] {
        let index = waiters.iter().position(|w| *w == waiter);
        order.push(index.expect("a known request"));
    }
    order
}

/// Guards against a slow queue in which every request waits until it is too
/// late, and against reordering without need.
#[test]
fn the_newest_is_served_first_only_while_the_queue_is_slow() {
    assert_eq!(order(20), [0, 1]);
    assert_eq!(order(30), [1, 0]);
}

/// Guards against one hot route that starves the others: a flow that asks for a
/// third of the capacity, less than its fair half, gets all of it.
#[test]
fn a_hot_flow_leaves_the_others_their_part() {
    let mut model = Model::new();
    let (hot, quiet) = (Flow(1), Flow(2));
    let mut quiet_runs = 0;
    let mut quiet_arrivals = 0;
    for round in 0..1_000 {
        for _ in 0..20 {
            model.arrive(hot, ms(1_000_000));
        }
        if round % 3 == 0 {
            quiet_arrivals += 1;
            model.arrive(quiet, ms(1_000_000));
        }
        model.advance(5_000);
        let index = rand::rngs::SmallRng::seed_from_u64(round).random_range(0..3);
        quiet_runs += u64::from(model.running[index].0 == quiet);
        model.finish(index, Some(Duration::from_millis(15)));
        model.check();
    }
    let still = model.running.iter().filter(|(f, _)| *f == quiet).count() as u64;
    assert_eq!(
        quiet_runs + still,
        quiet_arrivals,
        "requests of the quiet flow were shed"
    );
}

/// Guards against a flow that is shed for good after one slow period.
#[test]
fn a_slow_period_is_forgotten() {
    let mut model = Model::new();
    let slow = Flow(1);
    model.arrive(slow, ms(10_000));
    model.finish(0, Some(Duration::from_secs(5)));
    for _ in 0..SLOTS {
        model.arrive(Flow(2), ms(1_000_000));
    }
    let mut tries = 0;
    while model.queued.is_empty() {
        tries += 1;
        assert!(tries < 200, "the flow is still shed");
        model.arrive(slow, Time(model.now.0 + 100_000));
    }
}
