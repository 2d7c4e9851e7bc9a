//! Versions from which the first rollout of a service moves its traffic.

use insta::assert_snapshot;
use knapweed_node::control::versions::{EstablishedVersions, ReadyServer};
use knapweed_world::{Name, UnixMillis};
use std::fmt::Write;

const SERVICE: &str = "calendar";
const TARGET: &str = "v4";

fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

/// A version with the start of its first server, in milliseconds.
type Version = (&'static str, Option<u64>);

/// The shares before a rollout to [`TARGET`], by a node that has found the versions in `first`
/// at a time, and then those in `later`.
fn shares_before(first: &[Version], at: u64, later: &[Version]) -> String {
    let service = name(SERVICE);
    let names: Vec<_> = first.iter().chain(later).map(|(v, _)| name(v)).collect();
    let all = first.iter().chain(later).zip(&names);
    let servers: Vec<_> = all
        .map(|((_, started), version)| ReadyServer {
            service: &service,
            started: started.map(UnixMillis),
            version,
        })
        .collect();
    let mut established = EstablishedVersions::default();
    established.refresh(UnixMillis(at), servers[..first.len()].iter().copied());
    established.refresh(UnixMillis(at + 1_000), servers.iter().copied());
    let shares = established.shares_before(&service, &name(TARGET), servers.iter().copied());
    let text = shares.iter().map(|s| format!("{} {}", s.version, s.share));
    text.collect::<Vec<_>>().join(", ")
}

/// Guards against traffic for versions that never had any: the servers of orders that were
/// replaced before a holder had read them counted as old ones. A version with a fault got up
/// to half of the traffic without a test, and the last step needed the capacity of all of them.
#[test]
fn servers_of_replaced_orders_have_no_traffic_before_the_first_rollout() {
    let start = Some(1_000);
    let (replaced, newer) = (("v2", Some(60_000)), ("v3", Some(70_000)));
    let target = (TARGET, Some(80_000));
    let views: [(&str, &[Version], u64, &[Version]); 9] = [
        ("one version", &[("v1", start)], 2_000, &[target]),
        (
            "there before the orders",
            &[("v1", start)],
            2_000,
            &[replaced, newer, target],
        ),
        (
            "started with the orders",
            &[("v1", start), replaced, newer, target],
            81_000,
            &[],
        ),
        (
            "found a replaced one first",
            &[replaced],
            81_000,
            &[("v1", start), newer, target],
        ),
        (
            "found the target first",
            &[target],
            81_000,
            &[("v1", start), replaced],
        ),
        (
            "first servers restarted",
            &[("v1", Some(75_000))],
            2_000,
            &[replaced, newer],
        ),
        (
            "two from the beginning",
            &[("v0", start), ("v1", start)],
            2_000,
            &[newer, target],
        ),
        (
            "unknown starts, before",
            &[("v1", None)],
            2_000,
            &[("v2", None), (TARGET, None)],
        ),
        (
            "unknown starts, after",
            &[("v1", None), ("v2", None), (TARGET, None)],
            81_000,
            &[],
        ),
    ];
    let mut out = String::new();
    for (title, first, at, later) in views {
        writeln!(out, "{title}: {}", shares_before(first, at, later)).expect("a string");
    }
    assert_snapshot!(out);
}
