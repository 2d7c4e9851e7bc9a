//! Reports of counters by availability zones, and their de-duplication.

use crate::Counters;
use knapweed_world::{Name, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// An availability zone that sent no report for this long is unreachable:
/// three reports were missed.
pub const ZONE_SILENCE: Duration = Duration::from_secs(3);

/// Counters of one availability zone over one window of about a second.
///
/// A relay sends one each second while a rollout runs, also when it is empty.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneReport {
    /// The availability zone.
    pub zone: Name,
    /// The host whose relay sent it.
    pub relay: Name,
    /// Incarnation of that host.
    pub incarnation: u64,
    /// Number of the report; each sender counts up.
    pub sequence: u64,
    /// Guards that tripped since the report before it.
    pub guard_trips: u32,
    /// The counts since the report before it.
    pub counters: Counters,
}

/// The last report of one relay.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct LastReport {
    incarnation: u64,
    sequence: u64,
}

/// Remembers which reports were counted and when each zone was heard.
#[derive(Clone, Debug, Default)]
pub struct Inbox {
    relays: BTreeMap<Name, LastReport>,
    heard: BTreeMap<Name, Time>,
}

impl Inbox {
    /// Whether the report is new and must be counted. Repeated and late
    /// reports are not, and do not make their zone reachable.
    pub fn accept(&mut self, report: &ZoneReport, now: Time) -> bool {
        let this = LastReport {
            incarnation: report.incarnation,
            sequence: report.sequence,
        };
        if self.relays.get(&report.relay) >= Some(&this) {
            return false;
        }
        self.relays.insert(report.relay.clone(), this);
        self.heard.insert(report.zone.clone(), now);
        true
    }

    /// Whether `zone` reported within [`ZONE_SILENCE`].
    pub fn is_reachable(&self, zone: &Name, now: Time) -> bool {
        let heard = self.heard.get(zone);
        heard.is_some_and(|at| now.since(*at) <= ZONE_SILENCE)
    }
}
