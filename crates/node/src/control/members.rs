//! Connects the membership to the network, and builds snapshots from members,
//! configuration and shares.

use super::messages::{query_node, send_one_way};
use super::{Controller, Event, Staleness, versions};
use bytes::Bytes;
use knapweed_observe::part;
use knapweed_transport::Peers;
use knapweed_wire::{StreamHead, decode, encode};
use knapweed_world::backend_server::Announcement;
use knapweed_world::snapshot::{self, Builder};
use knapweed_world::{Snapshot, Time};
use knapweed_zone::membership::{self, Action};
use knapweed_zone::{MemberRecord, MemberState, Message};
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::task::JoinHandle;

/// Longest reply with the differing membership records, in bytes.
const MAX_RECORDS_LEN: usize = 4 * 1024 * 1024;

/// Events and actions of the membership.
impl Controller {
    pub(super) fn member_event(&mut self, now: Time, event: membership::Event) {
        for action in self.membership.handle(now, event) {
            self.member_action(action);
        }
    }

    fn member_action(&mut self, action: Action) {
        match action {
            Action::Send { to, message } => self.send_message(to, &message),
            Action::RecordChanged(record) => {
                self.outdate_snapshot(Staleness::MembersChanged);
                if record.state != MemberState::Alive {
                    let state = record.state;
                    log::info!(target: part::MEMBER, "host {} is {state:?}", record.host);
                }
                self.send_states_to_new_process(&record);
            }
            Action::MembersChanged => self.outdate_snapshot(Staleness::MembersChanged),
            Action::RoleChanged(role) => {
                self.publish_view();
                log::info!(target: part::DUTY, "this node has the duties {role:?}");
            }
            Action::WatchHead(on) => {
                self.watch_head(on);
                self.watch_evacuations(on);
            }
            Action::FetchConfig { from } => self.fetch_config(from),
            Action::FetchMembers { from } => {
                drop(self.fetch_members(from));
                self.compare_crashes(from);
            }
            Action::AnnouncementRefused(announcement) => {
                let Announcement {
                    service, version, ..
                } = announcement;
                log::warn!(
                    target: part::MEMBER,
                    "too many backend servers on this host: left out {service} {version}"
                );
            }
        }
    }

    pub(super) fn datagram_received(&mut self, now: Time, from: SocketAddr, bytes: &[u8]) {
        match decode::<Message>(bytes) {
            Ok(message) => self.member_event(now, membership::Event::Received { from, message }),
            Err(err) => log::warn!(target: part::LINK, "dropped a datagram from {from}: {err}"),
        }
    }

    pub(super) fn announcement_received(&mut self, now: Time, announcement: Announcement) {
        self.member_event(now, membership::Event::LocalAnnouncement(announcement));
    }
}

/// Gossip messages and record exchange.
impl Controller {
    pub(super) fn send_message(&self, to: SocketAddr, message: &Message) {
        match encode(message) {
            Ok(bytes) => drop(tokio::spawn(send(
                Arc::clone(&self.dependencies.peers),
                to,
                bytes,
            ))),
            Err(err) => log::error!(target: part::LINK, "could not send to {to}: {err}"),
        }
    }

    /// Requests the membership records of a node that differ from those of this node. The task
    /// ends after they have been passed on, or when the request has failed.
    pub(super) fn fetch_members(&self, from: SocketAddr) -> JoinHandle<()> {
        let query = StreamHead::FetchMembers(self.membership.directory().digest());
        let (peers, handle) = (Arc::clone(&self.dependencies.peers), self.handle.clone());
        tokio::spawn(async move {
            let result = query_node(&peers, from, &query, MAX_RECORDS_LEN).await;
            match result.and_then(|bytes| Ok(decode(&bytes)?)) {
                Ok(records) => handle.send(Event::Members(records)).await,
                Err(err) => log::debug!(target: part::MEMBER, "no records from {from}: {err}"),
            }
        })
    }
}

async fn send(peers: Arc<Peers>, to: SocketAddr, bytes: Bytes) {
    if let Err(err) = peers.send(to, bytes).await {
        log::debug!(target: part::LINK, "{err}");
    }
}

/// Construction of snapshots.
impl Controller {
    /// Updates the established versions from the announced backend servers.
    pub(super) fn refresh_established(&mut self) {
        let wall = self.dependencies.timer.wall_clock();
        let servers = versions::ready_servers(self.membership.directory());
        self.established.refresh(wall, servers);
    }

    pub(super) fn build_snapshot(&mut self) -> Result<Snapshot, snapshot::Error> {
        self.refresh_established();
        let config = Arc::clone(self.configs.config());
        let present = self.membership.directory().present();
        let hosts = present.filter_map(|(_, record)| record.host_entry());
        let previous = self.dependencies.snapshots.load();
        let builder = Builder::new(self.dependencies.host.clone(), &config);
        let builder = builder.hosts(hosts).previous(&previous);
        let builder = builder.evacuated(self.evacuations.in_force().clone());
        let shares = self.shares().into_iter();
        let builder = shares.fold(builder, |b, (service, shares)| b.shares(service, shares));
        builder.build()
    }
}

/// Messages that are pushed to random members.
impl Controller {
    /// Addresses of up to `count` random other members that match `filter`.
    pub(super) fn some_members(
        &self,
        count: usize,
        filter: impl Fn(&MemberRecord) -> bool,
    ) -> Vec<SocketAddr> {
        let own = &self.membership.own().host;
        let members = self.membership.directory().present().map(|(_, r)| r);
        let others = members.filter(|r| r.host != *own && filter(r));
        others
            .map(|r| r.address)
            .choose_multiple(&mut rand::rng(), count)
    }

    /// Sends a message on a stream without waiting for a reply.
    pub(super) fn send_one_way(&self, to: SocketAddr, head: &StreamHead) {
        send_one_way(&self.dependencies.peers, to, head);
    }
}
