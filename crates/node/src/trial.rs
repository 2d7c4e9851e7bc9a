//! Trials: what this host counts of services whose traffic is being moved.
//!
//! A service without a rollout costs the request path one look into a map.

use arc_swap::ArcSwap;
use knapweed_observe::part;
use knapweed_rollout::counters::{LoadLevel, Sample, SeriesId, Warmth};
use knapweed_rollout::judge::Tally;
use knapweed_rollout::{Counters, Guard, Phase, RolloutState, guard};
use knapweed_world::{Name, TicketNumber, Time};
use parking_lot::Mutex;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

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
    /// Whether the backend server was past its cold start.
    pub warmth: Warmth,
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
            warmth: run.warmth,
        };
        let failed = matches!(sample, Sample::Failed);
        let mut counted = self.counted.lock();
        if let Some(key) = counted.counters.key(&id) {
            counted.counters.record(key, sample);
        }
        let route = counted.guard.route(run.route);
        if !self.is_new(run.version) {
            counted.guard.record_old(route, failed);
            return;
        }
        let admitted = counted.guard.admits();
        counted.guard.record_new(route, failed, now);
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
        counted.guard.apply_state(state);
        for (route, old) in baselines(state) {
            let route = counted.guard.route(&route);
            counted.guard.set_baseline(route, old, now);
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

/// What a host knows of one service whose traffic is or was moved.
#[derive(Clone, Debug)]
enum Move {
    /// The move goes on.
    Running(Arc<Trial>),
    /// These versions were pulled back.
    PulledBack(Vec<Name>),
}

/// The moves that a host knows, replaced as a whole by the control thread.
#[derive(Debug, Default)]
pub struct Trials(ArcSwap<HashMap<Name, Move>>);

impl Trials {
    /// The trial of a service, if its traffic is being moved.
    pub fn find(&self, service: &Name) -> Option<Arc<Trial>> {
        match self.0.load().get(service)? {
            Move::Running(trial) => Some(Arc::clone(trial)),
            Move::PulledBack(_) => None,
        }
    }

    /// Whether a version of a service was pulled back. Nodes that have not heard
    /// of it may still send requests to it.
    pub fn is_pulled_back(&self, service: &Name, version: &Name) -> bool {
        match self.0.load().get(service) {
            Some(Move::PulledBack(versions)) => versions.contains(version),
            _ => false,
        }
    }

    /// All trials with their services.
    pub fn all(&self) -> Vec<(Name, Arc<Trial>)> {
        let trials = self.0.load();
        let running = trials.iter().filter_map(|(service, known)| match known {
            Move::Running(trial) => Some((service.clone(), Arc::clone(trial))),
            Move::PulledBack(_) => None,
        });
        running.collect()
    }

    /// Keeps the trials of rollouts that go on, and starts those of new ones.
    pub fn follow(&self, states: &BTreeMap<Name, RolloutState>, zone: &Name, now: Time) {
        let old = self.0.load();
        let moves = states.iter().filter_map(|(service, state)| {
            let known = match (&state.phase, old.get(service)) {
                (Phase::Completed, _) => return None,
                (Phase::PulledBack(_), _) => Move::PulledBack(state.new_versions()),
                (_, Some(Move::Running(trial))) if trial.ticket == state.ticket => {
                    trial.apply(state, now);
                    Move::Running(Arc::clone(trial))
                }
                _ => {
                    let trial = Trial::new(state, zone.clone());
                    trial.apply(state, now);
                    Move::Running(Arc::new(trial))
                }
            };
            Some((service.clone(), known))
        });
        self.0.store(Arc::new(moves.collect()));
    }
}
