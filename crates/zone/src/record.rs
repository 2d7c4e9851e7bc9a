//! The replicated record of one member, and the merge of two copies of it.

use knapweed_world::backend_server::{Announcement, ServerState};
use knapweed_world::snapshot::HostEntry;
use knapweed_world::{ConfigVersion, Name, UnixMillis};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum of [`MemberRecord::encoded_len_bound`], in bytes.
///
/// A larger record would not fit into one datagram next to the message header.
pub const MAX_RECORD_LEN: usize = 1_050;

/// Upper bound of the encoded length of one integer, in bytes.
const MAX_VARINT_LEN: usize = 10;
/// Upper bound of the encoded length of a socket address, in bytes.
const MAX_ADDRESS_LEN: usize = 20;

/// Identifies one run of a host's node process; increases with each restart.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Chooses the incarnation of a starting process: the wall clock, or one above
    /// `known`, the highest incarnation of this host that a peer knows.
    pub fn choose(known: Option<Self>, now: UnixMillis) -> Self {
        let next = known.map_or(0, |i| i.0 + 1);
        Self(next.max(now.0))
    }
}

/// Number of changes that a member has made to its own record in one incarnation.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Sequence(pub u64);

/// State of a member.
///
/// Between two copies with equal incarnation and sequence the greater state wins.
/// `Suspect` is below `Leaving`, so a suspicion does not hide that a member leaves.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The member answers pings.
    #[default]
    Alive,
    /// The member missed a probe and has not refuted the suspicion yet.
    Suspect,
    /// The member stops soon and accepts no new work.
    Leaving,
    /// The member stopped, or did not refute a suspicion in time.
    Dead,
}

/// Code of an error that a node reports about itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ErrorCode(pub u16);

/// The replicated state of one member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// Name of the host, which identifies the member across restarts.
    pub host: Name,
    /// UDP address at which other nodes reach the node.
    pub address: SocketAddr,
    /// Availability zone of the host.
    pub zone: Name,
    /// Region of the availability zone.
    pub region: Name,
    /// Incarnation of the process that the record describes.
    pub incarnation: Incarnation,
    /// Number of changes to the record in this incarnation.
    pub sequence: Sequence,
    /// State as of this copy; others may raise it without a new sequence.
    pub state: MemberState,
    /// Configuration version applied in this incarnation.
    pub applied: ConfigVersion,
    /// Highest configuration version that the host has served in any incarnation.
    pub served: ConfigVersion,
    /// Last error that the node reports; `None` when it reports none.
    pub last_error: Option<ErrorCode>,
    /// Whether the store answered the node's last calls.
    pub reaches_store: bool,
    /// Backend servers on the host, as they announced themselves.
    pub announcements: Arc<[Announcement]>,
}

/// Ordering key of the copies of one record; the greater copy is newer.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Precedence {
    /// Compared first: a restarted process overrides its predecessor.
    pub incarnation: Incarnation,
    /// Compared second: number of changes in that incarnation.
    pub sequence: Sequence,
    /// Decides between copies of the same change.
    pub state: MemberState,
}

/// Effect of a merge on the local copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Merge {
    /// The local copy was already as new.
    Unchanged,
    /// Only the applied or the served version changed.
    Version,
    /// The local copy was replaced by a newer one, or inserted.
    Content,
}

/// Construction.
impl MemberRecord {
    /// The first record that a starting node publishes about itself.
    pub fn new(entry: HostEntry, incarnation: Incarnation) -> Self {
        Self {
            host: entry.name,
            address: entry.address,
            zone: entry.zone,
            region: entry.region,
            incarnation,
            sequence: Sequence(1),
            state: MemberState::Alive,
            applied: ConfigVersion(0),
            served: ConfigVersion(0),
            last_error: None,
            reaches_store: true,
            announcements: entry.announcements.into(),
        }
    }
}

/// Ordering and merge of copies.
impl MemberRecord {
    /// Ordering key of this copy among all copies of the record.
    pub fn precedence(&self) -> Precedence {
        Precedence {
            incarnation: self.incarnation,
            sequence: self.sequence,
            state: self.state,
        }
    }

    /// Whether `other` has the same incarnation and sequence, whatever its state.
    pub fn is_same_change(&self, other: &Self) -> bool {
        (self.incarnation, self.sequence) == (other.incarnation, other.sequence)
    }

    /// Merges `other` into this copy; commutative, associative and idempotent.
    ///
    /// The applied and served versions are merged by maximum, so a change of them
    /// needs no new sequence. The applied version belongs to one incarnation.
    pub fn merge(&mut self, other: &Self) -> Merge {
        let versions = (self.applied, self.served);
        let served = self.served.max(other.served);
        let applied = match self.incarnation.cmp(&other.incarnation) {
            std::cmp::Ordering::Less => other.applied,
            std::cmp::Ordering::Equal => self.applied.max(other.applied),
            std::cmp::Ordering::Greater => self.applied,
        };
        let newer = other.precedence() > self.precedence();
        if newer {
            self.clone_from(other);
        }
        self.applied = applied;
        self.served = served.max(applied);
        if newer {
            Merge::Content
        } else if versions != (self.applied, self.served) {
            Merge::Version
        } else {
            Merge::Unchanged
        }
    }

    /// Records that the member has applied `version` in `incarnation`.
    ///
    /// A report of another incarnation raises the served version only.
    pub fn record_version(&mut self, incarnation: Incarnation, version: ConfigVersion) -> Merge {
        let before = (self.applied, self.served);
        self.served = self.served.max(version);
        if incarnation == self.incarnation {
            self.applied = self.applied.max(version);
        }
        if before == (self.applied, self.served) {
            Merge::Unchanged
        } else {
            Merge::Version
        }
    }
}

/// Derived values.
impl MemberRecord {
    /// Whether the member is not dead.
    pub fn is_present(&self) -> bool {
        self.state != MemberState::Dead
    }

    /// The host's entry in a routing snapshot; `None` for a dead member.
    ///
    /// The backend servers of a leaving host count as draining, whatever they announced.
    pub fn host_entry(&self) -> Option<HostEntry> {
        if !self.is_present() {
            return None;
        }
        let mut announcements = self.announcements.to_vec();
        announcements.retain(|a| a.state != ServerState::Gone);
        if self.state == MemberState::Leaving {
            for announcement in &mut announcements {
                announcement.state = ServerState::Draining;
            }
        }
        Some(HostEntry {
            name: self.host.clone(),
            zone: self.zone.clone(),
            region: self.region.clone(),
            address: self.address,
            announcements,
        })
    }

    /// Upper bound of the encoded length, in bytes.
    pub fn encoded_len_bound(&self) -> usize {
        let names = [&self.host, &self.zone, &self.region];
        let names: usize = names.into_iter().map(name_len).sum();
        let announcements: usize = self.announcements.iter().map(announcement_len).sum();
        // Integers: incarnation, sequence, applied, served, number of
        // announcements; then the state (1 byte), the error code (4 bytes) and
        // whether the store is reached (1 byte).
        names + MAX_ADDRESS_LEN + 5 * MAX_VARINT_LEN + 6 + announcements
    }
}

fn name_len(name: &Name) -> usize {
    1 + name.as_bytes().len()
}

fn announcement_len(announcement: &Announcement) -> usize {
    let instance = announcement.instance.as_ref();
    let instance = instance.map_or(0, |i| name_len(&i.name) + MAX_VARINT_LEN);
    // Slots and connections take at most 3 bytes each, the state, the cold start and
    // the presence of an instance 1 byte each.
    let names = name_len(&announcement.service) + name_len(&announcement.version);
    names + instance + MAX_ADDRESS_LEN + 9
}
