//! `knapweed-report` as a program: exit codes, saved histories and nodes.

mod common;

use common::{example, history};
use knapweed_observe::History;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_knapweed-report"))
        .args(args)
        .output()
        .expect("the program runs")
}

fn save(dir: &Path, file: &str, history: &History) -> PathBuf {
    let path = dir.join(file);
    let text = serde_json::to_string(history).expect("JSON");
    std::fs::write(&path, text).expect("written");
    path
}

/// Starts a stand-in for a node that serves its history to one request.
fn node(history: &History) -> SocketAddr {
    let body = serde_json::to_string(history).expect("JSON");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buf = [0; 1024];
        let len = stream.read(&mut buf).expect("a request");
        assert!(buf[..len].starts_with(b"GET /v1/history HTTP/1.1\r\n"));
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all((head + &body).as_bytes()).expect("sent");
    });
    address
}

/// Guards against scripts that mistake a firing alert, invalid settings or
/// missing histories for a good result.
#[test]
fn the_exit_code_tells_the_results_apart() {
    let dir = tempfile::tempdir().expect("a directory");
    let good = save(dir.path(), "good.json", &history("a", "za", 0, 0, 0));
    let bad = save(dir.path(), "bad.json", &history("a", "za", 90, 30, 40));
    let broken = dir.path().join("broken.json");
    std::fs::write(&broken, "{}").expect("written");
    let settings = example();
    let settings = settings.to_str().expect("text");
    let code = |file: &Path| {
        let file = file.to_str().expect("text");
        run(&["--settings", settings, "--file", file]).status.code()
    };
    assert_eq!(code(&good), Some(0));
    assert_eq!(code(&bad), Some(1));
    assert_eq!(code(&broken), Some(3));
    let empty = dir.path().join("empty.ini");
    std::fs::write(&empty, "[report]\n").expect("written");
    let empty = empty.to_str().expect("text");
    assert_eq!(run(&["--settings", empty]).status.code(), Some(2));
    assert_eq!(run(&["--settings", "missing.ini"]).status.code(), Some(2));
    assert_eq!(
        run(&["--settings", settings, "--check"]).status.code(),
        Some(0)
    );
}

/// Guards against a report that fails entirely because one node is unreachable.
#[test]
fn nodes_that_answer_are_reported_and_others_named() {
    let dir = tempfile::tempdir().expect("a directory");
    let answering = node(&history("a", "za", 0, 0, 0));
    let closed = TcpListener::bind("127.0.0.1:0").expect("a port");
    let unreachable = closed.local_addr().expect("an address");
    drop(closed);
    let settings = dir.path().join("report.ini");
    let text = format!("[report]\nnodes = {answering}, {unreachable}\n");
    std::fs::write(&settings, text).expect("written");
    let output = run(&[
        "--settings",
        settings.to_str().expect("text"),
        "--output",
        "json",
    ]);
    assert_eq!(output.status.code(), Some(0));
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(json["nodes"][0]["host"], "a");
    assert_eq!(json["failures"][0]["source"], unreachable.to_string());
}
