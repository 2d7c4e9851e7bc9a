//! Spreads configuration versions and member records.
//!
//! Inside an availability zone a version spreads by notices to random members,
//! which then fetch it from the sender. Relays and gateways repeat this between
//! availability zones and regions, and compare directories.

pub mod fetch;
pub mod peers;

use crate::directory::{Directory, MemberKey};
use crate::message::{Body, Message, Room};
use crate::record::{MemberRecord, MemberState};
use fetch::{Fetch, REMOTE_HOLD};
use knapweed_world::{ConfigVersion, Time};
use peers::{Peers, Role};
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use std::net::SocketAddr;
use std::time::Duration;

/// Number of random members that a node notifies of a version it has applied.
pub const NOTICE_FANOUT: usize = 4;
/// Time between pings of relays and gateways to their peers in the region.
pub const PEER_PING_INTERVAL: Duration = Duration::from_millis(500);
/// Time between pings of gateways to those of other regions, whose link is
/// billed by volume.
pub const REMOTE_PING_INTERVAL: Duration = Duration::from_secs(1);
/// Time between comparisons of the directories of two relays or gateways.
pub const PEER_COMPARE_INTERVAL: Duration = Duration::from_secs(5);
/// A relay that hears from no gateway for this time watches the head itself.
pub const GATEWAY_SILENCE: Duration = Duration::from_secs(2);
/// Time between the pings of a relay to members that lag behind.
pub const LAG_INTERVAL: Duration = Duration::from_millis(500);
/// Most members that a relay pings in one [`LAG_INTERVAL`].
pub const MAX_LAG_PINGS: usize = 64;

/// Most records that a relay or gateway sends on in one tick.
pub const MAX_OUTBOUND_PER_TICK: usize = 32;

/// What dissemination asks the membership to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Request {
    /// Send a notice with records.
    Notice(SocketAddr, Vec<MemberRecord>),
    /// Send a ping whose ack reports the version.
    Ping(SocketAddr),
    FetchConfig(SocketAddr),
    FetchMembers(SocketAddr),
    WatchHead(bool),
}

/// The directory as seen by the member `own`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct View<'a> {
    directory: &'a Directory,
    own: MemberKey,
}

impl<'a> View<'a> {
    pub(crate) fn new(directory: &'a Directory, own: MemberKey) -> Self {
        Self { directory, own }
    }

    fn me(&self) -> &MemberRecord {
        self.directory.get(self.own).expect("own record is kept")
    }

    fn is_in_other_region(&self, address: SocketAddr) -> bool {
        let member = self.directory.find_address(address);
        let record = member.and_then(|key| self.directory.get(key));
        record.is_some_and(|r| r.region != self.me().region)
    }

    /// The other present members of the own availability zone.
    fn zone_members(&self) -> impl Iterator<Item = &MemberRecord> {
        let zone = &self.me().zone;
        let members = self.directory.present();
        let others = members.filter(move |(k, r)| *k != self.own && r.zone == *zone);
        others.map(|(_, r)| r)
    }
}

/// Dissemination at one node.
#[derive(Debug)]
pub(crate) struct Dissemination {
    role: Role,
    fetch: Fetch,
    /// `None` after members or roles have changed.
    peers: Option<Peers>,
    /// Entry addresses of other availability zones, used while none is known.
    entries: Vec<SocketAddr>,
    /// Changed records that other availability zones do not have yet.
    outbound: Vec<MemberKey>,
    gateway_heard: Time,
    watches_head: bool,
    next_ping: Time,
    next_remote_ping: Time,
    next_compare: Time,
    next_lag: Time,
    rng: SmallRng,
}

/// Construction.
impl Dissemination {
    pub(crate) fn new(now: Time, rng: SmallRng) -> Self {
        Self {
            role: Role::default(),
            fetch: Fetch::default(),
            peers: None,
            entries: Vec::new(),
            outbound: Vec::new(),
            gateway_heard: now,
            watches_head: false,
            next_ping: now,
            next_remote_ping: now,
            next_compare: now,
            next_lag: now,
            rng,
        }
    }
}

/// Access.
impl Dissemination {
    pub(crate) fn role(&self) -> Role {
        self.role
    }
}

/// Events.
impl Dissemination {
    /// The duties of this node have changed.
    ///
    /// A new relay or gateway sends all present records on, because those that changed
    /// while nobody had the duty are not known in other availability zones.
    pub(crate) fn set_role(&mut self, now: Time, view: View<'_>, role: Role) {
        if role.is_relay && !self.role.is_relay {
            self.gateway_heard = now;
            self.next_lag = now.after(LAG_INTERVAL);
        }
        let is_new =
            (role.is_relay && !self.role.is_relay) || (role.is_gateway && !self.role.is_gateway);
        if is_new {
            self.outbound = view.directory.present().map(|(key, _)| key).collect();
        }
        self.role = role;
        self.peers = None;
    }

    pub(crate) fn set_entries(&mut self, entries: Vec<SocketAddr>) {
        self.entries = entries;
    }

    pub(crate) fn members_changed(&mut self) {
        self.peers = None;
    }

    /// A node has reported its version.
    pub(crate) fn heard(
        &mut self,
        now: Time,
        view: View<'_>,
        from: SocketAddr,
        message: &Message,
    ) -> Vec<Request> {
        let is_remote = view.is_in_other_region(from);
        if message.sender.is_gateway && !is_remote {
            self.gateway_heard = now;
        }
        // A notice is addressed to one node of the other region; pings repair
        // its loss, and must not make more nodes fetch over the region link.
        let hold = match (is_remote, message.body) {
            (false, _) | (true, Body::Notice(_)) => Duration::ZERO,
            (true, _) => REMOTE_HOLD,
        };
        let version = message.sender.version;
        let next = self.fetch.heard(now, from, version, hold, &mut self.rng);
        next.map(Request::FetchConfig).into_iter().collect()
    }

    /// This node has applied a version that it reports to random members, to
    /// `floor_peers`, which answer for it after a restart, and to the relays,
    /// which report it in the status of the availability zone.
    pub(crate) fn applied(
        &mut self,
        now: Time,
        view: View<'_>,
        version: ConfigVersion,
        floor_peers: &[SocketAddr],
    ) -> Vec<Request> {
        let next = self.fetch.applied(now, version, &mut self.rng);
        self.next_lag = now.after(LAG_INTERVAL);
        let members = view.zone_members().map(|r| r.address);
        let mut receivers = members.choose_multiple(&mut self.rng, NOTICE_FANOUT);
        let peers = self.peers(view);
        receivers.extend(&peers.own_relays.all);
        receivers.extend(&peers.relays.all);
        receivers.extend(peers.gateways.best.first());
        receivers.extend(floor_peers);
        receivers.sort_unstable();
        receivers.dedup();
        let notices = receivers
            .into_iter()
            .map(|r| Request::Notice(r, Vec::new()));
        notices.chain(next.map(Request::FetchConfig)).collect()
    }

    /// This node cannot apply a version.
    pub(crate) fn refused(&mut self, now: Time, version: ConfigVersion) -> Vec<Request> {
        let next = self.fetch.refused(now, version, &mut self.rng);
        next.map(Request::FetchConfig).into_iter().collect()
    }

    /// A fetch has failed.
    pub(crate) fn failed(&mut self, now: Time, from: SocketAddr) -> Vec<Request> {
        let next = self.fetch.failed(now, from, &mut self.rng);
        next.map(Request::FetchConfig).into_iter().collect()
    }

    /// A record has changed.
    pub(crate) fn record_changed(&mut self, member: MemberKey) {
        if (self.role.is_relay || self.role.is_gateway) && !self.outbound.contains(&member) {
            self.outbound.push(member);
        }
    }

    /// Time has passed.
    pub(crate) fn tick(&mut self, now: Time, view: View<'_>) -> Vec<Request> {
        let mut requests = Vec::new();
        let next = self.fetch.tick(now, &mut self.rng);
        requests.extend(next.map(Request::FetchConfig));
        requests.extend(self.watch_head(now));
        if !self.role.is_relay && !self.role.is_gateway {
            self.outbound.clear();
            return requests;
        }
        self.push_outbound(view, &mut requests);
        if now >= self.next_ping {
            self.next_ping = now.after(PEER_PING_INTERVAL);
            self.ping_peers(view, &mut requests);
        }
        if now >= self.next_remote_ping {
            self.next_remote_ping = now.after(REMOTE_PING_INTERVAL);
            let gateways = self.peers(view).gateways.best;
            requests.extend(gateways.into_iter().map(Request::Ping));
        }
        if now >= self.next_compare {
            self.next_compare = now.after(PEER_COMPARE_INTERVAL);
            requests.extend(self.compare(view));
        }
        if self.role.is_relay && now >= self.next_lag {
            self.next_lag = now.after(LAG_INTERVAL);
            self.ping_lagging(view, &mut requests);
        }
        requests
    }
}

/// Steps of a tick.
impl Dissemination {
    fn peers(&mut self, view: View<'_>) -> Peers {
        let role = self.role;
        let choose = || Peers::choose(view.directory, view.own, role);
        self.peers.get_or_insert_with(choose).clone()
    }

    fn watch_head(&mut self, now: Time) -> Option<Request> {
        let is_silent = now.since(self.gateway_heard) >= GATEWAY_SILENCE;
        let watches = self.role.is_gateway || (self.role.is_relay && is_silent);
        if watches == self.watches_head {
            return None;
        }
        self.watches_head = watches;
        Some(Request::WatchHead(watches))
    }

    /// Sends changed records to the best candidates for the relays of each other
    /// availability zone and the gateways of each other region.
    fn push_outbound(&mut self, view: View<'_>, requests: &mut Vec<Request>) {
        let peers = self.peers(view);
        if self.outbound.is_empty() || peers.remote().next().is_none() {
            return;
        }
        let count = self.outbound.len().min(MAX_OUTBOUND_PER_TICK);
        let outbound: Vec<_> = self.outbound.drain(..count).collect();
        let me = view.me();
        let records = outbound.iter().filter_map(|k| view.directory.get(*k));
        // The relays of a region know each other's availability zones.
        let is_for_relays = |r: &&MemberRecord| r.zone == me.zone || r.region != me.region;
        let (for_relays, for_gateways): (Vec<_>, Vec<_>) = (
            records.clone().filter(is_for_relays).collect(),
            records.filter(|r| r.region == me.region).collect(),
        );
        push(&peers.relays.best, &for_relays, requests);
        push(&peers.gateways.best, &for_gateways, requests);
    }

    fn ping_peers(&mut self, view: View<'_>, requests: &mut Vec<Request>) {
        let peers = self.peers(view);
        // Any candidate may be the relay that waits for this gateway.
        let receivers = match self.role.is_gateway {
            true => [peers.own_relays.all, peers.relays.all].concat(),
            false => peers.relays.best,
        };
        requests.extend(receivers.into_iter().map(Request::Ping));
    }

    fn compare(&mut self, view: View<'_>) -> Option<Request> {
        let peers = self.peers(view);
        let mut candidates: Vec<_> = peers.remote().collect();
        if candidates.is_empty() {
            candidates.extend(&self.entries);
        }
        let from = candidates.choose(&mut self.rng)?;
        Some(Request::FetchMembers(*from))
    }

    /// Pings members that have not confirmed the version of this relay: a lost
    /// notice or a lost confirmation is repaired by the ack.
    fn ping_lagging(&mut self, view: View<'_>, requests: &mut Vec<Request>) {
        let version = view.me().applied;
        let lagging = view.zone_members();
        let lagging = lagging.filter(|r| r.applied < version && r.state != MemberState::Dead);
        let lagging = lagging.map(|r| r.address);
        let chosen = lagging.choose_multiple(&mut self.rng, MAX_LAG_PINGS);
        requests.extend(chosen.into_iter().map(Request::Ping));
    }
}

fn push(receivers: &[SocketAddr], records: &[&MemberRecord], requests: &mut Vec<Request>) {
    let mut rest = records;
    while !rest.is_empty() {
        let mut room = Room::new();
        let count = rest.iter().take_while(|r| room.reserve(r)).count().max(1);
        let (batch, left) = rest.split_at(count);
        let batch: Vec<_> = batch.iter().map(|r| (*r).clone()).collect();
        for to in receivers {
            requests.push(Request::Notice(*to, batch.clone()));
        }
        rest = left;
    }
}

/// Random number generator of a component, seeded by another one.
pub(crate) fn fork(rng: &mut SmallRng) -> SmallRng {
    use rand::SeedableRng;
    SmallRng::seed_from_u64(rng.random())
}
