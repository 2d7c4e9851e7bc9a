//! Evaluation of what the members of a simulation know and have reported.

use super::{Observation, Sim};
use knapweed_world::ConfigVersion;
use knapweed_zone::{MemberRecord, MemberState};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Queries and checks of the simulated state.
impl Sim {
    /// The version that a node has applied; `None` while it is down.
    pub fn version(&self, node: usize) -> Option<ConfigVersion> {
        let membership = self.nodes[node].membership.as_ref()?;
        Some(membership.own().applied)
    }

    /// Whether each running node has applied at least `version`.
    pub fn all_applied(&self, version: ConfigVersion) -> bool {
        (0..self.nodes.len()).all(|n| self.version(n).is_none_or(|v| v >= version))
    }

    /// The node with this address.
    pub fn node_at(&self, address: SocketAddr) -> usize {
        self.by_address[&address]
    }

    /// The record of `host` in the directory of `observer`.
    pub fn record(&self, observer: usize, host: usize) -> Option<&MemberRecord> {
        let directory = self.nodes[observer].membership.as_ref()?.directory();
        directory.get(directory.find(&self.nodes[host].entry.name)?)
    }

    /// Whether each running node that knows `host` has it in `state`.
    pub fn all_see(&self, host: usize, state: MemberState) -> bool {
        let sees = |n: usize| self.record(n, host).is_none_or(|r| r.state == state);
        (0..self.nodes.len()).filter(|n| *n != host).all(sees)
    }

    /// Reported deaths of processes that are still running.
    pub fn false_deaths(&self) -> Vec<Observation> {
        let is_running = |s: &&Observation| {
            let membership = self.nodes[s.host].membership.as_ref();
            membership.is_some_and(|m| m.own().incarnation == s.incarnation)
        };
        let dead = self
            .observations
            .iter()
            .filter(|s| s.state == MemberState::Dead);
        dead.filter(is_running).copied().collect()
    }

    /// Deaths reported by a node that had reported the same host as alive before.
    pub fn relapses(&self) -> Vec<Observation> {
        let mut alive = HashSet::new();
        let mut relapses = Vec::new();
        for observation in &self.observations {
            let pair = (observation.observer, observation.host);
            match observation.state {
                MemberState::Alive => drop(alive.insert(pair)),
                MemberState::Dead if alive.contains(&pair) => relapses.push(*observation),
                _ => {}
            }
        }
        relapses
    }
}

/// The largest of some times.
pub fn worst(times: &[Duration]) -> Duration {
    times.iter().copied().max().unwrap_or_default()
}

/// The median of some times.
pub fn median(times: &[Duration]) -> Duration {
    let mut sorted = times.to_vec();
    sorted.sort();
    sorted.get(sorted.len() / 2).copied().unwrap_or_default()
}
