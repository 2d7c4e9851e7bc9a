//! Trials: what this host counts of services whose traffic is being moved.
//!
//! A service without a rollout costs the request path one look into a map.

use arc_swap::ArcSwap;
use knapweed_observe::part;
use knapweed_rollout::counters::{LoadLevel, Sample, SeriesId, Warmth};
use knapweed_rollout::judge::Tally;
use knapweed_rollout::{Counters, Guard, RolloutState, guard};
use knapweed_world::{Name, TicketNumber, Time};
use parking_lot::Mutex;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// The rollout of one service as this host's egress sees it.
#[derive(Debug)]
pub struct Trial {
    ticket: TicketNumber,
    zone: Name,
    new_versions: Vec<Name>,
    counted: Mutex<Counted>,
}

#[derive(Debug)]
struct Counted {
    guard: Guard,
    /// Trips since the last report.
    trips: u32,
    counters: Counters,
}

/// A request that a backend server of a service under trial ran.
#[derive(Clone, Debug)]
pub struct Run<'a> {
    /// Its route.
    pub route: &'a Name,
    /// The version that ran it.
    pub version: &'a Name,
    /// Requests that the backend server ran at its start, itself included.
    pub in_use: u32,
    /// Slots of the backend server.
    pub slots: u16,
    /// How long the backend server had been ready.
    pub age: Duration,
}

impl Trial {
    fn new(state: &RolloutState, zone: Name) -> Self {
        let guard = Guard::new(state.ticket, guard::Options::default());
        Self {
            ticket: state.ticket,
            zone,
            new_versions: state.new_versions(),
            counted: Mutex::new(Counted {
                guard,
                trips: 0,
                counters: Counters::default(),
            }),
        }
    }

    /// Whether a request may run on `version` here; the guard refuses a new
    /// version that clearly fails on this host.
    pub fn admits(&self, version: &Name) -> bool {
        !self.is_new(version) || self.counted.lock().guard.admits()
    }

    /// Counts a request that ended.
    pub fn record(&self, run: &Run<'_>, sample: Sample, now: Time) {
        let id = SeriesId {
            zone: self.zone.clone(),
            version: run.version.clone(),
            route: run.route.clone(),
            load: LoadLevel::of(run.in_use, u32::from(run.slots)),
            warmth: Warmth::of(run.age),
        };
        let failed = matches!(sample, Sample::Failed);
        let mut counted = self.counted.lock();
        if let Some(key) = counted.counters.key(&id) {
            counted.counters.record(key, sample);
        }
        let route = counted.guard.route(run.route);
        if !self.is_new(run.version) {
            counted.guard.old(route, failed);
            return;
        }
        let admitted = counted.guard.admits();
        counted.guard.new_version(route, failed, now);
        if let Some(fault) = counted.guard.fault().filter(|_| admitted) {
            let version = run.version;
            log::warn!(target: part::ROLLOUT, "the guard refuses version {version} here: {fault}");
            counted.trips += 1;
        }
    }

    /// Follows the state of the rollout, which may let the guard try again, and
    /// takes the failures of the old versions elsewhere as its baseline.
    pub fn apply(&self, state: &RolloutState, now: Time) {
        let mut counted = self.counted.lock();
        counted.guard.apply(state);
        for (route, old) in baselines(state) {
            let route = counted.guard.route(&route);
            counted.guard.baseline(route, old, now);
        }
    }

    /// Trips of the guard since the last call.
    pub fn take_trips(&self) -> u32 {
        std::mem::take(&mut self.counted.lock().trips)
    }

    /// The counts since the last call.
    pub fn take(&self) -> Counters {
        std::mem::take(&mut self.counted.lock().counters)
    }

    fn is_new(&self, version: &Name) -> bool {
        self.new_versions.contains(version)
    }
}

/// Counts of the old versions by route, from the evidence of a state.
fn baselines(state: &RolloutState) -> BTreeMap<Name, Tally> {
    let old = state.old_versions();
    let rows = state
        .evidence
        .rows
        .iter()
        .filter(|row| old.contains(&row.version));
    let mut tallies: BTreeMap<Name, Tally> = BTreeMap::new();
    for row in rows {
        let tally = Tally {
            requests: row.requests,
            affected: row.failures,
        };
        tallies.entry(row.route.clone()).or_default().add(tally);
    }
    tallies
}

/// The trials of a host, replaced as a whole by the control thread.
#[derive(Debug, Default)]
pub struct Trials(ArcSwap<HashMap<Name, Arc<Trial>>>);

impl Trials {
    /// The trial of a service, if its traffic is being moved.
    pub fn find(&self, service: &Name) -> Option<Arc<Trial>> {
        self.0.load().get(service).cloned()
    }

    /// All trials with their services.
    pub fn all(&self) -> Vec<(Name, Arc<Trial>)> {
        let trials = self.0.load();
        trials
            .iter()
            .map(|(service, trial)| (service.clone(), Arc::clone(trial)))
            .collect()
    }

    /// Keeps the trials of rollouts that go on, and starts those of new ones.
    pub fn follow(&self, states: &BTreeMap<Name, RolloutState>, zone: &Name, now: Time) {
        let old = self.0.load();
        let going_on = states.iter().filter(|(_, state)| !state.phase.is_final());
        let trials = going_on.map(|(service, state)| {
            let known = old
                .get(service)
                .filter(|trial| trial.ticket == state.ticket);
            let trial = known
                .cloned()
                .unwrap_or_else(|| Arc::new(Trial::new(state, zone.clone())));
            trial.apply(state, now);
            (service.clone(), trial)
        });
        self.0.store(Arc::new(trials.collect()));
    }
}
