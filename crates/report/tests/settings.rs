//! Settings: the example file is valid, and invalid objectives are reported.

mod common;

use common::{example, name};
use knapweed_report::settings;

#[test]
fn the_example_file_is_valid() {
    let options = settings::load(&example()).expect("valid settings");
    insta::assert_debug_snapshot!(options);
    assert_eq!(
        options.objective(&name("surveys")),
        options.default_objective
    );
}

/// Guards against objectives without an error budget, with a budget of all
/// requests, or with a latency that is not a bucket bound of the histograms.
#[test]
fn bad_objectives_are_refused() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let file = folder.path().join("report.ini");
    let cases = [
        "calendar 100 50 99",
        "calendar 99.9 60 99",
        "calendar 99.9 50",
        "cal/endar 99.9 50 99",
        "calendar 99.9 50 99, calendar 99 50 99",
        "calendar NaN 50 99",
    ];
    let mut out = String::new();
    for case in cases {
        let text = format!("[report]\n[objectives]\nservices = {case}\n");
        std::fs::write(&file, text).expect("a file");
        let errors = settings::load(&file).expect_err("a bad objective");
        out += &format!("{errors}\n");
    }
    let folder = folder.path().display().to_string();
    insta::assert_snapshot!(out.replace(&folder, "FOLDER"));
}
