//! Members: gossip in and out, and the snapshot that follows from it.

use super::{Control, Event};
use bytes::Bytes;
use knapweed_observe::part;
use knapweed_transport::Peers;
use knapweed_wire::{StreamHead, decode, encode};
use knapweed_world::backend_server::Announcement;
use knapweed_world::snapshot::{self, Builder};
use knapweed_world::{Snapshot, Time};
use knapweed_zone::directory::SharedRecord;
use knapweed_zone::membership::{self, Action};
use knapweed_zone::{MemberState, Message};
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::sync::Arc;

/// Members that new rollout states are pushed to.
pub(super) const PUSH_FANOUT: usize = 4;
/// Longest answer to a comparison of records, in bytes.
const MAX_RECORDS_LEN: usize = 4 * 1024 * 1024;

/// Events and actions of the membership.
impl Control {
    pub(super) fn member_event(&mut self, now: Time, event: membership::Event) {
        for action in self.membership.handle(now, event) {
            self.member_action(action);
        }
    }

    fn member_action(&mut self, action: Action) {
        match action {
            Action::Send { to, message } => self.send_message(to, &message),
            Action::RecordChanged(record) => {
                self.stale = true;
                self.duties.members_changed();
                if record.state != MemberState::Alive {
                    let state = record.state;
                    log::info!(target: part::MEMBER, "host {} is {state:?}", record.host);
                }
            }
            Action::MembersChanged => {
                self.stale = true;
                self.duties.members_changed();
            }
            Action::WatchHead(on) => self.watch_head(on),
            Action::FetchConfig { from } => self.fetch_config(from),
            Action::FetchMembers { from } => self.fetch_members(from),
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

    pub(super) fn datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8]) {
        match decode::<Message>(bytes) {
            Ok(message) => self.member_event(now, membership::Event::Received { from, message }),
            Err(err) => log::warn!(target: part::LINK, "dropped a datagram from {from}: {err}"),
        }
    }

    pub(super) fn announced(&mut self, now: Time, announcement: Announcement) {
        self.parts.egress.announce(&announcement);
        self.member_event(now, membership::Event::LocalAnnouncement(announcement));
    }
}

/// Messages to other nodes.
impl Control {
    pub(super) fn send_message(&self, to: SocketAddr, message: &Message) {
        match encode(message) {
            Ok(bytes) => drop(tokio::spawn(send(Arc::clone(&self.parts.peers), to, bytes))),
            Err(err) => log::error!(target: part::LINK, "could not send to {to}: {err}"),
        }
    }

    /// Asks nodes for the records that they have.
    pub(super) fn meet(&self, entries: &[SocketAddr]) {
        let own = self.membership.own().address;
        let others = entries.iter().filter(|entry| **entry != own);
        others.for_each(|entry| self.fetch_members(*entry));
    }

    fn fetch_members(&self, from: SocketAddr) {
        let digest = self.membership.directory().digest();
        let (peers, handle) = (Arc::clone(&self.parts.peers), self.handle.clone());
        tokio::spawn(async move {
            match ask_members(&peers, from, digest).await {
                Ok(records) => handle.send(Event::Members(records)).await,
                Err(err) => log::debug!(target: part::MEMBER, "no records from {from}: {err}"),
            }
        });
    }
}

async fn send(peers: Arc<Peers>, to: SocketAddr, bytes: Bytes) {
    if let Err(err) = peers.send(to, bytes).await {
        log::debug!(target: part::LINK, "{err}");
    }
}

async fn tell(peers: Arc<Peers>, to: SocketAddr, bytes: Bytes) {
    let sent = async {
        let (mut tx, _rx) = peers.open(to).await?;
        tx.head(&bytes).await?;
        tx.finish();
        Ok::<_, anyhow::Error>(())
    };
    if let Err(err) = sent.await {
        log::debug!(target: part::LINK, "{err}");
    }
}

async fn ask_members(
    peers: &Peers,
    from: SocketAddr,
    digest: knapweed_zone::directory::Digest,
) -> anyhow::Result<Vec<SharedRecord>> {
    let (mut tx, mut rx) = peers.open(from).await?;
    tx.head(&encode(&StreamHead::FetchMembers(digest))?).await?;
    tx.finish();
    let bytes = rx.rest(MAX_RECORDS_LEN).await?;
    Ok(decode(&bytes)?)
}

/// Snapshots.
impl Control {
    pub(super) fn build_snapshot(&self) -> Result<Snapshot, snapshot::Error> {
        let config = Arc::clone(self.configs.config());
        let present = self.membership.directory().present();
        let hosts = present.filter_map(|(_, record)| record.host_entry());
        let previous = self.parts.snapshots.load();
        let builder = Builder::new(self.parts.host.clone(), &config);
        let builder = builder.hosts(hosts).previous(&previous);
        let shares = self.shares().into_iter();
        let builder = shares.fold(builder, |b, (service, shares)| b.shares(service, shares));
        builder.build()
    }
}

/// Messages to other members.
impl Control {
    /// Addresses of up to `count` other members, chosen at random.
    pub(super) fn some_members(&self, count: usize) -> Vec<SocketAddr> {
        let own = &self.membership.own().host;
        let members = self.membership.directory().present();
        let others = members
            .filter(|(_, r)| r.host != *own)
            .map(|(_, r)| r.address);
        others.choose_multiple(&mut rand::rng(), count)
    }

    /// Passes new crash records on to some members of the own availability zone.
    pub(super) fn push_crashes(&self) {
        let records = self.parts.egress.take_crashes();
        if records.is_empty() {
            return;
        }
        let own = self.membership.own();
        let members = self.membership.directory().present();
        let others = members
            .filter(|(_, r)| r.host != own.host && r.zone == own.zone)
            .map(|(_, r)| r.address);
        let head = StreamHead::Crashes(records);
        for to in others.choose_multiple(&mut rand::rng(), PUSH_FANOUT) {
            self.tell(to, &head);
        }
    }

    /// Sends a message on a stream without waiting for an answer.
    pub(super) fn tell(&self, to: SocketAddr, head: &StreamHead) {
        let peers = Arc::clone(&self.parts.peers);
        match encode(head) {
            Ok(bytes) => drop(tokio::spawn(tell(peers, to, bytes))),
            Err(err) => log::error!(target: part::LINK, "could not send to {to}: {err}"),
        }
    }
}
