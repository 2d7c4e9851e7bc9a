//! Aggregates the request counts of hosts for rollout control.
//!
//! The judge compares the new and old versions of one availability zone within the
//! same window. A host often runs only one of them, so the reports of all hosts of an
//! availability zone are merged before they reach rollout control.

use knapweed_rollout::{Counters, ZoneReport};
use knapweed_world::{Name, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// Counts of one service in one availability zone in the current window.
#[derive(Debug, Default)]
struct Window {
    counters: Counters,
    guard_trips: u32,
}

/// Merges reports of hosts into one per service, availability zone and window.
#[derive(Debug, Default)]
pub struct ReportAggregator {
    windows: BTreeMap<(Name, Name), Window>,
    /// Incarnation and sequence number of the newest report per service and host, by
    /// which duplicates are dropped.
    newest: BTreeMap<(Name, Name), (u64, u64)>,
    sequence: u64,
    last_flush: Time,
}

impl ReportAggregator {
    /// Adds the report of a host about a service; ignores duplicates and older ones.
    pub fn add(&mut self, service: &Name, report: &ZoneReport) {
        let report_id = (report.incarnation, report.sequence);
        let newest = self
            .newest
            .entry((service.clone(), report.relay.clone()))
            .or_default();
        if *newest >= report_id {
            return;
        }
        *newest = report_id;
        let key = (service.clone(), report.zone.clone());
        let window = self.windows.entry(key).or_default();
        window.counters.merge(&report.counters);
        window.guard_trips += report.guard_trips;
    }

    /// Returns the merged reports once a window has ended, with `holder` as their sender.
    pub fn flush(
        &mut self,
        now: Time,
        window: Duration,
        holder: &Name,
        incarnation: u64,
    ) -> Vec<(Name, ZoneReport)> {
        if now.since(self.last_flush) < window {
            return Vec::new();
        }
        self.last_flush = now;
        let windows = std::mem::take(&mut self.windows).into_iter();
        let reports = windows.map(|((service, zone), window)| {
            self.sequence += 1;
            let report = ZoneReport {
                zone,
                relay: holder.clone(),
                incarnation,
                sequence: self.sequence,
                guard_trips: window.guard_trips,
                counters: window.counters,
            };
            (service, report)
        });
        reports.collect()
    }
}
