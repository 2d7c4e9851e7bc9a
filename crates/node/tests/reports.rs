//! Merging of host reports per availability zone.

use knapweed_node::control::reports::ReportAggregator;
use knapweed_rollout::counters::{LoadLevel, Sample, SeriesId, Warmth};
use knapweed_rollout::{Counters, ZoneReport};
use knapweed_world::{Name, Time};
use std::fmt::Write;

const WINDOW: std::time::Duration = std::time::Duration::from_secs(1);

fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

fn report(host: &str, zone: &str, version: &str, sequence: u64, failures: usize) -> ZoneReport {
    let mut counters = Counters::default();
    let id = SeriesId {
        zone: name(zone),
        version: name(version),
        route: name("calendar"),
        load: LoadLevel::Low,
        warmth: Warmth::Warm,
    };
    let key = counters.key(&id).expect("room for a series");
    (0..failures).for_each(|_| counters.record(key, Sample::Failed));
    ZoneReport {
        zone: name(zone),
        relay: name(host),
        incarnation: 1,
        sequence,
        guard_trips: 1,
        counters,
    }
}

/// Guards against a judge that never gets counts of the new and old versions in one
/// report, because each host runs only one of them. In a run of the demonstration, the
/// rollout of a version that failed half of its requests was completed for this reason.
#[test]
fn the_hosts_of_a_zone_give_one_report_with_all_versions() {
    let service = name("calendar");
    let mut reports = ReportAggregator::default();
    reports.add(&service, &report("a1", "labasa-a", "v1", 1, 2));
    reports.add(&service, &report("a2", "labasa-a", "v2", 1, 3));
    reports.add(&service, &report("b1", "labasa-b", "v2", 1, 4));
    // A repeated report must not count twice.
    reports.add(&service, &report("a2", "labasa-a", "v2", 1, 3));
    let mut out = String::new();
    for (service, report) in reports.flush(Time::from_millis(1_000), WINDOW, &name("a1"), 7) {
        writeln!(
            out,
            "{service} {} trips {}",
            report.zone, report.guard_trips
        )
        .expect("a string");
        for (id, series) in report.counters.iter() {
            writeln!(out, "  {} failures {}", id.version, series.failures).expect("a string");
        }
    }
    insta::assert_snapshot!(out);
    assert!(
        reports
            .flush(Time::from_millis(1_500), WINDOW, &name("a1"), 7)
            .is_empty()
    );
}
