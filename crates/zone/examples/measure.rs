//! Measures control traffic, convergence and failure detection of simulated
//! availability zones.
//!
//! Run with `cargo run --release -p knapweed-zone --example measure`. The
//! network, the clocks and the platform are fakes. Byte counts are those of messages
//! encoded with postcard, without QUIC, UDP and IP headers.

#[path = "../tests/sim/mod.rs"]
mod sim;

use knapweed_world::ConfigVersion;
use knapweed_zone::MemberState;
use rand::Rng;
use sim::results::{median, worst};
use sim::{Sim, ms};
use std::time::{Duration, Instant};

/// Members of one availability zone at the target size.
const MEMBERS: usize = 280;
/// Number of versions per measurement of convergence.
const VERSIONS: u64 = 200;
/// Interval at which versions are published.
const VERSION_INTERVAL: Duration = ms(1_500);
/// Number of deaths per measurement of detection.
const DEATHS: u64 = 100;
/// Length of the measurement of idle traffic.
const IDLE_TIME: Duration = ms(60_000);

fn main() {
    let start = Instant::now();
    println!("traffic at rest, sent per node and second, mean (highest node)");
    for zones in [vec![35], vec![70], vec![140], vec![MEMBERS], vec![56; 5]] {
        idle_traffic(&zones);
    }
    println!("\nfrom the first node with a version to all nodes, {VERSIONS} versions");
    for members in [35, 70, 140, MEMBERS] {
        convergence("no faults", &[members], 0.0, false);
    }
    convergence("no faults", &[56; 5], 0.0, false);
    convergence("2% loss, restarts", &[MEMBERS], 0.02, true);
    convergence("2% loss, restarts", &[56; 5], 0.02, true);
    println!("\ndeath known to all, {DEATHS} deaths");
    for members in [35, 70, 140, MEMBERS] {
        detection(members);
    }
    println!("\nmeasured in {:.0?}", start.elapsed());
}

fn describe(zones: &[usize]) -> String {
    format!("{} x {:3}", zones.len(), zones[0])
}

/// Prints the traffic of members that have no changes to report.
fn idle_traffic(zones: &[usize]) {
    let mut sim = Sim::new(zones, 1);
    // After this time the records of the start are no longer gossiped.
    sim.run(ms(60_000));
    sim.network.measures = true;
    sim.run(IDLE_TIME);
    let seconds = IDLE_TIME.as_secs_f64();
    let nodes = sim.nodes.len() as f64;
    let summary = |counts: &[u64]| {
        let sum: u64 = counts.iter().sum();
        let highest = counts.iter().copied().max().unwrap_or_default();
        (sum as f64 / nodes / seconds, highest as f64 / seconds)
    };
    let (messages, most_messages) = summary(&sim.network.messages);
    let (bytes, most_bytes) = summary(&sim.network.bytes);
    let (compared, most_compared) = summary(&sim.network.compare_bytes);
    let remote = sim.network.remote_bytes as f64 / seconds;
    println!(
        "{}: messages {messages:5.1} ({most_messages:5.1}), bytes {bytes:6.1} ({most_bytes:6.1}), \
         comparison bytes {compared:6.1} ({most_compared:6.1}), between regions {remote:.0} in all",
        describe(zones),
    );
}

/// Prints the times that versions take to reach all nodes.
fn convergence(label: &str, zones: &[usize], loss: f64, restarts: bool) {
    let mut sim = Sim::new(zones, 2);
    sim.run(ms(60_000));
    sim.network.loss = loss;
    let source = sim.gateway(&"west".parse().expect("a valid name"));
    let mut times = Vec::new();
    let mut missing = 0;
    sim.network.measures = true;
    for version in (1..=VERSIONS).map(ConfigVersion) {
        let start = sim.now;
        sim.apply(source, version);
        sim.run(ms(25));
        if restarts {
            restart_one(&mut sim, source);
        }
        match sim.run_until(ms(5_000), |s| s.all_applied(version)) {
            Some(_) => times.push(sim.now.since(start)),
            None => missing += 1,
        }
        let rest = VERSION_INTERVAL.saturating_sub(sim.now.since(start));
        sim.run(rest);
    }
    let bytes: u64 = sim.network.bytes.iter().sum();
    let per_version = bytes as f64 / sim.nodes.len() as f64 / VERSIONS as f64;
    let fetches = sim.network.fetches as f64 / sim.nodes.len() as f64 / VERSIONS as f64;
    println!(
        "{} {label:18}: median {:?}, worst {:?}, missing after 5 s {missing}, \
         bytes per node and version {per_version:.0}, fetches per node and version {fetches:.2}, \
         fetches between regions {}, longest message {}",
        describe(zones),
        median(&times),
        worst(&times),
        sim.network.remote_fetches,
        sim.network.longest,
    );
}

/// Restarts a random node, unless it is the source of the versions.
fn restart_one(sim: &mut Sim, source: usize) {
    let node = sim.rng.random_range(0..sim.nodes.len());
    if node != source {
        sim.kill(node);
        sim.start(node);
    }
}

/// Prints the times until all members know of a death.
fn detection(members: usize) {
    let times: Vec<_> = (0..DEATHS)
        .map(|seed| detection_time(members, seed))
        .collect();
    println!(
        "{}: median {:?}, worst {:?}",
        describe(&[members]),
        median(&times),
        worst(&times)
    );
}

/// Returns the time from the death of a random member until all others know of it.
fn detection_time(members: usize, seed: u64) -> Duration {
    const LIMIT: Duration = ms(15_000);
    let mut sim = Sim::new(&[members], seed);
    sim.run(ms(6_000));
    let victim = sim.rng.random_range(0..members);
    sim.kill(victim);
    let dead = |s: &Sim| s.all_see(victim, MemberState::Dead);
    sim.run_until(LIMIT, dead).unwrap_or(LIMIT)
}
