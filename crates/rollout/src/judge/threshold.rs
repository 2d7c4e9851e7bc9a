//! A judge with a fixed threshold on the share of failed requests. It serves as a
//! reference for other judges.

use crate::judge::{ComparedVersions, Fault, FaultKind, Judge, Tally, Verdict, Window};
use knapweed_world::{Name, Share};
use std::collections::{BTreeMap, VecDeque};

/// Settings of [`ThresholdJudge`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ThresholdOptions {
    /// Share of failed requests above which a version is faulty.
    pub threshold: Share,
    /// Fewest requests to the new version on a route for a decision.
    pub min_requests: u64,
    /// Number of most recent windows that are counted.
    pub windows: usize,
}

impl Default for ThresholdOptions {
    fn default() -> Self {
        Self {
            threshold: Share::from_percent(5),
            min_requests: 20,
            windows: 40,
        }
    }
}

/// Finds a version faulty when more than a fixed share of its recent requests on a
/// route failed.
#[derive(Clone, Debug, Default)]
pub struct ThresholdJudge {
    options: ThresholdOptions,
    new: Vec<Name>,
    recent: VecDeque<BTreeMap<Name, Tally>>,
    fault: Option<Fault>,
}

impl ThresholdJudge {
    /// A judge with the given settings.
    pub fn new(options: ThresholdOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    fn decide(&mut self) {
        let mut sums: BTreeMap<&Name, Tally> = BTreeMap::new();
        for (route, tally) in self.recent.iter().flatten() {
            sums.entry(route).or_default().add(*tally);
        }
        let is_bad = |t: &Tally| {
            t.requests >= self.options.min_requests && t.share() > self.options.threshold
        };
        let found = sums.into_iter().find(|(_, tally)| is_bad(tally));
        let fault = found.map(|(route, tally)| Fault {
            kind: FaultKind::Failures,
            route: route.clone(),
            new: tally,
            old: Tally::default(),
        });
        self.fault = self.fault.take().or(fault);
    }
}

impl Judge for ThresholdJudge {
    fn begin(&mut self, compared: &ComparedVersions) {
        *self = Self::new(self.options);
        self.new.clone_from(&compared.new);
    }

    fn observe(&mut self, window: &Window<'_>) {
        let mut tallies: BTreeMap<Name, Tally> = BTreeMap::new();
        for (id, series) in window
            .counters
            .iter()
            .filter(|(id, _)| self.new.contains(&id.version))
        {
            let tally = Tally {
                requests: series.requests,
                affected: series.failures,
            };
            tallies.entry(id.route.clone()).or_default().add(tally);
        }
        self.recent.push_back(tallies);
        if self.recent.len() > self.options.windows {
            self.recent.pop_front();
        }
        self.decide();
    }

    fn verdict(&self) -> Verdict {
        match &self.fault {
            Some(fault) => Verdict::Bad(fault.clone()),
            None => Verdict::NoFault,
        }
    }

    fn recheck(&mut self) {}

    fn clear_suspicion(&mut self) {}
}
