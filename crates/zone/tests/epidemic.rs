//! Dissemination of a replicated set over several availability zones.

use knapweed_world::snapshot::HostEntry;
use knapweed_world::{Name, Time};
use knapweed_zone::epidemic::Origin;
use knapweed_zone::{Directory, Epidemic, Incarnation, MemberRecord};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::fmt::Write;
use std::net::SocketAddr;

/// Interval at which the nodes push and compare, in milliseconds.
const TICK_MS: u64 = 100;
/// Time within which every node must have a new entry, in milliseconds.
const BOUND_MS: u64 = 4_000;

fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node / 200) as u8, (node % 200) as u8], 7_000))
}

fn record(node: usize, zones: usize) -> MemberRecord {
    let zone = node % zones;
    let entry = HostEntry {
        name: name(&format!("host-{node}")),
        zone: name(&format!("zone-{zone}")),
        region: name(&format!("region-{}", zone % 2)),
        address: address(node),
        announcements: Vec::new(),
    };
    MemberRecord::new(entry, Incarnation(1))
}

/// How the network treats the entry.
struct Scenario {
    nodes: usize,
    zones: usize,
    /// Probability that a push or a comparison is lost.
    loss: f64,
    /// Zone that nothing enters or leaves during the first second.
    cut_zone: Option<usize>,
}

/// Runs until every node has the entry; returns the time in milliseconds.
fn run(scenario: &Scenario, seed: u64) -> u64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let records: Vec<_> = (0..scenario.nodes)
        .map(|node| record(node, scenario.zones))
        .collect();
    let mut directory = Directory::default();
    for record in &records {
        directory.merge(Time(0), record);
    }
    let mut peers: Vec<_> = (0..scenario.nodes)
        .map(|node| Epidemic::new(Time(0), SmallRng::seed_from_u64(seed ^ node as u64)))
        .collect();
    let nodes: HashMap<_, _> = (0..scenario.nodes).map(|n| (address(n), n)).collect();
    let mut has_entry = vec![false; scenario.nodes];
    let mut new = vec![(0, Origin::Local)];
    has_entry[0] = true;
    for at in (0..).step_by(TICK_MS as usize) {
        if has_entry.iter().all(|has| *has) {
            return at;
        }
        let now = Time::from_millis(at);
        let mut sends = Vec::new();
        for (node, origin) in std::mem::take(&mut new) {
            let receivers = peers[node].receivers(now, &directory, &records[node], origin);
            sends.extend(receivers.into_iter().map(|to| (node, to)));
        }
        for node in (0..scenario.nodes).filter(|n| has_entry[*n]) {
            let receivers = peers[node].repair(now, &directory, &records[node]);
            sends.extend(receivers.into_iter().map(|to| (node, to)));
        }
        for (from, to) in sends {
            let to = nodes[&to];
            let zones = (from % scenario.zones, to % scenario.zones);
            let is_cut = at < 1_000
                && zones.0 != zones.1
                && scenario
                    .cut_zone
                    .is_some_and(|z| z == zones.0 || z == zones.1);
            if !is_cut && !rng.random_bool(scenario.loss) && !has_entry[to] {
                has_entry[to] = true;
                new.push((to, Origin::Peer));
            }
        }
    }
    unreachable!("the loop ends when every node has the entry")
}

/// Guards against nodes that never learn of an entry because they are in another zone, or
/// because the one push that would have reached them was lost.
#[test]
fn an_entry_reaches_every_node_in_time() {
    let scenarios = [
        (
            "90 nodes",
            Scenario {
                nodes: 90,
                zones: 6,
                loss: 0.0,
                cut_zone: None,
            },
        ),
        (
            "90 nodes, 30% lost",
            Scenario {
                nodes: 90,
                zones: 6,
                loss: 0.3,
                cut_zone: None,
            },
        ),
        (
            "90 nodes, one zone cut off",
            Scenario {
                nodes: 90,
                zones: 6,
                loss: 0.0,
                cut_zone: Some(3),
            },
        ),
        (
            "12 nodes, 30% lost",
            Scenario {
                nodes: 12,
                zones: 4,
                loss: 0.3,
                cut_zone: None,
            },
        ),
        (
            "1,400 nodes",
            Scenario {
                nodes: 1_400,
                zones: 10,
                loss: 0.0,
                cut_zone: None,
            },
        ),
    ];
    let mut out = String::new();
    for (label, scenario) in scenarios {
        let seeds = if scenario.nodes > 100 { 3 } else { 20 };
        let mut times: Vec<_> = (0..seeds).map(|seed| run(&scenario, seed)).collect();
        times.sort_unstable();
        writeln!(
            out,
            "{label}: median {} ms, worst {} ms",
            times[times.len() / 2],
            times[times.len() - 1]
        )
        .expect("a string");
        assert!(times[times.len() - 1] <= BOUND_MS, "{out}");
    }
    insta::assert_snapshot!(out);
}

/// Guards against frequent comparisons for as long as entries are kept, and against most of
/// them leaving the zone.
#[test]
fn comparisons_are_rare_while_nothing_changes() {
    let records: Vec<_> = (0..12).map(|node| record(node, 4)).collect();
    let mut directory = Directory::default();
    for record in &records {
        directory.merge(Time(0), record);
    }
    let mut peers = Epidemic::new(Time(0), SmallRng::seed_from_u64(1));
    let (mut own_zone, mut other_zones) = (0, 0);
    for at in (0..60_000).step_by(TICK_MS as usize) {
        for to in peers.repair(Time::from_millis(at), &directory, &records[0]) {
            let is_own = records
                .iter()
                .any(|r| r.address == to && r.zone == records[0].zone);
            match is_own {
                true => own_zone += 1,
                false => other_zones += 1,
            }
        }
    }
    insta::assert_snapshot!(format!(
        "60 s: {own_zone} in the own zone, {other_zones} in others"
    ));
}

/// Guards against repairs that mostly cross the billed links between zones and regions, and
/// against a zone that no repair reaches.
#[test]
fn repairs_of_pushed_entries_stay_mostly_in_their_zone() {
    const ROUNDS: u64 = 2_000;
    let mut out = String::new();
    for (nodes, zones) in [(1, 1), (8, 8), (12, 4), (192, 8)] {
        let records: Vec<_> = (0..nodes).map(|node| record(node, zones)).collect();
        let mut directory = Directory::default();
        for record in &records {
            directory.merge(Time(0), record);
        }
        let own = &records[0];
        let mut peers = Epidemic::new(Time(0), SmallRng::seed_from_u64(1));
        let (mut sent, mut remote) = (0, 0);
        for _ in 0..ROUNDS {
            let Some(to) = peers.repair_receiver(&directory, own) else {
                continue;
            };
            let receiver = records.iter().find(|r| r.address == to).expect("a member");
            sent += 1;
            remote += u64::from(receiver.zone != own.zone);
        }
        let of_zone = remote * nodes as u64 / zones as u64;
        let per_round = of_zone as f64 / ROUNDS as f64;
        writeln!(
            out,
            "{nodes} nodes in {zones} zones: {sent} of {ROUNDS} sent, \
             {per_round:.1} to other zones by a zone in a round"
        )
        .expect("a string");
    }
    insta::assert_snapshot!(out);
}
