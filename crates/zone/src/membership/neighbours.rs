//! The set of members that this node pings.
//!
//! Each node chooses the members with which it has the highest pair scores. Two members
//! are neighbours when either has chosen the other. If nodes pinged only the members
//! that they chose themselves, then of 280 members 1 would be pinged by nobody and 5 by
//! one member only.

use crate::directory::{Directory, MemberKey};
use crate::score::pair_score;
use knapweed_world::{Name, Time};
use slotmap::SecondaryMap;
use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of members that each node chooses.
pub const NEIGHBOURS: usize = 6;
/// Time after which a member stops being a neighbour unless it reports again that it
/// has chosen this node.
pub const CHOICE_TTL: Duration = Duration::from_secs(10);

/// A member that this node pings.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Neighbour {
    pub(crate) member: MemberKey,
    pub(crate) address: SocketAddr,
    /// When a message last arrived from the neighbour, or a ping was last sent to it.
    pub(crate) last_contact: Time,
    /// Whether this node has chosen the member.
    is_chosen: bool,
    /// When the member last reported that it has chosen this node.
    chose_us: Option<Time>,
}

impl Neighbour {
    fn has_chosen_us(&self, now: Time) -> bool {
        self.chose_us.is_some_and(|t| now.since(t) < CHOICE_TTL)
    }
}

/// The neighbours of this node: those it chose, best pair score first, then those that
/// chose it.
#[derive(Debug, Default)]
pub(crate) struct Neighbours {
    list: Vec<Neighbour>,
    scores: SecondaryMap<MemberKey, u64>,
    is_stale: bool,
}

/// Lookup.
impl Neighbours {
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Neighbour> {
        self.list.iter()
    }

    pub(crate) fn len(&self) -> usize {
        self.list.len()
    }

    /// Whether this node has chosen the member with this address.
    pub(crate) fn has_chosen(&self, address: SocketAddr) -> bool {
        let mut chosen = self.list.iter().filter(|n| n.is_chosen);
        chosen.any(|n| n.address == address)
    }
}

/// Updates and choice of the next neighbour to ping.
impl Neighbours {
    /// Marks the choice as outdated after members have joined, died or moved.
    pub(crate) fn invalidate(&mut self) {
        self.is_stale = true;
    }

    /// Repeats the choice among the present members of the availability zone; `false`
    /// when the previous choice is still valid.
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
        let chosen = ranked.iter();
        let mut list: Vec<_> = chosen
            .map(|(_, member, address)| self.chosen(now, *member, *address))
            .collect();
        let is_kept = |n: &&Neighbour| {
            let is_present = directory.get(n.member).is_some_and(|r| r.is_present());
            is_present && n.has_chosen_us(now) && list.iter().all(|c| c.member != n.member)
        };
        let kept: Vec<_> = self.list.iter().filter(is_kept).copied().collect();
        list.extend(kept.into_iter().map(|n| Neighbour {
            is_chosen: false,
            ..n
        }));
        self.list = list;
        true
    }

    /// Records that a message from `address` arrived.
    pub(crate) fn received(&mut self, now: Time, address: SocketAddr) {
        if let Some(neighbour) = self.list.iter_mut().find(|n| n.address == address) {
            neighbour.last_contact = now;
        }
    }

    /// Records that a member has reported its choice of this node.
    pub(crate) fn chosen_by(&mut self, now: Time, member: MemberKey, address: SocketAddr) {
        if let Some(known) = self.list.iter_mut().find(|n| n.member == member) {
            known.chose_us = Some(now);
            return;
        }
        self.list.push(Neighbour {
            member,
            address,
            last_contact: now,
            is_chosen: false,
            chose_us: Some(now),
        });
    }

    /// Returns the neighbour to ping next: the one with the longest time since the last
    /// contact.
    ///
    /// Any message from a live neighbour postpones its ping, so a dead one is pinged
    /// sooner than in a fixed order.
    pub(crate) fn next(&mut self, now: Time) -> Option<Neighbour> {
        self.list.retain(|n| n.is_chosen || n.has_chosen_us(now));
        let neighbour = self.list.iter_mut().min_by_key(|n| n.last_contact)?;
        neighbour.last_contact = now;
        Some(*neighbour)
    }

    fn chosen(&self, now: Time, member: MemberKey, address: SocketAddr) -> Neighbour {
        let known = self.list.iter().find(|n| n.member == member);
        Neighbour {
            member,
            address,
            last_contact: known.map_or(now, |n| n.last_contact),
            is_chosen: true,
            chose_us: known.and_then(|n| n.chose_us),
        }
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
