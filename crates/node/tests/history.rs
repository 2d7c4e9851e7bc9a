//! Request history of a node: bucket periods, size bounds and recorded changes.

use knapweed_node::history::Recorder;
use knapweed_node::history::recorder::MAX_SERVICES;
use knapweed_observe::history::Bucket;
use knapweed_world::config::{Config, ServiceConfig, VersionShare};
use knapweed_world::snapshot::{Builder, HostEntry};
use knapweed_world::{ConfigVersion, Name, Share, Snapshot, TicketNumber, UnixMillis};
use std::sync::Arc;
use std::time::Duration;

/// Unix time in seconds at which the tests start, a multiple of 60.
const START_S: u64 = 1_780_000_020;

fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

fn at(s: u64) -> UnixMillis {
    UnixMillis((START_S + s) * 1_000)
}

fn build(version: u64, services: usize, percent: u8, previous: Option<&Snapshot>) -> Arc<Snapshot> {
    let mut config = Config {
        version: ConfigVersion(version),
        ..Config::default()
    };
    for i in 0..services {
        let service = ServiceConfig {
            versions: vec![VersionShare {
                version: name("v2"),
                share: Share::from_percent(percent),
            }],
            rollout: None,
            ticket: TicketNumber(1),
            changed_at: ConfigVersion(1),
            max_connections: None,
            health_path: None,
            cold_limit: None,
        };
        config.services.insert(name(&format!("s{i:03}")), service);
    }
    let host = HostEntry {
        name: name("a1"),
        zone: name("labasa-a"),
        region: name("labasa"),
        address: ([127, 0, 0, 1], 1).into(),
        announcements: Vec::new(),
    };
    let mut builder = Builder::new(name("a1"), &config).hosts([host]);
    if let Some(previous) = previous {
        builder = builder.previous(previous);
    }
    Arc::new(builder.build().expect("a valid mesh"))
}

fn call(snapshot: &Snapshot) {
    for (_, service) in snapshot.services() {
        service.counters.answered(200, Duration::from_millis(3));
    }
}

/// Guards against requests that are counted twice or not at all at the border of two
/// buckets, after a reset of counters, or after the clock is set back.
#[test]
fn buckets_hold_what_was_counted_since_the_last_record() {
    let mut recorder = Recorder::new(at(0));
    let first = build(1, 1, 5, None);
    recorder.record(at(1), &first);
    call(&first);
    recorder.record(at(59), &first);
    recorder.record(at(60), &first);
    let second = build(2, 1, 25, Some(&first));
    call(&first);
    call(&second);
    recorder.record(at(61), &second);
    // The service was removed and added again, so its counters start at zero.
    let third = build(3, 1, 25, None);
    call(&third);
    recorder.record(at(62), &third);
    // The clock is set back.
    call(&third);
    recorder.record(at(50), &third);
    let changes: Vec<_> = recorder.changes().collect();
    insta::assert_json_snapshot!((recorder.services(), changes));
}

/// Guards against unbounded growth of the history.
#[test]
fn old_buckets_and_further_services_are_left_out() {
    let mut recorder = Recorder::new(at(0));
    let snapshot = build(1, MAX_SERVICES + 3, 100, None);
    for s in 0..2_000 {
        call(&snapshot);
        recorder.record(at(s), &snapshot);
    }
    let services = recorder.services();
    assert_eq!(services.len(), MAX_SERVICES);
    assert_eq!(recorder.left_out(), 3);
    assert_eq!(services[0].seconds.len(), 600);
    assert_eq!(services[0].seconds[599].start_s as u64, START_S + 1_999);
    assert_eq!(services[0].minutes.len(), 34);
    let day_s = 24 * 60 * 60;
    recorder.record(at(2_000 + day_s), &snapshot);
    assert!(recorder.services().iter().all(|s| s.minutes.is_empty()));
}

/// Guards the bucket size from which the memory of the history is calculated on the
/// operators' page and for `MAX_SERVICES`.
#[test]
fn a_bucket_takes_64_bytes() {
    assert_eq!(size_of::<Bucket>(), 64);
}
