//! Requests run in a limited number of slots and are recorded in the ledger.

mod common;

use common::{client, get, options, send, start, until};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use knapweed_fake_backend::backend::Lifecycle;
use knapweed_fake_backend::ledger::Progress;
use knapweed_fake_backend::settings;
use std::path::Path;
use std::time::Duration;

#[tokio::test]
async fn an_answer_names_the_server_and_the_ledger_the_request() {
    let fake = start(options()).await;
    let with_ids = |r: http::request::Builder| {
        let r = r.method("POST").header("knapweed-request-id", "r-7");
        r.header("idempotency-key", "k-7")
    };
    let calendar_response = send(fake.address, "/calendar/day?x=1", with_ids, "abc").await;
    get(fake.address, "/bytes/3").await;
    let names = [
        "knapweed-service",
        "knapweed-version",
        "knapweed-host",
        "knapweed-zone",
    ];
    let labels = names.map(|n| {
        calendar_response.headers[n]
            .to_str()
            .expect("text")
            .to_owned()
    });
    let body = String::from_utf8(calendar_response.body.to_vec()).expect("text");
    let ledger = get(fake.address, "/ledger").await.body;
    let ledger = String::from_utf8(ledger.to_vec()).expect("text");
    insta::assert_snapshot!(format!("{labels:?}\n{body}\n{ledger}"));
    send(fake.address, "/ledger", |r| r.method("DELETE"), "").await;
    assert!(fake.backend.ledger().to_doc().entries.is_empty());
}

#[tokio::test]
async fn bodies_are_streamed_back_unchanged() {
    let fake = start(options()).await;
    let sent: Vec<u8> = (0..300_000u32).map(|i| (i * 7 % 251) as u8).collect();
    let echo = send(fake.address, "/echo", |r| r.method("POST"), sent.clone()).await;
    assert!(echo.body == sent, "{} bytes were echoed", echo.body.len());
    let bytes = get(fake.address, "/bytes/100000").await.body;
    assert_eq!(bytes.len(), 100_000);
    assert!(bytes.iter().enumerate().all(|(i, b)| *b == i as u8));
    let progress = fake.backend.ledger().to_doc().entries;
    assert!(progress.iter().all(|e| e.progress == Progress::Finished));
}

/// Guards against more concurrent requests than slots, and against requests that are reported as
/// shed although they ran.
#[tokio::test]
async fn requests_beyond_slots_and_queue_are_shed_without_running() {
    let fake = start(options()).await;
    let with_slow_work = |r: http::request::Builder| r.header("x-work-ms", "400");
    let sends = (0..12).map(|_| send(fake.address, "/x", with_slow_work, ""));
    let responses = futures_util::future::join_all(sends).await;
    let count = |status| responses.iter().filter(|a| a.status == status).count();
    assert_eq!(
        count(StatusCode::OK),
        5,
        "2 slots and a queue of 3 requests"
    );
    assert_eq!(count(StatusCode::SERVICE_UNAVAILABLE), 7);
    let shed = responses
        .iter()
        .filter(|a| a.headers.contains_key("knapweed-shed"));
    assert_eq!(shed.count(), 7);
    let stats = fake.backend.stats();
    assert_eq!((stats.peak_running, stats.started, stats.shed), (2, 5, 7));
    assert_eq!(fake.backend.ledger().to_doc().entries.len(), 5);
}

#[tokio::test]
async fn a_request_whose_deadline_passes_in_the_queue_is_shed() {
    let fake = start(options()).await;
    let with_slow_work = |r: http::request::Builder| r.header("x-work-ms", "300");
    let with_short_deadline = |r: http::request::Builder| r.header("knapweed-deadline-ms", "30");
    let (_, _, shed) = tokio::join!(
        send(fake.address, "/x", with_slow_work, ""),
        send(fake.address, "/x", with_slow_work, ""),
        async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            send(fake.address, "/x", with_short_deadline, "").await
        },
    );
    assert_eq!(shed.status, StatusCode::SERVICE_UNAVAILABLE);
}

/// Guards against slots that stay occupied after the caller has closed its connection.
#[tokio::test]
async fn a_cancelled_request_frees_its_slot_and_is_counted() {
    let fake = start(options()).await;
    let with_slow_work = |r: http::request::Builder| r.header("x-work-ms", "60000");
    let running =
        tokio::spawn(async move { send(fake.address, "/x", with_slow_work, "").await.status });
    until(|| fake.backend.stats().running == 1).await;
    running.abort();
    until(|| fake.backend.stats().cancelled == 1).await;
    assert_eq!(fake.backend.stats().running, 0);

    let uri = format!("http://{}/bytes/50000000", fake.address);
    let request = Request::get(uri).body(Full::default()).expect("a request");
    let response = client().request(request).await.expect("a response");
    let mut body = response.into_body();
    body.frame().await.expect("a frame").expect("bytes");
    drop(body);
    until(|| fake.backend.stats().cancelled == 2).await;
    let progress = fake.backend.ledger().to_doc().entries;
    assert!(progress.iter().all(|e| e.progress == Progress::Cancelled));
}

#[tokio::test]
async fn a_probe_costs_a_slot_and_shows_the_state() {
    let mut options = options();
    options.slots = 1;
    options.queue = 0;
    options.probe_cost = Duration::from_millis(300);
    let fake = start(options).await;
    let probe = get(fake.address, "/health");
    let request = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        get(fake.address, "/x").await
    };
    let (probe, request) = tokio::join!(probe, request);
    assert_eq!(probe.body, r#"{"state":"ready","running":1,"slots":1}"#);
    assert_eq!(request.status, StatusCode::SERVICE_UNAVAILABLE);
}

#[test]
fn the_example_settings_are_valid() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../etc/fake-backend.ini");
    let options = settings::Options::new(&settings::load(&file).expect("valid settings"));
    assert_eq!(options.slots, 12);
}

/// Guards against a shutdown that waits forever for a request that does not end.
#[tokio::test]
async fn a_drain_is_bounded() {
    let mut options = options();
    options.drain = Duration::from_millis(300);
    let fake = start(options).await;
    let with_slow_work = |r: http::request::Builder| r.header("x-work-ms", "60000");
    let address = fake.address;
    tokio::spawn(async move { send(address, "/x", with_slow_work, "").await.status });
    until(|| fake.backend.stats().running == 1).await;
    let start = std::time::Instant::now();
    let unfinished = knapweed_fake_backend::drain(&fake.backend).await;
    assert_eq!(unfinished, 1);
    assert!(start.elapsed() < Duration::from_secs(2));
    assert_eq!(fake.backend.stats().state, Lifecycle::Gone);
}
