//! Decides what an order means that was read from its source: whether it is new, which ticket
//! and terms it gets, and what its source does not know of its progress.

use crate::orders::{Order, Progress};
use knapweed_rollout::{Outcome, RolloutState, TicketResult};
use knapweed_world::config::{Caution, RolloutTerms, ServiceConfig, VersionShare};
use knapweed_world::{ConfigVersion, Name, Share, TicketNumber, UnixMillis};
use std::collections::{BTreeMap, BTreeSet};

/// What is known of a service when its order is read.
#[derive(Clone, Copy, Debug)]
pub struct Known<'a> {
    /// State of its newest rollout; `None` before the first.
    pub state: Option<&'a RolloutState>,
    /// Whether the store came back from an older copy and may not have the newest order yet.
    pub may_be_lost: bool,
    /// The wall-clock time, from which a new order counts.
    pub wall: UnixMillis,
}

/// What the source of an order does not know of its progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Missing {
    /// That traffic is being moved.
    Start,
    /// How the rollout ended.
    End,
}

/// Whether an order may wait until the versions in force are known: for three quarters of its
/// time, so that it can still complete in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MayWait {
    /// It may.
    Yes,
    /// It starts from what is known.
    No,
}

/// What follows from an order that was read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It is not started, since a newer one is known.
    Held,
    /// It waits until it is known which versions have the traffic.
    Waiting {
        /// Whether it has just begun to wait.
        is_new: bool,
    },
    /// It is the order of its service.
    Tracked {
        /// Its number.
        ticket: TicketNumber,
        /// Whether it was not known before.
        is_new: bool,
        /// What is to be reported.
        missing: Option<Missing>,
    },
}

/// What follows from the end of a rollout.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EndDecision {
    /// Nothing yet: its order has not been read, or the end is being reported.
    Wait,
    /// No source needs the end.
    Unneeded,
    /// The end is reported for the order to this version.
    Report {
        /// The version.
        target: Name,
        /// The end.
        progress: Progress,
    },
}

/// An order that this node carries out while it holds the duty of rollout control.
#[derive(Clone, Debug)]
struct TrackedOrder {
    /// Configuration of the service as a ticket with this order would set it.
    config: ServiceConfig,
    reported: Option<Progress>,
}

/// An order that has not been started, since the versions in force are not known.
#[derive(Clone, Debug)]
struct WaitingOrder {
    order: Order,
    /// When it was read first, from which its time counts.
    since: UnixMillis,
}

/// The newest order of each service.
#[derive(Debug, Default)]
pub struct OrderBook {
    tracked: BTreeMap<Name, TrackedOrder>,
    waiting: BTreeMap<Name, WaitingOrder>,
    is_loaded: bool,
    has_held_orders: bool,
    /// Services whose end is being reported.
    reporting: BTreeSet<Name>,
}

/// Orders that were read.
impl OrderBook {
    /// Notes that all orders of the source have been read.
    pub fn loaded(&mut self) {
        self.is_loaded = true;
    }

    /// Decides about an order that was read. `established` returns the shares in force of a
    /// service without a known rollout; `None` while they are not known and the order may wait.
    pub fn read(
        &mut self,
        order: &Order,
        known: Known<'_>,
        established: impl FnOnce(MayWait) -> Option<Vec<VersionShare>>,
    ) -> Decision {
        let waiting = self.waiting.remove(&order.service);
        if is_outdated(order, known) {
            self.has_held_orders = true;
            return Decision::Held;
        }
        let same = waiting.filter(|waiting| waiting.order == *order);
        let is_new = same.is_none();
        let since = same.map_or(known.wall, |waiting| waiting.since);
        let may_wait = match known.wall.since(since) < order.time * 3 / 4 {
            true => MayWait::Yes,
            false => MayWait::No,
        };
        let known = Known {
            wall: since,
            ..known
        };
        let established = || established(may_wait);
        let Some(config) = self.config_for(order, known, established) else {
            let order = order.clone();
            let service = order.service.clone();
            self.waiting.insert(service, WaitingOrder { order, since });
            return Decision::Waiting { is_new };
        };
        let ticket = config.ticket;
        let before = self.tracked.get(&order.service);
        let is_new = before.is_none_or(|tracked| tracked.config.ticket != ticket);
        let tracked = TrackedOrder {
            config,
            reported: order.reported,
        };
        self.tracked.insert(order.service.clone(), tracked);
        Decision::Tracked {
            ticket,
            is_new,
            missing: missing(order, known.state, ticket),
        }
    }

    /// Whether the order of a service was numbered before this state was known, so that it is
    /// to be read again: a rollout to its target has another number, or its own is taken.
    pub fn is_contradicted_by(&self, state: &RolloutState) -> bool {
        let tracked = self.config(&state.service);
        tracked.is_some_and(|config| match config.versions == state.target {
            true => config.ticket < state.ticket,
            false => config.ticket <= state.ticket,
        })
    }

    /// Configuration of the service as a ticket with this order would set it; `None` while the
    /// shares in force are not known.
    ///
    /// Orders are numbered per service. An order to another target than that of the
    /// known rollout state gets the number after that of the state. An order that is read
    /// again before its state is stored keeps its number and terms.
    fn config_for(
        &self,
        order: &Order,
        known: Known<'_>,
        established: impl FnOnce() -> Option<Vec<VersionShare>>,
    ) -> Option<ServiceConfig> {
        let target = vec![VersionShare {
            version: order.target.clone(),
            share: Share::ALL,
        }];
        let (ticket, terms) = match known.state.filter(|state| state.target == target) {
            Some(state) => (state.ticket, state.terms.clone()),
            None => {
                let last = known.state.map_or(TicketNumber(0), |state| state.ticket);
                let ticket = TicketNumber(last.0 + 1);
                let tracked = self.config(&order.service);
                let same = tracked.filter(|c| c.ticket == ticket && c.versions == target);
                let terms = same.and_then(|config| config.rollout.clone());
                let terms = terms.filter(|t| t.deadline.since(t.start) == order.time);
                let terms = match terms {
                    Some(terms) => terms,
                    None => new_terms(order, known, established)?,
                };
                (ticket, terms)
            }
        };
        Some(ServiceConfig {
            versions: target,
            rollout: Some(terms),
            ticket,
            changed_at: ConfigVersion(ticket.0),
            max_connections: None,
            health_path: None,
            cold_limit: None,
        })
    }
}

/// Whether an order is older than the known state, from a store that has lost a later one.
///
/// The operator writes the newest order again some time after a loss. Until then, an order to a
/// version that the service had before may be older than the known state, whether its progress
/// was reported by the time of the copy or not. It may also be a new one, to return to that
/// version, so it is held for a while only. One whose end is reported is over.
fn is_outdated(order: &Order, known: Known<'_>) -> bool {
    let Some(state) = known.state else {
        return false;
    };
    let has = |list: &[VersionShare]| list.iter().any(|v| v.version == order.target);
    !has(&state.target)
        && match order.reported {
            Some(Progress::Completed | Progress::PulledBack) => true,
            // The shares at the start name all earlier versions, also those without traffic.
            Some(Progress::Running) | None => known.may_be_lost && has(&state.terms.from),
        }
}

/// The report that the source lacks, because the order is new or the store has lost it.
fn missing(order: &Order, state: Option<&RolloutState>, ticket: TicketNumber) -> Option<Missing> {
    let has_ended = state.is_some_and(|s| s.ticket == ticket && s.phase.is_final());
    match (has_ended, order.reported) {
        (true, None | Some(Progress::Running)) => Some(Missing::End),
        (false, None) => Some(Missing::Start),
        _ => None,
    }
}

fn new_terms(
    order: &Order,
    known: Known<'_>,
    established: impl FnOnce() -> Option<Vec<VersionShare>>,
) -> Option<RolloutTerms> {
    let in_force = match known.state {
        Some(state) => state.shares(),
        None => established()?,
    };
    // Versions without traffic are kept, since an older order may name them. The target may
    // have some or all of it.
    let from = in_force
        .into_iter()
        .filter(|s| s.version != order.target || s.share > Share::NONE);
    Some(RolloutTerms {
        start: known.wall,
        deadline: known.wall.after(order.time),
        min_old_capacity: 0,
        caution: Caution::Careful,
        from: from.collect(),
    })
}

/// Reports of ends.
impl OrderBook {
    /// Decides what is reported about the end of a rollout.
    ///
    /// With a source of orders all rollouts belong to one. An order that the source does not
    /// have, such as one that the store has lost, needs no report until it is there again.
    pub fn ended(&self, result: &TicketResult) -> EndDecision {
        let Some(config) = self.config(&result.service) else {
            return match self.is_loaded {
                true => EndDecision::Unneeded,
                false => EndDecision::Wait,
            };
        };
        // Only the progress of the newest order is reported.
        if result.ticket < config.ticket {
            return EndDecision::Unneeded;
        }
        let progress = match result.outcome {
            Outcome::Completed { .. } => Progress::Completed,
            Outcome::PulledBack { .. } => Progress::PulledBack,
            // The order that has replaced this one has not been read yet.
            Outcome::Superseded { .. } => return EndDecision::Wait,
        };
        if config.ticket != result.ticket {
            return EndDecision::Wait;
        }
        EndDecision::Report {
            target: config.versions[0].version.clone(),
            progress,
        }
    }

    /// Notes that the end of a service's rollout is being reported; returns false if it is
    /// already.
    pub fn begin_report(&mut self, service: &Name) -> bool {
        self.reporting.insert(service.clone())
    }

    /// Notes that the end of a service's rollout was reported.
    pub fn end_reported(&mut self, service: &Name) {
        self.reporting.remove(service);
    }
}

/// Queries.
impl OrderBook {
    /// Configuration of a service according to its newest order.
    pub fn config(&self, service: &Name) -> Option<&ServiceConfig> {
        self.tracked.get(service).map(|tracked| &tracked.config)
    }

    /// Whether all orders are known that the source had when this node took the duty.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Whether an order was not started because it may be older than the known state.
    pub fn has_held_orders(&self) -> bool {
        self.has_held_orders
    }

    /// Orders that are to be read again, once the versions in force may be known.
    pub fn waiting(&self) -> Vec<Order> {
        let waiting = self.waiting.values();
        waiting.map(|waiting| waiting.order.clone()).collect()
    }

    /// Services with an order whose end has not been reported.
    pub fn open(&self) -> impl Iterator<Item = &Name> {
        let is_open = |tracked: &TrackedOrder| {
            let ends = [Some(Progress::Completed), Some(Progress::PulledBack)];
            !ends.contains(&tracked.reported)
        };
        let open = self.tracked.iter().filter(move |(_, p)| is_open(p));
        open.map(|(service, _)| service)
    }
}
