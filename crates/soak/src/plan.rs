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
/// Combined with the seed for the random stream of [`Kind::WithLosses`], so that the other steps of
/// a seed are those of [`Kind::Faults`].
const LOSS_STREAM: u64 = 0x6c6f_7373;
/// Upper bound of the time between a loss and the copy for the next one, in milliseconds.
const MAX_LOSS_GAP_MS: u64 = 2_500;
/// Upper bound of the age of the copy from which the store comes back, in milliseconds.
const MAX_COPY_AGE_MS: u64 = 4_000;
/// Upper bound of the time for which the store is away before it comes back, in milliseconds.
const MAX_AWAY_MS: u64 = 1_500;
/// Upper bound of the time from a loss until the operator files the lost tickets again, in
/// milliseconds.
const MAX_REFILE_DELAY_MS: u64 = 2_000;
/// Upper bound of the tickets that are filed between a copy and the loss.
const MAX_LOST_TICKETS: usize = 4;

/// Which kinds of steps a plan has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Faults of processes, connections and calls to the store, and tickets.
    Faults,
    /// The same steps for a seed, and besides losses of the store and reloads of nodes.
    WithLosses,
}

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
    /// Reloads the settings of the node of a host with SIGHUP.
    ReloadNode(usize),
    /// Copies the contents of the object store.
    BackUpStore,
    /// Makes the object store unavailable for the first duration, after which it comes back from the
    /// copy. The operator files the lost tickets again after the second duration.
    RestoreStore(Duration, Duration),
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
    /// Generates the plan of a kind and a seed for a mesh of `hosts` hosts, of which the first
    /// `servers` have a backend server.
    pub fn new(kind: Kind, seed: u64, hosts: usize, servers: usize) -> Self {
        let mut plan = Self::of_faults(seed, hosts, servers);
        if kind == Kind::WithLosses {
            plan.add_losses(&mut SmallRng::seed_from_u64(seed ^ LOSS_STREAM), hosts);
        }
        plan
    }

    fn of_faults(seed: u64, hosts: usize, servers: usize) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut steps = Vec::new();
        let mut at = Duration::ZERO;
        while at < FAULT_TIME {
            steps.push((at, step(&mut rng, hosts, servers)));
            at += Duration::from_millis(rng.random_range(0..MAX_GAP_MS));
        }
        Self { steps }
    }

    /// Adds series of a copy, tickets and reloads, and the loss of what was written since the copy.
    fn add_losses(&mut self, rng: &mut SmallRng, hosts: usize) {
        let mut copied_at = millis(rng, MAX_LOSS_GAP_MS);
        loop {
            let age = match rng.random_range(0..4) {
                0 => Duration::ZERO,
                _ => millis(rng, MAX_COPY_AGE_MS),
            };
            let lost_at = copied_at + age;
            if lost_at >= FAULT_TIME {
                break;
            }
            self.steps.push((copied_at, Step::BackUpStore));
            for _ in 0..rng.random_range(0..=MAX_LOST_TICKETS) {
                let at = copied_at + age.mul_f64(rng.random());
                self.steps
                    .push((at, Step::File(rng.random_range(0..hosts))));
            }
            let reloaded = rng.random_range(0..hosts);
            let reload_at = copied_at + age.mul_f64(rng.random());
            self.steps.push((reload_at, Step::ReloadNode(reloaded)));
            let away = match rng.random_range(0..4) {
                0 => Duration::ZERO,
                _ => millis(rng, MAX_AWAY_MS),
            };
            let restore = Step::RestoreStore(away, millis(rng, MAX_REFILE_DELAY_MS));
            self.steps.push((lost_at, restore));
            copied_at = lost_at + away + millis(rng, MAX_LOSS_GAP_MS);
        }
        // The sort is stable: a copy precedes the other steps of its series at the same time.
        self.steps.sort_by_key(|(at, _)| *at);
    }
}

/// Draws a duration below a bound in milliseconds.
fn millis(rng: &mut SmallRng, bound: u64) -> Duration {
    Duration::from_millis(rng.random_range(0..bound))
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
