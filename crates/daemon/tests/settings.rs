//! The example settings file of the node is valid, and errors are reported with
//! file, line and key.

use knapweed_daemon::settings;
use std::path::{Path, PathBuf};
use tempfile::TempDir;

/// Copies the example file, changed by `edit`, into a folder that has the files
/// that it refers to.
fn example(edit: impl Fn(&str) -> String) -> (TempDir, PathBuf) {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../etc/knapweed-node.ini");
    let text = std::fs::read_to_string(source).expect("the example file");
    let folder = tempfile::tempdir().expect("a temporary folder");
    std::fs::create_dir(folder.path().join("example")).expect("a folder");
    for name in ["node.pem", "node.key", "authority.pem"] {
        std::fs::write(folder.path().join("example").join(name), "").expect("a file");
    }
    let path = folder.path().join("node.ini");
    std::fs::write(&path, edit(&text)).expect("the settings file");
    (folder, path)
}

#[test]
fn the_example_file_is_valid() {
    let (_folder, path) = example(str::to_owned);
    let options = settings::load(&path).expect("valid settings");
    assert_eq!(options.host.as_str(), "labasa-a-1");
    assert_eq!(options.seeds.len(), 2);
}

/// Guards against a node that starts with invalid settings.
#[test]
fn every_fault_is_told_with_its_line() {
    let (folder, path) = example(|text| {
        text.replace("threads = 2", "threads = many")
            .replace("region = labasa", "regoin = labasa")
            .replace("example/node.key", "example/missing.key")
    });
    let errors = settings::load(&path).expect_err("faulty settings");
    let folder = folder.path().display().to_string();
    insta::assert_snapshot!(errors.to_string().replace(&folder, "FOLDER"));
}
