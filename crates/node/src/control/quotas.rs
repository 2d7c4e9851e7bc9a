//! Quotas of organisations: the accounts of this host, and the pool while this host holds it.

use super::messages::{query_node, reply};
use super::{Controller, Event};
use knapweed_host::quota::accounts::{Notice, REPLY_TIMEOUT};
use knapweed_host::quota::{
    Accounts, Exchange, ExchangeReply, ExchangeRequest, Pool, Roster, Table,
};
use knapweed_observe::part;
use knapweed_transport::IncomingStream;
use knapweed_wire::{StreamHead, decode};
use knapweed_world::{Name, Time};
use knapweed_zone::MemberState;
use knapweed_zone::duty::{self, Duty};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Longest reply of a holder, in bytes: that for a few thousand organisations.
const MAX_REPLY_LEN: usize = 256 * 1024;
/// Interval at which the hosts among which minting is divided are read from the directory.
const ROSTER_INTERVAL: Duration = Duration::from_millis(500);

/// State of the quotas on this host. Without quotas in the configuration it stays empty.
#[derive(Debug)]
pub(super) struct Quotas {
    accounts: Accounts,
    pool: Pool,
    roster: Roster,
    roster_read: Option<Time>,
}

impl Default for Quotas {
    fn default() -> Self {
        Self {
            accounts: Accounts::new(rand::random()),
            pool: Pool::new(rand::random()),
            roster: Roster::default(),
            roster_read: None,
        }
    }
}

/// Configuration and ticks.
impl Controller {
    /// Applies the quotas of the snapshot in force.
    pub(super) fn apply_quotas(&mut self, now: Time) {
        let table = Table::new(self.configs.config(), &self.dependencies.quota_tolerance);
        let snapshot = self.dependencies.snapshots.load();
        let organisations = snapshot.organisations();
        let tokens: HashMap<_, _> = organisations
            .map(|(_, o)| (o.name.clone(), Arc::clone(&o.tokens)))
            .collect();
        let quotas = &mut self.quotas;
        quotas.pool.set_table(table.clone());
        quotas
            .accounts
            .set_table(now, table, |name| tokens.get(name).cloned());
    }

    /// Mints and expires tokens, and exchanges them when that is due.
    pub(super) fn quota_tick(&mut self, now: Time) {
        if self.quotas.accounts.table().is_empty() || self.is_stopped {
            return;
        }
        self.read_roster(now);
        let hosts = self.quotas.roster.minting_hosts();
        self.quotas.accounts.tick(now, hosts);
        let directory = self.membership.directory();
        let holders = duty::holders(directory, &Duty::Quotas);
        let holder = holders.first().and_then(|key| directory.get(*key));
        let Some((holder, address)) = holder.map(|r| (r.host.clone(), r.address)) else {
            return;
        };
        if let Some(exchange) = self.quotas.accounts.poll(now, &holder) {
            self.exchange_tokens(now, exchange, address);
        }
        self.log_quota_notices();
    }

    fn read_roster(&mut self, now: Time) {
        let quotas = &mut self.quotas;
        let is_recent = |at: Time| now.since(at) < ROSTER_INTERVAL;
        if quotas.roster_read.is_some_and(is_recent) {
            return;
        }
        quotas.roster_read = Some(now);
        let members = self.membership.directory().present();
        let members = members.map(|(_, r)| (&r.host, r.state == MemberState::Leaving));
        quotas.roster.update(now, members);
    }

    fn log_quota_notices(&mut self) {
        for notice in self.quotas.accounts.take_notices() {
            match notice {
                Notice::Limited(name) => {
                    log::info!(target: part::INGRESS, "organisation {name} is being limited");
                }
                Notice::Unlimited(name) => {
                    log::info!(target: part::INGRESS, "organisation {name} is no longer limited");
                }
                Notice::HolderChanged(host) => {
                    log::info!(target: part::DUTY, "host {host} holds the quota tokens");
                }
            }
        }
    }
}

/// Exchange of tokens.
impl Controller {
    fn exchange_tokens(&mut self, now: Time, exchange: Exchange, address: SocketAddr) {
        let own = self.dependencies.host.clone();
        if exchange.holder == own {
            let reply = self.quotas.pool.exchange(now, &own, &exchange.request);
            if let Some(reply) = reply {
                self.tokens_received(now, &reply);
            }
            return;
        }
        let query = StreamHead::Quotas {
            host: own,
            request: Box::new(exchange.request),
        };
        let (peers, handle) = (Arc::clone(&self.dependencies.peers), self.handle.clone());
        tokio::spawn(async move {
            let reply = query_node(&peers, address, &query, MAX_REPLY_LEN);
            // A later reply is not credited.
            let Ok(reply) = tokio::time::timeout(REPLY_TIMEOUT, reply).await else {
                return;
            };
            match reply.and_then(|bytes| Ok(decode::<Option<ExchangeReply>>(&bytes)?)) {
                Ok(Some(reply)) => handle.send(Event::QuotaReply(Box::new(reply))).await,
                Ok(None) => {}
                Err(err) => {
                    log::debug!(target: part::LINK, "no quota tokens from {address}: {err}");
                }
            }
        });
    }

    pub(super) fn tokens_received(&mut self, now: Time, reply: &ExchangeReply) {
        self.quotas.accounts.reply_received(now, reply);
        self.log_quota_notices();
    }

    /// Replies to a host that takes this one for the holder. That is harmless if it is not: each
    /// pool has tokens of its own.
    pub(super) fn reply_with_tokens(
        &mut self,
        now: Time,
        host: &Name,
        request: &ExchangeRequest,
        incoming: IncomingStream,
    ) {
        let is_member = self.membership.directory().find(host).is_some();
        let pool = &mut self.quotas.pool;
        let answer = is_member.then(|| pool.exchange(now, host, request));
        reply(incoming, &answer.flatten());
    }
}
