//! Garbage collection of unused part objects.

use crate::{Digest, Head, parts};
use knapweed_store::{ObjectKey, Revision};
use knapweed_world::Time;
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

/// Time that a part must be unused before it is deleted. Until then, nodes that
/// still load an older head can read it.
pub const GRACE_PERIOD: Duration = Duration::from_secs(600);
/// Maximum number of deletions per second.
pub const MAX_DELETIONS_PER_S: usize = 10;

/// A deletion to perform, conditional on the revision of the object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Deletion {
    /// Key of the part object.
    pub key: ObjectKey,
    /// The revision that the object must still have.
    pub revision: Revision,
}

#[derive(Clone, Copy)]
struct UnusedPart {
    revision: Revision,
    since: Time,
}

/// Tracks since when each part has been unused, and selects the parts to delete.
///
/// A process that accepts a ticket first writes the new parts and then the head,
/// conditional on the revision of the head that it read. A part with a higher
/// revision than the head may belong to such a process, which can pause for any
/// time, and is kept. A part with a lower revision can no longer be needed by
/// one, because its head write would fail. A process that reuses an existing part
/// writes it again, so that the conditional deletion of the old revision fails.
#[derive(Default)]
pub struct PartCollector {
    unused: BTreeMap<Digest, UnusedPart>,
}

impl PartCollector {
    /// Updates the unused parts from a listing of part objects and the head, and
    /// returns at most [`MAX_DELETIONS_PER_S`] deletions.
    ///
    /// The listing and the head may be read in either order. To keep the rate limit,
    /// the method must be called at most once per second.
    pub fn observe(
        &mut self,
        listed: &[(ObjectKey, Revision)],
        head: &Head,
        head_revision: Revision,
        now: Time,
    ) -> Vec<Deletion> {
        let used: HashSet<_> = head.digests().collect();
        let unused = listed
            .iter()
            .filter_map(|(key, revision)| Some((parts::digest_from_key(key)?, *revision)))
            .filter(|(digest, _)| !used.contains(digest));
        let known = std::mem::take(&mut self.unused);
        for (digest, revision) in unused {
            let before = known.get(&digest).filter(|u| u.revision == revision);
            let since = before.map_or(now, |u| u.since);
            self.unused.insert(digest, UnusedPart { revision, since });
        }
        let due = self.unused.iter().filter(|(_, u)| {
            let old = now.since(u.since) >= GRACE_PERIOD;
            old && u.revision < head_revision
        });
        let deletion = |(digest, u): (&Digest, &UnusedPart)| Deletion {
            key: parts::key(digest),
            revision: u.revision,
        };
        due.take(MAX_DELETIONS_PER_S).map(deletion).collect()
    }
}
