//! Streams of other nodes that the control thread answers, and its own fetches.

use super::{Control, Event};
use bytes::Bytes;
use knapweed_contract::{Head, PartCache};
use knapweed_link::{Delta, PartTag};
use knapweed_observe::part;
use knapweed_transport::{Incoming, Peers};
use knapweed_wire::{StreamHead, encode};
use knapweed_world::Time;
use knapweed_zone::membership;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Longest compressed delta, in bytes.
const MAX_DELTA_LEN: usize = 8 * 1024 * 1024;
/// Longest wait for a delta.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Streams of others.
impl Control {
    pub(super) fn stream(&mut self, now: Time, head: StreamHead, incoming: Incoming) {
        match head {
            StreamHead::FetchConfig { have } => match self.configs.delta_for(have) {
                Ok(delta) => drop(tokio::spawn(respond(incoming, delta))),
                Err(err) => log::error!(target: part::CONFIG, "could not make a delta: {err}"),
            },
            StreamHead::FetchMembers(digest) => {
                reply(
                    incoming,
                    &self.membership.directory().differing(now, &digest),
                );
            }
            StreamHead::Rollouts { states, holder } => self.states(states, holder),
            StreamHead::Report { service, report } => self.report(&service, &report),
            StreamHead::Floor { host } => self.answer_floor(&host, incoming),
            StreamHead::Crashes(records) => self.parts.egress.learn_crashes(records),
            // The egress takes these before they reach the control thread.
            StreamHead::Request(_) | StreamHead::Inquire { .. } => {}
        }
    }
}

/// Answers with one message.
pub(super) fn reply<M: Serialize>(incoming: Incoming, message: &M) {
    match encode(message) {
        Ok(bytes) => drop(tokio::spawn(respond(incoming, bytes))),
        Err(err) => log::error!(target: part::LINK, "could not answer: {err}"),
    }
}

async fn respond(incoming: Incoming, bytes: Bytes) {
    let Incoming {
        from, mut sender, ..
    } = incoming;
    if let Err(err) = sender.body(bytes).await {
        log::debug!(target: part::LINK, "answer to {from} was cut short: {err}");
        return;
    }
    sender.finish();
}

/// Configuration.
impl Control {
    pub(super) fn fetch_config(&self, from: SocketAddr) {
        let have = self.configs.tags();
        let (peers, handle) = (Arc::clone(&self.parts.peers), self.handle.clone());
        tokio::spawn(async move {
            let asked = tokio::time::timeout(FETCH_TIMEOUT, ask_config(&peers, from, have)).await;
            let delta = match asked {
                Ok(Ok(delta)) => Some(delta),
                Ok(Err(err)) => {
                    log::debug!(target: part::CONFIG, "no configuration from {from}: {err}");
                    None
                }
                Err(_) => None,
            };
            handle.send(Event::Delta { from, delta }).await;
        });
    }

    pub(super) fn delta(&mut self, from: SocketAddr, delta: Option<Delta>) {
        let now = self.now();
        let Some(delta) = delta else {
            return self.member_event(now, membership::Event::FetchFailed { from });
        };
        match self.configs.absorb(delta) {
            Ok(newer) => self.stale |= newer,
            Err(err) => {
                log::warn!(target: part::CONFIG, "refused the configuration of {from}: {err}");
                self.member_event(now, membership::Event::FetchFailed { from });
            }
        }
    }

    pub(super) fn loaded(&mut self, head: &Head, cache: PartCache) {
        match self.configs.replace(head, cache) {
            Ok(newer) => self.stale |= newer,
            Err(err) => log::warn!(target: part::CONFIG, "refused the platform's head: {err}"),
        }
    }
}

async fn ask_config(peers: &Peers, from: SocketAddr, have: Vec<PartTag>) -> anyhow::Result<Delta> {
    let (mut tx, mut rx) = peers.open(from).await?;
    tx.head(&encode(&StreamHead::FetchConfig { have })?).await?;
    tx.finish();
    let packed = rx.rest(MAX_DELTA_LEN).await?;
    Ok(Delta::decompress(&packed)?)
}
