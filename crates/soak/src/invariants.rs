//! Invariants that must hold under all faults, checked against the results of callers, backend
//! servers, nodes and the operator.

use crate::probes::DeniedProbe;
use crate::tickets::Tickets;
use knapweed_demo::load::{FinishedRequest, Outcome};
use knapweed_demo::versions::Regression;
use std::collections::BTreeMap;
use std::time::Instant;

/// Results that were collected in one run.
#[derive(Debug, Default)]
pub struct Observations {
    /// Requests of callers, with their outcomes. Their route is in all configurations of the run.
    pub requests: Vec<FinishedRequest>,
    /// Number of runs by idempotency key, over all backend servers and their restarts. Requests that
    /// a server ran after its ledger was last read and before it was killed are missing.
    pub runs: BTreeMap<String, usize>,
    /// Cases in which a node returned to an older configuration version.
    pub regressions: Vec<Regression>,
    /// Requests of the routes of accepted tickets that a node denied.
    pub denied: Vec<DeniedProbe>,
    /// Acceptances and losses of tickets. The ticket with a number makes the version of this number.
    pub tickets: Tickets,
    /// Starts of the processes of nodes after the start of the run, by host.
    pub starts: Vec<(&'static str, Instant)>,
}

impl Observations {
    /// Describes each violation of an invariant in one line: a request ran twice, or ran although it
    /// was reported as not run, or got a wrong body, or was denied although its route was in force, a
    /// node returned to an older version, or a valid ticket was refused.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for request in &self.requests {
            let identity = &request.identity;
            let runs = self.runs.get(identity).copied().unwrap_or(0);
            if runs > 1 {
                violations.push(format!("{identity} ran {runs} times"));
            }
            if request.outcome == Outcome::NotRun && runs > 0 {
                violations.push(format!("{identity} was reported as not run, and ran"));
            }
            if request.outcome == Outcome::WrongBody {
                let detail = &request.detail;
                violations.push(format!("{identity} got a wrong response: {detail:?}"));
            }
            if let Some(status) = request.denial {
                violations.push(format!(
                    "{identity} was denied with {status} on a route of all configurations"
                ));
            }
        }
        violations.extend(self.denials());
        let regressions = self.regressions.iter().filter(|r| !self.is_allowed(r));
        violations.extend(
            regressions.map(|r| format!("{} returned from version {} to {}", r.host, r.from, r.to)),
        );
        violations.extend_from_slice(self.tickets.refusals());
        violations
    }

    /// One line for each node, ticket and status with requests that were denied although all
    /// configurations that may be in force have the route.
    fn denials(&self) -> impl Iterator<Item = String> {
        let mut counts = BTreeMap::<_, usize>::new();
        for probe in &self.denied {
            let is_allowed = self.tickets.may_lack(probe.ticket, probe.sent, probe.ended);
            if !is_allowed {
                let key = (probe.host, probe.ticket, probe.status.as_u16());
                *counts.entry(key).or_default() += 1;
            }
        }
        counts.into_iter().map(|((host, ticket, status), count)| {
            format!("{host} denied {count} requests of the route of ticket {ticket} with {status}")
        })
    }

    /// Whether a node may have returned to an older version: another process of it started while the
    /// store had lost the newer one. One process never returns.
    fn is_allowed(&self, regression: &Regression) -> bool {
        let between = regression.reached..=regression.at;
        let has_restarted = self
            .starts
            .iter()
            .any(|(host, at)| *host == regression.host && between.contains(at));
        let tickets = &self.tickets;
        has_restarted && tickets.may_restart_below(regression.from, regression.at)
    }

    /// Number of requests with `outcome`.
    pub fn count(&self, outcome: Outcome) -> usize {
        knapweed_demo::load::count(&self.requests, outcome)
    }
}
