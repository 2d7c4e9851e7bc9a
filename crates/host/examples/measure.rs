//! Measures the cost of decisions: routing, admission, and the ledger.
//!
//! Run with `cargo run --release -p knapweed-host --example measure`. It ends
//! within two minutes and prints a table.
#![allow(missing_docs)]

use bytes::Bytes;
use knapweed_host::admission::{
    Admission, Arrival, FairQueue, Flow, Options as AdmissionOptions, Verdict, WaiterKey,
};
use knapweed_host::choice::{Exclusions, NearestLeastLoaded, Query};
use knapweed_host::ledger::message::{Action, AskId, Permit, Settle, Settlement};
use knapweed_host::ledger::table::{Member, Row, SlotTable};
use knapweed_host::ledger::{Ledger, Options};
use knapweed_host::request::{Arrival as CallerArrival, Request};
use knapweed_host::{Identity, RequestId, SendId, ServerChoice};
use knapweed_world::backend_server::{Announcement, ServerState};
use knapweed_world::config::{Config, RouteConfig, ServiceConfig, VersionShare};
use knapweed_world::snapshot::{Builder, HostEntry};
use knapweed_world::{ConfigVersion, Name, Share, Snapshot, TicketNumber, Time, UnixMillis};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::hint::black_box;
use std::time::{Duration, Instant};

const DECISIONS: u32 = 200_000;
const KEYS: usize = 200_000;
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
            service: service.clone(),
            timeout_ms: 2_000,
            idempotent_methods: vec!["GET".into()],
            ticket: TicketNumber(1),
            changed_at: ConfigVersion(1),
        };
        let service_config = ServiceConfig {
            versions: vec![version("v1", 95), version("v2", 5)],
            rollout: None,
            ticket: TicketNumber(1),
            changed_at: ConfigVersion(1),
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
    builder.build().expect("a whole mesh")
}

/// Nanoseconds for each of `DECISIONS` calls of `f`.
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
        server.load.succeeded(rng.random_range(500..5_000));
        (0..rng.random_range(0..4)).for_each(|_| server.load.start());
    }
    let paths: Vec<String> = (0..services)
        .map(|n| format!("/service-{n}/today"))
        .collect();
    let choice: Box<dyn ServerChoice> = Box::new(NearestLeastLoaded::default());
    let excluded = Exclusions::default();
    let arrival = |path| CallerArrival {
        method: b"GET",
        path,
        ..CallerArrival::default()
    };
    let route = time_each(|n| {
        let path = paths[n as usize % services].as_bytes();
        black_box(Request::take(&snapshot, &arrival(path), Time(0)).expect("a route"));
    });
    let whole = time_each(|n| {
        let path = paths[n as usize % services].as_bytes();
        let req = Request::take(&snapshot, &arrival(path), Time(0)).expect("a route");
        let query = Query {
            service: snapshot.route(req.route).service,
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

/// A server with 12 slots, all taken, and a queue of 8 flows.
struct BusyServer {
    queue: FairQueue,
    waiting: HashMap<WaiterKey, Flow>,
    running: Vec<Flow>,
}

impl BusyServer {
    fn new() -> Self {
        let mut server = Self {
            queue: FairQueue::new(AdmissionOptions::new(12)),
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
            deadline: Time::from_millis(1_000_000),
            alone: false,
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

fn resident_bytes() -> usize {
    const PAGE: usize = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|n| n.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE
}

fn member(host: &str) -> Member {
    Member {
        host: name(host),
        incarnation: 1,
    }
}

fn ledger(host: &str) -> Ledger {
    let options = Options::default().max_keys(2 * KEYS);
    let mut ledger = Ledger::new(member(host), options, Time(0));
    let row = Row::first(name("labasa"), member("a"), member("b"));
    let table = SlotTable {
        rows: vec![row; 256],
    };
    ledger.install(&table, Time(0), UnixMillis(0));
    ledger
}

struct LedgerCost {
    permit_ns: f64,
    grant_ns: f64,
    settle_ns: f64,
    bytes_per_key: f64,
}

fn measure_ledger() -> LedgerCost {
    let keys = (0..KEYS).map(|n| {
        let key = Identity::from_key(Bytes::from(format!("order-{n}")));
        key.expect("a valid key").id()
    });
    let keys: Vec<RequestId> = keys.collect();
    let (mut owner, mut deputy) = (ledger("a"), ledger("b"));
    let (now, wall) = (Time(0), UnixMillis(0));
    let before = resident_bytes();
    let (mut permit_ns, mut grant_ns, mut settle_ns) = (0, 0, 0);
    for (n, request) in keys.iter().enumerate() {
        let send = SendId {
            request: *request,
            attempt: n as u64,
        };
        let permit = Permit {
            epoch: owner.epoch(knapweed_host::ledger::table::Slot::of(*request)),
            send,
            fingerprint: 1,
            made_at: None,
            egress: member("e"),
            left_ms: 1_000,
        };
        let start = Instant::now();
        let actions = owner.permit(AskId(n as u64), permit, now, wall);
        permit_ns += start.elapsed().as_nanos();
        let Some(Action::Grant { grant, .. }) = actions.into_iter().next() else {
            panic!("the owner asks its deputy");
        };
        let start = Instant::now();
        let (answer, _) = deputy.grant(&grant, now, wall);
        black_box(owner.grant_answered(&answer, now, wall));
        grant_ns += start.elapsed().as_nanos();
        let settlement = Settlement::Answered;
        let start = Instant::now();
        black_box(owner.settle(&Settle { send, settlement }, now, wall));
        settle_ns += start.elapsed().as_nanos();
    }
    assert_eq!((owner.keys(), deputy.keys()), (KEYS, KEYS));
    let each = |ns: u128| ns as f64 / KEYS as f64;
    LedgerCost {
        permit_ns: each(permit_ns),
        grant_ns: each(grant_ns),
        settle_ns: each(settle_ns),
        bytes_per_key: resident_bytes().saturating_sub(before) as f64 / (2 * KEYS) as f64,
    }
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
    println!();
    let cost = measure_ledger();
    println!("Ledger, {KEYS} keys");
    println!("permit at the owner       {:>6.0} ns", cost.permit_ns);
    println!("grant and its answer      {:>6.0} ns", cost.grant_ns);
    println!("end at the owner          {:>6.0} ns", cost.settle_ns);
    println!(
        "memory for a key and node {:>6.0} bytes",
        cost.bytes_per_key
    );
}
