//! Merging of host reports per availability zone.

use knapweed_node::control::reports::ReportAggregator;
use knapweed_rollout::counters::{LoadLevel, Sample, SeriesId, Warmth};
use knapweed_rollout::{Counters, HostReport, ZoneReport};
use knapweed_world::{Name, TicketNumber, Time};
use std::fmt::Write;

const WINDOW: std::time::Duration = std::time::Duration::from_secs(1);
const TICKET: TicketNumber = TicketNumber(3);

fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

/// A report of totals: `failures` requests of `version` failed, and one guard tripped.
fn report(host: &str, zone: &str, version: &str, sequence: u64, failures: usize) -> HostReport {
    let mut totals = Counters::default();
    let id = SeriesId {
        zone: name(zone),
        version: name(version),
        route: name("calendar"),
        load: LoadLevel::Low,
        warmth: Warmth::Warm,
    };
    let key = totals.key(&id).expect("room for a series");
    (0..failures).for_each(|_| totals.record(key, Sample::Failed));
    HostReport {
        ticket: TICKET,
        zone: name(zone),
        host: name(host),
        incarnation: 1,
        sequence,
        guard_trips: 1,
        totals,
    }
}

/// An aggregator for one service, whose windows end with each flush.
#[derive(Default)]
struct Holder {
    reports: ReportAggregator,
    windows: u64,
}

impl Holder {
    fn add(&mut self, report: HostReport) {
        self.reports.add(&name("calendar"), &report);
    }

    fn flush(&mut self, ticket: Option<TicketNumber>) -> Vec<(Name, ZoneReport)> {
        self.windows += 1;
        let now = Time::from_millis(self.windows * 1_000);
        self.reports.flush(now, WINDOW, &name("a1"), 7, |_| ticket)
    }

    /// Describes the reports that the next flush returns.
    fn flush_text(&mut self, ticket: Option<TicketNumber>) -> String {
        let mut out = String::new();
        for (service, report) in self.flush(ticket) {
            let ZoneReport {
                zone, guard_trips, ..
            } = &report;
            writeln!(out, "{service} {zone} trips {guard_trips}").expect("a string");
            for (id, series) in report.counters.iter() {
                writeln!(out, "  {} failures {}", id.version, series.failures).expect("a string");
            }
        }
        out
    }
}

/// Guards against a judge that never gets counts of the new and old versions in one
/// report, because each host runs only one of them. In a run of the demonstration, the
/// rollout of a version that failed half of its requests was completed for this reason.
#[test]
fn the_hosts_of_a_zone_give_one_report_with_all_versions() {
    let mut holder = Holder::default();
    holder.add(report("a1", "labasa-a", "v1", 1, 2));
    holder.add(report("a2", "labasa-a", "v2", 1, 3));
    holder.add(report("b1", "labasa-b", "v2", 1, 4));
    // A repeated report must not count twice.
    holder.add(report("a2", "labasa-a", "v2", 1, 3));
    insta::assert_snapshot!(holder.flush_text(Some(TICKET)));
    assert!(holder.flush(Some(TICKET)).is_empty());
}

/// Guards against requests that count twice or never when reports are lost, repeated or
/// reordered, and when a host restarts, which sets its totals back.
#[test]
fn what_a_report_adds_to_the_totals_of_its_host_is_counted() {
    let mut holder = Holder::default();
    let mut out = String::new();
    let steps: [(&str, Vec<HostReport>); 5] = [
        ("first", vec![report("a1", "labasa-a", "v2", 1, 2)]),
        ("second is lost", vec![report("a1", "labasa-a", "v2", 3, 5)]),
        (
            "reordered",
            vec![
                report("a1", "labasa-a", "v2", 5, 7),
                report("a1", "labasa-a", "v2", 4, 6),
            ],
        ),
        ("no change", vec![report("a1", "labasa-a", "v2", 6, 7)]),
        (
            "restarted",
            vec![
                HostReport {
                    incarnation: 2,
                    ..report("a1", "labasa-a", "v2", 1, 1)
                },
                report("a1", "labasa-a", "v2", 7, 9),
            ],
        ),
    ];
    for (title, reports) in steps {
        reports.into_iter().for_each(|report| holder.add(report));
        writeln!(out, "{title}:\n{}", holder.flush_text(Some(TICKET))).expect("a string");
    }
    insta::assert_snapshot!(out);
}

/// Guards against totals that arrive at a new holder before it knows the rollout, and are
/// lost, so that it judges without them (EXPOSURE).
#[test]
fn reports_are_kept_until_the_rollout_is_known() {
    let mut holder = Holder::default();
    holder.add(report("a1", "labasa-a", "v2", 1, 4));
    assert!(holder.flush(None).is_empty());
    assert!(holder.flush(Some(TicketNumber(TICKET.0 - 1))).is_empty());
    insta::assert_snapshot!(holder.flush_text(Some(TICKET)));
}

/// Guards against counts of an earlier rollout that are judged in the current one.
#[test]
fn reports_about_an_earlier_rollout_are_dropped() {
    let mut holder = Holder::default();
    holder.add(report("a1", "labasa-a", "v2", 1, 4));
    let next = TicketNumber(TICKET.0 + 1);
    assert!(holder.flush(Some(next)).is_empty());
    assert!(holder.flush(Some(TICKET)).is_empty());
    let service = name("calendar");
    assert!(!holder.reports.has_reported(&service, next, &name("a1")));
    holder.add(HostReport {
        ticket: next,
        ..report("a1", "labasa-a", "v3", 2, 1)
    });
    holder.add(report("a2", "labasa-a", "v2", 1, 4));
    insta::assert_snapshot!(holder.flush_text(Some(next)));
    assert!(holder.reports.has_reported(&service, next, &name("a1")));
}
