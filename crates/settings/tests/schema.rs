//! Loading a settings file returns typed values, or all errors with their lines.

use assert_matches::assert_matches;
use knapweed_settings::{Cause, Key, Schema};
use proptest::prelude::*;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

const LISTEN: Key<SocketAddr> = Key::address("node", "listen").doc("Address for callers.");
const HOST: Key<String> = Key::name("node", "host").doc("Name of the host.");
const LABEL: Key<Option<String>> = Key::text("node", "label").optional().doc("Free text.");
const SEEDS: Key<Vec<SocketAddr>> = Key::addresses("node", "seeds")
    .default("")
    .doc("Other nodes.");
const SLOTS: Key<u64> = Key::integer("limits", "slots", 1, 64)
    .default("12")
    .unit("requests")
    .doc("Requests at a time.");
const WAIT: Key<Duration> = Key::milliseconds("limits", "wait_ms", 10, 5_000)
    .default("250")
    .doc("Longest wait.");
const STRICT: Key<bool> = Key::boolean("limits", "strict")
    .default("false")
    .doc("Whether limits are strict.");
const FORM: Key<String> = Key::choice("limits", "form", &["text", "json"])
    .default("text")
    .doc("Form of logs (text | json).");
const KEY_FILE: Key<Option<PathBuf>> = Key::existing_file("limits", "key_file")
    .optional()
    .doc("Key file.");

fn schema() -> Schema {
    let node = [LISTEN.spec, HOST.spec, LABEL.spec, SEEDS.spec];
    let limits = [SLOTS.spec, WAIT.spec, STRICT.spec, FORM.spec, KEY_FILE.spec];
    Schema::new()
        .section("node", "The node itself.", &node)
        .section("limits", "Limits of the node.", &limits)
}

fn errors(text: &str) -> String {
    let result = schema().parse(Path::new("etc/node.ini"), text);
    result.expect_err("a bad file").to_string()
}

#[test]
fn a_good_file_gives_typed_values() {
    let text = "; comment\n[node]\nlisten = 127.0.0.1:80\nhost=a-1\n\
                seeds = 127.0.0.1:1, [::1]:2\n\n[limits]\nwait_ms = 1_000\nstrict = true\n";
    let settings = schema().parse(Path::new("n.ini"), text).expect("good");
    assert_eq!(settings.get(&LISTEN), "127.0.0.1:80".parse().expect("ok"));
    assert_eq!(settings.get(&HOST), "a-1");
    assert_eq!(settings.get(&LABEL), None);
    assert_eq!(settings.get(&SEEDS).len(), 2);
    assert_eq!(settings.get(&SLOTS), 12);
    assert_eq!(settings.get(&WAIT), Duration::from_secs(1));
    assert!(settings.get(&STRICT));
    let rejected = settings.reject(&WAIT, "must be shorter");
    insta::assert_snapshot!(rejected, @"n.ini:8: [limits] wait_ms: must be shorter");
}

#[test]
fn every_error_is_reported_with_its_place() {
    insta::assert_snapshot!(errors(
        "early = 1\n[node]\nlisten = localhost\nhost = a b\nhost = b\nseeds = 1.2.3.4:5,x\n\
         color = red\nnonsense\n[node]\nlisten = 127.0.0.1:1\n[broken\n[other]\nx = 1\n\
         [limits]\nslots = 65\nwait_ms = 5s\nstrict = yes\nform = xml\nkey_file = none.pem\n"
    ));
}

#[test]
fn missing_keys_and_numbers_far_out_of_range_are_reported() {
    insta::assert_snapshot!(errors(
        "[limits]\nslots = -1\nwait_ms = 99999999999999999999\nform =\n"
    ));
}

#[test]
fn a_missing_or_binary_file_is_an_error() {
    let missing = schema().load(Path::new("none.ini")).expect_err("missing");
    assert_matches!(missing.0[0].cause, Cause::Unreadable(_));
    let dir = tempfile::tempdir().expect("a folder");
    let file = dir.path().join("binary.ini");
    std::fs::write(&file, [0xff, 0xfe]).expect("written");
    let binary = schema().load(&file).expect_err("binary");
    assert_matches!(binary.0[0].cause, Cause::NotText);
}

/// Guards against paths that depend on the working directory of the program.
#[test]
fn a_relative_path_starts_at_the_settings_file() {
    let dir = tempfile::tempdir().expect("a folder");
    std::fs::write(dir.path().join("key.pem"), "key").expect("written");
    let file = dir.path().join("node.ini");
    let text = "[node]\nlisten=127.0.0.1:1\nhost=a\n[limits]\nkey_file=key.pem\n";
    std::fs::write(&file, text).expect("written");
    let settings = schema().load(&file).expect("good");
    assert_eq!(settings.get(&KEY_FILE), Some(dir.path().join("key.pem")));
}

#[test]
fn the_schema_is_rendered_as_tables() {
    insta::assert_snapshot!(schema().to_markdown());
}

proptest! {
    /// Guards against a panic on arbitrary input and against line numbers beyond the
    /// end of the file.
    #[test]
    fn any_text_gives_settings_or_errors(text in any::<String>()) {
        if let Err(errors) = schema().parse(Path::new("x"), &text) {
            let lines = text.split(['\n', '\r']).count() as u32;
            prop_assert!(errors.0.iter().all(|e| e.line.is_none_or(|l| l <= lines)));
        }
    }

    /// Guards against a panic on input that resembles settings.
    #[test]
    fn any_lines_give_settings_or_errors(
        lines in proptest::collection::vec(
            "\\[(node|limits|)\\]?|(listen|host|seeds|slots|wait_ms|strict)? ?=?.{0,12}", 0..20),
        end in prop_oneof!["\n", "\r\n", "\r"],
    ) {
        let _ = schema().parse(Path::new("x"), &lines.join(&end));
    }
}
