//! Measures the time of routing and admission decisions.
//!
//! Run with `cargo run --release -p knapweed-host --example measure`. It takes less
//! than two minutes and prints a table.
#![allow(missing_docs)]

use knapweed_host::admission::{
    Admission, Arrival, ObjectiveQueue, Options as AdmissionOptions, Verdict, WaiterKey,
};
use knapweed_host::choice::{Exclusions, ExpectedTime, HomeRegions, Query};
use knapweed_host::request::{IncomingRequest as CallerRequest, Request};
use knapweed_host::{ServerChoice, WaitEstimator};
use knapweed_world::backend_server::{Announcement, ServerState};
use knapweed_world::config::{
    Config, Destination, Idempotence, RouteConfig, ServiceConfig, VersionShare,
};
use knapweed_world::snapshot::{Builder, HostEntry};
use knapweed_world::{
    ConfigVersion, Flow, LoadReport, Name, Rank, Share, Snapshot, TicketNumber, Time,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::hint::black_box;
use std::time::{Duration, Instant};

const DECISIONS: u32 = 200_000;
const ZONES: [(&str, &str); 5] = [
    ("labasa-a", "labasa"),
    ("labasa-b", "labasa"),
    ("labasa-c", "labasa"),
    ("savusavu-a", "savusavu"),
    ("savusavu-b", "savusavu"),
];

fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

fn config(services: usize) -> Config {
    let mut config = Config {
        version: ConfigVersion(1),
        ..Config::default()
    };
    for n in 0..services {
        let service = name(&format!("service-{n}"));
        let version = |version, percent| VersionShare {
            version: name(version),
            share: Share::from_percent(percent),
        };
        let route = RouteConfig {
            path_prefix: format!("/service-{n}"),
            destinations: vec![Destination {
                service: service.clone(),
                weight: 1,
            }],
            timeout_ms: 2_000,
            idempotence: Idempotence::Methods(vec!["GET".into()]),
            host: None,
            objective_ms: None,
            max_attempts: None,
            priority: 0,
            is_bulk: false,
            is_open: false,
            home_regions: Vec::new(),
            ticket: TicketNumber(1),
            changed_at: ConfigVersion(1),
        };
        let service_config = ServiceConfig {
            versions: vec![version("v1", 95), version("v2", 5)],
            rollout: None,
            ticket: TicketNumber(1),
            changed_at: ConfigVersion(1),
            max_connections: None,
            health_path: None,
            cold_limit: None,
        };
        config.routes.insert(service.clone(), route);
        config.services.insert(service, service_config);
    }
    config
}

fn hosts(services: usize, servers: usize) -> Vec<HostEntry> {
    let host = |n: usize| {
        let (zone, region) = ZONES[n / services % ZONES.len()];
        let version = ["v1", "v2"][n / services % 2];
        let announcement = Announcement {
            service: name(&format!("service-{}", n % services)),
            version: name(version),
            address: ([127, 0, 0, 1], 1).into(),
            slots: 12,
            max_connections: 110,
            state: ServerState::Ready,
            instance: None,
            is_cold: false,
        };
        HostEntry {
            name: name(&format!("host-{n:04}")),
            zone: name(zone),
            region: name(region),
            address: ([127, 0, 0, 1], 2).into(),
            announcements: vec![announcement],
        }
    };
    (0..servers).map(host).collect()
}

fn snapshot(services: usize, servers: usize) -> Snapshot {
    let config = config(services);
    let builder = Builder::new(name("host-0000"), &config).hosts(hosts(services, servers));
    builder.build().expect("a valid mesh")
}

/// Mean time of `DECISIONS` calls of `f` after a warm-up, in nanoseconds.
fn time_each(mut f: impl FnMut(u32)) -> f64 {
    (0..DECISIONS / 10).for_each(&mut f);
    let start = Instant::now();
    (0..DECISIONS).for_each(&mut f);
    start.elapsed().as_nanos() as f64 / f64::from(DECISIONS)
}

fn measure_routing(services: usize, servers: usize) {
    let snapshot = snapshot(services, servers);
    let mut rng = SmallRng::seed_from_u64(1);
    for (_, server) in snapshot.backend_servers() {
        let report = LoadReport {
            service_us: rng.random_range(500..5_000),
            free: rng.random_range(0..12),
            ..LoadReport::default()
        };
        server.load.record_report(&report, Flow(1), Time(0));
        (0..rng.random_range(0..4)).for_each(|_| server.load.start());
    }
    let paths: Vec<String> = (0..services)
        .map(|n| format!("/service-{n}/today"))
        .collect();
    let choice: Box<dyn ServerChoice> = Box::new(ExpectedTime::default());
    let excluded = Exclusions::default();
    let wait_estimator = WaitEstimator::default();
    let arrival = |path| CallerRequest {
        method: b"GET",
        path,
        ..CallerRequest::default()
    };
    let route = time_each(|n| {
        let path = paths[n as usize % services].as_bytes();
        black_box(
            Request::from_incoming(&snapshot, &arrival(path), &wait_estimator, Time(0))
                .expect("a route"),
        );
    });
    let whole = time_each(|n| {
        let path = paths[n as usize % services].as_bytes();
        let req = Request::from_incoming(&snapshot, &arrival(path), &wait_estimator, Time(0))
            .expect("a route");
        let query = Query {
            route: req.route,
            service: req.service,
            homes: HomeRegions::default(),
            rank: req.rank,
            objective: req.objective,
            now: Time(0),
            version_draw: rng.random_range(0..10_000),
            server_draw: rng.random(),
            excluded: &excluded,
        };
        black_box(choice.choose(&snapshot, &query).expect("a backend server"));
    });
    println!(
        "{services:>8} {servers:>8} {route:>14.0} {:>17.0} {whole:>10.0}",
        whole - route
    );
}

/// A backend server with 12 slots, all in use, and a queue of 8 flows.
struct BusyServer {
    queue: ObjectiveQueue,
    waiting: HashMap<WaiterKey, Flow>,
    running: Vec<Flow>,
}

impl BusyServer {
    fn new() -> Self {
        let mut server = Self {
            queue: ObjectiveQueue::new(AdmissionOptions::new(12)),
            waiting: HashMap::new(),
            running: Vec::new(),
        };
        (0..24).for_each(|n| server.arrive(n));
        server
    }

    fn arrive(&mut self, n: u32) {
        let flow = Flow(u64::from(n % 8));
        let arrival = Arrival {
            flow,
            organisation: None,
            rank: Rank(1),
            objective: None,
            deadline: Time::from_millis(1_000_000),
            exclusive: false,
        };
        match self.queue.arrive(arrival, Time(u64::from(n))) {
            Verdict::Admit => self.running.push(flow),
            Verdict::Queue { waiter, .. } => {
                self.waiting.insert(waiter, flow);
            }
            Verdict::Shed(_) => {}
        }
    }

    fn finish(&mut self, n: u32) {
        let index = n as usize % self.running.len();
        let flow = self.running.swap_remove(index);
        let took = Some(Duration::from_micros(100));
        let released = self.queue.finish(flow, took, Time(u64::from(n)));
        for shed in released.shed {
            self.waiting.remove(&shed.waiter);
        }
        for waiter in released.run {
            self.running.extend(self.waiting.remove(&waiter));
        }
    }
}

fn measure_admission() -> f64 {
    let mut server = BusyServer::new();
    time_each(|n| {
        server.arrive(n);
        server.finish(n);
    })
}

fn main() {
    println!("One routing decision, in ns");
    println!("services  servers  route+identity  version+server      whole");
    for (services, servers) in [(3, 12), (10, 88), (40, 350), (160, 1_400)] {
        measure_routing(services, servers);
    }
    println!();
    println!(
        "One arrival and one end at a server with a queue of 8 flows: {:.0} ns",
        measure_admission()
    );
}
