//! State of the control thread that operators can read, published after each change.

use super::Controller;
use arc_swap::ArcSwap;
use knapweed_contract::api::{NodeState, NodeSummary};
use knapweed_contract::check::CurrentShares;
use knapweed_rollout::RolloutState;
use knapweed_world::config::{ServiceConfig, VersionShare};
use knapweed_world::{Config, Name, StoreEra};
use knapweed_zone::{MemberRecord, MemberState};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The state that operators can read.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration in force on this node.
    pub config: Arc<Config>,
    /// Entries of the configuration that this node read from its source and could not use
    /// as written; 0 when the configuration came from another node.
    pub config_problems: usize,
    /// The latest era of the store that this node knows of.
    pub store_era: StoreEra,
    /// All nodes in the membership directory, sorted by host.
    pub nodes: Vec<NodeSummary>,
    /// Names of the duties that this node holds.
    pub duties: Vec<String>,
    /// The newest rollout state of each service.
    pub rollouts: BTreeMap<Name, RolloutState>,
}

/// Supplies the version shares in force to the check of tickets.
pub struct ViewShares(pub Arc<ArcSwap<View>>);

impl CurrentShares for ViewShares {
    fn shares(&self, service: &Name, config: &ServiceConfig) -> Vec<VersionShare> {
        let view = self.0.load();
        knapweed_rollout::shares::in_force(config, view.rollouts.get(service))
    }
}

impl Controller {
    pub(super) fn publish_view(&self) {
        let records = self.membership.directory().iter();
        let mut nodes: Vec<_> = records.map(|(_, record)| summary(record)).collect();
        nodes.sort_by(|a, b| a.host.cmp(&b.host));
        let config = Arc::clone(self.configs.config());
        self.dependencies.view.store(Arc::new(View {
            config,
            config_problems: self.config_problems,
            store_era: self.restores.era(),
            nodes,
            duties: self.membership.duties().map(|d| d.to_string()).collect(),
            rollouts: self.rollouts.known.states().clone(),
        }));
    }
}

fn summary(record: &MemberRecord) -> NodeSummary {
    NodeSummary {
        host: record.host.clone(),
        zone: record.zone.clone(),
        address: record.address,
        state: match record.state {
            MemberState::Alive => NodeState::Alive,
            MemberState::Suspect => NodeState::Suspect,
            MemberState::Leaving => NodeState::Leaving,
            MemberState::Dead => NodeState::Dead,
        },
        version: record.applied,
        error: record.last_error.map(|code| format!("error {}", code.0)),
        backend_servers: record.announcements.to_vec(),
    }
}
