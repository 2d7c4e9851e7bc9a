//! Runs against the fake backend server, which compare the report with the requests it received.

use knapweed_fake_backend::backend::Backend;
use knapweed_fake_backend::server;
use knapweed_fake_backend::settings as backend_settings;
use knapweed_load::client::{Outcome, Reported};
use knapweed_load::{Options, Report, run, settings};
use std::collections::HashSet;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

async fn backend(work: Duration) -> (String, Arc<Backend>) {
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../etc/fake-backend.ini");
    let example = backend_settings::load(&example).expect("valid settings");
    let mut options = backend_settings::Options::new(&example);
    options.work = work;
    options.slots = 2;
    options.queue = 2;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let url = format!("http://{}", listener.local_addr().expect("bound"));
    let backend = Backend::new(options);
    tokio::spawn(server::serve(listener, Arc::clone(&backend)));
    (url, backend)
}

/// Options of a run with 100 requests in half a second.
fn options(targets: &[String]) -> Options {
    let mut options = settings::defaults(targets).expect("valid");
    options.rate = 200;
    options.duration = Duration::from_millis(500);
    options
}

fn counts(report: &Report, target: usize) -> Vec<(Outcome, u64)> {
    let outcomes = report.targets[target].outcomes.iter();
    outcomes.map(|o| (o.outcome, o.count)).collect()
}

fn response(status: u16) -> Outcome {
    Outcome::Response {
        status,
        reported: Reported::Absent,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn every_echo_is_compared_and_every_key_is_new() {
    let (url, backend) = backend(Duration::ZERO).await;
    let mut options = options(&[format!("{url}/echo")]);
    options.method = http::Method::POST;
    options.body_len = 20_000;
    options.check_echo = true;
    options.keys = true;
    options.rate = 50;
    let report = run(options).await;
    assert_eq!(counts(&report, 0), [(response(200), 25)]);
    let entries = backend.ledger().to_doc().entries;
    let keys: HashSet<_> = entries
        .iter()
        .filter_map(|e| e.idempotency_key.clone())
        .collect();
    assert_eq!(keys.len(), 25);
}

/// Guards against a check of the response body that passes without comparing it.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_with_another_body_is_reported() {
    let (url, _) = backend(Duration::ZERO).await;
    let mut options = options(&[format!("{url}/bytes/64")]);
    options.body_len = 64;
    options.check_echo = true;
    options.rate = 20;
    let report = run(options).await;
    assert_eq!(counts(&report, 0), [(Outcome::WrongBody, 10)]);
    assert_eq!(report.wrong_bodies(), 10);
}

#[tokio::test(flavor = "multi_thread")]
async fn two_targets_are_used_in_turn_and_compared() {
    let (fast, _) = backend(Duration::ZERO).await;
    let (slow, _) = backend(Duration::from_millis(40)).await;
    let mut options = options(&[format!("{fast}/x"), format!("{slow}/x")]);
    options.compare = true;
    options.rate = 40;
    let report = run(options).await;
    assert_eq!(counts(&report, 0), [(response(200), 10)]);
    assert_eq!(counts(&report, 1), [(response(200), 10)]);
    let median = |i: usize| report.targets[i].outcomes[0].latency_us.p50;
    assert!(median(1) > median(0) + 20_000);
    assert!(report.to_string().contains("second - first: p50 +"));
}

/// Guards against a closed loop, in which a slow server reduces the request rate.
#[tokio::test(flavor = "multi_thread")]
async fn the_rate_does_not_depend_on_the_server() {
    let (url, backend) = backend(Duration::from_millis(300)).await;
    let start = Instant::now();
    let report = run(options(&[format!("{url}/x")])).await;
    assert!(start.elapsed() < Duration::from_secs(3));
    assert_eq!(report.targets[0].requests, 100);
    let outcomes = counts(&report, 0);
    assert_eq!(outcomes[1].0, response(503), "{outcomes:?}");
    let stats = backend.stats();
    let reported_counts = (outcomes[0].1, outcomes[1].1);
    assert_eq!(reported_counts, (stats.started, stats.shed));
}

#[tokio::test(flavor = "multi_thread")]
async fn failures_of_the_connection_are_told_apart() {
    let unused_listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let closed = unused_listener.local_addr().expect("bound");
    drop(unused_listener);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let truncating = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            // Closing a socket with unread bytes resets the connection.
            let mut request = [0; 4_096];
            let read = socket.read(&mut request).await.expect("a request");
            assert!(read > 0);
            let truncated = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab";
            socket.write_all(truncated).await.expect("sent");
        }
    });
    let (url, _) = backend(Duration::from_secs(5)).await;
    let targets = [closed.to_string(), truncating.to_string()];
    let targets = targets.map(|a| format!("http://{a}/"));
    let mut options = options(&targets);
    options.compare = true;
    options.max_requests = 10;
    let report = run(options.clone()).await;
    assert_eq!(counts(&report, 0), [(Outcome::NotConnected, 5)]);
    assert_eq!(counts(&report, 1), [(Outcome::Truncated, 5)]);
    options.compare = false;
    options.targets = vec![url.parse().expect("a URL")];
    options.max_requests = 2;
    options.timeout = Duration::from_millis(50);
    assert_eq!(counts(&run(options).await, 0), [(Outcome::TimedOut, 2)]);
}

#[test]
fn the_example_settings_are_valid() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../etc/load.ini");
    assert_eq!(settings::load(&file).expect("valid settings").rate, 200);
}
