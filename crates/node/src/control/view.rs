//! What operators see of the control thread, published after each change.

use super::Control;
use knapweed_contract::api::{NodeState, NodeSummary};
use knapweed_world::Config;
use knapweed_zone::{MemberRecord, MemberState};
use std::sync::Arc;

/// The state that operators can read.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration in force on this node.
    pub config: Arc<Config>,
    /// All nodes that this node knows.
    pub nodes: Vec<NodeSummary>,
}

impl Control {
    pub(super) fn publish_view(&self) {
        let records = self.membership.directory().iter();
        let mut nodes: Vec<_> = records.map(|(_, record)| summary(record)).collect();
        nodes.sort_by(|a, b| a.host.cmp(&b.host));
        let config = Arc::clone(self.configs.config());
        self.parts.view.store(Arc::new(View { config, nodes }));
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
