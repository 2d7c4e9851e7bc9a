//! Receivers of a small replicated set that every node must have.
//!
//! New entries are pushed to random members, which push them on (rumor mongering), and
//! each node that has entries compares them with random members (anti-entropy). Source:
//! Demers et al., "Epidemic algorithms for replicated database maintenance", 1987.

use crate::directory::Directory;
use crate::record::{MemberRecord, MemberState};
use knapweed_world::{Name, Time};
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Members of the own availability zone that get a new entry from each node that learns of it.
pub const ZONE_FANOUT: usize = 4;
/// Members of each other availability zone that get a new entry from the node that made it.
pub const REMOTE_FANOUT: usize = 2;
/// Time after a change during which comparisons are frequent: a push that was lost is
/// repaired within about a second.
pub const CHANGE_PERIOD: Duration = Duration::from_secs(5);
/// Interval of the comparisons of a node during [`CHANGE_PERIOD`].
pub const FAST_REPAIR_INTERVAL: Duration = Duration::from_millis(500);
/// Members of the own availability zone in each comparison during [`CHANGE_PERIOD`].
pub const FAST_REPAIR_FANOUT: usize = 2;
/// Interval of the comparisons of a node with one member while nothing changes.
pub const REPAIR_INTERVAL: Duration = Duration::from_secs(2);
/// One in this many comparisons includes a member of another availability zone, since
/// links between zones are billed by volume. All nodes of a zone together compare with
/// others several times a second.
const REMOTE_REPAIR_ONE_IN: u32 = 2;

/// Where a new entry comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// This node made it.
    Local,
    /// Another node sent it.
    Peer,
}

/// Chooses the receivers of one replicated set at one node.
#[derive(Debug)]
pub struct Epidemic {
    next_repair: Time,
    changed_at: Option<Time>,
    comparisons: u32,
    rng: SmallRng,
}

impl Epidemic {
    /// Creates the state of a node that has no entries yet.
    pub fn new(now: Time, rng: SmallRng) -> Self {
        Self {
            next_repair: now,
            changed_at: None,
            comparisons: 0,
            rng,
        }
    }

    /// Members that a new entry is pushed to.
    pub fn receivers(
        &mut self,
        now: Time,
        directory: &Directory,
        own: &MemberRecord,
        origin: Origin,
    ) -> Vec<SocketAddr> {
        self.changed_at = Some(now);
        self.next_repair = self.next_repair.min(now.after(FAST_REPAIR_INTERVAL));
        let mut receivers = self.choose(directory, own, &own.zone, ZONE_FANOUT);
        if origin == Origin::Local {
            for zone in other_zones(directory, own) {
                receivers.extend(self.choose(directory, own, zone, REMOTE_FANOUT));
            }
        }
        receivers
    }

    /// Members to compare entries with now; none unless a comparison is due.
    pub fn repair(
        &mut self,
        now: Time,
        directory: &Directory,
        own: &MemberRecord,
    ) -> Vec<SocketAddr> {
        if now < self.next_repair {
            return Vec::new();
        }
        let is_recent = self
            .changed_at
            .is_some_and(|at| now.since(at) < CHANGE_PERIOD);
        let (interval, count) = match is_recent {
            true => (FAST_REPAIR_INTERVAL, FAST_REPAIR_FANOUT),
            false => (REPAIR_INTERVAL, 1),
        };
        self.next_repair = now.after(interval);
        self.comparisons = self.comparisons.wrapping_add(1);
        let mut members = self.choose(directory, own, &own.zone, count);
        // A node that is alone in its zone has nobody else to learn from.
        if members.is_empty() || self.comparisons.is_multiple_of(REMOTE_REPAIR_ONE_IN) {
            let zone = other_zones(directory, own)
                .into_iter()
                .choose(&mut self.rng);
            members.extend(zone.and_then(|z| self.choose(directory, own, z, 1).pop()));
        }
        members
    }

    /// The member that entries are pushed to in order to repair lost pushes: one of the
    /// own availability zone, and at times one of another, so that all nodes of a zone
    /// together send to others about [`REMOTE_FANOUT`] times in each round.
    pub fn repair_receiver(
        &mut self,
        directory: &Directory,
        own: &MemberRecord,
    ) -> Option<SocketAddr> {
        let neighbours = others(directory, own).filter(|r| r.zone == own.zone);
        let zone_members = neighbours.count() + 1;
        let is_remote = self.rng.random_range(0..zone_members) < REMOTE_FANOUT;
        others(directory, own)
            .filter(|r| (r.zone != own.zone) == is_remote)
            .map(|r| r.address)
            .choose(&mut self.rng)
    }

    fn choose(
        &mut self,
        directory: &Directory,
        own: &MemberRecord,
        zone: &Name,
        count: usize,
    ) -> Vec<SocketAddr> {
        others(directory, own)
            .filter(|r| r.zone == *zone)
            .map(|r| r.address)
            .choose_multiple(&mut self.rng, count)
    }
}

fn others<'a>(
    directory: &'a Directory,
    own: &'a MemberRecord,
) -> impl Iterator<Item = &'a MemberRecord> {
    let members = directory.present().map(|(_, r)| r);
    members.filter(|r| r.host != own.host && r.state == MemberState::Alive)
}

fn other_zones<'a>(directory: &'a Directory, own: &'a MemberRecord) -> BTreeSet<&'a Name> {
    others(directory, own)
        .map(|r| &r.zone)
        .filter(|zone| **zone != own.zone)
        .collect()
}
