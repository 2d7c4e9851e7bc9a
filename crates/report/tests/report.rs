//! Burn rates, alerts and the output formats of the report.

mod common;

use common::{example, history};
use knapweed_observe::History;
use knapweed_report::source::{Collected, Failure};
use knapweed_report::{Report, html, settings};

fn collected(histories: Vec<History>) -> Collected {
    let failures = vec![Failure {
        source: "127.0.0.1:8082".into(),
        reason: "could not ask: <refused>".into(),
    }];
    let collected = Collected {
        histories,
        failures,
    };
    collected.without_duplicates()
}

fn report(collected: &Collected) -> Report {
    let options = settings::load(&example()).expect("valid settings");
    Report::new(collected, &options)
}

/// Histories with a fault in one availability zone during the last 90 minutes.
fn faulty() -> Collected {
    collected(vec![
        history("labasa-a-1", "labasa-a", 0, 0, 0),
        history("labasa-b-1", "labasa-b", 90, 30, 40),
    ])
}

#[test]
fn a_long_fault_burns_fast_and_slowly() {
    let report = report(&faulty());
    insta::assert_snapshot!("text", report.to_string());
    insta::assert_json_snapshot!("json", report);
}

/// Guards against alerts for a fault that has only begun: its burn rate exceeds
/// the threshold in the short window, but not in the long one.
#[test]
fn a_short_fault_fires_no_alert() {
    let report = report(&collected(vec![history("a", "labasa-a", 3, 60, 0)]));
    assert!(!report.has_alerts(), "{report}");
    let short = report.services[0].burns[0].availability;
    assert!(short.expect("requests") > 14.4);
}

/// Guards against requests that count twice, from a saved history and from the
/// response of the same node.
#[test]
fn a_history_given_twice_counts_once() {
    let node = history("a", "labasa-a", 0, 0, 0);
    let once = report(&collected(vec![node.clone()]));
    let mut earlier = node.clone();
    earlier.until.0 -= 60_000;
    earlier.services[0].minutes.pop();
    assert_eq!(report(&collected(vec![node, earlier])), once);
}

/// Guards against pages that load external resources, include unescaped markup
/// of an error message or lack a plot.
#[test]
fn the_page_is_whole_without_other_files() {
    let collected = faulty();
    let page = html::page(&report(&collected), &collected.histories).expect("a page");
    for word in [
        "<script", "<img", "<link", "href=", "src=", "url(", "@import",
    ] {
        assert!(!page.contains(word), "{word}");
    }
    assert!(page.contains("&lt;refused&gt;"));
    assert_eq!(page.matches("<svg").count(), 1);
    let svg_start = page.find("<svg").expect("a plot");
    let svg_end = page.find("</svg>").expect("the end of the plot");
    let svg = &page[svg_start..svg_end];
    for label in [
        "burn rate",
        "availability",
        "latency",
        "minutes before the report",
    ] {
        assert!(svg.contains(label), "{label}");
    }
    let without_plot = format!("{}{}", &page[..svg_start], &page[svg_end..]);
    insta::assert_snapshot!("page", without_plot);
}
