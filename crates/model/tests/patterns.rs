//! Compares the policy of the product with the baseline policies.

use knapweed_model::{Pattern, Policy, ReplayCounts, result, run};

const SEEDS: [u64; 3] = [1, 2, 3];

fn rows(pattern: Pattern, seed: u64) -> Vec<(&'static str, ReplayCounts)> {
    let row = |policy: Policy| (policy.name(), run(pattern, policy, seed));
    Policy::ALL.map(row).into()
}

/// Guards against a product policy whose responses are worth less to clients than
/// those of a baseline policy, by more than the results vary with the seed.
fn assert_best(pattern: Pattern) {
    const NOISE: f64 = 0.01;
    for seed in SEEDS {
        let rows = rows(pattern, seed);
        let (product, baselines) = rows.split_first().expect("rows");
        for (policy, replay_counts) in baselines {
            let (ours, theirs) = (product.1.total.worth(), replay_counts.total.worth());
            assert!(
                ours >= theirs - NOISE,
                "{}, seed {seed}: {ours:.3} against {theirs:.3} of {policy}",
                pattern.name()
            );
        }
    }
}

#[test]
fn a_burst_of_twice_the_capacity() {
    assert_best(Pattern::Burst);
}

#[test]
fn waves_around_the_capacity() {
    assert_best(Pattern::Waves);
}

#[test]
fn clients_that_repeat_at_once() {
    assert_best(Pattern::ImmediateRetries);
}

#[test]
fn the_clients_of_a_region_move() {
    assert_best(Pattern::RegionMoves);
}

#[test]
fn a_zone_of_slow_servers() {
    assert_best(Pattern::SlowZone);
}

#[test]
fn a_server_that_fails_half_of_its_requests() {
    assert_best(Pattern::Grey);
}

/// Guards against requests that occupy a backend server but end after their
/// deadline, and against requests that fail instead of being refused early.
#[test]
fn a_burst_wastes_no_work() {
    for seed in SEEDS {
        let replay_counts = run(Pattern::Burst, Policy::Product, seed);
        assert!(
            replay_counts.wasted * 500 < replay_counts.total.all,
            "{}",
            replay_counts.wasted
        );
        assert_eq!(replay_counts.total.failed, 0);
    }
}

/// Guards against unnoticed changes of the results of any pattern and policy.
#[test]
fn the_table_of_the_first_seed() {
    let tables = Pattern::ALL.map(|p| result::table(p.name(), &rows(p, 1)));
    insta::assert_snapshot!(tables.join("\n"));
}
