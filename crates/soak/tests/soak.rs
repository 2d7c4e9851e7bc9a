//! A short run of the soak, and every seed that failed once.

use knapweed_soak::{Plan, run};

/// The seed of the run in CI.
const SEED: u64 = 1;

/// Guards against broken promises under series of faults that overlap.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_seed_breaks_no_promise() -> anyhow::Result<()> {
    let report = run(SEED).await?;
    println!("{report:?}");
    assert!(report.broken.is_empty(), "{:?}", report.broken);
    Ok(())
}

/// Guards against plans that change, which would make recorded seeds worthless.
#[test]
fn a_seed_always_gives_the_same_plan() {
    let plan = Plan::new(SEED, 6, 4);
    assert_eq!(plan, Plan::new(SEED, 6, 4));
    let lines = plan
        .steps
        .iter()
        .map(|(at, step)| format!("{at:?} {step:?}"));
    insta::assert_snapshot!(lines.collect::<Vec<_>>().join("\n"));
}
