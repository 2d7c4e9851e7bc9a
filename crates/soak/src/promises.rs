//! What must hold whatever happens, from what callers, backend servers and
//! operators have seen.

use knapweed_demo::load::{Ended, Outcome};
use knapweed_demo::versions::Regression;
use std::collections::BTreeMap;

/// Everything that was seen in one run.
#[derive(Debug, Default)]
pub struct Seen {
    /// Requests of callers.
    pub requests: Vec<Ended>,
    /// Runs by identity, over all backend servers and their processes. What a
    /// server ran just before it was killed is missing.
    pub runs: BTreeMap<String, usize>,
    /// Nodes that went back to an older configuration version.
    pub regressions: Vec<Regression>,
}

impl Seen {
    /// The promises that were broken, one line each.
    pub fn broken(&self) -> Vec<String> {
        let mut broken = Vec::new();
        for request in &self.requests {
            let identity = &request.identity;
            let runs = self.runs.get(identity).copied().unwrap_or(0);
            if runs > 1 {
                broken.push(format!("{identity} ran {runs} times"));
            }
            if request.outcome == Outcome::NotRun && runs > 0 {
                broken.push(format!("{identity} was reported as not run, and ran"));
            }
            if request.outcome == Outcome::WrongBody {
                let detail = &request.detail;
                broken.push(format!("{identity} got another answer: {detail:?}"));
            }
        }
        let back = self.regressions.iter();
        broken.extend(back.map(|r| format!("{} went from {} to {}", r.host, r.from, r.to)));
        broken
    }

    /// Requests with an outcome.
    pub fn count(&self, outcome: Outcome) -> usize {
        knapweed_demo::load::count(&self.requests, outcome)
    }
}
