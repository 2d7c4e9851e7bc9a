//! The rollout states that a node knows: what it learns from others, what it tells a holder of
//! the duty, and what the object store may have lost.

use knapweed_rollout::{RolloutController, RolloutState};
use knapweed_world::Name;
use knapweed_world::config::ServiceConfig;
use std::collections::{BTreeMap, BTreeSet};

/// Largest number of ended rollouts whose stored state is compared with the known one at a
/// time, after the object store has come back from an older copy: 80 reads per second, a
/// small part of the rate limit that all nodes share.
const MAX_CHECKS: usize = 16;

/// A service with its newest order or ticket.
#[derive(Clone, Copy, Debug)]
pub struct Moved<'a> {
    /// Name of the service.
    pub name: &'a Name,
    /// Its configuration.
    pub config: &'a ServiceConfig,
    /// Whether the end of the rollout that it requests is not known to be reported.
    pub has_open_result: bool,
}

/// The newest state of each service.
#[derive(Debug, Default)]
pub struct KnownStates {
    states: BTreeMap<Name, RolloutState>,
    /// Services whose state the object store may have lost, until this node has found it
    /// there or written it while it held the duty.
    unsaved: BTreeSet<Name>,
}

/// Exchange with other nodes.
impl KnownStates {
    /// The states by service.
    pub fn states(&self) -> &BTreeMap<Name, RolloutState> {
        &self.states
    }

    /// Joins a state with the known one; returns the joined state if it is newer than that.
    /// `may_be_lost` tells whether the object store has lost changes before.
    pub fn join(&mut self, state: &RolloutState, may_be_lost: bool) -> Option<&RolloutState> {
        let known = self.states.get(&state.service);
        if known.is_some_and(|known| known.cmp_precedence(state).is_ge()) {
            return None;
        }
        let joined = match known.cloned() {
            Some(known) => known.join(state.clone()),
            None => state.clone(),
        };
        let service = &state.service;
        self.states.insert(service.clone(), joined);
        // The copy of a node may be all that is left of a state that was stored.
        if may_be_lost {
            self.unsaved.insert(service.clone());
        }
        self.states.get(service)
    }

    /// The states that a node should get which has sent `received`, and the holder that it
    /// knows: ended rollouts that it takes for running, and all newer states once the object
    /// store has lost some.
    ///
    /// A node may have missed the publication of an end, which is not repeated. A pull-back is
    /// published before it is stored, so a new holder may know neither. From a store that came
    /// back from an older copy, it may have read any earlier state.
    pub fn newer_than(&self, received: &[RolloutState], may_be_lost: bool) -> Vec<RolloutState> {
        let newer = |state: &RolloutState| {
            let known = self.states.get(&state.service)?;
            let is_behind = known.cmp_precedence(state).is_gt();
            (is_behind && (known.phase.is_final() || may_be_lost)).then(|| known.clone())
        };
        received.iter().filter_map(newer).collect()
    }
}

/// Controllers, while the node holds the duty.
impl KnownStates {
    /// Notes that the object store has come back from an older copy: all known states are
    /// compared with the stored ones, also those of ended rollouts.
    pub fn restored(&mut self) {
        self.unsaved.extend(self.states.keys().cloned());
    }

    /// The services that need a controller and have none: those with a rollout that has no
    /// final result or a state that is not final, and some whose state may not be stored.
    pub fn needed<'a>(
        &self,
        services: impl Iterator<Item = Moved<'a>>,
        controllers: &BTreeMap<Name, RolloutController>,
    ) -> Vec<Name> {
        let mut needed = Vec::new();
        for service in services {
            let state = self.states.get(service.name);
            let has_rollout = service.config.rollout.is_some();
            let active = state.is_some_and(|s| !s.phase.is_final());
            let not_started = has_rollout && state.is_none_or(|s| s.ticket < service.config.ticket);
            if active || not_started || (has_rollout && service.has_open_result) {
                needed.push(service.name.clone());
            }
        }
        let is_missing = |name: &Name| !controllers.contains_key(name);
        needed.retain(is_missing);
        let unsaved = self.unsaved.iter();
        let unchecked = unsaved.filter(|name| is_missing(name) && !needed.contains(name));
        let unchecked: Vec<_> = unchecked.take(free_checks(controllers)).cloned().collect();
        needed.extend(unchecked);
        needed
    }

    /// Drops the controllers that have nothing left to do.
    pub fn drop_done(&mut self, controllers: &mut BTreeMap<Name, RolloutController>) {
        controllers.retain(|service, controller| {
            let is_done = controller.is_idle() && controller.state().is_some();
            if is_done {
                self.unsaved.remove(service);
            }
            !is_done
        });
    }
}

/// How many more ended rollouts may be compared with their stored state.
fn free_checks(controllers: &BTreeMap<Name, RolloutController>) -> usize {
    let states = controllers.values().filter_map(RolloutController::state);
    let checking = states.filter(|state| state.phase.is_final()).count();
    MAX_CHECKS.saturating_sub(checking)
}
