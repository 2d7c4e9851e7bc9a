//! Registration of a starting host in the object store.

use knapweed_node::control::registry::{Entry, contacts, try_register};
use knapweed_store::MemoryStore;
use knapweed_world::Name;
use knapweed_zone::Incarnation;
use std::collections::BTreeMap;
use std::fmt::Write;

const HOSTS_PER_ZONE: usize = 24;
const ZONES: usize = 8;

fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

/// The entry of one of [`HOSTS_PER_ZONE`] hosts in each of [`ZONES`] zones of two regions.
fn entry(host: usize) -> (Name, Entry) {
    let zone = host % ZONES;
    let entry = Entry {
        address: ([10, zone as u8, 0, (host / ZONES) as u8], 7_600).into(),
        zone: name(&format!("zone-{zone}")),
        region: name(&format!("region-{}", zone % 2)),
        incarnation: Incarnation(host as u64),
    };
    (name(&format!("host-{host}")), entry)
}

fn hosts() -> Vec<(Name, Entry)> {
    (0..HOSTS_PER_ZONE * ZONES).map(entry).collect()
}

/// Guards against store calls of restarted hosts that grow with what they already have in
/// the store, and against a host that stays unknown after it has moved.
#[tokio::test]
async fn a_restarted_host_reads_the_registry_and_writes_nothing() {
    let store = MemoryStore::new();
    let mut out = String::new();
    let mut register = async |label: &str, (host, entry): (Name, Entry)| {
        let before = store.calls();
        let listing = try_register(&store, &host, &entry)
            .await
            .expect("a listing");
        let calls = store.calls();
        let (reads, writes) = (calls.reads - before.reads, calls.writes - before.writes);
        let known = listing.objects.len();
        writeln!(
            out,
            "{label}: {reads} reads, {writes} writes, {known} hosts"
        )
        .expect("a string");
    };
    register("first host", entry(0)).await;
    register("second host", entry(1)).await;
    let (host, mut restarted) = entry(1);
    restarted.incarnation = Incarnation(77);
    register("second host, restarted", (host.clone(), restarted.clone())).await;
    restarted.address.set_port(7_601);
    register("second host, at another address", (host, restarted)).await;
    insta::assert_snapshot!(out);
}

/// Guards against hundreds of starting hosts that each ask hosts of every zone of both
/// regions for all records: 24 at most before, half of them across the region link.
#[test]
fn a_starting_host_contacts_few_others() {
    let (_, own) = entry(0);
    let entries = hosts().into_iter().map(|(_, entry)| entry);
    let others: Vec<_> = entries.filter(|e| e.address != own.address).collect();
    let chosen = contacts(others, &own.zone, &own.region);
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for address in chosen {
        let hosts = hosts();
        let of_host = hosts.iter().find(|(_, e)| e.address == address);
        let (_, entry) = of_host.expect("a registered host");
        let place = match (entry.zone == own.zone, entry.region == own.region) {
            (true, _) => "own zone".to_owned(),
            (false, true) => entry.zone.to_string(),
            (false, false) => entry.region.to_string(),
        };
        *counts.entry(place).or_default() += 1;
    }
    insta::assert_debug_snapshot!(counts);
}
