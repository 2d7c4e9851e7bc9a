//! Snapshots resolve all references and are replaced atomically.

mod common;

use assert_matches::assert_matches;
use common::{config, hosts, name};
use knapweed_world::backend_server::Instance;
use knapweed_world::load::RequestRate;
use knapweed_world::snapshot::{Builder, Error};
use knapweed_world::{BackendServer, Flow, LoadReport, Snapshot, SnapshotCell, Time, cell};
use std::fmt::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

fn build(version: u64) -> Snapshot {
    Builder::new(name("a1"), &config(version))
        .hosts(hosts())
        .build()
        .expect("a valid mesh")
}

fn describe(snapshot: &Snapshot) -> String {
    let mut out = String::new();
    for (key, host) in snapshot.hosts() {
        let zone = snapshot.zone(host.zone);
        let region = &snapshot.region(zone.region).name;
        let distance = snapshot.distance(key);
        writeln!(out, "{} {} {} {:?}", host.name, zone.name, region, distance).expect("a string");
    }
    for (_, service) in snapshot.services() {
        for v in &service.versions {
            let counts = v.servers.each_ref().map(Vec::len);
            writeln!(out, "{} {} {} {counts:?}", service.name, v.version, v.share)
                .expect("a string");
        }
    }
    for route in snapshot.routes() {
        writeln!(out, "{} {:?}", route.name, route.path_prefix).expect("a string");
    }
    out
}

#[test]
fn a_snapshot_places_servers_by_distance() {
    insta::assert_snapshot!(describe(&build(1)));
}

/// Guards against a snapshot with routes to services that it does not contain (hazard H2).
#[test]
fn a_route_without_its_service_refuses_the_whole_snapshot() {
    let mut config = config(1);
    config.services.clear();
    let result = Builder::new(name("a1"), &config).hosts(hosts()).build();
    assert_matches!(result, Err(Error::MissingService { .. }));
}

#[test]
fn the_longest_prefix_wins_and_ends_at_a_segment() {
    let snapshot = build(1);
    let found = |path: &str| {
        let key = snapshot
            .find_route(b"example", path.as_bytes())
            .expect("the route for all paths");
        snapshot.route(key).name.to_string()
    };
    assert_eq!(found("/calendar/today"), "calendar");
    assert_eq!(found("/calendars"), "all");
}

/// Guards against an older configuration that replaces a newer one (hazard H1).
#[test]
fn an_older_version_is_refused() {
    let cell = SnapshotCell::new(build(2));
    assert_matches!(cell.replace(build(1)), Err(cell::Error::Older { .. }));
    assert_eq!(cell.load().version().0, 2);
}

/// Guards against load counters that each new snapshot resets to zero.
#[test]
fn load_counters_survive_a_new_snapshot() {
    let first = build(1);
    let (_, server) = first.backend_servers().next().expect("a backend server");
    server.load.start();
    let config = config(2);
    let builder = Builder::new(name("a1"), &config).hosts(hosts());
    let second = builder.previous(&first).build().expect("a valid mesh");
    let total: u32 = second
        .backend_servers()
        .map(|(_, s)| s.load.in_flight())
        .sum();
    assert_eq!(total, 1);
}

/// Guards against service counters that each configuration change resets to zero,
/// and against losing the counts of requests that still use the old snapshot.
#[test]
fn service_counters_survive_a_new_snapshot() {
    let first = build(1);
    let config = config(2);
    let builder = Builder::new(name("a1"), &config).hosts(hosts());
    let second = builder.previous(&first).build().expect("a valid mesh");
    let (_, old) = first.services().next().expect("a service");
    for us in [1_000, 1_001, 2_000_000] {
        old.counters.answered(200, Duration::from_micros(us));
    }
    old.counters.answered(503, Duration::ZERO);
    old.counters.not_run();
    old.counters.unknown();
    let (_, new) = second.services().next().expect("a service");
    insta::assert_debug_snapshot!(new.counters.counts());
}

/// Guards against readers that see a mix of two versions, or an older version after
/// a newer one, while the control thread replaces snapshots (hazards H1, H3).
#[test]
fn readers_on_many_threads_see_whole_snapshots_in_order() {
    const SWAPS: u64 = 3_000;
    let cell = Arc::new(SnapshotCell::new(build(1)));
    let done = Arc::new(AtomicBool::new(false));
    let reads = Arc::new(AtomicU64::new(0));
    let readers: Vec<_> = (0..8)
        .map(|_| {
            let (cell, done, reads) = (cell.clone(), done.clone(), reads.clone());
            std::thread::spawn(move || read_until(&cell, &done, &reads))
        })
        .collect();
    for version in 2..SWAPS {
        cell.replace(build(version)).expect("a newer version");
    }
    done.store(true, Ordering::Release);
    for reader in readers {
        reader.join().expect("a reader without a failed check");
    }
    assert!(reads.load(Ordering::Relaxed) > 0);
}

fn read_until(cell: &SnapshotCell, done: &AtomicBool, reads: &AtomicU64) {
    let mut last = 0;
    while !done.load(Ordering::Acquire) {
        let snapshot = cell.load();
        let version = snapshot.version().0;
        assert!(version >= last, "version {version} after {last}");
        for route in snapshot.routes() {
            let service = snapshot.service(route.destinations[0].0);
            assert_eq!(service.versions.len(), 2);
        }
        last = version;
        reads.fetch_add(1, Ordering::Relaxed);
    }
}

/// Guards against a rate limit that is forgotten while the node beside the backend server
/// restarts, and against one that is held against the next process at the address.
#[test]
fn a_named_limit_outlives_the_absence_of_its_server() {
    let limit = Some(RequestRate(2_000));
    let hosts_with = |started_ms: Option<u64>| {
        let mut hosts = hosts();
        match started_ms {
            Some(started_ms) => {
                hosts[1].announcements[0].instance = Some(Instance {
                    name: name("i-1"),
                    started_ms,
                });
            }
            None => hosts[1].announcements.clear(),
        }
        hosts
    };
    let next = |previous: &Snapshot, started_ms| {
        let config = config(1);
        let builder = Builder::new(name("a1"), &config).previous(previous);
        let snapshot = builder.hosts(hosts_with(started_ms)).build();
        snapshot.expect("a valid mesh")
    };
    let limit_of_a2 = |snapshot: &Snapshot| {
        let host = |s: &BackendServer| snapshot.host(s.host).name.clone();
        let mut servers = snapshot.backend_servers();
        let found = servers.find(|(_, s)| host(s) == name("a2"));
        found.and_then(|(_, server)| server.load.rate_limit())
    };

    let named = next(&build(1), Some(1));
    for (_, server) in named.backend_servers() {
        let report = LoadReport {
            rate_limit: limit,
            ..LoadReport::default()
        };
        server.load.record_report(&report, Flow(1), Time(1));
    }
    let absent = next(&named, None);
    assert_eq!(limit_of_a2(&absent), None);
    assert_eq!(limit_of_a2(&next(&absent, Some(1))), limit);
    assert_eq!(limit_of_a2(&next(&absent, Some(2))), None);
}
