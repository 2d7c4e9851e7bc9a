//! Injected faults apply to exactly the requests and connections that they select.

mod common;

use common::{get, options, put_faults, start, until};
use http::StatusCode;
use knapweed_fake_backend::faults::{FaultInjector, Faults};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const REQUEST: &[u8] = b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n";

#[test]
fn conditions_select_the_requests_that_fail() {
    let mut fault_injector = FaultInjector::new(1);
    fault_injector.set(Faults {
        fail_percent: 100,
        route_prefix: "/calendar".into(),
        after_requests: 2,
        above_running: 3,
        ..Faults::default()
    });
    let requests = [("/calendar", 9), ("/calendar", 9), ("/calendar", 4)];
    let more_requests = [("/surveys", 9), ("/calendar/x", 3), ("/calendar/x", 4)];
    let fails = |(path, running)| fault_injector.faults_for(path, running).fails;
    let failed: Vec<_> = requests
        .into_iter()
        .chain(more_requests)
        .map(fails)
        .collect();
    assert_eq!(failed, [false, false, true, false, false, true]);
}

#[test]
fn the_share_of_failures_is_kept() {
    let mut fault_injector = FaultInjector::new(7);
    fault_injector.set(Faults {
        fail_percent: 30,
        ..Faults::default()
    });
    let failed = (0..10_000).filter(|_| fault_injector.faults_for("/", 1).fails);
    let failed = failed.count();
    assert!(
        (2_800..=3_200).contains(&failed),
        "{failed} of 10,000 requests failed"
    );
}

#[tokio::test]
async fn faults_are_switched_over_http() {
    let fake = start(options()).await;
    let doc = r#"{"fail_percent":100,"route_prefix":"/calendar"}"#;
    assert_eq!(put_faults(fake.address, doc).await, StatusCode::OK);
    let status = get(fake.address, "/calendar/day").await.status;
    assert_eq!(status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(get(fake.address, "/surveys").await.status, StatusCode::OK);
    assert_eq!(fake.backend.stats().failed, 1);
    let bad_status = put_faults(fake.address, r#"{"fail":1}"#).await;
    assert_eq!(bad_status, StatusCode::BAD_REQUEST);
    assert_eq!(put_faults(fake.address, "{}").await, StatusCode::OK);
    assert_eq!(get(fake.address, "/calendar").await.status, StatusCode::OK);
}

/// Reads once and returns the number of bytes: 0 at the end of the connection, `None` if nothing
/// arrives within 300 ms or the read fails.
async fn read_response(socket: &mut TcpStream) -> Option<usize> {
    let mut buf = [0; 4_096];
    let read = tokio::time::timeout(Duration::from_millis(300), socket.read(&mut buf));
    read.await.ok()?.ok()
}

/// Guards against a silent connection that is closed: callers would detect that at once, unlike
/// a network that drops all packets.
#[tokio::test]
async fn open_connections_go_silent_and_new_ones_work() {
    let fake = start(options()).await;
    let mut silenced = TcpStream::connect(fake.address).await.expect("connected");
    silenced.write_all(REQUEST).await.expect("sent");
    assert!(
        read_response(&mut silenced)
            .await
            .is_some_and(|len| len > 0)
    );
    put_faults(fake.address, r#"{"silence_connections":true}"#).await;
    silenced.write_all(REQUEST).await.expect("sent");
    assert_eq!(
        read_response(&mut silenced).await,
        None,
        "the silent connection must neither respond nor close"
    );
    assert_eq!(get(fake.address, "/x").await.status, StatusCode::OK);
    drop(silenced);
    until(|| fake.backend.stats().connections.current == 0).await;
}

#[tokio::test]
async fn connections_over_the_limit_are_closed_at_once() {
    let fake = start(options()).await;
    let mut sockets = Vec::new();
    for _ in 0..20 {
        sockets.push(TcpStream::connect(fake.address).await.expect("connected"));
    }
    until(|| fake.backend.stats().connections.current == 20).await;
    let mut extra = TcpStream::connect(fake.address).await.expect("connected");
    assert_eq!(
        read_response(&mut extra).await,
        Some(0),
        "the connection must be closed"
    );
    drop(sockets);
    until(|| fake.backend.stats().connections.current == 0).await;
    assert_eq!(get(fake.address, "/x").await.status, StatusCode::OK);
    let counts = fake.backend.stats().connections;
    assert_eq!((counts.peak, counts.opened, counts.refused), (20, 21, 1));
}

/// Guards against concurrent connection setups, which would hide the cost of opening many
/// connections.
#[tokio::test]
async fn connections_are_set_up_one_after_the_other() {
    let mut options = options();
    options.connection_cost = Duration::from_millis(30);
    let fake = start(options).await;
    let start = std::time::Instant::now();
    let gets = (0..5).map(|_| get(fake.address, "/bytes/0"));
    futures_util::future::join_all(gets).await;
    assert!(start.elapsed() >= Duration::from_millis(150));
}
