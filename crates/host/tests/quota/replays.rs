//! Load patterns on a whole mesh: share of proper requests that are refused, and the most
//! requests in a window compared with the limit.

use crate::sim::{Correct, Mesh, STEP_US, quota};
use knapweed_host::quota::Tolerance;
use knapweed_world::Quota;
use rand::Rng;
use std::fmt::Write;

const HOSTS: usize = 78;
const ORGANISATIONS: usize = 82;
/// Requests per second of all organisations together.
const TOTAL: f64 = 1_833.0;
/// Quota of an organisation as a multiple of its usual rate.
const QUOTA_FACTOR: f64 = 1.6;
/// That multiple after it was lowered.
const LOWERED: f64 = 0.2;
/// Exponent of the sizes of the organisations.
const SKEW: f64 = 1.2;
/// Callers of all organisations together. Each sends its requests to one host.
const CALLERS: usize = 915;
/// Time before the load starts, in seconds.
const LEAD: f64 = 5.0;

/// The usual rate of each organisation, in requests per second.
fn rates() -> Vec<f64> {
    let sizes: Vec<_> = (1..=ORGANISATIONS)
        .map(|i| (i as f64).powf(-SKEW))
        .collect();
    let sum: f64 = sizes.iter().sum();
    sizes.iter().map(|size| TOTAL * size / sum).collect()
}

fn quotas(rates: &[f64], factor: f64, burst_s: f64) -> Vec<Quota> {
    let quota = |rate: &f64| {
        let rate = rate * factor;
        quota(rate, (rate * burst_s) as u32)
    };
    rates.iter().map(quota).collect()
}

/// Load of a replay.
struct Load {
    label: &'static str,
    length_s: f64,
    /// Burst of a quota, in seconds of its rate.
    burst_s: f64,
    /// Quotas at the end as a multiple of the usual rates.
    last_factor: f64,
    /// Whether the callers of an organisation are on all hosts alike, rather than each on one.
    is_even: bool,
    /// Multiple of the usual rate of an organisation at a time.
    factor: fn(usize, f64) -> f64,
    /// The host of a caller at a time, from the one that it has at first.
    place: fn(usize, f64) -> usize,
    /// Changes to the mesh at a time.
    disturb: fn(&mut Mesh, f64),
}

impl Default for Load {
    fn default() -> Self {
        Self {
            label: "usual",
            length_s: 14.0,
            burst_s: 1.0,
            last_factor: QUOTA_FACTOR,
            is_even: false,
            factor: |_, _| 1.0,
            place: |host, _| host,
            disturb: |_, _| {},
        }
    }
}

/// Requests of one organisation while it sends its usual rate.
#[derive(Clone, Copy, Default)]
struct Count {
    proper: u64,
    proper_refused: u64,
}

struct Outcome {
    mesh: Mesh,
    counts: Vec<Count>,
    quotas: Vec<Quota>,
}

fn replay(load: &Load) -> Outcome {
    let rates = rates();
    let before = quotas(&rates, QUOTA_FACTOR, load.burst_s);
    let mut mesh = Mesh::new(HOSTS, &before, 7, Box::new(Correct));
    let callers = callers(&mut mesh, &rates);
    let mut counts = vec![Count::default(); ORGANISATIONS];
    let step_s = STEP_US as f64 / 1e6;
    let steps = ((LEAD + load.length_s) / step_s) as usize;
    for step in 0..steps {
        let time = step as f64 * step_s - LEAD;
        if time >= 0.0 {
            (load.disturb)(&mut mesh, time);
            for (i, rate) in rates.iter().enumerate() {
                let factor = (load.factor)(i, time);
                for _ in 0..poisson(&mut mesh, rate * factor * step_s) {
                    let host = match load.is_even {
                        true => mesh.rng.random_range(0..HOSTS),
                        false => callers[i][mesh.rng.random_range(0..callers[i].len())],
                    };
                    let is_admitted = mesh.request((load.place)(host, time), i);
                    let count = &mut counts[i];
                    if factor <= 1.0 {
                        count.proper += 1;
                        count.proper_refused += u64::from(!is_admitted);
                    }
                }
            }
        }
        mesh.step();
    }
    Outcome {
        mesh,
        counts,
        quotas: quotas(&rates, load.last_factor, load.burst_s),
    }
}

/// Hosts of the callers of each organisation. Callers are divided like requests.
fn callers(mesh: &mut Mesh, rates: &[f64]) -> Vec<Vec<usize>> {
    let count = |rate: &f64| ((rate / TOTAL * CALLERS as f64) as usize).max(1);
    let mut host = |_| mesh.rng.random_range(0..HOSTS);
    rates
        .iter()
        .map(|rate| (0..count(rate)).map(&mut host).collect())
        .collect()
}

fn poisson(mesh: &mut Mesh, mean: f64) -> u32 {
    let limit = (-mean).exp();
    let mut product: f64 = mesh.rng.random();
    let mut n = 0;
    while product > limit {
        product *= mesh.rng.random::<f64>();
        n += 1;
    }
    n
}

impl Outcome {
    fn describe(&self, label: &str, out: &mut String) {
        let sum = |of: fn(&Count) -> u64| self.counts.iter().map(of).sum::<u64>();
        let share = 100.0 * sum(|c| c.proper_refused) as f64 / sum(|c| c.proper) as f64;
        let limits = self.quotas.iter().map(|q| Tolerance::default().limit(q));
        let window = Tolerance::default().window;
        let uses = limits.enumerate().map(|(i, limit)| {
            let most = self.mesh.most_in(i, window);
            100.0 * most as f64 / limit
        });
        let most = uses.fold(0.0, f64::max);
        writeln!(
            out,
            "{label}: {share:.1}% of proper requests refused, at most {most:.0}% of a limit in a window"
        )
        .expect("writing to a string");
    }
}

/// Organisation number 10, which sends 31 requests per second usually, sends 7.5 times that.
fn hot(organisation: usize, time: f64) -> f64 {
    let is_hot = organisation == 10 && (5.0..11.5).contains(&time);
    if is_hot { 7.5 } else { 1.0 }
}

/// As [`hot`], for the largest organisation.
fn hot_largest(organisation: usize, time: f64) -> f64 {
    let is_hot = organisation == 0 && (5.0..11.5).contains(&time);
    if is_hot { 7.5 } else { 1.0 }
}

/// The callers of every other host move to its neighbour at once.
fn moved(host: usize, time: f64) -> usize {
    let is_moved = time >= 5.0 && host.is_multiple_of(2);
    if is_moved { host + 1 } else { host }
}

/// A sixth of the hosts, not the holder, is cut off for some seconds.
fn cut(mesh: &mut Mesh, time: f64) {
    let is_cut = (5.0..10.5).contains(&time);
    for host in &mut mesh.hosts[HOSTS - HOSTS / 6..] {
        host.is_cut = is_cut;
    }
}

/// The holder is killed, and the next one takes over two seconds later.
fn kill_holder(mesh: &mut Mesh, time: f64) {
    let is_at = |at: f64| (time - at).abs() < STEP_US as f64 / 2e6;
    if is_at(5.0) {
        mesh.hosts[0].frozen_until = mesh.now + 4_000_000;
    }
    if is_at(7.0) {
        mesh.hosts.iter_mut().for_each(|host| host.holder = 1);
    }
}

/// All limits fall to a fifth of what is sent.
fn lower(mesh: &mut Mesh, time: f64) {
    if (time - 5.0).abs() < STEP_US as f64 / 2e6 {
        mesh.set_quotas(&quotas(&rates(), LOWERED, 1.0));
        mesh.admitted.iter_mut().for_each(Vec::clear);
    }
}

/// Guards against limits that are exceeded under load, and against hosts that refuse what is
/// inside the limit because the tokens are elsewhere.
#[test]
fn loads_stay_within_their_limits() {
    let loads = [
        Load::default(),
        Load {
            label: "usual, callers on all hosts alike",
            is_even: true,
            ..Load::default()
        },
        Load {
            label: "one organisation of 31/s sends 7.5 times that",
            factor: hot,
            ..Load::default()
        },
        Load {
            label: "the same, callers on all hosts alike",
            factor: hot,
            is_even: true,
            ..Load::default()
        },
        Load {
            label: "the largest organisation sends 7.5 times its usual",
            factor: hot_largest,
            ..Load::default()
        },
        Load {
            label: "callers of every other host move to its neighbour",
            place: moved,
            ..Load::default()
        },
        Load {
            label: "a sixth of the hosts cut off",
            disturb: cut,
            ..Load::default()
        },
        Load {
            label: "the holder stands still",
            disturb: kill_holder,
            ..Load::default()
        },
        Load {
            label: "limits lowered to a fifth of the load",
            disturb: lower,
            last_factor: LOWERED,
            ..Load::default()
        },
    ];
    let mut out = String::new();
    for load in &loads {
        replay(load).describe(load.label, &mut out);
    }
    insta::assert_snapshot!(out);
}
