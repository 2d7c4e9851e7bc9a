//! Learns from other nodes which versions have the traffic of services before their first
//! rollout.
//!
//! A node that has just started finds the servers of all versions at once. Others know which of
//! them had the traffic before. Until one of them has replied, orders of services without a
//! rollout wait.

use super::messages::{query_node, reply};
use super::{Controller, Event, Staleness};
use knapweed_observe::part;
use knapweed_transport::IncomingStream;
use knapweed_wire::stream::EstablishedReply;
use knapweed_wire::{StreamHead, decode};
use knapweed_world::Time;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Number of nodes of the own availability zone that are queried at a time.
pub const ZONE_QUERIES: usize = 2;
/// Interval of the queries.
const QUERY_INTERVAL: Duration = Duration::from_millis(200);
/// Scope of the queries in each round. Few leave the availability zone: when 64 nodes started
/// together and queried any of them, the connections took 3 MB between regions. Those that do
/// reach a node that knows when all nodes of the availability zone have been restarted.
const ROUNDS: [QueryScope; 8] = [
    QueryScope::Zone,
    QueryScope::Zone,
    QueryScope::Elsewhere,
    QueryScope::Zone,
    QueryScope::Elsewhere,
    QueryScope::Zone,
    QueryScope::Zone,
    QueryScope::Zone,
];
/// Time after the start at which a node no longer waits. When all nodes have started together,
/// none knows more than the others.
const MAX_WAIT: Duration = Duration::from_millis(1_500);
/// Longest reply, in bytes: 160 services take about 8 KB.
const MAX_REPLY_LEN: usize = 256 * 1024;

/// Nodes that are queried in a round.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueryScope {
    /// Nodes of the own availability zone, or [`QueryScope::Elsewhere`] if no other is known there.
    Zone,
    /// One node of another availability zone.
    Elsewhere,
}

/// Schedule of the queries of a node that has started.
#[derive(Clone, Copy, Debug)]
pub struct EstablishedQueries {
    started: Time,
    last: Option<Time>,
    /// Number of rounds so far.
    rounds: usize,
    is_over: bool,
}

impl EstablishedQueries {
    /// The state of a node that starts at `now`.
    pub fn new(now: Time) -> Self {
        Self {
            started: now,
            last: None,
            rounds: 0,
            is_over: false,
        }
    }

    /// Which nodes are to be queried now; `None` if a round is not due.
    pub fn next_round(&mut self, now: Time) -> Option<QueryScope> {
        self.is_over |= now.since(self.started) >= MAX_WAIT;
        let is_due = self.last.is_none_or(|at| now.since(at) >= QUERY_INTERVAL);
        if self.is_over || !is_due {
            return None;
        }
        let scope = ROUNDS.get(self.rounds).copied();
        self.last = Some(now);
        self.rounds += 1;
        scope
    }

    /// Notes the reply of another node. That of a node which has just started itself does not
    /// end the queries.
    pub fn replied(&mut self, is_informed: bool) {
        self.is_over |= is_informed;
    }

    /// Whether this node knows what others knew before it started, as far as it can learn that.
    pub fn is_over(&self) -> bool {
        self.is_over
    }
}

impl Controller {
    pub(super) fn established_tick(&mut self, now: Time) {
        let Some(scope) = self.established_queries.next_round(now) else {
            return;
        };
        for to in self.established_nodes(scope) {
            let (peers, handle) = (Arc::clone(&self.dependencies.peers), self.handle.clone());
            tokio::spawn(async move {
                let query = StreamHead::Established;
                let result = query_node(&peers, to, &query, MAX_REPLY_LEN).await;
                match result.and_then(|bytes| Ok(decode(&bytes)?)) {
                    Ok(reply) => handle.send(Event::Established(reply)).await,
                    Err(err) => {
                        log::debug!(target: part::ROLLOUT, "no versions from {to}: {err}");
                    }
                }
            });
        }
    }

    /// Addresses of the nodes to query.
    fn established_nodes(&self, scope: QueryScope) -> Vec<SocketAddr> {
        let zone = &self.membership.own().zone;
        let peers = match scope {
            QueryScope::Zone => self.some_members(ZONE_QUERIES, |r| r.zone == *zone),
            QueryScope::Elsewhere => Vec::new(),
        };
        match peers.is_empty() {
            true => self.some_members(1, |r| r.zone != *zone),
            false => peers,
        }
    }

    pub(super) fn established_received(&mut self, reply: &EstablishedReply) {
        self.established_queries.replied(reply.is_informed);
        if self.established.adopt(&reply.services) {
            self.outdate_snapshot(Staleness::ConfigChanged);
        }
    }

    pub(super) fn reply_with_established(&self, incoming: IncomingStream) {
        let known = EstablishedReply {
            services: self.established.found(),
            is_informed: self.established_queries.is_over(),
        };
        reply(incoming, &known);
    }
}
