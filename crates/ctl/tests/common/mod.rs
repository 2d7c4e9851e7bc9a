//! A fake node with prepared responses, and a runner for the program under test.

#![allow(dead_code, reason = "each test file uses a part of it")]

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::convert::Infallible;
use std::fmt::Write;
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex};
use tokio::net::TcpListener;

/// Queues of status and body by method and path.
type Responses = BTreeMap<String, VecDeque<(u16, String)>>;

/// An HTTP server with prepared responses for each method and path.
#[derive(Clone)]
pub(crate) struct FakeNode {
    pub(crate) address: SocketAddr,
    responses: Arc<Mutex<Responses>>,
    bodies: Arc<Mutex<Vec<Bytes>>>,
}

impl FakeNode {
    pub(crate) async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let node = Self {
            address: listener.local_addr().expect("an address"),
            responses: Arc::default(),
            bodies: Arc::default(),
        };
        tokio::spawn(node.clone().serve(listener));
        node
    }

    /// Adds a response for a method and path; the last one is returned repeatedly.
    pub(crate) fn respond(&self, path: &str, status: u16, body: &impl Serialize) {
        let body = serde_json::to_string(body).expect("JSON");
        let mut responses = self.responses.lock().expect("no panic");
        responses
            .entry(path.to_owned())
            .or_default()
            .push_back((status, body));
    }

    /// Bodies of the requests received so far.
    pub(crate) fn bodies(&self) -> Vec<Bytes> {
        self.bodies.lock().expect("no panic").clone()
    }

    async fn serve(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let node = self.clone();
            let service = service_fn(move |req| node.clone().handle(req));
            let http = hyper::server::conn::http1::Builder::new();
            let connection = http.serve_connection(TokioIo::new(stream), service);
            tokio::spawn(connection);
        }
    }

    async fn handle(self, req: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let path = format!("{} {}", req.method(), req.uri().path());
        let body = req.into_body().collect().await.map(|b| b.to_bytes());
        self.bodies.lock().expect("no panic").extend(body);
        let (status, body) = self.next_response(&path);
        let mut response = Response::new(Full::new(body.into()));
        *response.status_mut() = status.try_into().expect("a status");
        Ok(response)
    }

    fn next_response(&self, path: &str) -> (u16, String) {
        let mut responses = self.responses.lock().expect("no panic");
        match responses.get_mut(path) {
            Some(queue) if queue.len() > 1 => queue.pop_front().expect("a response"),
            Some(queue) => queue.front().cloned().expect("a response"),
            None => (404, r#"{"error":"not found"}"#.to_owned()),
        }
    }
}

/// Exit code and output of one run of the program.
pub(crate) struct Run {
    pub(crate) code: Option<i32>,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

/// Runs the program with `input` on its standard input.
pub(crate) async fn run(args: &[&str], input: &str) -> Run {
    let args: Vec<_> = args.iter().map(|arg| arg.to_string()).collect();
    let input = input.to_owned();
    let run = tokio::task::spawn_blocking(move || run_blocking(&args, &input));
    run.await.expect("no panic")
}

fn run_blocking(args: &[String], input: &str) -> Run {
    let mut child = Command::new(env!("CARGO_BIN_EXE_knapweedctl"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut stdin = child.stdin.take().expect("a pipe");
    // The write fails when the program ends without reading its input.
    let _ = std::io::Write::write_all(&mut stdin, input.as_bytes());
    drop(stdin);
    let output = child.wait_with_output().expect("the program ends");
    Run {
        code: output.status.code(),
        stdout: String::from_utf8(output.stdout).expect("text"),
        stderr: String::from_utf8(output.stderr).expect("text"),
    }
}

/// Runs the program and appends its command line, output and exit code to `out`.
pub(crate) async fn report(out: &mut String, nodes: &[SocketAddr], args: &[&str], input: &str) {
    let nodes: Vec<_> = nodes.iter().map(SocketAddr::to_string).collect();
    let options = nodes.iter().flat_map(|node| ["--node", node]);
    let all: Vec<_> = options.chain(args.iter().copied()).collect();
    let run = run(&all, input).await;
    let mut text = format!("{}{}", run.stdout, run.stderr);
    for (i, node) in nodes.iter().enumerate() {
        text = text.replace(node, &format!("NODE{i}"));
    }
    let code = run.code.expect("an exit code");
    writeln!(out, "$ knapweedctl {}\n{text}exit {code}\n", args.join(" ")).expect("a string");
}
