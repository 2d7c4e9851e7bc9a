//! Replays every trace of `tests/traces/` and checks its expected outcomes.

use knapweed_trace::{ExpectedOutcome, Trace, replay};
use knapweed_world::TicketNumber;
use std::fs;
use std::path::{Path, PathBuf};

fn traces() -> Vec<PathBuf> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    let entries = fs::read_dir(dir).expect("the folder of traces");
    let mut files: Vec<PathBuf> = entries.map(|e| e.expect("an entry").path()).collect();
    files.sort();
    files
}

fn read(file: &Path) -> Trace {
    Trace::read(file).unwrap_or_else(|e| panic!("{e}"))
}

/// Guards against changes of the guard, the judge, the planner or the controller
/// that alter the outcome of a recorded case.
#[test]
fn recorded_traces_show_their_stated_outcomes() {
    let mut missed = Vec::new();
    let mut out = String::new();
    for file in traces() {
        let trace = read(&file);
        let stem = file.file_stem().expect("a name").to_string_lossy();
        out += &format!("{stem}: {}\n", trace.header.title);
        for check in replay(&trace) {
            out += &format!("  {check}\n");
            if !check.is_met {
                missed.push(format!("{stem}: {check}"));
            }
        }
    }
    assert!(missed.is_empty(), "{}", missed.join("\n"));
    insta::assert_snapshot!(out);
}

/// Guards against outcome checks that pass for an outcome which did not occur.
#[test]
fn an_outcome_that_did_not_happen_is_missed() {
    let bad = traces();
    let bad = bad.iter().find(|f| f.ends_with("fails-at-once.jsonl"));
    let mut trace = read(bad.expect("the trace of a failing version"));
    let ticket = TicketNumber(1);
    trace.outcomes = vec![
        ExpectedOutcome::Completed {
            ticket,
            late: false,
        },
        ExpectedOutcome::NoResult { ticket },
        ExpectedOutcome::PulledBack {
            ticket,
            by_us: knapweed_world::Time(1),
        },
        ExpectedOutcome::Superseded {
            ticket,
            by: TicketNumber(2),
        },
        ExpectedOutcome::Tripped { failures: 60 },
    ];
    let checks = replay(&trace);
    assert!(checks.iter().all(|c| !c.is_met), "{checks:#?}");
}
