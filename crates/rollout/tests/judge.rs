//! Tests of the sequential judge with synthetic windows.

mod common;

use common::{capacity, name};
use insta::assert_snapshot;
use knapweed_rollout::counters::{Counters, LoadLevel, Sample, SeriesId, Warmth};
use knapweed_rollout::judge::{ComparedVersions, Judge, SequentialJudge, Verdict, Window};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const ZONES: [&str; 2] = ["labasa-a", "savusavu-a"];
const ROUTES: [&str; 2] = ["today", "week"];
const WINDOWS: u64 = 60;

/// Failure rate and minimum latency of a version in a window.
#[derive(Clone, Copy)]
struct VersionBehaviour {
    failure_rate: f64,
    latency_us: f64,
}

const GOOD: VersionBehaviour = VersionBehaviour {
    failure_rate: 0.005,
    latency_us: 20_000.0,
};

fn record_requests(
    counters: &mut Counters,
    zone: &str,
    version: &str,
    n: u32,
    b: VersionBehaviour,
    rng: &mut SmallRng,
) {
    for route in ROUTES {
        let id = SeriesId {
            zone: name(zone),
            version: name(version),
            route: name(route),
            load: LoadLevel::Low,
            warmth: Warmth::Warm,
        };
        let key = counters.key(&id).expect("room for the series");
        for _ in 0..n {
            let sample = if rng.random_bool(b.failure_rate) {
                Sample::Failed
            } else {
                let spread = 1.0 + rng.random::<f64>() * 2.0;
                let latency_us = (b.latency_us * spread) as u64;
                Sample::Succeeded { latency_us }
            };
            counters.record(key, sample);
        }
    }
}

/// The verdict after 60 windows in two zones, or at the first [`Verdict::Bad`].
fn judge(
    seed: u64,
    requests: [u32; 2],
    behaviour: impl Fn(u64, &str, &str) -> VersionBehaviour,
) -> Verdict {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut judge = SequentialJudge::default();
    judge.begin(&ComparedVersions {
        old: vec![name("v1")],
        new: vec![name("v2")],
        windows: WINDOWS * 2,
    });
    let ready: Vec<_> = ZONES
        .iter()
        .flat_map(|z| ["v1", "v2"].map(|v| capacity(z, v, 12)))
        .collect();
    for window in 0..WINDOWS {
        for zone in ZONES {
            let mut counters = Counters::default();
            for (version, n) in ["v1", "v2"].into_iter().zip(requests) {
                let b = behaviour(window, zone, version);
                record_requests(&mut counters, zone, version, n, b, &mut rng);
            }
            judge.observe(&Window {
                counters: &counters,
                capacity: &ready,
            });
        }
        if matches!(judge.verdict(), Verdict::Bad(_)) {
            break;
        }
    }
    judge.verdict()
}

/// Guards against false alarms that the statistical test itself causes (requirement
/// B5). The bound is 1 in 1,000 per rollout, so that none is accepted in 300.
#[test]
fn versions_that_are_alike_are_not_told_apart() {
    for seed in 0..300 {
        let requests = [[19, 1], [10, 10], [1, 19]][seed as usize % 3];
        assert_eq!(judge(seed, requests, |_, _, _| GOOD), Verdict::NoFault);
    }
}

/// Guards against a verdict against the new version when a slowdown or an outage
/// affects both versions.
#[test]
fn what_happens_to_both_versions_is_no_fault() {
    let cases: [fn(u64, &str) -> VersionBehaviour; 3] = [
        |window, _| VersionBehaviour {
            latency_us: 20_000.0 * (1.0 + (window / 10) as f64),
            ..GOOD
        },
        |window, _| VersionBehaviour {
            failure_rate: if window > 20 { 0.6 } else { 0.0 },
            ..GOOD
        },
        |_, zone| {
            if zone == ZONES[0] {
                GOOD
            } else {
                VersionBehaviour {
                    failure_rate: 0.4,
                    latency_us: 200_000.0,
                }
            }
        },
    ];
    for seed in 0..60 {
        let case = cases[seed as usize % 3];
        let verdict = judge(seed, [12, 4], |window, zone, _| case(window, zone));
        assert_eq!(verdict, Verdict::NoFault, "seed {seed}");
    }
}

/// Guards against faults of the new version that the judge does not detect.
#[test]
fn a_fault_of_the_new_version_is_found() {
    type Case = (&'static str, fn(u64, &str) -> VersionBehaviour);
    let cases: [Case; 4] = [
        ("fails", |_, _| VersionBehaviour {
            failure_rate: 0.3,
            ..GOOD
        }),
        ("slow", |_, _| VersionBehaviour {
            latency_us: 60_000.0,
            ..GOOD
        }),
        ("in one zone", |_, zone| VersionBehaviour {
            failure_rate: if zone == ZONES[1] { 0.4 } else { 0.005 },
            ..GOOD
        }),
        ("later", |window, _| VersionBehaviour {
            failure_rate: if window < 40 { 0.005 } else { 0.5 },
            ..GOOD
        }),
    ];
    let mut out = String::new();
    for (title, case) in cases {
        let verdict = judge(1, [19, 2], |window, zone, version| {
            if version == "v2" {
                case(window, zone)
            } else {
                GOOD
            }
        });
        let Verdict::Bad(fault) = verdict else {
            panic!("{title}: {verdict:?}");
        };
        out += &format!("{title}: {fault}\n");
    }
    assert_snapshot!(out);
}
