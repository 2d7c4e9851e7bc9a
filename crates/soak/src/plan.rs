//! What a seed does to the mesh, and when.

use crate::proxy::Fault;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Time in which faults begin.
pub const FAULT_TIME: Duration = Duration::from_secs(12);
/// Longest time until the next fault begins; faults overlap.
const MAX_GAP_MS: u64 = 900;
/// Bounds on the time of a fault that ends by itself, in milliseconds. The longer
/// ones pass the bound after which a host counts as failed.
const FAULT_MS: std::ops::Range<u64> = 200..4_000;

/// What is done to a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// The node of a host is killed and started again after a time.
    KillNode(usize, Duration),
    /// The node of a host is told to stop, and started again when it has ended.
    StopNode(usize),
    /// The node of a host is paused.
    PauseNode(usize, Duration),
    /// The backend server of a host is killed and started again after a time.
    KillServer(usize, Duration),
    /// The store's connections have a fault.
    Store(Fault, Duration),
    /// The store is down, or loses the answers to writes.
    StoreOutage(Outage, Duration),
    /// The connections of callers to a host have a fault.
    Callers(usize, Fault, Duration),
    /// An operator files a ticket through a host.
    File(usize),
}

/// A fault of the store itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outage {
    /// It refuses all calls.
    Down,
    /// It runs part of the writes and does not answer them.
    LostAnswers,
}

/// Steps with the times of their begin, in their order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Plan {
    /// The steps.
    pub steps: Vec<(Duration, Step)>,
}

impl Plan {
    /// The plan of a seed for a mesh of `hosts` hosts, the first `servers` of which
    /// have a backend server.
    pub fn new(seed: u64, hosts: usize, servers: usize) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut steps = Vec::new();
        let mut at = Duration::ZERO;
        while at < FAULT_TIME {
            steps.push((at, step(&mut rng, hosts, servers)));
            at += Duration::from_millis(rng.random_range(0..MAX_GAP_MS));
        }
        Self { steps }
    }
}

fn step(rng: &mut SmallRng, hosts: usize, servers: usize) -> Step {
    let host = rng.random_range(0..hosts);
    let time = Duration::from_millis(rng.random_range(FAULT_MS));
    match rng.random_range(0..10) {
        0 => Step::KillNode(host, time),
        1 => Step::StopNode(host),
        2 => Step::PauseNode(host, time),
        3 => Step::KillServer(rng.random_range(0..servers), time),
        4 => Step::Store(fault(rng), time),
        5 => Step::StoreOutage(Outage::Down, time),
        6 => Step::StoreOutage(Outage::LostAnswers, time),
        7 => Step::Callers(host, fault(rng), time),
        _ => Step::File(host),
    }
}

fn fault(rng: &mut SmallRng) -> Fault {
    match rng.random_range(0..4) {
        0 => Fault::Delay(Duration::from_millis(rng.random_range(10..300))),
        1 => Fault::Reset,
        2 => Fault::CutBack,
        _ => Fault::Silence,
    }
}
