//! Changes of several nodes on one time line.

use knapweed_observe::History;
use knapweed_observe::history::ChangeKind;
use knapweed_world::UnixMillis;
use serde::Serialize;
use std::fmt;
use std::time::Duration;

/// Longest time between two nodes that apply the same change; later ones are
/// listed apart, such as those of a restarted node.
const SAME_CHANGE: Duration = Duration::from_secs(60);

/// A change that one or more nodes put in force.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MeshChange {
    /// When the first node had it.
    pub first: UnixMillis,
    /// When the last node had it.
    pub last: UnixMillis,
    /// Number of nodes.
    pub nodes: u32,
    /// What changed.
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

/// The changes of all nodes by time.
pub fn merge(histories: &[History]) -> Vec<MeshChange> {
    let all = histories.iter().flat_map(|h| &h.changes);
    let mut all: Vec<_> = all.collect();
    all.sort_by_key(|c| c.at);
    let mut merged: Vec<MeshChange> = Vec::new();
    for change in all {
        let same =
            |m: &&mut MeshChange| m.kind == change.kind && change.at.since(m.first) <= SAME_CHANGE;
        match merged.iter_mut().rev().find(same) {
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
