//! Plan of the faults of a run, derived from its seed.

use crate::proxy::Fault;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Time from the start of a run in which faults begin.
pub const FAULT_TIME: Duration = Duration::from_secs(12);
/// Upper bound of the time between the starts of two faults, in milliseconds. It is shorter than
/// most faults, so faults overlap.
const MAX_GAP_MS: u64 = 900;
/// Range of the duration of a fault, in milliseconds. The longer ones exceed the time after which
/// other hosts consider a host failed.
const FAULT_MS: std::ops::Range<u64> = 200..4_000;

/// A fault to inject, or a ticket to file. Hosts and servers are given by their index.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Kills the node of a host and starts it again after the duration.
    KillNode(usize, Duration),
    /// Stops the node of a host with SIGTERM and starts it again after it has exited.
    StopNode(usize),
    /// Pauses the node of a host with SIGSTOP for the duration.
    PauseNode(usize, Duration),
    /// Kills the backend server of a host and starts it again after the duration.
    KillServer(usize, Duration),
    /// Injects a fault into the connections of nodes to the object store for the duration.
    Store(Fault, Duration),
    /// Makes the object store unavailable, or lose responses to writes, for the duration.
    StoreOutage(Outage, Duration),
    /// Injects a fault into the connections of callers to the node of a host for the duration.
    Callers(usize, Fault, Duration),
    /// Files a ticket through the node of a host.
    File(usize),
}

/// A fault of the object store itself, as opposed to one of its connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outage {
    /// The store fails all calls.
    Down,
    /// The store applies some writes and does not respond to them.
    LostAnswers,
}

/// Sequence of the steps of a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Plan {
    /// Steps with their times after the start of the run, in ascending order.
    pub steps: Vec<(Duration, Step)>,
}

impl Plan {
    /// Generates the plan of a seed for a mesh of `hosts` hosts, of which the first `servers` have a
    /// backend server.
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
        2 => Fault::HoldResponses,
        _ => Fault::Silence,
    }
}
