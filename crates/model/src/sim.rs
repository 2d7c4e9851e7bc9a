//! Discrete-event simulation of the mesh under a load pattern.

use crate::client::Client;
use crate::mesh::{self, CALL, HOSTS, KINDS, RequestKind};
use crate::pattern::{LENGTH, Pattern};
use crate::policy::Policy;
use crate::result::{ReplayCounts, RequestEnd};
use knapweed_host::admission::{Arrival, Refusal, Released, Verdict, WaiterKey};
use knapweed_host::choice::{Exclusions, HomeRegions, Query, Scope};
use knapweed_host::retry::{Body, Decision, Failure};
use knapweed_host::{Admission, Answer, NotRun, Outcome, RetryPolicy, ServerChoice, WaitEstimator};
use knapweed_world::{BackendServerKey, LoadReport, Rank, Snapshot, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use slotmap::{SlotMap, new_key_type};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

new_key_type! {
    /// One request of a client, over all its tries.
    struct ClientKey;
    /// One try of a client, or one nested call, at its ingress.
    struct TryKey;
    /// One send of a try from its ingress to an egress.
    struct SendKey;
}

/// Fraction of its requests that a backend server with a grey failure fails.
const GREY_FAILURE_RATIO: f64 = 0.5;
/// Time after which such a request fails.
const GREY_FAILURE_TIME: Duration = Duration::from_millis(5);
/// Factor of the service times in a slow availability zone.
const SLOW_FACTOR: f64 = 3.0;
/// Constant fraction of each service time; the rest is exponentially distributed.
const CONSTANT_TIME_RATIO: f64 = 0.4;
/// Smallest fraction of its deadline after which a client gives up.
const MIN_PATIENCE: f64 = 0.85;
/// Fraction of the clients' requests that are reads.
const READ_RATIO: f64 = 2.0 / 3.0;

/// Simulates `pattern` under `policy`. Equal seeds give equal results.
pub fn run(pattern: Pattern, policy: Policy, seed: u64) -> ReplayCounts {
    let mut sim = Sim::new(pattern, policy, seed);
    sim.schedule(Time(0), Event::ClientArrival);
    while let Some(Reverse((at, _, event))) = sim.events.pop() {
        sim.now = at;
        sim.handle(event);
    }
    sim.replay_counts
}

/// Events of the simulation, in the order of a request's path.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    /// A new client sends its first try, and the next arrival is scheduled.
    ClientArrival,
    ClientRetry(ClientKey),
    /// A send reaches its egress.
    EgressArrival(SendKey),
    /// The backend server has done its own work; a nested call may follow.
    ServiceTimeElapsed(SendKey),
    /// The response or refusal of a send reaches its ingress.
    ResponseArrival(SendKey),
    /// Requests in the queue of this egress reach their deadline.
    Expire(usize),
}

/// Sender of a try, which gets its result.
#[derive(Clone, Copy, Debug)]
enum Owner {
    Client(ClientKey),
    /// The backend server that runs this send, for its nested call.
    Server(SendKey),
}

struct Try {
    owner: Owner,
    kind: RequestKind,
    ingress: usize,
    arrived: Time,
    deadline: Time,
    objective: Time,
    rank: Rank,
    excluded: Exclusions,
    tries: u8,
    sends: u8,
    /// Smallest retry-after time of all refused sends.
    earliest_retry: Option<Duration>,
}

struct Send {
    try_key: TryKey,
    server: BackendServerKey,
    egress: usize,
    /// Time at which the send got a slot; `None` while it waits.
    started: Option<Time>,
    outcome: Outcome,
    is_failure: bool,
    retry_after: Option<Duration>,
    report: LoadReport,
}

struct Sim {
    pattern: Pattern,
    rng: SmallRng,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    /// Number of scheduled events; orders events of the same time.
    sequence: u64,
    snapshots: Vec<Snapshot>,
    choice: Box<dyn ServerChoice>,
    retries: Vec<RetryPolicy>,
    wait_estimators: Vec<WaitEstimator>,
    egresses: Vec<Box<dyn Admission>>,
    waiting: HashMap<(usize, WaiterKey), SendKey>,
    expiries: HashMap<usize, Time>,
    clients: SlotMap<ClientKey, Client>,
    tries: SlotMap<TryKey, Try>,
    sends: SlotMap<SendKey, Send>,
    client_count: u64,
    replay_counts: ReplayCounts,
}

/// Construction, event queue and random numbers.
impl Sim {
    fn new(pattern: Pattern, policy: Policy, seed: u64) -> Self {
        let retries = (0..HOSTS).map(|_| {
            let retries = RetryPolicy::default();
            retries.share_among(HOSTS);
            retries
        });
        Self {
            pattern,
            rng: SmallRng::seed_from_u64(seed),
            now: Time(0),
            events: BinaryHeap::new(),
            sequence: 0,
            snapshots: (0..HOSTS).map(mesh::snapshot).collect(),
            choice: policy.choice(),
            retries: retries.collect(),
            wait_estimators: (0..HOSTS).map(|_| WaitEstimator::default()).collect(),
            egresses: (0..HOSTS).map(|_| policy.admission(mesh::SLOTS)).collect(),
            waiting: HashMap::new(),
            expiries: HashMap::new(),
            clients: SlotMap::with_key(),
            tries: SlotMap::with_key(),
            sends: SlotMap::with_key(),
            client_count: 0,
            replay_counts: ReplayCounts::default(),
        }
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ClientArrival => self.client_arrives(),
            Event::ClientRetry(client) => self.start_client_try(client),
            Event::EgressArrival(send) => self.arrive_at_egress(send),
            Event::ServiceTimeElapsed(send) => self.finish_service_time(send),
            Event::ResponseArrival(send) => self.receive_response(send),
            Event::Expire(egress) => {
                self.expiries.remove(&egress);
                let released = self.egresses[egress].expire(self.now);
                self.apply_released(egress, released);
            }
        }
    }

    fn exponential(&mut self) -> f64 {
        -self.rng.random_range(f64::MIN_POSITIVE..1.0).ln()
    }

    fn is_disturbed(&self) -> bool {
        self.pattern.is_disturbed(self.now.since(Time(0)))
    }
}

/// Clients: arrivals, tries and final results.
impl Sim {
    fn client_arrives(&mut self) {
        let elapsed = self.now.since(Time(0));
        let rate = self.pattern.load(elapsed) * mesh::capacity();
        let gap = Duration::from_secs_f64(self.exponential() / rate);
        if elapsed + gap < LENGTH {
            self.schedule(self.now.after(gap), Event::ClientArrival);
        }
        let is_read = self.rng.random_bool(READ_RATIO);
        let hosts = match self.pattern {
            Pattern::RegionMoves if self.is_disturbed() => HOSTS / 2,
            _ => HOSTS,
        };
        self.client_count += 1;
        let client = Client {
            kind: KINDS[usize::from(!is_read)],
            host: self.rng.random_range(0..hosts),
            start: self.now,
            patience: self.rng.random_range(MIN_PATIENCE..1.0),
            tries: 0,
            retries_immediately: self.pattern.retries_immediately(self.client_count),
        };
        let client = self.clients.insert(client);
        self.start_client_try(client);
    }

    fn start_client_try(&mut self, key: ClientKey) {
        let client = &mut self.clients[key];
        client.tries += 1;
        let Client { kind, host, .. } = *client;
        let deadline = client.deadline();
        self.start_try(Owner::Client(key), kind, host, deadline);
    }

    fn finish_client_try(
        &mut self,
        key: ClientKey,
        outcome: Outcome,
        earliest_retry: Option<Duration>,
    ) {
        let client = self.clients[key];
        let elapsed = self.now.since(client.start);
        let end = match outcome {
            Outcome::Answered(_) if self.now <= client.deadline() => RequestEnd::Answered(elapsed),
            Outcome::NotRun(_) => {
                if let Some(at) = client.next_try(earliest_retry, self.now) {
                    self.schedule(at, Event::ClientRetry(key));
                    return;
                }
                self.replay_counts.refused_after.push(elapsed);
                RequestEnd::Refused
            }
            _ => RequestEnd::Failed,
        };
        self.clients.remove(key);
        let start = client.start.since(Time(0));
        self.replay_counts.add(start, client.kind.objective, end);
    }
}

/// Ingresses: server choice, sends and retries.
impl Sim {
    fn start_try(&mut self, owner: Owner, kind: RequestKind, ingress: usize, deadline: Time) {
        let is_nested = matches!(owner, Owner::Server(_));
        let deadline = deadline.min(self.now.after(kind.deadline));
        let snapshot = &self.snapshots[ingress];
        let route = snapshot.find_route(b"", path(&kind).as_bytes());
        let route = snapshot.route(route.expect("a route"));
        let objective = match is_nested {
            true => deadline,
            false => {
                let waited =
                    self.wait_estimators[ingress].waited(route.flow, deadline.since(self.now));
                let left = kind.objective.saturating_sub(waited);
                deadline.min(self.now.after(left))
            }
        };
        let service = route.destinations[0].0;
        let tokens = &snapshot.service(service).retry_tokens;
        self.retries[ingress].arrived(1, tokens);
        let new = self.tries.insert(Try {
            owner,
            kind,
            ingress,
            arrived: self.now,
            deadline,
            objective,
            rank: Rank::of(kind.priority, is_nested),
            excluded: Exclusions::default(),
            tries: 0,
            sends: 0,
            earliest_retry: None,
        });
        self.send(new, None);
    }

    /// Sends a try to the chosen egress. When no server can be chosen, the try ends
    /// with the outcome `last` of its previous send.
    fn send(&mut self, key: TryKey, last: Option<Outcome>) {
        let attempt = &self.tries[key];
        let snapshot = &self.snapshots[attempt.ingress];
        let route = snapshot.find_route(b"", path(&attempt.kind).as_bytes());
        let route = route.expect("a route");
        let query = Query {
            route,
            service: snapshot.route(route).destinations[0].0,
            homes: HomeRegions::default(),
            rank: attempt.rank,
            objective: Some(attempt.objective),
            now: self.now,
            version_draw: 0,
            server_draw: self.rng.random(),
            excluded: &attempt.excluded,
        };
        let choice = match self.choice.choose(snapshot, &query) {
            Ok(choice) => choice,
            Err(reason) => return self.end_try(key, last.unwrap_or(Outcome::NotRun(reason))),
        };
        let egress = mesh::host_of(snapshot, choice.server);
        snapshot.backend_server(choice.server).load.start();
        let delay = mesh::one_way_delay(attempt.ingress, egress);
        let send = self.sends.insert(Send {
            try_key: key,
            server: choice.server,
            egress,
            started: None,
            outcome: Outcome::Answered(Answer::Complete),
            is_failure: false,
            retry_after: None,
            report: LoadReport::default(),
        });
        self.schedule(self.now.after(delay), Event::EgressArrival(send));
    }

    fn receive_response(&mut self, key: SendKey) {
        let send = self.sends.remove(key).expect("a send");
        let attempt = &mut self.tries[send.try_key];
        let snapshot = &self.snapshots[attempt.ingress];
        let load = &snapshot.backend_server(send.server).load;
        let route = snapshot.find_route(b"", path(&attempt.kind).as_bytes());
        load.finish();
        load.record_report(
            &send.report,
            snapshot.route(route.expect("a route")).flow,
            self.now,
        );
        if let Outcome::Answered(_) = send.outcome {
            load.record_response(send.is_failure, self.now);
            let outcome = match send.is_failure {
                true => Outcome::Unknown(knapweed_host::Unknown::ServerCrashed),
                false => send.outcome,
            };
            return self.end_try(send.try_key, outcome);
        }
        attempt.tries += 1;
        attempt.earliest_retry = attempt
            .earliest_retry
            .into_iter()
            .chain(send.retry_after)
            .min();
        attempt.excluded.add(send.server, Scope::Server);
        let failure = Failure {
            depth: 1,
            tries: attempt.tries,
            sends: attempt.sends,
            max_sends: 3,
            outcome: send.outcome,
            idempotent: attempt.kind.is_idempotent,
            body: Body::Empty,
            arrived: attempt.arrived,
            objective: Some(attempt.objective),
            deadline: attempt.deadline,
        };
        let service = snapshot.backend_server(send.server).service;
        let tokens = &snapshot.service(service).retry_tokens;
        let decision = self.retries[attempt.ingress].decide(&failure, tokens, self.now);
        match decision {
            Decision::Retry => self.send(send.try_key, Some(send.outcome)),
            Decision::Stop(_) => self.end_try(send.try_key, send.outcome),
        }
    }

    fn end_try(&mut self, key: TryKey, outcome: Outcome) {
        let ended = self.tries.remove(key).expect("a try");
        match ended.owner {
            Owner::Client(client) => self.finish_client_try(client, outcome, ended.earliest_retry),
            Owner::Server(send) => {
                let is_good = matches!(outcome, Outcome::Answered(_));
                self.finish_send(send, !is_good);
            }
        }
    }
}

/// Egresses and backend servers: admission and service times.
impl Sim {
    fn arrive_at_egress(&mut self, key: SendKey) {
        let send = &self.sends[key];
        let attempt = &self.tries[send.try_key];
        let egress = send.egress;
        let route = self.snapshots[egress].find_route(b"", path(&attempt.kind).as_bytes());
        let arrival = Arrival {
            flow: self.snapshots[egress].route(route.expect("a route")).flow,
            organisation: None,
            rank: attempt.rank,
            objective: Some(attempt.objective),
            deadline: attempt.deadline,
            exclusive: false,
        };
        match self.egresses[egress].arrive(arrival, self.now) {
            Verdict::Admit => self.start_service(key),
            Verdict::Shed(refusal) => self.refuse(key, refusal),
            Verdict::Queue { waiter, displaced } => {
                self.waiting.insert((egress, waiter), key);
                let released = Released {
                    run: Vec::new(),
                    shed: displaced,
                };
                self.apply_released(egress, released);
            }
        }
        self.schedule_expiry(egress);
    }

    fn schedule_expiry(&mut self, egress: usize) {
        let due = self.egresses[egress].next_expiry();
        if let Some(due) = due.filter(|due| self.expiries.get(&egress).is_none_or(|at| due < at)) {
            self.expiries.insert(egress, due);
            self.schedule(due.max(self.now), Event::Expire(egress));
        }
    }

    fn start_service(&mut self, key: SendKey) {
        let scale = CONSTANT_TIME_RATIO + (1.0 - CONSTANT_TIME_RATIO) * self.exponential();
        let is_grey = self.pattern == Pattern::Grey && self.is_disturbed();
        let is_slow = self.pattern == Pattern::SlowZone && self.is_disturbed();
        let fails = self.rng.random_bool(GREY_FAILURE_RATIO);
        let send = &mut self.sends[key];
        let attempt = &mut self.tries[send.try_key];
        attempt.sends += 1;
        send.started = Some(self.now);
        let factor = match is_slow && mesh::zone_of(send.egress) == 0 {
            true => SLOW_FACTOR,
            false => 1.0,
        };
        send.is_failure = is_grey && send.egress == 0 && fails;
        let run_time = match send.is_failure {
            true => GREY_FAILURE_TIME,
            false => attempt.kind.service_time.mul_f64(scale * factor),
        };
        // A backend server aborts the request at the deadline.
        send.is_failure |= self.now.after(run_time) > attempt.deadline;
        let end = self.now.after(run_time).min(attempt.deadline);
        self.schedule(end, Event::ServiceTimeElapsed(key));
    }

    fn finish_service_time(&mut self, key: SendKey) {
        let send = &self.sends[key];
        let attempt = &self.tries[send.try_key];
        if attempt.kind.calls && !send.is_failure {
            let (egress, deadline) = (send.egress, attempt.deadline);
            return self.start_try(Owner::Server(key), CALL, egress, deadline);
        }
        let is_failure = send.is_failure;
        self.finish_send(key, is_failure);
    }

    fn finish_send(&mut self, key: SendKey, is_failure: bool) {
        let send = &mut self.sends[key];
        let attempt = &self.tries[send.try_key];
        send.is_failure = is_failure;
        let started = send.started.expect("a send that runs");
        if is_failure || self.now > attempt.deadline {
            self.replay_counts.wasted += u32::from(matches!(attempt.owner, Owner::Client(_)));
        }
        let egress = send.egress;
        let route = self.snapshots[egress].find_route(b"", path(&attempt.kind).as_bytes());
        let flow = self.snapshots[egress].route(route.expect("a route")).flow;
        let slot_time = self.now.since(started);
        let released = self.egresses[egress].finish(flow, Some(slot_time), self.now);
        self.apply_released(egress, released);
        self.send_response(key);
    }

    fn refuse(&mut self, key: SendKey, refusal: Refusal) {
        let send = &mut self.sends[key];
        send.outcome = Outcome::NotRun(match refusal.reason {
            // A refusal after the deadline carries no retry-after time.
            NotRun::DeadlinePassed => NotRun::DeadlinePassed,
            reason => reason,
        });
        send.retry_after = refusal.retry_after;
        self.send_response(key);
    }

    fn send_response(&mut self, key: SendKey) {
        let send = &mut self.sends[key];
        let attempt = &self.tries[send.try_key];
        let route = self.snapshots[send.egress].find_route(b"", path(&attempt.kind).as_bytes());
        let flow = self.snapshots[send.egress]
            .route(route.expect("a route"))
            .flow;
        send.report = self.egresses[send.egress].load(flow);
        let delay = mesh::one_way_delay(attempt.ingress, send.egress);
        self.schedule(self.now.after(delay), Event::ResponseArrival(key));
    }

    fn apply_released(&mut self, egress: usize, released: Released) {
        for waiter in released.run {
            if let Some(send) = self.waiting.remove(&(egress, waiter)) {
                self.start_service(send);
            }
        }
        for shed in released.shed {
            if let Some(send) = self.waiting.remove(&(egress, shed.waiter)) {
                self.refuse(send, shed.refusal);
            }
        }
        self.schedule_expiry(egress);
    }
}

fn path(kind: &RequestKind) -> String {
    format!("/{}", kind.route)
}
