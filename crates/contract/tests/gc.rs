//! Unused parts are deleted after a grace period, at a bounded rate, and never while
//! a filing process needs them.

use knapweed_contract::gc::{GRACE_PERIOD, MAX_DELETIONS_PER_S, PartCollector};
use knapweed_contract::{Digest, Head, parts};
use knapweed_store::{ObjectKey, Revision};
use knapweed_world::Time;
use std::time::Duration;

fn listed(count: u64) -> Vec<(ObjectKey, Revision)> {
    let part = |i: u64| parts::key(&Digest::of(&i.to_le_bytes()));
    (0..count)
        .map(|i| (part(i), Revision::new(i + 1)))
        .collect()
}

#[test]
fn parts_are_deleted_after_the_grace_time_at_a_bounded_rate() {
    let (mut collector, head) = (PartCollector::default(), Head::default());
    let (listed, now) = (listed(25), Time::default());
    let mut count = |listed: &[_], now| {
        collector
            .observe(listed, &head, Revision::new(100), now)
            .len()
    };
    assert_eq!(count(&listed, now), 0);
    assert_eq!(
        count(&listed, now.after(GRACE_PERIOD - Duration::from_millis(1))),
        0
    );
    assert_eq!(count(&listed, now.after(GRACE_PERIOD)), MAX_DELETIONS_PER_S);
    assert_eq!(count(&listed[20..], now.after(GRACE_PERIOD)), 5);
}

/// Guards against the deletion of parts that a paused filing process wrote and to
/// which the head that it writes next refers.
#[test]
fn parts_newer_than_the_head_stay() {
    let (mut collector, head) = (PartCollector::default(), Head::default());
    let listed = listed(3);
    collector.observe(&listed, &head, Revision::new(2), Time::default());
    let due = collector.observe(
        &listed,
        &head,
        Revision::new(2),
        Time::default().after(GRACE_PERIOD),
    );
    let revisions: Vec<_> = due.iter().map(|d| d.revision.number).collect();
    assert_eq!(revisions, [1]);
}

/// Guards against a grace period that continues while a part is used or after it is
/// written again.
#[test]
fn use_and_rewriting_start_the_grace_time_again() {
    let (mut collector, unused) = (PartCollector::default(), Head::default());
    let mut listed = listed(2);
    let mut used = Head::default();
    used.routes.insert(0, Digest::of(&0_u64.to_le_bytes()));
    let now = Time::default();
    let later = now.after(GRACE_PERIOD);
    collector.observe(&listed, &unused, Revision::new(100), now);
    listed[1].1 = Revision::new(50);
    assert_eq!(
        collector.observe(&listed, &used, Revision::new(100), later),
        []
    );
    assert_eq!(
        collector.observe(&listed, &unused, Revision::new(100), later),
        []
    );
    let due = collector.observe(
        &listed,
        &unused,
        Revision::new(100),
        later.after(GRACE_PERIOD),
    );
    assert_eq!(due.len(), 2);
}
