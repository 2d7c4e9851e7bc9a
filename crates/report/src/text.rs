//! Formats the report as plain text for the terminal.

use crate::report::{Report, ServiceReport};
use knapweed_contract::timestamp::format as time;
use std::fmt::{self, Display, Formatter};

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let (nodes, zones) = (self.nodes.len(), self.zones());
        writeln!(
            f,
            "Service levels at {}; nodes: {nodes}, availability zones: {zones}, \
             history since {}",
            time(self.until),
            time(self.since)
        )?;
        for failure in &self.failures {
            writeln!(f, "no history of {}: {}", failure.source, failure.reason)?;
        }
        for node in self.nodes.iter().filter(|n| n.services_left_out > 0) {
            let count = node.services_left_out;
            writeln!(f, "host {} left out {count} services", node.host)?;
        }
        for service in &self.services {
            write_service(f, service, self.budget_days)?;
        }
        if !self.changes.is_empty() {
            writeln!(f, "\nChanges")?;
        }
        for change in &self.changes {
            writeln!(f, "  {} {change}", time(change.first))?;
        }
        Ok(())
    }
}

fn write_service(f: &mut Formatter<'_>, service: &ServiceReport, days: u64) -> fmt::Result {
    match &service.objective {
        Some(objective) => writeln!(f, "\n{}: {objective}", service.service)?,
        None => writeln!(f, "\n{}: no objective", service.service)?,
    }
    for alert in &service.alerts {
        writeln!(f, "  ALERT {alert}")?;
    }
    writeln!(f, "  window  requests       bad    burn      slow    burn")?;
    for burn in &service.burns {
        writeln!(
            f,
            "  {:6} {:>9} {:>9} {:>7} {:>9} {:>7}",
            burn.window.name,
            burn.tally.requests(),
            burn.tally.bad,
            format_rate(burn.availability),
            burn.tally.slow,
            format_rate(burn.latency),
        )?;
    }
    if let Some(spent) = &service.spent {
        writeln!(
            f,
            "  spent of the budget of {days} days in the last 24 h: \
             {:.2}% of availability, {:.2}% of latency",
            spent.availability_percent, spent.latency_percent
        )?;
    }
    for zone in &service.zones {
        let counts = &zone.tally;
        writeln!(
            f,
            "  {}: {} good, {} bad",
            zone.zone, counts.good, counts.bad
        )?;
    }
    Ok(())
}

/// Formats a burn rate with two decimals, or a dash when there is none.
pub(crate) fn format_rate(rate: Option<f64>) -> String {
    rate.map_or_else(|| "-".to_owned(), |r| format!("{r:.2}"))
}
