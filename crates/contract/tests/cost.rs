//! Store calls and object sizes for one ticket with a configuration of the target
//! size.

mod common;

use common::world::{FaultyStore, ManualClock, driver, file};
use common::{route, service, set_service};
use futures_util::FutureExt;
use knapweed_contract::{Driver, PartCache, head, parts};
use knapweed_store::ObjectStore;
use knapweed_store::memory::{Limits, MemoryStore};
use serde_json::json;
use std::fmt::Write;
use std::time::Instant;

const SERVICES: u64 = 160;
const ROUTES: u64 = 480;

/// A platform with a configuration of the target size and a full list of recent
/// tickets.
fn platform() -> (MemoryStore, ManualClock) {
    let platform = MemoryStore::with_limits(Limits::NONE);
    let clock = ManualClock::new();
    let services: Vec<_> = (0..SERVICES)
        .map(|i| service(&format!("s{i}"), "v1"))
        .collect();
    let document = json!({ "ticket": 1, "services": services });
    file(&platform, &clock, document.to_string().as_bytes());
    let of_service = |i: u64| format!("s{}", i % SERVICES);
    let routes: Vec<_> = (0..ROUTES)
        .map(|i| route(&format!("r{i}"), &format!("/r{i}"), &of_service(i)))
        .collect();
    let document = json!({ "ticket": 2, "routes": routes });
    file(&platform, &clock, document.to_string().as_bytes());
    for number in 3..70 {
        file(
            &platform,
            &clock,
            &set_service(number, None, "s1", &format!("v{number}")),
        );
    }
    (platform, clock)
}

fn newest(driver: &Driver<'_>, cache: &mut PartCache) {
    let newest = driver.load_newest(cache).now_or_never();
    newest.expect("no waits").expect("a complete configuration");
}

fn len(platform: &MemoryStore, key: &knapweed_store::ObjectKey) -> usize {
    let object = platform.read(key).now_or_never().expect("no waits");
    object.expect("no faults").expect("an object").value.len()
}

/// Guards against a number of store calls per ticket that grows with the
/// configuration.
#[test]
fn a_ticket_costs_few_calls_with_the_parts_at_hand() {
    let (platform, clock) = platform();
    let store = FaultyStore::new(&platform, []);
    let driver = driver(&store, &clock);
    let mut cache = PartCache::default();
    let mut out = String::new();
    let mut count = |what: &str, action: &mut dyn FnMut()| {
        let before = platform.calls();
        let start = Instant::now();
        action();
        println!("{what}: {:?}", start.elapsed());
        let after = platform.calls();
        let (reads, writes) = (after.reads - before.reads, after.writes - before.writes);
        writeln!(out, "{what}: {reads} reads, {writes} writes").expect("a string");
    };
    count("configuration without parts", &mut || {
        newest(&driver, &mut cache)
    });
    count("configuration with all parts", &mut || {
        newest(&driver, &mut cache)
    });
    let document = set_service(100, None, "s2", "v2");
    count("ticket of one service", &mut || {
        driver
            .file(&document, &mut cache)
            .now_or_never()
            .expect("no waits");
    });
    count("the same ticket again", &mut || {
        driver
            .file(&document, &mut cache)
            .now_or_never()
            .expect("no waits");
    });
    count("configuration after it", &mut || {
        newest(&driver, &mut cache)
    });

    let head = common::world::head(&platform);
    let mut lens: Vec<_> = head
        .digests()
        .map(|d| len(&platform, &parts::key(d)))
        .collect();
    lens.sort_unstable();
    let total: usize = lens.iter().sum();
    let largest = lens.last().copied().unwrap_or_default();
    let head = len(&platform, &head::key());
    writeln!(out, "head: {head} bytes").expect("a string");
    writeln!(
        out,
        "{} parts: {total} bytes, the largest {largest}",
        lens.len()
    )
    .expect("a string");
    insta::assert_snapshot!(out);
}
