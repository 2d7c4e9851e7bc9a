//! Evaluates the objectives of services against the collected histories.

use crate::burn::{Alert, WindowBurn, alerts};
use crate::changes::{self, MeshChange};
use crate::request_counts::{RequestCounts, WINDOWS, Window, count_requests};
use crate::source::{Collected, Failure};
use crate::{Objective, Options};
use knapweed_observe::History;
use knapweed_world::{Name, UnixMillis};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A node whose history is part of the report.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct NodeSource {
    /// Host that the node runs on.
    pub host: Name,
    /// Availability zone of the host.
    pub zone: Name,
    /// Start of the history.
    pub since: UnixMillis,
    /// End of the history.
    pub until: UnixMillis,
    /// Number of services that the node did not record, because its history was full.
    pub services_left_out: u32,
}

/// Requests of a service in one availability zone, in the longest window.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ZoneCounts {
    /// Availability zone whose nodes counted the requests.
    pub zone: Name,
    /// Sum over the nodes of the zone.
    #[serde(flatten)]
    pub tally: RequestCounts,
}

/// Parts of the budget of the whole period that were spent in the longest window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct BudgetSpent {
    /// Spent part of the availability budget, in percent.
    pub availability_percent: f64,
    /// Spent part of the latency budget, in percent.
    pub latency_percent: f64,
}

/// Burn rates, alerts and request counts of one service.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServiceReport {
    /// Name of the service.
    pub service: Name,
    /// Objective from the settings; `None` when the requests are only counted.
    pub objective: Option<Objective>,
    /// Burn rates by window, shortest window first.
    pub burns: Vec<WindowBurn>,
    /// Budget spent in the longest window; `None` without an objective.
    pub spent: Option<BudgetSpent>,
    /// Alerts that fire at the time of the report.
    pub alerts: Vec<Alert>,
    /// Requests by availability zone, in the longest window.
    pub zones: Vec<ZoneCounts>,
}

/// Report on all services that occur in the histories.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Start of the earliest history.
    pub since: UnixMillis,
    /// Time of the report: the end of the latest history.
    pub until: UnixMillis,
    /// Period of the error budgets, in days.
    pub budget_days: u64,
    /// Nodes that provided a history.
    pub nodes: Vec<NodeSource>,
    /// Sources whose history could not be read.
    pub failures: Vec<Failure>,
    /// Services in order of name.
    pub services: Vec<ServiceReport>,
    /// New configuration versions and changed shares, in order of time.
    pub changes: Vec<MeshChange>,
}

/// Seconds in a day.
const DAY_S: u64 = 24 * 60 * 60;

impl Report {
    /// Evaluates the collected histories as of the end of the latest one.
    pub fn new(collected: &Collected, options: &Options) -> Self {
        let histories = &collected.histories;
        let since = histories.iter().map(|h| h.since).min().unwrap_or_default();
        let until = histories.iter().map(|h| h.until).max().unwrap_or_default();
        let services = histories.iter().flat_map(|h| &h.services);
        let names: BTreeSet<_> = services.map(|s| s.service.clone()).collect();
        let context = ReportContext {
            histories,
            until,
            budget: options.budget,
            covered: until.since(since),
        };
        let service = |name: Name| context.service(options.objective(&name), name);
        Self {
            since,
            until,
            budget_days: options.budget.as_secs() / DAY_S,
            nodes: histories.iter().map(node).collect(),
            failures: collected.failures.clone(),
            services: names.into_iter().map(service).collect(),
            changes: changes::merge(histories),
        }
    }
}

/// Summary over all services and nodes.
impl Report {
    /// Whether an alert fires for any service.
    pub fn has_alerts(&self) -> bool {
        self.services.iter().any(|s| !s.alerts.is_empty())
    }

    /// Number of availability zones that the nodes belong to.
    pub fn zones(&self) -> usize {
        let zones: BTreeSet<_> = self.nodes.iter().map(|n| &n.zone).collect();
        zones.len()
    }
}

fn node(history: &History) -> NodeSource {
    NodeSource {
        host: history.host.clone(),
        zone: history.zone.clone(),
        since: history.since,
        until: history.until,
        services_left_out: history.services_left_out,
    }
}

/// Inputs that the reports of all services share.
struct ReportContext<'a> {
    histories: &'a [History],
    until: UnixMillis,
    budget: Duration,
    covered: Duration,
}

impl ReportContext<'_> {
    fn service(&self, objective: Option<Objective>, service: Name) -> ServiceReport {
        let bound_us = objective.map(|o| o.latency_us());
        let by_zone = |window| self.by_zone(&service, window, bound_us);
        let burns: Vec<_> = WINDOWS
            .iter()
            .map(|window| {
                let mut sum = RequestCounts::default();
                by_zone(*window).values().for_each(|t| sum.add(t));
                WindowBurn::new(*window, sum, objective.as_ref())
            })
            .collect();
        let longest = WINDOWS[WINDOWS.len() - 1];
        let zones = by_zone(longest).into_iter();
        ServiceReport {
            spent: objective.and_then(|_| self.spent(burns.last()?)),
            alerts: alerts(&burns),
            zones: zones
                .map(|(zone, tally)| ZoneCounts { zone, tally })
                .collect(),
            service,
            objective,
            burns,
        }
    }

    fn by_zone(
        &self,
        service: &Name,
        window: Window,
        bound_us: Option<u32>,
    ) -> BTreeMap<Name, RequestCounts> {
        let mut zones: BTreeMap<Name, RequestCounts> = BTreeMap::new();
        for history in self.histories {
            let part = count_requests(history, service, window, self.until, bound_us);
            zones.entry(history.zone.clone()).or_default().add(&part);
        }
        zones
    }

    /// Calculates the spent budget: the burn rate times the part of the period that
    /// the window covers. A history shorter than the window counts with its length.
    fn spent(&self, longest: &WindowBurn) -> Option<BudgetSpent> {
        let window = Duration::from_secs(longest.window.seconds).min(self.covered);
        let part = window.as_secs_f64() / self.budget.as_secs_f64();
        let percent = |rate: Option<f64>| rate.unwrap_or_default() * part * 100.0;
        Some(BudgetSpent {
            availability_percent: percent(longest.availability),
            latency_percent: percent(longest.latency),
        })
    }
}
