//! The slot table follows the members without giving up history early.

use knapweed_host::ledger::plan::{Candidate, Members, plan};
use knapweed_host::ledger::table::{Epoch, Member, Row, Slot, SlotTable};
use knapweed_world::Name;
use std::collections::BTreeMap;
use std::fmt::Write;

fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

fn candidate(host: &str, zone: &str, region: &str) -> Candidate {
    let host = name(host);
    Candidate {
        member: Member {
            host,
            incarnation: 1,
        },
        zone: name(zone),
        region: name(region),
    }
}

fn mesh() -> Vec<Candidate> {
    let mut all = Vec::new();
    for (zone, region) in [
        ("labasa-a", "labasa"),
        ("labasa-b", "labasa"),
        ("savusavu-a", "savusavu"),
        ("savusavu-b", "savusavu"),
    ] {
        all.extend((1..=4).map(|n| candidate(&format!("{zone}-{n}"), zone, region)));
    }
    all
}

fn next(table: &SlotTable, alive: &[Candidate], stopped: &[Member]) -> Option<SlotTable> {
    let has_stopped = |m: &Member| stopped.contains(m);
    let has_stopped = &has_stopped;
    plan(table, Members { alive, has_stopped })
}

fn first() -> SlotTable {
    next(&SlotTable::default(), &mesh(), &[]).expect("a first table")
}

fn without(hosts: &[&Name]) -> Vec<Candidate> {
    let mut alive = mesh();
    alive.retain(|c| !hosts.contains(&&c.member.host));
    alive
}

fn zone_of(member: &Member) -> &str {
    let host = member.host.as_str();
    &host[..host.len() - 2]
}

/// Guards against owner and deputy in one availability zone or in two regions,
/// and against a host that decides on most keys.
#[test]
fn the_first_table_is_spread() {
    let table = first();
    let mut counts: BTreeMap<(&str, &str), u32> = BTreeMap::new();
    let mut per_host: BTreeMap<&Name, u32> = BTreeMap::new();
    for (_, row) in table.slots() {
        *counts
            .entry((zone_of(&row.owner), zone_of(&row.deputy)))
            .or_default() += 1;
        *per_host.entry(&row.owner.host).or_default() += 1;
    }
    let mut out = String::new();
    for ((owner, deputy), n) in counts {
        writeln!(out, "owner {owner}, deputy {deputy}: {n}").expect("a string");
    }
    insta::assert_snapshot!(out);
    assert!(
        per_host.values().all(|n| (4..=40).contains(n)),
        "{per_host:?}"
    );
    assert_eq!(next(&table, &mesh(), &[]), None);
}

fn changes(before: &SlotTable, after: &SlotTable) -> Vec<(Row, Row)> {
    let rows = before.rows.iter().cloned().zip(after.rows.iter().cloned());
    rows.filter(|(a, b)| a != b).collect()
}

/// Guards against slots that lose their history with one host, and against
/// changes to slots that have nothing to do with it.
#[test]
fn a_lost_host_is_replaced_in_its_slots_only() {
    let before = first();
    let lost = before.rows[0].owner.clone();
    let after = next(&before, &without(&[&lost.host]), &[]).expect("changes");
    for (old, new) in changes(&before, &after) {
        assert_eq!(new.epoch, old.epoch.next());
        assert_ne!(zone_of(&new.owner), zone_of(&new.deputy));
        if old.owner == lost {
            assert_eq!((&new.owner, new.owner_since), (&old.deputy, new.epoch));
        } else {
            assert_eq!(old.deputy, lost);
            assert_eq!((&new.owner, new.owner_since), (&old.owner, Epoch::FIRST));
        }
    }
    let concerned = before
        .rows
        .iter()
        .filter(|r| r.owner == lost || r.deputy == lost);
    assert_eq!(changes(&before, &after).len(), concerned.count());
}

/// Guards against a second owner beside a pair that is only cut off (H7, F9).
#[test]
fn both_are_replaced_only_when_both_are_known_to_have_stopped() {
    let before = first();
    let row = before.row(Slot(0)).expect("a row").clone();
    let alive = without(&[&row.owner.host, &row.deputy.host]);
    let kept = next(&before, &alive, std::slice::from_ref(&row.owner)).expect("other slots change");
    assert_eq!(kept.rows[0], row);
    let stopped = [row.owner.clone(), row.deputy.clone()];
    let replaced = next(&before, &alive, &stopped).expect("changes");
    assert_eq!(replaced.rows[0].owner_since, row.epoch.next());
    // Restarted hosts prove that the earlier incarnations have stopped.
    let mut restarted = mesh();
    restarted.iter_mut().for_each(|c| c.member.incarnation = 2);
    let replaced = next(&before, &restarted, &[]).expect("changes");
    assert!(replaced.rows.iter().all(|r| r.owner.incarnation == 2));
}

/// Guards against slots without a deputy while an availability zone is down,
/// and against deputies that stay beside their owner afterwards.
#[test]
fn deputies_move_back_after_the_loss_of_an_availability_zone() {
    let before = first();
    let mut alive = mesh();
    alive.retain(|c| c.zone != name("labasa-b"));
    let during = next(&before, &alive, &[]).expect("changes");
    for row in &during.rows {
        assert_ne!(row.owner.host, row.deputy.host);
        assert!(alive.iter().any(|c| c.member == row.deputy));
    }
    let after = next(&during, &mesh(), &[]).expect("changes");
    assert!(
        after
            .rows
            .iter()
            .all(|r| zone_of(&r.owner) != zone_of(&r.deputy))
    );
    assert_eq!(next(&after, &mesh(), &[]), None);
}

#[test]
fn without_two_hosts_nothing_is_planned() {
    assert_eq!(next(&SlotTable::default(), &[], &[]), None);
    assert_eq!(next(&SlotTable::default(), &mesh()[..1], &[]), None);
}
