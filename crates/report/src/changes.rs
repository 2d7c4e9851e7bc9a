//! Merges the configuration changes that several nodes recorded.

use knapweed_observe::History;
use knapweed_observe::history::ChangeKind;
use knapweed_world::UnixMillis;
use serde::Serialize;
use std::fmt;
use std::time::Duration;

/// Longest time after the first node within which the same change of another
/// node is merged. Later ones are listed separately, such as those of a
/// restarted node, which applies its configuration again.
const MERGE_WINDOW: Duration = Duration::from_secs(60);

/// A configuration change, with the nodes that applied it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MeshChange {
    /// Time at which the first node applied it.
    pub first: UnixMillis,
    /// Time at which the last node applied it.
    pub last: UnixMillis,
    /// Number of nodes that applied it.
    pub nodes: u32,
    /// New configuration version, or new shares of a service.
    #[serde(flatten)]
    pub kind: ChangeKind,
}

impl fmt::Display for MeshChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ChangeKind::Version { version } => write!(f, "version {version} in force"),
            ChangeKind::Shares { service, shares } => {
                write!(f, "{service} served by")?;
                for share in shares {
                    write!(f, " {} {}", share.version, share.share)?;
                }
                Ok(())
            }
        }?;
        let took = self.last.since(self.first).as_secs();
        write!(f, " on {} nodes within {took} s", self.nodes)
    }
}

/// Merges equal changes of all nodes, in order of the first node to apply them.
pub fn merge(histories: &[History]) -> Vec<MeshChange> {
    let all = histories.iter().flat_map(|h| &h.changes);
    let mut all: Vec<_> = all.collect();
    all.sort_by_key(|c| c.at);
    let mut merged: Vec<MeshChange> = Vec::new();
    for change in all {
        let is_same =
            |m: &&mut MeshChange| m.kind == change.kind && change.at.since(m.first) <= MERGE_WINDOW;
        match merged.iter_mut().rev().find(is_same) {
            Some(found) => {
                found.last = change.at;
                found.nodes += 1;
            }
            None => merged.push(MeshChange {
                first: change.at,
                last: change.at,
                nodes: 1,
                kind: change.kind.clone(),
            }),
        }
    }
    merged
}
