//! Exit codes and output of `knapweed-replay`.

use insta::assert_snapshot;
use std::fs;
use std::path::Path;
use std::process::Command;

const HEADER: &str =
    r#"{"format":1,"title":"a guard","start_unix_ms":0,"settings":{"guard":{"alpha":0.0001}}}"#;
const MET: &str = r#"{"outcome":"not-tripped"}"#;
const MISSED: &str = r#"{"outcome":{"tripped":{"failures":60}}}"#;

/// Runs the program on the named traces; returns its exit code and output as text.
fn run(dir: &Path, files: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_knapweed-replay"));
    let output = command.current_dir(dir).args(files).output();
    let output = output.expect("the program runs");
    let out = String::from_utf8_lossy(&output.stdout);
    let err = String::from_utf8_lossy(&output.stderr);
    let code = output.status.code();
    format!("{}: exit code {code:?}\n{out}{err}\n", files.join(" "))
}

/// Guards against CI steps that pass although an outcome is missed or a trace
/// cannot be read.
#[test]
fn the_exit_code_tells_met_missed_and_unreadable_apart() {
    let dir = tempfile::tempdir().expect("a directory");
    let traces = [
        ("met", format!("{HEADER}\n{MET}\n")),
        ("missed", format!("{HEADER}\n{MET}\n{MISSED}\n")),
        ("unreadable", "x\n".into()),
    ];
    for (name, text) in traces {
        fs::write(dir.path().join(name), text).expect("written");
    }
    let runs = [
        vec!["met"],
        vec!["missed", "met"],
        vec!["unreadable", "missed"],
        vec!["absent"],
    ];
    let out: String = runs.iter().map(|files| run(dir.path(), files)).collect();
    assert_snapshot!(out);
}

#[test]
fn no_file_is_bad_usage() {
    let output = Command::new(env!("CARGO_BIN_EXE_knapweed-replay")).output();
    assert_eq!(output.expect("the program runs").status.code(), Some(2));
}
