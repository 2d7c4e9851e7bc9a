//! Aggregates the request counts of hosts for rollout control.
//!
//! The judge compares the new and old versions of one availability zone within the
//! same window. A host often runs only one of them, so the reports of all hosts of an
//! availability zone are merged before they reach rollout control.
//!
//! Hosts report totals. What a report adds to the totals that are known of its host is
//! counted, so repeated reports count once, a report makes up for lost ones, and the first
//! reports to a new holder contain everything.

use knapweed_rollout::{Counters, HostReport, ZoneReport};
use knapweed_world::{Name, TicketNumber, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// Counts of one service in one availability zone that were added in the current window.
#[derive(Debug, Default)]
struct Window {
    ticket: TicketNumber,
    counters: Counters,
    guard_trips: u32,
}

/// Totals of one host for one ticket, as last reported.
#[derive(Debug, Default)]
struct HostTotals {
    ticket: TicketNumber,
    incarnation: u64,
    sequence: u64,
    guard_trips: u32,
    counters: Counters,
}

/// Merges reports of hosts into one per service, availability zone and window.
#[derive(Debug, Default)]
pub struct ReportAggregator {
    windows: BTreeMap<(Name, Name), Window>,
    /// Totals by service and host.
    hosts: BTreeMap<(Name, Name), HostTotals>,
    sequence: u64,
    last_flush: Time,
}

/// Reports of hosts.
impl ReportAggregator {
    /// Adds the report of a host about a service; ignores duplicates and older ones.
    pub fn add(&mut self, service: &Name, report: &HostReport) {
        let key = (service.clone(), report.host.clone());
        let known = self.hosts.entry(key).or_default();
        let is_outdated = (report.ticket, report.incarnation) < (known.ticket, known.incarnation);
        if is_outdated || !known.continue_with(report) {
            return;
        }
        let key = (service.clone(), report.zone.clone());
        let window = self.windows.entry(key).or_default();
        if window.ticket < report.ticket {
            *window = Window {
                ticket: report.ticket,
                ..Window::default()
            };
        }
        let added = known.counters.replace(&report.totals);
        let trips = report.guard_trips.saturating_sub(known.guard_trips);
        known.guard_trips = report.guard_trips;
        if window.ticket == report.ticket {
            window.counters.merge(&added);
            window.guard_trips += trips;
        }
    }

    /// Whether a host has reported its totals for the rollout that `ticket` requested.
    pub fn has_reported(&self, service: &Name, ticket: TicketNumber, host: &Name) -> bool {
        let totals = self.hosts.get(&(service.clone(), host.clone()));
        totals.is_some_and(|totals| totals.ticket == ticket)
    }

    /// Whether counts of a service have not been passed to rollout control yet.
    pub fn is_pending(&self, service: &Name) -> bool {
        self.windows.keys().any(|(name, _)| name == service)
    }

    /// Drops the reports about a service.
    pub fn remove(&mut self, service: &Name) {
        self.windows.retain(|(name, _), _| name != service);
        self.hosts.retain(|(name, _), _| name != service);
    }
}

impl HostTotals {
    /// Prepares for a report that is not outdated; returns false for a repeated one.
    fn continue_with(&mut self, report: &HostReport) -> bool {
        let is_same_run = (report.ticket, report.incarnation) == (self.ticket, self.incarnation);
        if is_same_run && report.sequence <= self.sequence {
            return false;
        }
        if !is_same_run {
            *self = Self {
                ticket: report.ticket,
                incarnation: report.incarnation,
                ..Self::default()
            };
        }
        self.sequence = report.sequence;
        true
    }
}

/// Reports to rollout control.
impl ReportAggregator {
    /// Returns the merged reports once a window has ended, with `holder` as their sender.
    ///
    /// `ticket` returns the ticket of the rollout of a service. Reports about a service whose
    /// ticket is not known, or about a later ticket, are kept.
    pub fn flush(
        &mut self,
        now: Time,
        window: Duration,
        holder: &Name,
        incarnation: u64,
        ticket: impl Fn(&Name) -> Option<TicketNumber>,
    ) -> Vec<(Name, ZoneReport)> {
        if now.since(self.last_flush) < window {
            return Vec::new();
        }
        self.last_flush = now;
        let due = |service: &Name, window: &Window| {
            ticket(service).is_some_and(|current| window.ticket <= current)
        };
        let ended: Vec<_> = self
            .windows
            .extract_if(.., |(service, _), window| due(service, window))
            .filter(|((service, _), window)| ticket(service) == Some(window.ticket))
            .collect();
        let reports = ended.into_iter().map(|((service, zone), window)| {
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
