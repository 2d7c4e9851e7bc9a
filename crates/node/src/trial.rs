//! Trials: request counts and guards for services whose traffic is being moved.
//!
//! The guard is a circuit breaker for the new version. For a service without a
//! rollout, the path of a request does one map lookup.

use arc_swap::ArcSwap;
use knapweed_observe::part;
use knapweed_rollout::counters::{LoadLevel, Sample, SeriesId, SeriesKey, Warmth};
use knapweed_rollout::judge::Tally;
use knapweed_rollout::{Counters, Guard, Phase, RolloutState, guard};
use knapweed_world::{Name, TicketNumber, Time};
use parking_lot::Mutex;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

/// The rollout of one service at the egress of this host.
#[derive(Debug)]
pub struct Trial {
    ticket: TicketNumber,
    zone: Name,
    new_versions: Vec<Name>,
    counts: Mutex<TrialCounts>,
}

#[derive(Debug)]
struct TrialCounts {
    guard: Guard,
    /// Number of times that the guard tripped.
    trips: u32,
    /// Totals since the rollout became known.
    totals: Counters,
    /// Series that have changed since the last report.
    changed: HashSet<SeriesKey>,
}

/// The series that a report contains.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// All series.
    All,
    /// Those that have changed since the last report.
    Changed,
}

/// Counts of a trial since the rollout became known on this host.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    /// Number of times that the guard tripped.
    pub guard_trips: u32,
    /// Totals of the series in the scope of the report.
    pub counters: Counters,
}

/// A request that ran on a backend server of a service under trial.
#[derive(Clone, Debug)]
pub struct RequestRun<'a> {
    /// Route of the request.
    pub route: &'a Name,
    /// Version of the backend server.
    pub version: &'a Name,
    /// Slots in use when the request started, its own included.
    pub in_use: u32,
    /// Total slots of the backend server.
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
            counts: Mutex::new(TrialCounts {
                guard,
                trips: 0,
                totals: Counters::default(),
                changed: HashSet::new(),
            }),
        }
    }

    /// Whether a request may run on `version` on this host. The guard refuses a new
    /// version that clearly fails here.
    pub fn admits(&self, version: &Name) -> bool {
        !self.is_new(version) || self.counts.lock().guard.admits()
    }

    /// Records a finished request in the counters and in the guard.
    pub fn record(&self, run: &RequestRun<'_>, sample: Sample, now: Time) {
        let id = SeriesId {
            zone: self.zone.clone(),
            version: run.version.clone(),
            route: run.route.clone(),
            load: LoadLevel::of(run.in_use, u32::from(run.slots)),
            warmth: run.warmth,
        };
        let failed = matches!(sample, Sample::Failed);
        let mut counts = self.counts.lock();
        if let Some(key) = counts.totals.key(&id) {
            counts.totals.record(key, sample);
            counts.changed.insert(key);
        }
        let route = counts.guard.route(run.route);
        if !self.is_new(run.version) {
            counts.guard.record_old(route, failed);
            return;
        }
        let admitted = counts.guard.admits();
        counts.guard.record_new(route, failed, now);
        if let Some(fault) = counts.guard.fault().filter(|_| admitted) {
            let version = run.version;
            log::warn!(target: part::ROLLOUT, "the guard refuses version {version} here: {fault}");
            counts.trips += 1;
        }
    }

    /// Applies the state of the rollout, which may make the guard admit requests
    /// again, and sets the guard's baseline to the failures of the old versions that
    /// the state's evidence contains from all hosts.
    pub fn apply(&self, state: &RolloutState, now: Time) {
        let mut counts = self.counts.lock();
        counts.guard.apply_state(state);
        for (route, old) in baselines(state) {
            let route = counts.guard.route(&route);
            counts.guard.set_baseline(route, old, now);
        }
    }

    /// The ticket that requested the rollout.
    pub fn ticket(&self) -> TicketNumber {
        self.ticket
    }

    /// Returns the totals for a report.
    pub fn report(&self, scope: Scope) -> Totals {
        let mut counts = self.counts.lock();
        let changed = std::mem::take(&mut counts.changed);
        Totals {
            guard_trips: counts.trips,
            counters: match scope {
                Scope::All => counts.totals.clone(),
                Scope::Changed => counts.totals.select(changed),
            },
        }
    }

    fn is_new(&self, version: &Name) -> bool {
        self.new_versions.contains(version)
    }
}

/// Request and failure counts of the old versions by route, from the evidence in
/// `state`.
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

/// State of the move of one service's traffic.
#[derive(Clone, Debug)]
enum Move {
    /// The move is in progress.
    Running(Arc<Trial>),
    /// The traffic was pulled back from these versions.
    PulledBack(Vec<Name>),
}

/// The moves by service. The control thread replaces the complete map at once.
#[derive(Debug, Default)]
pub struct Trials(ArcSwap<HashMap<Name, Move>>);

impl Trials {
    /// Returns the trial of a service; `None` unless its traffic is being moved.
    pub fn find(&self, service: &Name) -> Option<Arc<Trial>> {
        match self.0.load().get(service)? {
            Move::Running(trial) => Some(Arc::clone(trial)),
            Move::PulledBack(_) => None,
        }
    }

    /// Whether a version of a service was pulled back. Nodes that have not received
    /// this yet may still send requests to it.
    pub fn is_pulled_back(&self, service: &Name, version: &Name) -> bool {
        match self.0.load().get(service) {
            Some(Move::PulledBack(versions)) => versions.contains(version),
            _ => false,
        }
    }

    /// Returns all running trials with the names of their services.
    pub fn all(&self) -> Vec<(Name, Arc<Trial>)> {
        let trials = self.0.load();
        let running = trials
            .iter()
            .filter_map(|(service, service_move)| match service_move {
                Move::Running(trial) => Some((service.clone(), Arc::clone(trial))),
                Move::PulledBack(_) => None,
            });
        running.collect()
    }

    /// Replaces the map according to the rollout states: continues the trials of
    /// known tickets, starts trials of new ones and drops completed rollouts.
    pub fn update(&self, states: &BTreeMap<Name, RolloutState>, zone: &Name, now: Time) {
        let old = self.0.load();
        let moves = states.iter().filter_map(|(service, state)| {
            let service_move = match (&state.phase, old.get(service)) {
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
            Some((service.clone(), service_move))
        });
        self.0.store(Arc::new(moves.collect()));
    }
}
