//! Timeouts of suspected members, which are declared dead unless they refute in time.

use crate::directory::MemberKey;
use crate::record::{Incarnation, MemberRecord, Sequence};
use knapweed_world::Time;
use slotmap::SecondaryMap;
use std::time::Duration;

/// Time within which a member must refute a suspicion.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    deadline: Time,
    /// The version of the record that is suspected.
    change: (Incarnation, Sequence),
}

/// The suspicions that this node knows of, whether it raised them itself or not.
///
/// Every node runs the timeout itself, so a death needs no second round of gossip.
#[derive(Debug, Default)]
pub(crate) struct Suspicions(SecondaryMap<MemberKey, Suspicion>);

/// Start, end and expiry of suspicions.
impl Suspicions {
    /// Starts the timeout, unless it is already running for the same version of the record.
    pub(crate) fn start(&mut self, now: Time, member: MemberKey, record: &MemberRecord) {
        let change = (record.incarnation, record.sequence);
        if self.0.get(member).is_some_and(|s| s.change == change) {
            return;
        }
        let deadline = now.after(SUSPICION_TIMEOUT);
        self.0.insert(member, Suspicion { deadline, change });
    }

    /// Drops the suspicion if `record` is newer than the suspected version.
    pub(crate) fn refute(&mut self, member: MemberKey, record: &MemberRecord) {
        let change = (record.incarnation, record.sequence);
        if self.0.get(member).is_some_and(|s| s.change < change) {
            self.0.remove(member);
        }
    }

    /// Drops the suspicion of a member unconditionally.
    pub(crate) fn clear(&mut self, member: MemberKey) {
        self.0.remove(member);
    }

    /// Ends the suspicions whose deadline has passed, and returns their members.
    pub(crate) fn expire(&mut self, now: Time) -> Vec<MemberKey> {
        let expired = self.0.iter().filter(|(_, s)| s.deadline <= now);
        let members: Vec<_> = expired.map(|(k, _)| k).collect();
        for member in &members {
            self.0.remove(*member);
        }
        members
    }

    /// Extends all deadlines by the length of a pause of this node.
    pub(crate) fn extend(&mut self, pause: Duration) {
        for suspicion in self.0.values_mut() {
            suspicion.deadline = suspicion.deadline.after(pause);
        }
    }
}
