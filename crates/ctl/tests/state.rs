//! Tests of the commands that show state, check settings and print documentation.

mod common;

use common::{FakeNode, report, run};
use serde_json::json;

#[tokio::test(flavor = "multi_thread")]
async fn lists_are_lines_of_text() {
    let node = FakeNode::start().await;
    node.respond(
        "GET /v1/tickets",
        200,
        &json!({ "tickets": [
        { "ticket": 6, "state": "in-force", "version": 2 },
        { "ticket": 7, "state": "pulled-back", "version": 3 },
        { "ticket": 8, "state": "refused", "version": null },
        { "ticket": 9, "state": null, "version": null } ] }),
    );
    node.respond("GET /v1/config", 200, &json!({ "config": { "version": 3,
        "services": { "calendar": { "rollout": null, "ticket": 7, "changed_at": 3,
            "versions": [{ "version": "v1", "share": 7500 }, { "version": "v2", "share": 2500 }] } },
        "routes": { "calendar": { "path_prefix": "/calendar", "destinations": [ { "service": "calendar",
            "weight": 1 } ], "timeout_ms": 2000, "idempotence": { "methods": ["GET"] }, "ticket": 6, "changed_at": 2 } } } }));
    node.respond(
        "GET /v1/nodes",
        200,
        &json!({ "nodes": [
        { "host": "a1", "zone": "labasa-a", "address": "127.0.0.1:7000", "state": "alive",
            "version": 3, "error": null, "backend_servers": [ { "service": "calendar",
                "version": "v1", "address": "127.0.0.1:8000", "slots": 12,
                "max_connections": 110, "state": "ready" } ] },
        { "host": "b1", "zone": "labasa-b", "address": "127.0.0.2:7000", "state": "suspect",
            "version": 2, "error": "a part is missing", "backend_servers": [] } ] }),
    );
    node.respond(
        "GET /v1/rollouts",
        200,
        &json!({ "rollouts": [
        { "service": "calendar", "ticket": 7, "phase": "ramping", "share": 500 },
        { "service": "surveys", "ticket": 5, "phase": "pulled-back", "reason": "slow" },
        { "service": "switching", "ticket": 6, "phase": "warming" } ] }),
    );
    let mut out = String::new();
    for args in [
        ["ticket", "list"],
        ["config", "show"],
        ["node", "list"],
        ["rollout", "list"],
    ] {
        report(&mut out, &[node.address], &args, "").await;
    }
    let args = ["rollout", "list", "--output", "json"];
    report(&mut out, &[node.address], &args, "").await;
    insta::assert_snapshot!(out);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unreadable_answer_is_reported() {
    let node = FakeNode::start().await;
    node.respond("GET /v1/config", 200, &json!({ "config": 3 }));
    let mut out = String::new();
    report(&mut out, &[node.address], &["config", "show"], "").await;
    insta::assert_snapshot!(out);
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_usage_gives_exit_code_2() {
    let mut out = String::new();
    for args in [
        &["ticket", "show", "seven"][..],
        &["ticket", "wait", "7", "--timeout", "0"],
        &["--node", "localhost", "node", "list"],
        &["--output", "xml", "node", "list"],
        &["man", "--directory", "/missing"],
        &[
            "certificates",
            "create",
            "/missing",
            "--host",
            "a1",
            "--address",
            "nowhere",
        ],
        &["settings", "check", "/missing.ini"],
    ] {
        report(&mut out, &[], args, "").await;
    }
    insta::assert_snapshot!(out);
}

#[tokio::test(flavor = "multi_thread")]
async fn help_names_every_command() {
    let mut out = String::new();
    for args in [
        &["--help"][..],
        &["ticket", "--help"],
        &["ticket", "wait", "--help"],
    ] {
        report(&mut out, &[], args, "").await;
    }
    insta::assert_snapshot!(out);
}

#[tokio::test(flavor = "multi_thread")]
async fn completions_and_manual_pages_are_written() {
    for shell in ["bash", "fish", "zsh"] {
        let run = run(&["completions", shell], "").await;
        assert_eq!(run.code, Some(0));
        assert!(run.stdout.contains("knapweedctl"), "{shell}");
    }
    let page = run(&["man"], "").await;
    assert!(page.stdout.contains(".TH knapweedctl"));
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().to_str().expect("text");
    assert_eq!(run(&["man", "--directory", path], "").await.code, Some(0));
    assert!(directory.path().join("knapweedctl-ticket-wait.1").exists());
}

/// Guards against a check that rejects valid files of other programs, or that does
/// not report for which program it checks a file.
#[tokio::test(flavor = "multi_thread")]
async fn settings_of_each_program_are_checked() {
    let etc = concat!(env!("CARGO_MANIFEST_DIR"), "/../../etc/");
    let mut out = Vec::new();
    for file in [
        "fake-backend.ini",
        "fake-platform.ini",
        "knapweed-node.ini",
        "load.ini",
        "report.ini",
    ] {
        let path = format!("{etc}{file}");
        let run = run(&["settings", "check", &path], "").await;
        out.push(format!("{}{}", run.stdout, run.stderr).replace(etc, ""));
    }
    let folder = tempfile::tempdir().expect("a folder");
    let odd = folder.path().join("odd.ini");
    std::fs::write(&odd, "[cellar]\nlevel = 1\n").expect("written");
    let odd = odd.to_str().expect("a path of text");
    let run = run(&["settings", "check", odd], "").await;
    out.push(run.stderr.replace(odd, "odd.ini"));
    insta::assert_snapshot!(out.join(""));
}
