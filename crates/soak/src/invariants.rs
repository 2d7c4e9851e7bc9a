//! Invariants that must hold under all faults, checked against the results of callers, backend
//! servers and nodes.

use knapweed_demo::load::{FinishedRequest, Outcome};
use knapweed_demo::versions::Regression;
use std::collections::BTreeMap;

/// Results that were collected in one run.
#[derive(Debug, Default)]
pub struct Observations {
    /// Requests of callers, with their outcomes.
    pub requests: Vec<FinishedRequest>,
    /// Number of runs by idempotency key, over all backend servers and their restarts. Requests that
    /// a server ran after its ledger was last read and before it was killed are missing.
    pub runs: BTreeMap<String, usize>,
    /// Cases in which a node returned to an older configuration version.
    pub regressions: Vec<Regression>,
}

impl Observations {
    /// Describes each violation of an invariant in one line: a request ran twice, or ran although it
    /// was reported as not run, or got a wrong body, or a node returned to an older version.
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
        }
        let regressions = self.regressions.iter();
        violations.extend(
            regressions.map(|r| format!("{} returned from version {} to {}", r.host, r.from, r.to)),
        );
        violations
    }

    /// Number of requests with `outcome`.
    pub fn count(&self, outcome: Outcome) -> usize {
        knapweed_demo::load::count(&self.requests, outcome)
    }
}
