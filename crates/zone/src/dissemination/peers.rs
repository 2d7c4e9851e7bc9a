//! The nodes of other availability zones and regions that a relay or gateway
//! talks to.
//!
//! They are the candidates for the corresponding duties over there, which every
//! node computes from its directory without reading a lease.

use crate::directory::{Directory, MemberKey};
use crate::duty::{Duty, candidates};
use crate::record::MemberRecord;
use knapweed_world::Name;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Roles that this node holds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Role {
    /// Whether it is a relay of its availability zone.
    pub is_relay: bool,
    /// Whether it is a gateway of its region.
    pub is_gateway: bool,
}

/// Addresses of the candidates for a kind of duty, without the own one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Candidates {
    /// The best candidate for each lease.
    pub best: Vec<SocketAddr>,
    /// All candidates.
    pub all: Vec<SocketAddr>,
}

/// The nodes that this node reports to because of their duties.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Peers {
    /// Relays of the own availability zone.
    pub own_relays: Candidates,
    /// Relays of other availability zones of the region; known to relays and
    /// gateways.
    pub relays: Candidates,
    /// Gateways of other regions; known to gateways.
    pub gateways: Candidates,
}

impl Peers {
    /// The peers of the member `own` with this role.
    pub fn choose(directory: &Directory, own: MemberKey, role: Role) -> Self {
        let Some(me) = directory.get(own) else {
            return Self::default();
        };
        let mut peers = Self {
            own_relays: addresses(directory, own, Duty::relays(&me.zone)),
            ..Self::default()
        };
        if role.is_relay || role.is_gateway {
            let zones = names(directory, |r| (r.region == me.region).then_some(&r.zone));
            let others = zones.iter().filter(|z| **z != me.zone);
            peers.relays = addresses(directory, own, others.flat_map(Duty::relays));
        }
        if role.is_gateway {
            let regions = names(directory, |r| Some(&r.region));
            let others = regions.iter().filter(|r| **r != me.region);
            peers.gateways = addresses(directory, own, others.flat_map(Duty::gateways));
        }
        peers
    }

    /// All peers in other availability zones.
    pub fn remote(&self) -> impl Iterator<Item = SocketAddr> {
        self.relays.all.iter().chain(&self.gateways.all).copied()
    }
}

fn names<'a>(
    directory: &'a Directory,
    name: impl Fn(&'a MemberRecord) -> Option<&'a Name>,
) -> BTreeSet<Name> {
    let records = directory.present().map(|(_, r)| r);
    records.filter_map(name).cloned().collect()
}

fn addresses(
    directory: &Directory,
    own: MemberKey,
    duties: impl Iterator<Item = Duty>,
) -> Candidates {
    let mut chosen = Candidates::default();
    for duty in duties {
        let members = candidates(directory, &duty);
        let members = members.into_iter().filter(|k| *k != own);
        let records = members.filter_map(|k| directory.get(k));
        let addresses: Vec<_> = records.map(|r| r.address).collect();
        chosen.best.extend(addresses.first());
        chosen.all.extend(addresses);
    }
    for list in [&mut chosen.best, &mut chosen.all] {
        list.sort_unstable();
        list.dedup();
    }
    chosen
}
