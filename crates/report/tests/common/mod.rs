//! Generated histories of nodes.
#![allow(missing_docs, unreachable_pub, dead_code)]

use knapweed_observe::History;
use knapweed_observe::history::{Bucket, Change, ChangeKind, ServiceHistory};
use knapweed_world::config::VersionShare;
use knapweed_world::service_counters::LATENCY_BOUNDS_US;
use knapweed_world::{ConfigVersion, Name, Share, UnixMillis};
use std::path::{Path, PathBuf};

/// End of the histories in seconds since the Unix epoch, on a minute boundary.
pub const UNTIL_S: u32 = 1_780_000_020;
/// Requests per minute.
const RATE: u32 = 600;
/// Length of the histories, in minutes.
const MINUTES: u32 = 480;

pub fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

pub fn example() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../etc/report.ini")
}

/// Builds the history of a node that has `bad` failures and `slow` slow responses
/// in each of the last `bad_minutes` minutes.
pub fn history(host: &str, zone: &str, bad_minutes: u32, bad: u32, slow: u32) -> History {
    let minute = |ago: u32| {
        let is_bad = ago <= bad_minutes;
        let (bad, slow) = if is_bad { (bad, slow) } else { (0, 0) };
        bucket(UNTIL_S - ago * 60, RATE, bad, slow)
    };
    let service = |service: &str| ServiceHistory {
        service: name(service),
        // All requests of a minute end in its first second.
        seconds: (1..=10).rev().map(minute).collect(),
        minutes: (1..=MINUTES).rev().map(minute).collect(),
    };
    History {
        host: name(host),
        zone: name(zone),
        since: at(MINUTES),
        until: at(0),
        latency_bounds_us: LATENCY_BOUNDS_US.to_vec(),
        services: vec![service("calendar")],
        services_left_out: 0,
        changes: changes(),
    }
}

fn at(minutes_ago: u32) -> UnixMillis {
    UnixMillis(u64::from(UNTIL_S - minutes_ago * 60) * 1_000)
}

/// Builds a bucket in which half of the bad requests are server errors; the
/// others did not run.
fn bucket(start_s: u32, requests: u32, bad: u32, slow: u32) -> Bucket {
    let answered = requests - bad / 2;
    let mut latency = [0; 11];
    latency[2] = answered - slow;
    latency[7] = slow;
    Bucket {
        start_s,
        answered,
        server_errors: bad - bad / 2,
        not_run: bad / 2,
        unknown: 0,
        latency,
    }
}

fn changes() -> Vec<Change> {
    let shares = |old: u8| ChangeKind::Shares {
        service: name("calendar"),
        shares: [("v1", old), ("v2", 100 - old)]
            .map(|(version, percent)| VersionShare {
                version: name(version),
                share: Share::from_percent(percent),
            })
            .to_vec(),
    };
    let version = ConfigVersion(42);
    let change = |minutes_ago, kind| Change {
        at: at(minutes_ago),
        kind,
    };
    vec![
        change(95, ChangeKind::Version { version }),
        change(90, shares(95)),
        change(45, shares(75)),
    ]
}
