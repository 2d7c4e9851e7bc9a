//! Dissemination of configuration versions and member records.
//!
//! A node that applies a version notifies random members of its availability zone,
//! which then fetch the version from it. Relays and gateways do the same between
//! availability zones and regions, where they also compare directories.

pub mod fetch;
pub mod peers;
pub mod transfers;

use crate::directory::{Directory, MemberKey};
use crate::message::{Body, Message, RecordSpace};
use crate::record::{MemberRecord, MemberState};
use fetch::{Fetch, REMOTE_FETCH_DELAY};
use knapweed_world::{ConfigVersion, Time};
use peers::{Peers, Role};
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use std::net::SocketAddr;
use std::time::Duration;

/// Number of random members that a node notifies when it has applied a version.
pub const NOTICE_FANOUT: usize = 4;
/// Interval of the pings of relays and gateways to their peers in the region.
pub const PEER_PING_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of the pings between gateways of different regions. It is longer than
/// [`PEER_PING_INTERVAL`], because the link between regions is billed by volume.
pub const REMOTE_PING_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which a relay or gateway compares its directory with a random peer's.
pub const PEER_COMPARE_INTERVAL: Duration = Duration::from_secs(5);
/// Time without a message from a gateway after which a relay watches the head itself.
pub const GATEWAY_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of the pings of a relay to members that have not confirmed its version.
pub const LAG_PING_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of members that a relay pings per [`LAG_PING_INTERVAL`].
pub const MAX_LAG_PINGS: usize = 64;

/// Interval of the pings of a node to relays while its confirmation is about to expire.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of records that a relay or gateway forwards per tick.
pub const MAX_OUTBOUND_PER_TICK: usize = 32;

/// What [`Dissemination`] asks the membership to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Request {
    /// Send a notice with these records.
    Notice(SocketAddr, Vec<MemberRecord>),
    /// Send a ping, whose ack reports the receiver's version.
    Ping(SocketAddr),
    /// Fetch the configuration from this node.
    FetchConfig(SocketAddr),
    /// Compare the directory with that of this node.
    FetchMembers(SocketAddr),
    /// Start or stop to watch the head object in the store.
    WatchHead(bool),
}

/// A directory from the point of view of the member `own`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct View<'a> {
    directory: &'a Directory,
    own: MemberKey,
}

impl<'a> View<'a> {
    pub(crate) fn new(directory: &'a Directory, own: MemberKey) -> Self {
        Self { directory, own }
    }

    fn own_record(&self) -> &MemberRecord {
        self.directory.get(self.own).expect("own record is kept")
    }

    fn is_in_other_region(&self, address: SocketAddr) -> bool {
        let member = self.directory.find_address(address);
        let record = member.and_then(|key| self.directory.get(key));
        record.is_some_and(|r| r.region != self.own_record().region)
    }

    /// All other present members of this node's availability zone.
    fn zone_members(&self) -> impl Iterator<Item = &MemberRecord> {
        let zone = &self.own_record().zone;
        let members = self.directory.present();
        let others = members.filter(move |(k, r)| *k != self.own && r.zone == *zone);
        others.map(|(_, r)| r)
    }
}

/// State of the dissemination at one node.
#[derive(Debug)]
pub(crate) struct Dissemination {
    role: Role,
    fetch: Fetch,
    /// Cached peers; `None` after members or roles have changed.
    peers: Option<Peers>,
    /// Contact addresses in other availability zones, used while no peer there is known.
    contacts: Vec<SocketAddr>,
    /// Members whose changed records are still to be sent to other availability zones.
    outbound: Vec<MemberKey>,
    /// When a message from a gateway of the region last arrived.
    last_gateway_message: Time,
    watches_head: bool,
    next_ping: Time,
    next_remote_ping: Time,
    next_compare: Time,
    next_lag_ping: Time,
    next_renewal: Time,
    rng: SmallRng,
}

/// Creation of the state machine.
impl Dissemination {
    pub(crate) fn new(now: Time, rng: SmallRng) -> Self {
        Self {
            role: Role::default(),
            fetch: Fetch::default(),
            peers: None,
            contacts: Vec::new(),
            outbound: Vec::new(),
            last_gateway_message: now,
            watches_head: false,
            next_ping: now,
            next_remote_ping: now,
            next_compare: now,
            next_lag_ping: now,
            next_renewal: now,
            rng,
        }
    }
}

/// Queries of the current state.
impl Dissemination {
    pub(crate) fn role(&self) -> Role {
        self.role
    }
}

/// Event handling.
impl Dissemination {
    /// Handles a change of the duties of this node.
    ///
    /// A new relay or gateway forwards all present records, because other availability
    /// zones lack those that changed while nobody held the duty.
    pub(crate) fn set_role(&mut self, now: Time, view: View<'_>, role: Role) {
        if role.is_relay && !self.role.is_relay {
            self.last_gateway_message = now;
            self.next_lag_ping = now.after(LAG_PING_INTERVAL);
        }
        let is_new =
            (role.is_relay && !self.role.is_relay) || (role.is_gateway && !self.role.is_gateway);
        if is_new {
            self.outbound = view.directory.present().map(|(key, _)| key).collect();
        }
        self.role = role;
        self.peers = None;
    }

    pub(crate) fn set_contacts(&mut self, contacts: Vec<SocketAddr>) {
        self.contacts = contacts;
    }

    pub(crate) fn members_changed(&mut self) {
        self.peers = None;
    }

    /// Handles the version that a message reports.
    pub(crate) fn received(
        &mut self,
        now: Time,
        view: View<'_>,
        from: SocketAddr,
        message: &Message,
    ) -> Vec<Request> {
        let is_remote = view.is_in_other_region(from);
        if message.sender.is_gateway && !is_remote {
            self.last_gateway_message = now;
        }
        // A notice addresses one node of the other region, which fetches at once. A
        // ping only repairs the loss of a notice, so its receiver waits first, lest
        // several nodes fetch the version over the link between regions.
        let delay = match (is_remote, message.body) {
            (false, _) | (true, Body::Notice(_)) => Duration::ZERO,
            (true, _) => REMOTE_FETCH_DELAY,
        };
        let version = message.sender.version;
        let next = self
            .fetch
            .received(now, from, version, delay, &mut self.rng);
        next.map(Request::FetchConfig).into_iter().collect()
    }

    /// Handles a version that this node has applied.
    ///
    /// Notifies random members, `floor_peers`, which this node asks for its version
    /// floor after a restart, and the relays, which report the version in the status
    /// of the availability zone.
    pub(crate) fn applied(
        &mut self,
        now: Time,
        view: View<'_>,
        version: ConfigVersion,
        floor_peers: &[SocketAddr],
    ) -> Vec<Request> {
        let next = self.fetch.applied(now, version, &mut self.rng);
        self.next_lag_ping = now.after(LAG_PING_INTERVAL);
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

    /// Handles a version that this node cannot apply.
    pub(crate) fn config_refused(&mut self, now: Time, version: ConfigVersion) -> Vec<Request> {
        let next = self.fetch.refused(now, version, &mut self.rng);
        next.map(Request::FetchConfig).into_iter().collect()
    }

    /// Handles an answer to a configuration fetch that this node cannot apply.
    pub(crate) fn answer_refused(&mut self, now: Time, from: SocketAddr) -> Vec<Request> {
        let next = self.fetch.answer_refused(now, from, &mut self.rng);
        next.map(Request::FetchConfig).into_iter().collect()
    }

    /// Handles a failed configuration fetch.
    pub(crate) fn fetch_failed(&mut self, now: Time, from: SocketAddr) -> Vec<Request> {
        let next = self.fetch.failed(now, from, &mut self.rng);
        next.map(Request::FetchConfig).into_iter().collect()
    }

    /// Handles a part of the answer to a configuration fetch.
    pub(crate) fn fetch_progressed(&mut self, now: Time, from: SocketAddr) {
        self.fetch.progressed(now, from);
    }

    /// Handles a configuration fetch that its source was too busy to answer.
    pub(crate) fn fetch_busy(&mut self, now: Time, from: SocketAddr) -> Vec<Request> {
        let next = self.fetch.busy(now, from, &mut self.rng);
        next.map(Request::FetchConfig).into_iter().collect()
    }

    /// Pings a relay of the own availability zone, whose ack has a more recent confirmation of
    /// the configuration than this node.
    pub(crate) fn renew_confirmation(&mut self, now: Time, view: View<'_>) -> Option<Request> {
        if now < self.next_renewal {
            return None;
        }
        self.next_renewal = now.after(RENEWAL_INTERVAL);
        let relays = self.peers(view).own_relays.best;
        relays.choose(&mut self.rng).copied().map(Request::Ping)
    }

    /// Queues a changed record for other availability zones, on relays and gateways.
    pub(crate) fn record_changed(&mut self, member: MemberKey) {
        if (self.role.is_relay || self.role.is_gateway) && !self.outbound.contains(&member) {
            self.outbound.push(member);
        }
    }

    /// Runs the periodic steps that are due.
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
        if self.role.is_relay && now >= self.next_lag_ping {
            self.next_lag_ping = now.after(LAG_PING_INTERVAL);
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
        let has_timed_out = now.since(self.last_gateway_message) >= GATEWAY_TIMEOUT;
        let watches = self.role.is_gateway || (self.role.is_relay && has_timed_out);
        if watches == self.watches_head {
            return None;
        }
        self.watches_head = watches;
        Some(Request::WatchHead(watches))
    }

    /// Sends changed records to the relays of the other availability zones and to the
    /// gateways of the other regions, as far as this node knows the holders.
    fn push_outbound(&mut self, view: View<'_>, requests: &mut Vec<Request>) {
        let peers = self.peers(view);
        if self.outbound.is_empty() || peers.remote().next().is_none() {
            return;
        }
        let count = self.outbound.len().min(MAX_OUTBOUND_PER_TICK);
        let outbound: Vec<_> = self.outbound.drain(..count).collect();
        let me = view.own_record();
        let records = outbound.iter().filter_map(|k| view.directory.get(*k));
        // Each relay sends the records of its own zone to all relays of the region, so
        // only records of other regions need to be forwarded in addition.
        let is_for_relays = |r: &&MemberRecord| r.zone == me.zone || r.region != me.region;
        let (for_relays, for_gateways): (Vec<_>, Vec<_>) = (
            records.clone().filter(is_for_relays).collect(),
            records.filter(|r| r.region == me.region).collect(),
        );
        push_records(&peers.relays.best, &for_relays, requests);
        push_records(&peers.gateways.best, &for_gateways, requests);
    }

    fn ping_peers(&mut self, view: View<'_>, requests: &mut Vec<Request>) {
        let peers = self.peers(view);
        // Directories may differ, so any candidate may hold the relay duty and depend
        // on messages from a gateway.
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
            candidates.extend(&self.contacts);
        }
        let from = candidates.choose(&mut self.rng)?;
        Some(Request::FetchMembers(*from))
    }

    /// Pings members that have not confirmed the version of this relay. The ping
    /// reports the version again and the ack confirms it, which repairs the loss of
    /// either message.
    fn ping_lagging(&mut self, view: View<'_>, requests: &mut Vec<Request>) {
        let version = view.own_record().applied;
        let lagging = view.zone_members();
        let lagging = lagging.filter(|r| r.applied < version && r.state != MemberState::Dead);
        let lagging = lagging.map(|r| r.address);
        let chosen = lagging.choose_multiple(&mut self.rng, MAX_LAG_PINGS);
        requests.extend(chosen.into_iter().map(Request::Ping));
    }
}

fn push_records(receivers: &[SocketAddr], records: &[&MemberRecord], requests: &mut Vec<Request>) {
    let mut rest = records;
    while !rest.is_empty() {
        let mut space = RecordSpace::new();
        let count = rest.iter().take_while(|r| space.reserve(r)).count().max(1);
        let (batch, remaining) = rest.split_at(count);
        let batch: Vec<_> = batch.iter().map(|r| (*r).clone()).collect();
        for to in receivers {
            requests.push(Request::Notice(*to, batch.clone()));
        }
        rest = remaining;
    }
}

/// Creates a generator for another component, seeded from `rng`.
pub(crate) fn derive_rng(rng: &mut SmallRng) -> SmallRng {
    use rand::SeedableRng;
    SmallRng::seed_from_u64(rng.random())
}
