//! At most once: a key never runs twice, and every `not-run` is true, whatever
//! fails at whatever step.

mod model;

use knapweed_host::Outcome;
use model::Model;
use std::collections::BTreeMap;

const SEEDS: u64 = 300;
const STEPS: usize = 1_500;

fn run(seed: u64) -> Model {
    let mut model = Model::new(seed);
    model.add_key();
    for _ in 0..STEPS {
        model.step();
    }
    model.settle_down();
    check(&model, seed);
    model
}

fn check(model: &Model, seed: u64) {
    for (key, attempts) in &model.history.runs {
        assert!(
            attempts.len() <= 1,
            "seed {seed}: {key:?} ran as {attempts:?}"
        );
    }
    for (send, outcome) in &model.history.reported {
        let is_false = matches!(outcome, Outcome::NotRun(_)) && model.has_run(*send);
        assert!(
            !is_false,
            "seed {seed}: {send:?} ran and was reported as {outcome}"
        );
    }
}

/// Guards against a key that runs twice (H7) and a false `not-run` (H6) when
/// nodes are killed, paused, cut off and replaced, messages are lost, repeated
/// and reordered, and callers send again through other ingresses.
#[test]
fn a_key_runs_at_most_once() {
    let mut outcomes: BTreeMap<&str, usize> = BTreeMap::new();
    let (mut restarts, mut promotions, mut runs) = (0, 0, 0);
    for seed in 0..SEEDS {
        let history = run(seed).history;
        for outcome in history.reported.values() {
            *outcomes.entry(outcome.label()).or_default() += 1;
        }
        restarts += history.restarts;
        promotions += history.promotions;
        runs += history.runs.len();
    }
    println!("{outcomes:?}, {runs} runs, {promotions} promotions, {restarts} restarts");
    // Without these the checks above would hold for a ledger that refuses all.
    assert!(runs > 1_000, "only {runs} keys ran");
    assert!(
        promotions > 1_000 && restarts > 50,
        "{promotions} {restarts}"
    );
    assert!(outcomes["answered"] > 1_000, "{outcomes:?}");
}
