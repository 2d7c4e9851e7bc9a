//! The version floor of this node after its start: who is asked, and what is answered.

use super::status;
use super::{Control, Event};
use knapweed_contract::{Head, head};
use knapweed_observe::part;
use knapweed_platform::Platform;
use knapweed_transport::{Incoming, Peers};
use knapweed_wire::stream::FloorReply;
use knapweed_wire::{StreamHead, decode, encode};
use knapweed_world::{ConfigVersion, Name, Time};
use knapweed_zone::floor::{self, Action, FloorAnswer, Source};
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Longest answer, in bytes.
const MAX_REPLY_LEN: usize = 64;

impl Control {
    pub(super) fn floor_event(&mut self, now: Time, event: floor::Event) {
        if self.floor.is_serving() {
            return;
        }
        for action in self.floor.handle(now, event) {
            self.floor_action(action);
        }
    }

    fn floor_action(&mut self, action: Action) {
        match action {
            Action::Ask {
                source: Source::Platform,
                ..
            } => self.ask_platform(),
            Action::Ask { source, count } => self.ask_nodes(source, count),
            Action::Fetch(version) => self.fetch_at_least(version),
            Action::Serve { floor } => {
                log::info!(target: part::CONFIG, "serves callers; the version floor is {floor}");
                self.parts.ready.store(true, Ordering::Relaxed);
            }
            Action::NotYet { .. } => {
                log::debug!(target: part::CONFIG, "the version floor is not known yet");
            }
        }
    }

    /// Fetches from a member that has applied `version`, or else from the platform.
    fn fetch_at_least(&self, version: ConfigVersion) {
        let members = self.membership.directory().present().map(|(_, r)| r);
        let having = members.filter(|r| r.applied >= version && version > ConfigVersion(0));
        match having.map(|r| r.address).choose(&mut rand::rng()) {
            Some(from) => self.fetch_config(from),
            None => self.load_from_platform(),
        }
    }
}

/// Questions.
impl Control {
    fn ask_nodes(&self, source: Source, count: usize) {
        let nodes = self.floor_nodes(source, count);
        for _ in nodes.len()..count {
            self.floor_later(floor::Event::Failed(source));
        }
        let host = self.membership.own().host.clone();
        for to in nodes {
            let (peers, handle) = (Arc::clone(&self.parts.peers), self.handle.clone());
            let host = host.clone();
            tokio::spawn(async move {
                let event = match ask(&peers, to, host).await {
                    Ok(FloorReply { served, is_serving }) => floor::Event::Answer(FloorAnswer {
                        source,
                        served,
                        is_serving,
                    }),
                    Err(_) => floor::Event::Failed(source),
                };
                handle.send(Event::Floor(event)).await;
            });
        }
    }

    /// Nodes to ask: members of the own availability zone, or of others.
    fn floor_nodes(&self, source: Source, count: usize) -> Vec<SocketAddr> {
        let own = self.membership.own();
        let members = self.membership.directory().present().map(|(_, r)| r);
        let others = members.filter(|r| r.host != own.host);
        let wanted = others.filter(|r| (r.zone == own.zone) == (source == Source::Peers));
        wanted
            .map(|r| r.address)
            .choose_multiple(&mut rand::rng(), count)
    }

    fn ask_platform(&self) {
        let (platform, handle) = (Arc::clone(&self.parts.platform), self.handle.clone());
        let own = self.membership.own();
        let (zone, host) = (own.zone.clone(), own.host.clone());
        // Members tell what the status tells, without a call to the platform.
        let is_alone = self.membership.directory().present().count() == 1;
        tokio::spawn(async move {
            let event = match served(&*platform, &zone, &host, is_alone).await {
                Ok((served, entries)) => {
                    handle.send(Event::Entries(entries)).await;
                    let source = Source::Platform;
                    floor::Event::Answer(FloorAnswer {
                        source,
                        served,
                        is_serving: true,
                    })
                }
                Err(err) => {
                    log::debug!(target: part::PLATFORM, "no version floor: {err}");
                    floor::Event::Failed(Source::Platform)
                }
            };
            handle.send(Event::Floor(event)).await;
        });
    }

    fn floor_later(&self, event: floor::Event) {
        let handle = self.handle.clone();
        tokio::spawn(async move { handle.send(Event::Floor(event)).await });
    }
}

/// Answers to other nodes.
impl Control {
    pub(super) fn answer_floor(&self, host: &Name, incoming: Incoming) {
        let directory = self.membership.directory();
        let is_serving = self.floor.is_serving();
        let own = self.membership.own();
        let answer = FloorAnswer::of_member(Source::Peers, directory, own, is_serving, host);
        let reply = FloorReply {
            served: answer.served,
            is_serving,
        };
        super::streams::reply(incoming, &reply);
    }
}

async fn ask(peers: &Peers, to: SocketAddr, host: Name) -> anyhow::Result<FloorReply> {
    let (mut tx, mut rx) = peers.open(to).await?;
    tx.head(&encode(&StreamHead::Floor { host })?).await?;
    tx.finish();
    Ok(decode(&rx.rest(MAX_REPLY_LEN).await?)?)
}

/// The highest version that `host` may have served as far as the platform tells,
/// and entry addresses of its availability zone.
async fn served(
    platform: &dyn Platform,
    zone: &Name,
    host: &Name,
    with_status: bool,
) -> anyhow::Result<(ConfigVersion, Vec<SocketAddr>)> {
    let object = platform.read(&head::key()).await?;
    let (_, head) = Head::decode(object.as_ref())?;
    if !with_status {
        return Ok((head.version, Vec::new()));
    }
    let status = status::read(platform, zone).await?;
    let recorded = status
        .as_ref()
        .and_then(|s| s.applied.served(host))
        .unwrap_or_default();
    let entries = status.map(|s| s.entries).unwrap_or_default();
    Ok((head.version.max(recorded), entries))
}
