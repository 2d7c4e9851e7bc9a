//! Evaluates judges and planners on simulated rollouts with fixed seeds.
//!
//! Usage: `cargo run --release -p knapweed-rollout --example evaluate [REPLAYS] [FIRST_SEED] [GOOD_REPLAYS]`

#[path = "../tests/common/mod.rs"]
mod common;

use common::replay::{Outcomes, Replay, STANDARD, Variant};
use common::scenario::{BAD, Deployment, GOOD, POWER_AUTHORITY, POYRAZ, SIZES, Scenario, Version};
use knapweed_rollout::judge::{SequentialJudge, ThresholdJudge, TimeOnlyJudge};
use knapweed_rollout::planner::{DeadlinePlanner, RampPlanner};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Instant;

/// Default number of replays per deployment and variant.
const REPLAYS: usize = 1_000;
const THREADS: usize = 5;
/// Largest number of false alarms that are printed per deployment and variant.
const SHOWN_ALARMS: u64 = 3;
/// Default number of replays of only good versions per deployment, which estimate
/// the rate of false alarms.
const GOOD_REPLAYS: usize = 2_000;
/// First seed of those replays, above the seeds of all others.
const GOOD_SEED: u64 = 1_000_000;
/// Confidence level of the upper bound on the rate of false alarms.
const CONFIDENCE: f64 = 0.95;

const VARIANTS: [Variant; 6] = [
    Variant {
        title: "sequential, deadline, guard",
        has_guard: true,
        ..STANDARD
    },
    STANDARD,
    Variant {
        title: "threshold, deadline",
        judge: || Box::new(ThresholdJudge::new(Default::default())),
        planner: || Box::new(DeadlinePlanner),
        has_guard: false,
    },
    Variant {
        title: "clock, deadline",
        judge: || Box::new(TimeOnlyJudge),
        planner: || Box::new(DeadlinePlanner),
        has_guard: false,
    },
    Variant {
        title: "sequential, ramp",
        judge: || Box::new(SequentialJudge::default()),
        planner: || Box::new(RampPlanner),
        has_guard: false,
    },
    Variant {
        title: "threshold, ramp",
        judge: || Box::new(ThresholdJudge::new(Default::default())),
        planner: || Box::new(RampPlanner),
        has_guard: false,
    },
];

/// The version of replay `i`: two in five are good.
fn version(i: usize) -> Version {
    let nth = i / 5;
    match i % 5 {
        0 => Version::Good(GOOD[(2 * nth) % GOOD.len()]),
        1 => Version::Good(GOOD[(2 * nth + 1) % GOOD.len()]),
        rest => {
            let k = 3 * nth + rest - 2;
            let size = SIZES[(k / BAD.len()) % SIZES.len()];
            Version::Bad(BAD[k % BAD.len()], size)
        }
    }
}

/// Replays `version(i)` for each `i` below `replays`.
fn run_all(
    deployment: Deployment,
    variant: Variant,
    replays: usize,
    seed: u64,
    version: fn(usize) -> Version,
) -> Vec<Replayed> {
    let next = AtomicUsize::new(0);
    let work = || {
        let mut done = Vec::new();
        loop {
            let i = next.fetch_add(1, Ordering::Relaxed);
            if i >= replays {
                return done;
            }
            let scenario = Scenario::draw(deployment, version(i), seed + i as u64);
            let outcomes = Replay::new(scenario, variant).run();
            done.push(Replayed { i, outcomes });
        }
    };
    thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(work)).collect();
        let mut all: Vec<_> = threads
            .into_iter()
            .flat_map(|t| t.join().expect("a thread without a panic"))
            .collect();
        all.sort_by_key(|r| r.i);
        all
    })
}

struct Replayed {
    i: usize,
    outcomes: Outcomes,
}

/// Statistics of a group of replays.
#[derive(Default)]
struct Group {
    replays: u64,
    correct: u64,
    requests: Vec<f64>,
    seconds: Vec<f64>,
}

impl Group {
    fn add(&mut self, correct: bool, outcomes: &Outcomes) {
        self.replays += 1;
        self.correct += u64::from(correct);
        self.requests.push(outcomes.tallies.to_bad as f64);
        self.seconds.extend(outcomes.exposure_s());
    }

    fn line(&mut self) -> String {
        let (requests, most) = median_and_worst(&mut self.requests);
        let (seconds, longest) = median_and_worst(&mut self.seconds);
        format!(
            "{:>4}/{:<4} requests {requests:>6.0} {most:>7.0}  seconds {seconds:>6.1} {longest:>6.1}",
            self.correct, self.replays
        )
    }
}

fn median_and_worst(values: &mut [f64]) -> (f64, f64) {
    values.sort_by(f64::total_cmp);
    let middle = values.get(values.len() / 2).copied();
    let last = values.last().copied();
    (middle.unwrap_or(0.0), last.unwrap_or(0.0))
}

/// Upper Clopper-Pearson confidence bound on the rate of `events` in `runs`.
fn upper_bound(events: u64, runs: u64) -> f64 {
    let below = |p: f64| {
        let mut term = (1.0 - p).powf(runs as f64);
        let mut sum = term;
        for k in 0..events {
            term *= (runs - k) as f64 / (k + 1) as f64 * p / (1.0 - p);
            sum += term;
        }
        sum
    };
    let (mut low, mut high) = (0.0, 1.0);
    for _ in 0..60 {
        let middle = (low + high) / 2.0;
        if below(middle) > 1.0 - CONFIDENCE {
            low = middle;
        } else {
            high = middle;
        }
    }
    high
}

/// Prints how many faulty versions were pulled back, per kind and size of fault.
fn print_matrix(replayed: &[Replayed]) {
    for kind in BAD {
        print!("    {:<22}", format!("{kind:?}"));
        for size in SIZES {
            let is_cell = |r: &&Replayed| version(r.i) == Version::Bad(kind, size);
            let cell = replayed.iter().filter(is_cell);
            let correct = cell.clone().filter(|r| r.outcomes.pulled_back()).count();
            print!(" {:>14}", format!("{size:?} {correct}/{}", cell.count()));
        }
        println!();
    }
}

fn report(variant: Variant, replayed: &[Replayed], details: bool) {
    let mut all = Group::default();
    let mut groups: BTreeMap<String, Group> = BTreeMap::new();
    let mut sizes: BTreeMap<String, Group> = BTreeMap::new();
    let (mut good, mut in_time, mut alarms, mut trips) = (0, 0, 0, 0);
    for Replayed { i, outcomes } in replayed {
        match version(*i) {
            Version::Good(kind) => {
                good += 1;
                in_time += u64::from(outcomes.in_time());
                if outcomes.pulled_back() {
                    alarms += 1;
                }
                if outcomes.pulled_back() && alarms <= SHOWN_ALARMS {
                    println!(
                        "    false alarm in replay {i}: {kind:?} {:?}",
                        outcomes.outcome
                    );
                }
                trips += outcomes.tallies.guard_trips;
                let group = groups.entry(format!("good {kind:?}")).or_default();
                group.add(outcomes.in_time(), outcomes);
            }
            Version::Bad(kind, size) => {
                all.add(outcomes.pulled_back(), outcomes);
                let group = groups.entry(format!("bad {kind:?}")).or_default();
                group.add(outcomes.pulled_back(), outcomes);
                let group = sizes.entry(format!("bad {size:?}")).or_default();
                group.add(outcomes.pulled_back(), outcomes);
            }
        }
    }
    let bound = 100.0 * upper_bound(alarms, good);
    println!("{}", variant.title);
    println!(
        "  good in time {in_time}/{good}, false alarms {alarms} (rate at most {bound:.2}%), guard trips {trips}"
    );
    println!("  bad pulled back {}", all.line());
    if details {
        print_matrix(replayed);
        for (title, group) in groups.iter_mut().chain(sizes.iter_mut()) {
            println!("    {title:<22} {}", group.line());
        }
    }
}

/// Prints the rate of false alarms over replays of only good versions.
fn report_good(deployment: Deployment, replays: usize) {
    let good = |i| Version::Good(GOOD[i % GOOD.len()]);
    let replayed = run_all(deployment, VARIANTS[0], replays, GOOD_SEED, good);
    let alarms: Vec<_> = replayed
        .iter()
        .filter(|r| r.outcomes.pulled_back())
        .collect();
    let in_time = replayed.iter().filter(|r| r.outcomes.in_time()).count();
    let count = alarms.len() as u64;
    let bound = 100.0 * upper_bound(count, replays as u64);
    println!(
        "good versions only, {}, seeds from {GOOD_SEED}",
        VARIANTS[0].title
    );
    println!("  in time {in_time}/{replays}, false alarms {count} (rate at most {bound:.3}%)");
    for alarm in alarms {
        println!(
            "    replay {}: {:?} {:?}",
            alarm.i,
            good(alarm.i),
            alarm.outcomes.outcome
        );
    }
}

fn main() {
    let mut args = std::env::args().skip(1);
    let replays = args
        .next()
        .map_or(REPLAYS, |a| a.parse().expect("a number"));
    let seed = args.next().map_or(1, |a| a.parse().expect("a number"));
    let good_replays = args
        .next()
        .map_or(GOOD_REPLAYS, |a| a.parse().expect("a number"));
    let start = Instant::now();
    println!(
        "median and worst of requests to a bad version, and of seconds from first fault to zero share"
    );
    for deployment in [POWER_AUTHORITY, POYRAZ] {
        println!(
            "\n{}: {replays} replays, seeds from {seed}",
            deployment.title
        );
        for (i, variant) in VARIANTS.into_iter().enumerate() {
            let replayed = run_all(deployment, variant, replays, seed, version);
            report(variant, &replayed, i < 3);
        }
        report_good(deployment, good_replays);
    }
    println!("\n{:.0} s", start.elapsed().as_secs_f64());
}
