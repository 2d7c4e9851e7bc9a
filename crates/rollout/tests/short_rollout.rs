//! Rollouts of 15 seconds: how many requests a faulty version gets, and how many
//! rollouts of good versions complete.
//!
//! A service of four backend servers, each in its own availability zone, gets
//! requests on two routes. The judge receives the counters of windows of 250 ms.

use knapweed_rollout::counters::{LoadLevel, Sample, SeriesId, Warmth};
use knapweed_rollout::judge::{
    ComparedVersions, Judge, ShortRolloutJudge, Verdict, Window, short_rollout,
};
use knapweed_rollout::planner::{Plan, PlanInput, Planner, ShortRolloutPlanner};
use knapweed_rollout::{Counters, ZoneCapacity};
use knapweed_world::config::Caution;
use knapweed_world::{Name, Share, UnixMillis};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const WINDOW_MS: u64 = 250;
const DURATION_MS: u64 = 15_000;
const ZONES: [&str; 4] = ["a", "b", "c", "d"];
/// Requests per second on each route.
const RATES: [(&str, f64); 2] = [("calendar", 130.0), ("switching", 20.0)];
/// Relative speeds of the backend servers, which differ by a factor of three.
const SPEEDS: [f64; 4] = [0.5, 1.0, 1.0, 1.5];
/// Delay from a decision until all hosts apply it, in windows.
const EFFECT_WINDOWS: u64 = 2;
/// Bound on the requests to a faulty version: this fraction of all requests plus
/// [`EXPOSED_SLACK`].
const MAX_EXPOSED_FRACTION: f64 = 0.1;
const EXPOSED_SLACK: f64 = 50.0;

/// Fault of the simulated service. Numbers without a unit are the fraction of
/// requests that is affected.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    Errors(f64),
    Slow(f64, f64),
    OneRoute(f64),
    /// Fails from this time after the start on, in milliseconds.
    Late(u64, f64),
    /// Fails only when the new version has all of the traffic.
    UnderLoad(f64),
    /// Only one backend server of the new version fails.
    OneServer(f64),
    /// All versions fail.
    Everything(f64),
}

fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

struct Outcome {
    /// Requests to the new version until the deadline.
    exposed: f64,
    requests: f64,
    completed: bool,
    pulled_back: bool,
}

impl Outcome {
    fn is_within_bound(&self) -> bool {
        self.exposed <= MAX_EXPOSED_FRACTION * self.requests + EXPOSED_SLACK
    }
}

fn sample(
    fault: Fault,
    at_ms: u64,
    share: Share,
    zone: usize,
    route: usize,
    is_new: bool,
    rng: &mut SmallRng,
) -> Sample {
    let base: f64 = (0..6).map(|_| rng.random_range(0.2..1.8)).sum::<f64>() / 6.0;
    let tail = if rng.random_bool(0.01) { 4.0 } else { 1.0 };
    let mut latency = 160_000.0 * base * tail / SPEEDS[zone];
    let fails = match fault {
        Fault::Errors(p) => is_new && rng.random_bool(p),
        Fault::OneRoute(p) => is_new && route == 1 && rng.random_bool(p),
        Fault::Late(from, p) => is_new && at_ms >= from && rng.random_bool(p),
        Fault::UnderLoad(p) => is_new && share == Share::ALL && rng.random_bool(p),
        Fault::OneServer(p) => is_new && zone == 0 && rng.random_bool(p),
        Fault::Everything(p) => rng.random_bool(p),
        Fault::Slow(p, factor) => {
            if is_new && rng.random_bool(p) {
                latency *= factor;
            }
            false
        }
        Fault::None => false,
    };
    match fails || rng.random_bool(0.003) || latency > 1_200_000.0 {
        true => Sample::Failed,
        false => Sample::Succeeded {
            latency_us: latency as u64,
        },
    }
}

fn run(fault: Fault, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut judge = ShortRolloutJudge::new(short_rollout::Options::default());
    judge.begin(&ComparedVersions {
        old: vec![name("v1")],
        new: vec![name("v2")],
        windows: 1,
    });
    let capacity: Vec<ZoneCapacity> = Vec::new();
    let (mut share, mut since) = (Share::NONE, 0);
    let mut bad_at = None;
    let mut outcome = Outcome {
        exposed: 0.0,
        requests: 0.0,
        completed: false,
        pulled_back: false,
    };
    for window in 0..DURATION_MS / WINDOW_MS {
        let at = window * WINDOW_MS;
        let is_stopped = bad_at.is_some_and(|bad| window >= bad + EFFECT_WINDOWS);
        let in_force = if is_stopped { Share::NONE } else { share };
        let mut counters = Counters::default();
        for (route, (route_name, rate)) in RATES.iter().enumerate() {
            let mean = rate * WINDOW_MS as f64 / 1_000.0;
            let count = (mean + rng.random_range(-0.5..0.5) * mean).round() as u64;
            for _ in 0..count {
                let is_new = rng.random_range(0..Share::ALL.0) < in_force.0;
                let zone = rng.random_range(0..ZONES.len());
                let id = SeriesId {
                    zone: name(ZONES[zone]),
                    version: name(if is_new { "v2" } else { "v1" }),
                    route: name(route_name),
                    load: LoadLevel::Low,
                    warmth: Warmth::Warm,
                };
                outcome.requests += 1.0;
                outcome.exposed += f64::from(u8::from(is_new));
                let sample = sample(fault, at, in_force, zone, route, is_new, &mut rng);
                let key = counters.key(&id).expect("few series");
                counters.record(key, sample);
            }
        }
        judge.observe(&Window {
            counters: &counters,
            capacity: &capacity,
        });
        if bad_at.is_none() && matches!(judge.verdict(), Verdict::Bad(_)) {
            bad_at = Some(window);
            outcome.pulled_back = true;
        }
        if bad_at.is_some() || outcome.completed {
            continue;
        }
        let now = at + WINDOW_MS;
        let plan = ShortRolloutPlanner.next(&PlanInput {
            start: UnixMillis(0),
            deadline: UnixMillis(DURATION_MS),
            caution: Caution::Careful,
            now: UnixMillis(now),
            share,
            since: UnixMillis(since),
            capacity: Share::ALL,
            step_requests: 0,
            requests_per_minute: None,
        });
        match plan {
            Plan::Step(next) => (share, since) = (next, now),
            Plan::Complete => outcome.completed = true,
            Plan::PullBack => panic!("pulled back at {now} ms with capacity for all traffic"),
            Plan::Wait => {}
        }
    }
    outcome
}

const SEEDS: u64 = 300;

/// Fraction of the seeds whose outcome passes `check`.
fn fraction(fault: Fault, check: impl Fn(&Outcome) -> bool) -> f64 {
    let good = (0..SEEDS).filter(|seed| check(&run(fault, *seed))).count();
    good as f64 / SEEDS as f64
}

/// Guards against a faulty version that gets more than a tenth of the requests, or
/// whose rollout completes.
#[test]
fn bad_versions_are_pulled_back_within_the_bound() {
    for fault in [
        Fault::Errors(0.5),
        Fault::Errors(0.3),
        Fault::Slow(0.5, 8.0),
        Fault::Slow(0.4, 5.0),
        Fault::OneRoute(0.5),
        Fault::Late(3_000, 0.5),
        Fault::Late(9_000, 0.4),
        Fault::UnderLoad(0.5),
    ] {
        let pulled_back = fraction(fault, |o| o.pulled_back && !o.completed);
        let within = fraction(fault, Outcome::is_within_bound);
        println!("{fault:?}: pulled back {pulled_back:.3}, within the bound {within:.3}");
        assert!(pulled_back >= 0.99, "{fault:?}: {pulled_back}");
        assert!(within >= 0.99, "{fault:?}: {within}");
    }
}

/// Guards against good versions that are pulled back, including while a single
/// backend server fails or both versions do.
#[test]
fn good_versions_are_complete_in_time() {
    for (fault, least) in [
        (Fault::None, 0.99),
        (Fault::OneServer(0.4), 0.95),
        (Fault::Everything(0.1), 0.95),
    ] {
        let completed = fraction(fault, |o| o.completed && !o.pulled_back);
        println!("{fault:?}: completed {completed:.3}");
        assert!(completed >= least, "{fault:?}: {completed}");
    }
}

/// Requests of the old version before the last step, and of the new one after it.
const REQUESTS_BEFORE: u64 = 320;
const REQUESTS_AFTER: u64 = 80;
/// Latency of a request from the host of its server, and what one from another host takes
/// longer, in microseconds.
const LOCAL_US: u64 = 330;
const REMOTE_US: u64 = 250;

/// Fraction of the seeds for which the judge finds a fault in a version whose requests all come
/// from another host and take `slower_us` longer. The old version serves most of its requests
/// on the host of the caller. Both serve them within a fraction of a millisecond.
fn fraction_at_fault(slower_us: u64) -> f64 {
    let at_fault = |seed: &u64| {
        let mut rng = SmallRng::seed_from_u64(*seed);
        let mut judge = ShortRolloutJudge::new(short_rollout::Options::default());
        judge.begin(&ComparedVersions {
            old: vec![name("v1")],
            new: vec![name("v2")],
            windows: 1,
        });
        for request in 0..REQUESTS_BEFORE + REQUESTS_AFTER {
            let is_new = request >= REQUESTS_BEFORE || request % 20 == 0;
            let is_remote = is_new || rng.random_bool(0.03);
            let path_us = if is_remote { REMOTE_US } else { 0 };
            let own_us = if is_new { slower_us } else { 0 };
            let jitter_us = rng.random_range(0..150);
            let id = SeriesId {
                zone: name("a"),
                version: name(if is_new { "v2" } else { "v1" }),
                route: name("calendar"),
                load: LoadLevel::Low,
                warmth: Warmth::Warm,
            };
            let mut counters = Counters::default();
            let key = counters.key(&id).expect("few series");
            let latency_us = LOCAL_US + path_us + own_us + jitter_us;
            counters.record(key, Sample::Succeeded { latency_us });
            judge.observe(&Window {
                counters: &counters,
                capacity: &[],
            });
        }
        matches!(judge.verdict(), Verdict::Bad(_))
    };
    (0..SEEDS).filter(at_fault).count() as f64 / SEEDS as f64
}

/// Guards against a good version that is pulled back because its requests come from other hosts
/// than those of the old one, which adds a fraction of a millisecond to each.
#[test]
fn a_version_on_another_host_than_its_callers_is_not_slow() {
    let fraction = fraction_at_fault(0);
    assert!(fraction <= 0.001, "{fraction}");
}

/// Guards against a slowdown of some milliseconds that passes for the way from another host.
#[test]
fn a_version_that_adds_milliseconds_is_slow() {
    let fraction = fraction_at_fault(5_000);
    assert!(fraction >= 0.99, "{fraction}");
}
