//! Goodput, time until a request is shed, and retry amplification at twice the capacity
//! (requirement B6).

mod sim;

use sim::{Report, Setup, Sim};
use std::time::Duration;

/// Highest goodput over offered loads from half to one and a half times the capacity.
fn peak(setup: &Setup, capacity: f64) -> f64 {
    let loads = [0.5, 0.7, 0.9, 1.0, 1.2, 1.5];
    let goodput = loads.map(|load| {
        let rate = load * capacity;
        let setup = Setup {
            rate,
            ..setup.clone()
        };
        Sim::run(setup.clone(), 1).goodput(&setup)
    });
    goodput.into_iter().fold(0.0, f64::max)
}

fn run_at_twice(setup: &Setup, capacity: f64, seed: u64) -> (Report, f64) {
    let rate = 2.0 * capacity;
    let setup = Setup {
        rate,
        ..setup.clone()
    };
    let report = Sim::run(setup.clone(), seed);
    let goodput = report.goodput(&setup);
    (report, goodput)
}

fn check(name: &str, setup: &Setup, capacity: f64) {
    let peak = peak(setup, capacity);
    for seed in 1..=3 {
        let (report, goodput) = run_at_twice(setup, capacity, seed);
        println!(
            "{name}, seed {seed}: peak {peak:.0}/s, at twice capacity {goodput:.0}/s ({:.0}%), \
             longest shed {:?}, amplification {:.3} at the worst level and {:.3} overall",
            100.0 * goodput / peak,
            report.longest_shed,
            report.amplification(),
            report.overall_amplification(),
        );
        assert!(report.is_complete(), "calls were lost: {report:?}");
        for (running, slots) in report.max_running.iter().zip(&setup.slots) {
            assert!(*running <= u32::from(*slots), "{running} of {slots} slots");
        }
        assert!(goodput >= 0.9 * peak, "goodput {goodput} of {peak}");
        assert!(report.longest_shed <= Duration::from_millis(50));
        assert!(report.overall_amplification() <= 1.1);
        assert!(report.amplification() <= 1.1);
    }
}

fn setup(service_us: &[u64], timeout: Duration) -> Setup {
    Setup {
        service_us: service_us.to_vec(),
        servers: 4,
        slots: vec![12; service_us.len()],
        rate: 0.0,
        timeout,
        length: Duration::from_secs(5),
        retries: true,
    }
}

/// Guards against goodput that collapses under overload.
#[test]
fn one_level() {
    let setup = setup(&[10_000], Duration::from_millis(500));
    check("1 level", &setup, 4.0 * 12.0 / 0.010);
}

/// Guards against running requests whose caller has given up.
#[test]
fn one_level_with_tight_deadlines() {
    let setup = setup(&[10_000], Duration::from_millis(60));
    check("1 level, 60 ms", &setup, 4.0 * 12.0 / 0.010);
}

/// Guards against long waits in a queue that moves slowly.
#[test]
fn one_level_of_slow_servers() {
    let mut setup = setup(&[200_000], Duration::from_secs(2));
    setup.length = Duration::from_secs(60);
    check("1 level, 200 ms", &setup, 4.0 * 12.0 / 0.200);
}

/// Guards against retries that multiply an overload at each of six levels. The
/// bottleneck is the first level, whose slots are held for the whole call.
#[test]
fn six_levels() {
    let setup = setup(&[2_000; 6], Duration::from_millis(500));
    check("6 levels", &setup, 4.0 * 12.0 / 0.012);
}

/// Guards against the same failure with the bottleneck at the last level, where each
/// shed call wastes the work of five levels.
#[test]
fn six_levels_with_a_slow_last_one() {
    let service_us = [500, 500, 500, 500, 500, 10_000];
    let mut setup = setup(&service_us, Duration::from_millis(500));
    setup.slots = vec![40, 40, 40, 40, 40, 12];
    check("6 levels, slow last", &setup, 4.0 * 12.0 / 0.010);
}
