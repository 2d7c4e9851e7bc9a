//! Lists of evacuated zones arrive late, twice, and from earlier eras of the store.

use knapweed_world::{Name, Revision, StoreEra, Time};
use knapweed_zone::evacuation::{EvacuationList, Evacuations, LOST_ENTRY_PERIOD, Learned};

fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

fn list(era: u64, number: u64, zones: &[&str]) -> EvacuationList {
    let revision = Revision::new(number).in_era(StoreEra(era));
    EvacuationList::new(revision, zones.iter().map(|zone| name(zone)).collect())
}

/// The zones in force, separated by spaces.
fn in_force(evacuations: &Evacuations) -> String {
    let zones: Vec<_> = evacuations.in_force().into_iter().collect();
    let zones: Vec<_> = zones.iter().map(Name::as_str).collect();
    zones.join(" ")
}

/// Guards against an evacuation that ends by a late message, or comes back by one after it was
/// withdrawn.
#[test]
fn later_revisions_hold() {
    let mut known = Evacuations::default();
    let now = Time(0);
    assert_eq!(known.learn(now, &list(0, 5, &["a"])), Learned::Changed);
    assert_eq!(known.learn(now, &list(0, 5, &["a"])), Learned::Unchanged);
    assert_eq!(known.learn(now, &list(0, 4, &[])), Learned::Outdated);
    assert_eq!(in_force(&known), "a");
    // Any change of the store raises the revision.
    assert_eq!(known.learn(now, &list(0, 9, &["a"])), Learned::Unchanged);
    assert_eq!(known.learn(now, &list(0, 8, &["b"])), Learned::Outdated);
    assert_eq!(known.learn(now, &list(0, 10, &[])), Learned::Changed);
    assert_eq!(known.learn(now, &list(0, 9, &["a"])), Learned::Outdated);
    assert_eq!(in_force(&known), "");
}

/// Guards against an evacuation that ends because the store has lost its entry, and against one
/// that never ends although the operator does not order it again.
#[test]
fn an_evacuation_outlasts_the_loss_of_its_entry() {
    let mut known = Evacuations::default();
    let now = Time(1_000_000);
    known.learn(now, &list(0, 50, &["a", "b"]));
    assert_eq!(known.learn(now, &list(1, 20, &["b"])), Learned::Changed);
    assert_eq!(in_force(&known), "a b");
    assert_eq!(known.learn(now, &list(0, 60, &[])), Learned::Outdated);
    assert!(!known.expire(now.after(LOST_ENTRY_PERIOD / 2)));
    assert!(known.expire(now.after(LOST_ENTRY_PERIOD)));
    assert_eq!(in_force(&known), "b");

    // The operator writes the entry again, and withdraws it.
    known.learn(now, &list(2, 5, &[]));
    known.learn(now, &list(2, 9, &["b"]));
    known.learn(now, &list(2, 12, &[]));
    assert!(!known.expire(now.after(LOST_ENTRY_PERIOD * 2)));
    assert_eq!(in_force(&known), "");
}
