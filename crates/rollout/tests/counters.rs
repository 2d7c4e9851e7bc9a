//! Tests of counters and histograms: merging, size limits and repeated reports.

mod common;

use common::name;
use knapweed_rollout::counters::{Counters, LoadLevel, MAX_SERIES, Sample, SeriesId, Warmth};
use knapweed_rollout::report::{ReportFilter, ZONE_REPORT_TIMEOUT};
use knapweed_rollout::{Histogram, ZoneReport};
use knapweed_world::Time;
use proptest::prelude::*;

fn id(zone: u16, route: u16, version: bool) -> SeriesId {
    SeriesId {
        zone: name(&format!("z{zone}")),
        version: name(if version { "v2" } else { "v1" }),
        route: name(&format!("r{route:03}")),
        load: LoadLevel::Low,
        warmth: Warmth::Warm,
    }
}

fn record(counters: &mut Counters, id: &SeriesId, sample: Sample) {
    if let Some(key) = counters.key(id) {
        counters.record(key, sample);
    }
}

prop_compose! {
    fn any_counters()(
        samples in prop::collection::vec((0u16..2, 0u16..4, any::<bool>(), 0u64..200_000), 0..20)
    ) -> Counters {
        let mut counters = Counters::default();
        for (zone, route, version, latency_us) in samples {
            let sample = if latency_us < 1_000 {
                Sample::Failed
            } else {
                Sample::Succeeded { latency_us }
            };
            record(&mut counters, &id(zone, route, version), sample);
        }
        counters
    }
}

/// Counters with `count` routes from number `first` on, for merges that exceed
/// [`MAX_SERIES`].
fn counters_with_routes(first: u16, count: u16) -> Counters {
    let mut counters = Counters::default();
    for route in first..first + count {
        record(&mut counters, &id(0, route, false), Sample::Failed);
    }
    counters
}

fn merged(a: &Counters, b: &Counters) -> Counters {
    let mut sum = a.clone();
    sum.merge(b);
    sum
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    /// Guards against counts that depend on the order in which egresses report.
    #[test]
    fn the_merge_is_commutative_and_associative(
        a in any_counters(), b in any_counters(), c in any_counters()
    ) {
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
        prop_assert_eq!(merged(&a, &b).requests(), a.requests() + b.requests());
    }

    /// Guards against counters that change when they are serialized for rollout
    /// control.
    #[test]
    fn counters_survive_json(a in any_counters()) {
        let text = serde_json::to_string(&a).expect("serializable");
        prop_assert_eq!(serde_json::from_str::<Counters>(&text).expect("readable"), a);
    }

    /// Guards against buckets that overlap or leave gaps.
    #[test]
    fn slower_requests_are_never_in_a_lower_bucket(a in 0u64..20_000_000, b in 0u64..20_000_000) {
        let bucket = |us| {
            let mut h = Histogram::default();
            h.record(us);
            h.tail_bucket(1.0)
        };
        let last = |us| {
            let mut h = Histogram::default();
            h.record(us);
            (0..=68).rev().find(|i| h.count_from(*i) == 1)
        };
        prop_assert_eq!(bucket(a), 0);
        prop_assert!(a > b || last(a) <= last(b));
    }
}

proptest! {
    // Each case merges several hundred series six times.
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(64) })]

    /// Guards against an eviction of series that makes the result depend on the
    /// order of the merges.
    #[test]
    fn the_merge_is_associative_above_the_bound(a in 0u16..200, b in 0u16..300, c in 0u16..400) {
        let [a, b, c] = [a, b, c].map(|first| counters_with_routes(first, 150));
        let left = merged(&merged(&a, &b), &c);
        prop_assert!(left.iter().count() <= MAX_SERIES);
        prop_assert_eq!(left.requests(), 450);
        prop_assert_eq!(&left, &merged(&a, &merged(&b, &c)));
    }
}

fn report(relay: &str, incarnation: u64, sequence: u64) -> ZoneReport {
    ZoneReport {
        zone: name("z0"),
        relay: name(relay),
        incarnation,
        sequence,
        guard_trips: 0,
        counters: Counters::default(),
    }
}

/// Guards against counts that are added twice when a report is repeated.
#[test]
fn repeated_and_late_reports_are_refused() {
    let mut filter = ReportFilter::default();
    let mut accept = |r: ZoneReport| filter.accept(&r, Time(0));
    assert!(accept(report("a", 1, 1)));
    assert!(!accept(report("a", 1, 1)));
    assert!(accept(report("a", 1, 3)));
    assert!(!accept(report("a", 1, 2)));
    assert!(accept(report("a", 2, 1)), "a restarted relay counts anew");
    assert!(accept(report("b", 1, 1)), "another relay counts for itself");
}

#[test]
fn a_zone_is_unreachable_after_its_silence() {
    let mut filter = ReportFilter::default();
    assert!(!filter.is_reachable(&name("z0"), Time(0)));
    filter.accept(&report("a", 1, 1), Time(0));
    assert!(filter.is_reachable(&name("z0"), Time(0).after(ZONE_REPORT_TIMEOUT)));
    let later = Time(1).after(ZONE_REPORT_TIMEOUT);
    filter.accept(&report("a", 1, 1), later);
    assert!(
        !filter.is_reachable(&name("z0"), later),
        "a repeated report proves nothing"
    );
}
