//! Finds the version floor of this node after its start, and replies to the floor
//! queries of other nodes.

use super::messages::{query_node, reply};
use super::{Controller, Event};
use knapweed_observe::part;
use knapweed_store::StoreEra;
use knapweed_transport::IncomingStream;
use knapweed_wire::stream::FloorReply;
use knapweed_wire::{StreamHead, decode};
use knapweed_world::{ConfigVersion, Name, Time};
use knapweed_zone::floor::{self, Action, FloorAnswer, Source};
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::sync::oneshot;

/// Longest reply to a floor query, in bytes.
const MAX_REPLY_LEN: usize = 64;

impl Controller {
    /// Starts the next round of queries when it is due.
    pub(super) fn floor_tick(&mut self, now: Time) {
        if self.floor.is_serving() {
            return;
        }
        let own = self.membership.own();
        let members = self.membership.directory().present().map(|(_, r)| r);
        let peers = members.filter(|r| r.zone == own.zone && r.host != own.host);
        let peers = peers.count();
        self.floor_event(now, floor::Event::Peers(peers));
        self.floor_event(now, floor::Event::Tick);
    }

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
            } => self.query_source(),
            Action::Ask { source, count } => self.query_nodes(source, count),
            Action::Fetch(version) => self.fetch_at_least(version),
            Action::Serve { floor } => {
                log::info!(target: part::CONFIG, "serves callers; the version floor is {floor}");
                self.dependencies.ready.store(true, Ordering::Relaxed);
            }
            Action::RetryLater { .. } => {
                log::debug!(target: part::CONFIG, "the version floor is not known yet");
            }
        }
    }

    /// Fetches the configuration from a member that has applied `version`, or from its
    /// source when there is none.
    fn fetch_at_least(&mut self, version: ConfigVersion) {
        let members = self.membership.directory().present().map(|(_, r)| r);
        let up_to_date = members.filter(|r| r.applied >= version && version > ConfigVersion(0));
        match up_to_date.map(|r| r.address).choose(&mut rand::rng()) {
            Some(from) => self.fetch_config(from),
            None => self.load_from_source(oneshot::channel().0),
        }
    }
}

/// Queries for the version floor, sent to other nodes and to the configuration source.
impl Controller {
    fn query_nodes(&self, source: Source, count: usize) {
        let nodes = self.floor_nodes(source, count);
        for _ in nodes.len()..count {
            self.send_floor_event(floor::Event::Failed(source));
        }
        let query = StreamHead::Floor {
            host: self.membership.own().host.clone(),
        };
        for to in nodes {
            let (peers, handle) = (Arc::clone(&self.dependencies.peers), self.handle.clone());
            let query = query.clone();
            tokio::spawn(async move {
                let result = query_node(&peers, to, &query, MAX_REPLY_LEN).await;
                let event = match result.and_then(|bytes| Ok(decode(&bytes)?)) {
                    Ok(FloorReply { served, is_serving }) => floor::Event::Answer(FloorAnswer {
                        source,
                        served,
                        is_serving,
                        may_have_lost: false,
                    }),
                    Err(err) => {
                        log::debug!(target: part::CONFIG, "no version floor from {to}: {err}");
                        floor::Event::Failed(source)
                    }
                };
                handle.send(Event::Floor(event)).await;
            });
        }
    }

    /// Addresses of up to `count` nodes to query: members of this availability zone for
    /// [`Source::Peers`], of others otherwise.
    fn floor_nodes(&self, source: Source, count: usize) -> Vec<SocketAddr> {
        let zone = &self.membership.own().zone;
        self.some_members(count, |r| (r.zone == *zone) == (source == Source::Peers))
    }

    /// Loads the configuration from its source. Its version also bounds the floor: no
    /// node has served a version that the source does not have, unless the source has lost it.
    fn query_source(&mut self) {
        let (tx, rx) = oneshot::channel();
        self.load_from_source(tx);
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let event = match rx.await {
                Ok(Ok(found)) => floor::Event::Answer(FloorAnswer {
                    source: Source::Platform,
                    served: found.version,
                    is_serving: true,
                    may_have_lost: found.revision.era > StoreEra(0),
                }),
                Ok(Err(_)) | Err(_) => floor::Event::Failed(Source::Platform),
            };
            handle.send(Event::Floor(event)).await;
        });
    }

    fn send_floor_event(&self, event: floor::Event) {
        let handle = self.handle.clone();
        tokio::spawn(async move { handle.send(Event::Floor(event)).await });
    }
}

/// Replies to the floor queries of other nodes.
impl Controller {
    pub(super) fn reply_with_floor(&self, host: &Name, incoming: IncomingStream) {
        let directory = self.membership.directory();
        let is_serving = self.floor.is_serving();
        let own = self.membership.own();
        let answer = FloorAnswer::of_member(Source::Peers, directory, own, is_serving, host);
        let answer = FloorReply {
            served: answer.served,
            is_serving,
        };
        reply(incoming, &answer);
    }
}
