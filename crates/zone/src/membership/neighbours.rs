//! The fixed set of members that this node pings.

use crate::directory::{Directory, MemberKey};
use crate::score::pair_score;
use knapweed_world::{Name, Time};
use slotmap::SecondaryMap;
use std::cmp::Reverse;
use std::net::SocketAddr;

/// Number of members that each node pings.
pub const NEIGHBOURS: usize = 6;

/// A member that this node pings.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Neighbour {
    pub(crate) member: MemberKey,
    pub(crate) address: SocketAddr,
    /// When a message of the neighbour arrived, or a ping was sent to it.
    pub(crate) last_contact: Time,
}

/// The neighbours of this node, best pair score first.
#[derive(Debug, Default)]
pub(crate) struct Neighbours {
    list: Vec<Neighbour>,
    scores: SecondaryMap<MemberKey, u64>,
    is_stale: bool,
}

/// Access.
impl Neighbours {
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Neighbour> {
        self.list.iter()
    }

    pub(crate) fn len(&self) -> usize {
        self.list.len()
    }
}

/// Mutation.
impl Neighbours {
    /// Notes that members have come or gone.
    pub(crate) fn invalidate(&mut self) {
        self.is_stale = true;
    }

    /// Chooses the best pairs among the present members of the availability
    /// zone again; `false` when none has come or gone since the last time.
    pub(crate) fn refresh(&mut self, now: Time, directory: &Directory, own: MemberKey) -> bool {
        if !self.is_stale {
            return false;
        }
        self.is_stale = false;
        let Some(me) = directory.get(own) else {
            return false;
        };
        let mut ranked = Vec::new();
        for (key, record) in directory.present() {
            if key != own && record.zone == me.zone {
                ranked.push((self.score(key, &me.host, &record.host), key, record.address));
            }
        }
        if ranked.len() > NEIGHBOURS {
            ranked.select_nth_unstable_by_key(NEIGHBOURS, |(score, ..)| Reverse(*score));
            ranked.truncate(NEIGHBOURS);
        }
        ranked.sort_unstable_by_key(|(score, ..)| Reverse(*score));
        let list = ranked.iter().map(|(_, member, address)| Neighbour {
            member: *member,
            address: *address,
            last_contact: self.contact(*member).unwrap_or(now),
        });
        self.list = list.collect();
        true
    }

    /// Records that a message of `address` arrived.
    pub(crate) fn heard(&mut self, now: Time, address: SocketAddr) {
        if let Some(neighbour) = self.list.iter_mut().find(|n| n.address == address) {
            neighbour.last_contact = now;
        }
    }

    /// The neighbour to ping next: the one without contact for the longest time.
    ///
    /// A message of a live neighbour saves a ping, so a dead one is pinged
    /// sooner than in a fixed order.
    pub(crate) fn next(&mut self, now: Time) -> Option<Neighbour> {
        let neighbour = self.list.iter_mut().min_by_key(|n| n.last_contact)?;
        neighbour.last_contact = now;
        Some(*neighbour)
    }

    fn contact(&self, member: MemberKey) -> Option<Time> {
        let known = self.list.iter().find(|n| n.member == member);
        known.map(|n| n.last_contact)
    }

    fn score(&mut self, key: MemberKey, own: &Name, other: &Name) -> u64 {
        if let Some(score) = self.scores.get(key) {
            return *score;
        }
        let score = pair_score(own, other);
        self.scores.insert(key, score);
        score
    }
}
