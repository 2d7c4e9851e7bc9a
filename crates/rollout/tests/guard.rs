//! Tests of the guard of an egress.

mod common;

use common::{name, state};
use insta::assert_snapshot;
use knapweed_rollout::guard::Options;
use knapweed_rollout::judge::Tally;
use knapweed_rollout::{Guard, Phase};
use knapweed_world::{Share, TicketNumber, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Largest number of failed requests at one egress (requirement B4).
const MAX_FAILURES: u64 = 60;

fn guard() -> Guard {
    Guard::new(TicketNumber(1), Options::default())
}

/// Failures until the guard trips after `good` requests with few failures, or `None`
/// if it does not trip within `limit` further ones.
fn failures_to_trip(seed: u64, good: u64, rate: f64, limit: u64) -> Option<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut guard = guard();
    let route = guard.route(&name("today"));
    for _ in 0..good {
        guard.record_new(route, rng.random_bool(0.003), Time(0));
    }
    let mut failures = 0;
    for _ in 0..limit {
        let failed = rng.random_bool(rate);
        failures += u64::from(failed);
        guard.record_new(route, failed, Time(0));
        if !guard.admits() {
            return Some(failures);
        }
    }
    None
}

/// Guards against a clear fault that takes more than 60 failed requests to trip the
/// guard, either immediately or after many successful requests (requirement B4).
#[test]
fn it_trips_within_60_failures() {
    let mut out = String::new();
    for rate in [0.1, 0.2, 0.5, 1.0] {
        for good in [0, 1_000, 20_000] {
            let trips = (0..100).map(|seed| failures_to_trip(seed, good, rate, 100_000));
            let mut trips: Vec<u64> = trips.map(|t| t.expect("it trips")).collect();
            trips.sort_unstable();
            let (median, worst) = (trips[50], trips[99]);
            out += &format!("rate {rate}, after {good} good: median {median}, worst {worst}\n");
        }
    }
    let worst: Vec<u64> = out
        .lines()
        .filter_map(|l| l.rsplit(' ').next()?.parse().ok())
        .collect();
    assert!(worst.iter().all(|w| *w <= MAX_FAILURES), "{out}");
    assert_snapshot!(out);
}

/// Guards against false alarms. The bound is 1 in 10,000 per rollout and egress, so
/// that the 9 egresses of a service together stay below 1 in 1,000.
#[test]
fn it_does_not_trip_on_usual_failures() {
    let trips = (0..500).filter(|seed| failures_to_trip(*seed, 0, 0.01, 10_000).is_some());
    assert_eq!(trips.count(), 0);
}

/// Guards against a trip when both versions fail equally often, whether the baseline
/// is counted on this host or published by rollout control.
#[test]
fn it_compares_with_the_old_version_here_and_elsewhere() {
    for is_local in [true, false] {
        let mut rng = SmallRng::seed_from_u64(1);
        let mut guard = guard();
        let route = guard.route(&name("today"));
        for i in 0..20_000 {
            let now = Time(i * 1_000);
            if is_local {
                guard.record_old(route, rng.random_bool(0.2));
            } else {
                let old = Tally {
                    requests: 1_000,
                    affected: 200,
                };
                guard.set_baseline(route, old, now);
            }
            if i > 1_000 {
                guard.record_new(route, rng.random_bool(0.2), now);
            }
        }
        assert!(guard.admits(), "{:?}", guard.fault());
    }
}

/// Guards against a server that is admitted again without limit.
#[test]
fn it_admits_again_for_two_rechecks_only() {
    let mut guard = guard();
    let route = guard.route(&name("today"));
    let mut failures = 0;
    for epoch in 1..6 {
        while guard.admits() {
            guard.record_new(route, true, Time(0));
            failures += 1;
        }
        guard.apply_state(&state(1, epoch, Phase::Holding(Share(500))));
    }
    assert!(!guard.admits());
    assert!(failures <= MAX_FAILURES, "{failures}");
}

/// Guards against a reset by an old state, by another phase or by the state of
/// another ticket.
#[test]
fn only_a_newer_hold_of_its_ticket_admits_again() {
    let mut guard = guard();
    let route = guard.route(&name("today"));
    guard.apply_state(&state(1, 3, Phase::Holding(Share(500))));
    while guard.admits() {
        guard.record_new(route, true, Time(0));
    }
    guard.apply_state(&state(1, 3, Phase::Holding(Share(500))));
    guard.apply_state(&state(1, 4, Phase::Ramping(Share(1_000))));
    guard.apply_state(&state(2, 9, Phase::Holding(Share(500))));
    assert!(!guard.admits());
    guard.apply_state(&state(1, 5, Phase::Holding(Share(500))));
    assert!(guard.admits());
}
