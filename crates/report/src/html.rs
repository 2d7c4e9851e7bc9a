//! Renders the report as one self-contained HTML page.

use crate::Report;
use crate::plot::{self, Error};
use crate::report::ServiceReport;
use crate::text::format_rate;
use knapweed_contract::timestamp::format as time;
use knapweed_observe::History;
use std::fmt::Write;

const STYLE: &str = "body{font:15px/1.5 sans-serif;max-width:900px;margin:2em auto;padding:0 1em;color:#222}\
table{border-collapse:collapse;margin:.5em 0}td,th{border:1px solid #ccc;padding:.2em .6em;text-align:right}\
td:first-child,th:first-child{text-align:left}.alert{background:#fbe3e3;border-left:4px solid #aa1e1e;padding:.3em .6em}\
svg{max-width:100%;height:auto}";

const LEGEND: &str = "Burn rates are averages over 5 minutes; 1 spends exactly the budget \
by the end of its period. Red: limits of the alerts (6 and 14.4). Vertical lines: \
configuration versions (grey) and changed shares of a rollout (green).";

/// Renders the page of `report`, with plots of `histories`.
///
/// # Errors
///
/// Fails when a plot cannot be drawn.
pub fn page(report: &Report, histories: &[History]) -> Result<String, Error> {
    let mut out = Page::new();
    out.line(&format!(
        "<h1>Service levels at {}</h1>",
        time(report.until)
    ));
    let (nodes, zones) = (report.nodes.len(), report.zones());
    out.line(&format!(
        "<p>Nodes: {nodes}, availability zones: {zones}, history since {}, budget period: {} days.</p>",
        time(report.since),
        report.budget_days
    ));
    for failure in &report.failures {
        let text = format!("no history of {}: {}", failure.source, failure.reason);
        out.line(&format!("<p class=\"alert\">{}</p>", escape(&text)));
    }
    out.line(&format!("<p>{LEGEND}</p>"));
    for service in &report.services {
        out.service(service);
        if let Some(objective) = &service.objective {
            let svg = plot::draw(report, histories, &service.service, objective)?;
            out.line(&svg);
        }
    }
    out.changes(report);
    Ok(out.finish())
}

/// An HTML document under construction.
struct Page(String);

impl Page {
    fn new() -> Self {
        Self(format!(
            "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n\
             <title>Service levels</title>\n<style>{STYLE}</style>\n</head>\n<body>\n"
        ))
    }

    fn line(&mut self, html: &str) {
        writeln!(self.0, "{html}").expect("writing to a string cannot fail");
    }

    fn service(&mut self, service: &ServiceReport) {
        let objective = match &service.objective {
            Some(objective) => objective.to_string(),
            None => "no objective".to_owned(),
        };
        let name = escape(service.service.as_str());
        self.line(&format!("<h2>{name}</h2>\n<p>{objective}</p>"));
        for alert in &service.alerts {
            self.line(&format!("<p class=\"alert\">{alert}</p>"));
        }
        self.burns(service);
        self.zones(service);
    }

    fn burns(&mut self, service: &ServiceReport) {
        let titles = ["window", "requests", "bad", "burn", "slow", "burn"];
        self.row("th", &titles.map(str::to_owned), "<table>");
        for burn in &service.burns {
            let cells = [
                burn.window.name.to_owned(),
                burn.tally.requests().to_string(),
                burn.tally.bad.to_string(),
                format_rate(burn.availability),
                burn.tally.slow.to_string(),
                format_rate(burn.latency),
            ];
            self.row("td", &cells, "");
        }
        self.line("</table>");
    }

    fn zones(&mut self, service: &ServiceReport) {
        let titles = ["availability zone (24 h)", "good", "bad"];
        self.row("th", &titles.map(str::to_owned), "<table>");
        for zone in &service.zones {
            let counts = &zone.tally;
            let name = escape(zone.zone.as_str());
            self.row(
                "td",
                &[name, counts.good.to_string(), counts.bad.to_string()],
                "",
            );
        }
        self.line("</table>");
    }

    fn changes(&mut self, report: &Report) {
        if report.changes.is_empty() {
            return;
        }
        self.line("<h2>Changes</h2>\n<ul>");
        for change in &report.changes {
            let text = format!("{} {change}", time(change.first));
            self.line(&format!("<li>{}</li>", escape(&text)));
        }
        self.line("</ul>");
    }

    fn row(&mut self, tag: &str, cells: &[String], prefix: &str) {
        let cells: String = cells
            .iter()
            .map(|c| format!("<{tag}>{c}</{tag}>"))
            .collect();
        self.line(&format!("{prefix}<tr>{cells}</tr>"));
    }

    fn finish(mut self) -> String {
        self.0.push_str("</body>\n</html>\n");
        self.0
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
