//! The relays and gateways with which a node exchanges versions and records.
//!
//! They are the candidates for the relay and gateway duties of other availability
//! zones and regions, computed from the node's own directory.

use crate::directory::{Directory, MemberKey};
use crate::duty::{Duty, candidates, holders};
use crate::record::MemberRecord;
use knapweed_world::Name;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The duties that a node holds, one flag each.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Role {
    /// Whether the node is a relay of its availability zone.
    pub is_relay: bool,
    /// Whether the node is a gateway of its region.
    pub is_gateway: bool,
    /// Whether the node advances rollouts.
    pub controls_rollouts: bool,
    /// Whether the node maintains the objects of tickets and hosts in the store.
    pub keeps_tickets: bool,
}

impl Role {
    /// Computes the duties of the member `own` from a directory.
    pub fn of(directory: &Directory, own: MemberKey) -> Self {
        let Some(me) = directory.get(own) else {
            return Self::default();
        };
        let holds = |duty: Duty| holders(directory, &duty).contains(&own);
        Self {
            is_relay: holds(relay(&me.zone)),
            is_gateway: holds(gateway(&me.region)),
            controls_rollouts: holds(Duty::Rollout),
            keeps_tickets: holds(Duty::Tickets),
        }
    }
}

/// Addresses of the candidates for duties of one kind, without this node's own.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Candidates {
    /// The holders according to this node's directory.
    pub best: Vec<SocketAddr>,
    /// The holders and their substitutes.
    pub all: Vec<SocketAddr>,
}

/// The holders of duties that this node sends versions and records to.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Peers {
    /// Relays of this node's availability zone.
    pub own_relays: Candidates,
    /// Relays of the other availability zones of the region; empty unless this node
    /// is a relay or a gateway.
    pub relays: Candidates,
    /// Gateways of the other regions; empty unless this node is a gateway.
    pub gateways: Candidates,
}

impl Peers {
    /// Computes the peers of the member `own` with these duties.
    pub fn choose(directory: &Directory, own: MemberKey, role: Role) -> Self {
        let Some(me) = directory.get(own) else {
            return Self::default();
        };
        let mut peers = Self {
            own_relays: addresses(directory, own, [relay(&me.zone)]),
            ..Self::default()
        };
        if role.is_relay || role.is_gateway {
            let zones = names(directory, |r| (r.region == me.region).then_some(&r.zone));
            let others = zones.iter().filter(|z| **z != me.zone);
            peers.relays = addresses(directory, own, others.map(relay));
        }
        if role.is_gateway {
            let regions = names(directory, |r| Some(&r.region));
            let others = regions.iter().filter(|r| **r != me.region);
            peers.gateways = addresses(directory, own, others.map(gateway));
        }
        peers
    }

    /// Addresses of all candidates in other availability zones and regions.
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

fn relay(zone: &Name) -> Duty {
    Duty::Relay { zone: zone.clone() }
}

fn gateway(region: &Name) -> Duty {
    Duty::Gateway {
        region: region.clone(),
    }
}

fn addresses(
    directory: &Directory,
    own: MemberKey,
    duties: impl IntoIterator<Item = Duty>,
) -> Candidates {
    let mut chosen = Candidates::default();
    let address = |key: MemberKey| directory.get(key).map(|r| r.address);
    for duty in duties {
        let others = |members: Vec<MemberKey>| {
            let others = members.into_iter().filter(|k| *k != own);
            others.filter_map(address)
        };
        chosen.best.extend(others(holders(directory, &duty)));
        chosen.all.extend(others(candidates(directory, &duty)));
    }
    for list in [&mut chosen.best, &mut chosen.all] {
        list.sort_unstable();
        list.dedup();
    }
    chosen
}
