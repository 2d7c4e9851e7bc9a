//! Counter reports of hosts and availability zones, and their de-duplication.

use crate::Counters;
use knapweed_world::{Name, TicketNumber, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// An availability zone that sent no report for this long is unreachable: three
/// reports in a row are missing.
pub const ZONE_REPORT_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of a period in which one process holds the duty of rollout control. A later
/// period has a higher number.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Tenure(pub u64);

/// The node that holds the duty of rollout control. Of two, the greater one is newer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Holder {
    /// The period in which it holds the duty.
    pub tenure: Tenure,
    /// Address to which reports are sent.
    pub address: SocketAddr,
}

/// Counts of one host for the rollout that one ticket requested.
///
/// They are totals since the host learned of the rollout, so the first report to a new
/// holder of the duty contains what the host reported to the previous ones.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostReport {
    /// The ticket that requested the rollout.
    pub ticket: TicketNumber,
    /// Availability zone of the host.
    pub zone: Name,
    /// The host whose requests were counted.
    pub host: Name,
    /// Incarnation of the host, which increases when it restarts; its totals then start
    /// at zero.
    pub incarnation: u64,
    /// Sequence number of the report; it increases with each report of one incarnation.
    pub sequence: u64,
    /// Number of times that the guard tripped.
    pub guard_trips: u32,
    /// Totals of the series that have changed since the previous report; of all series in
    /// the first report to a holder.
    pub totals: Counters,
}

/// Counters of one availability zone over one window of about a second.
///
/// A relay sends one each second while a rollout runs, even if nothing was counted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneReport {
    /// The availability zone whose requests were counted.
    pub zone: Name,
    /// The host whose relay sent the report.
    pub relay: Name,
    /// Incarnation of that host, which increases when it restarts.
    pub incarnation: u64,
    /// Sequence number of the report; it increases with each report of one
    /// incarnation of the relay.
    pub sequence: u64,
    /// Number of guards that tripped since the previous report.
    pub guard_trips: u32,
    /// Counts since the previous report.
    pub counters: Counters,
}

/// Position of the last accepted report of one relay.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct LastReport {
    incarnation: u64,
    sequence: u64,
}

/// Rejects repeated and outdated reports, and records when each zone last sent a
/// new one.
#[derive(Clone, Debug, Default)]
pub struct ReportFilter {
    last_reports: BTreeMap<Name, LastReport>,
    received: BTreeMap<Name, Time>,
}

impl ReportFilter {
    /// Registers a report. Returns true if it is new and must be counted; repeated
    /// and outdated reports are not, and do not make their zone reachable.
    pub fn accept(&mut self, report: &ZoneReport, now: Time) -> bool {
        let this = LastReport {
            incarnation: report.incarnation,
            sequence: report.sequence,
        };
        if self.last_reports.get(&report.relay) >= Some(&this) {
            return false;
        }
        self.last_reports.insert(report.relay.clone(), this);
        self.received.insert(report.zone.clone(), now);
        true
    }

    /// Whether a new report of `zone` arrived within [`ZONE_REPORT_TIMEOUT`].
    pub fn is_reachable(&self, zone: &Name, now: Time) -> bool {
        let received = self.received.get(zone);
        received.is_some_and(|at| now.since(*at) <= ZONE_REPORT_TIMEOUT)
    }
}
