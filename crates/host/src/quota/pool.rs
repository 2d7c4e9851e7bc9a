//! The pool of tokens on the host that holds it.
//!
//! Load pattern: callers of an organisation are on a few hosts, and move. The pool takes the
//! tokens that hosts mint without having callers for them, and grants them where they
//! are needed. While it has little left, hosts are told not to overdraw.

use super::message::{
    Ask, Echo, ExchangeReply, ExchangeRequest, Grant, OrganisationIndex, Parcel, Shortage, Stamp,
    Supply,
};
use super::purse::{Batch, Purse};
use super::terms::{Table, Terms};
use knapweed_world::{Name, Time, Tokens};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Age of a stamp beyond which a deposit is refused.
const STAMP_TTL: Duration = Duration::from_secs(5);
/// Time without a message after which the demand of a host does not count.
const HOST_TTL: Duration = Duration::from_secs(5);
/// Ratio of two hosts' clock rates that the age of a deposit allows for, in millionths.
const MAX_DRIFT_PPM: u64 = 1_000;
/// Tokens in the pool as a multiple of the reserve from which on the supply is ample.
const AMPLE: f64 = 1.25;
/// That multiple from which on the supply is not scarce any more.
const RECOVERED: f64 = 1.25;
/// Part of the reserve that is needed while the demand is below the rate.
const CALM_RESERVE: f64 = 0.3;
/// Share of the lifetime below which tokens are granted to be kept in hand.
const STOCK_SHARE: u32 = 2;
/// That share while tokens are scarce, as a fraction: who lacks tokens then uses them at once.
const SCARCE_STOCK_SHARE: (u32, u32) = (2, 3);
/// Time before its expiry from which a token is not granted: it would expire on its way.
const TRANSIT_TIME: Duration = Duration::from_millis(300);
/// That time as a share of the lifetime at most.
const TRANSIT_SHARE: u32 = 4;
/// Share of the rate up to which the demand lets a low pool fill.
const CALM_SHARE: f64 = 0.8;
/// Time for which the pool must have tokens at the current demand to grant whatever is asked.
const PLENTY: Duration = Duration::from_millis(700);

/// Tokens of one organisation.
#[derive(Debug)]
struct Holding {
    terms: Terms,
    purse: Purse,
    /// Sum of the demands of all hosts, in thousandths of a request per second.
    demand_milli: u64,
    is_scarce: bool,
}

/// What the pool knows of a host.
#[derive(Debug)]
struct HostState {
    stamp: Stamp,
    replied_at: Time,
    demand_milli: Vec<u32>,
}

/// The pool of all organisations with quotas.
#[derive(Debug)]
pub struct Pool {
    table: Table,
    holdings: Vec<Holding>,
    hosts: HashMap<Name, HostState>,
    /// The next stamp. It starts at a random number, so that a stamp of an earlier process
    /// is not taken for one of this process.
    next_stamp: u64,
}

/// Construction and configuration.
impl Pool {
    /// An empty pool. `random` tells its stamps apart from those of other pools.
    pub fn new(random: u64) -> Self {
        Self {
            table: Table::default(),
            holdings: Vec::new(),
            hosts: HashMap::new(),
            next_stamp: random,
        }
    }

    /// Applies the quotas of a configuration. Organisations that remain keep their tokens;
    /// of those with a lower rate, what they had minted at that rate.
    pub fn set_table(&mut self, table: Table) {
        if table.tag() == self.table.tag() {
            return;
        }
        let old_names = self.table.entries().iter();
        let old_names = old_names.map(|entry| entry.organisation.clone());
        let mut old: BTreeMap<_, _> = old_names.zip(self.holdings.drain(..)).collect();
        let holdings = table.entries().iter().map(|entry| {
            let known = old.remove(&entry.organisation);
            Holding::next(known, entry.terms)
        });
        self.holdings = holdings.collect();
        self.table = table;
        // Their stamps are older than the change, and the indexes of their demands differ.
        self.hosts.clear();
    }

    /// Tokens in the pool for the organisation at `index`.
    pub fn total(&self, index: OrganisationIndex) -> Tokens {
        let holding = self.holdings.get(index.index());
        holding.map_or(Tokens::ZERO, |holding| holding.purse.total())
    }
}

/// Exchanges.
impl Pool {
    /// Takes the deposits of a host and grants it tokens; `None` when it follows other quotas.
    pub fn exchange(
        &mut self,
        now: Time,
        host: &Name,
        request: &ExchangeRequest,
    ) -> Option<ExchangeReply> {
        if request.table != self.table.tag() || self.table.is_empty() {
            return None;
        }
        self.expire(now);
        let transit = request
            .echo
            .and_then(|echo| self.deposit_transit(now, host, echo));
        let mut grants = Vec::new();
        for ask in &request.asks {
            self.record_demand(host, ask);
            if let Some(transit) = transit {
                self.deposit(now, ask, transit);
            }
        }
        for ask in &request.asks {
            let Some(holding) = self.holdings.get_mut(ask.organisation.index()) else {
                continue;
            };
            let parcels = holding.grant(now, ask);
            if !parcels.is_empty() {
                grants.push(Grant {
                    organisation: ask.organisation,
                    parcels,
                });
            }
        }
        let shortages = self.shortages();
        Some(ExchangeReply {
            number: request.number,
            stamp: self.stamp(now, host),
            grants,
            shortages,
        })
    }

    fn expire(&mut self, now: Time) {
        for holding in &mut self.holdings {
            let lifetime = holding.terms.lifetime;
            let useful = lifetime - TRANSIT_TIME.min(lifetime / TRANSIT_SHARE);
            holding.purse.expire(now.before(useful));
        }
        let expired = |state: &HostState| now.since(state.replied_at) > HOST_TTL;
        for state in self.hosts.values().filter(|state| expired(state)) {
            for (holding, demand) in self.holdings.iter_mut().zip(&state.demand_milli) {
                holding.demand_milli -= u64::from(*demand);
            }
        }
        self.hosts.retain(|_, state| !expired(state));
    }

    /// Upper bound of the time that a request was under way; `None` when its deposits must
    /// not be accepted. The host sent it `held_us` after the reply with the stamp arrived, or
    /// later.
    fn deposit_transit(&mut self, now: Time, host: &Name, echo: Echo) -> Option<Duration> {
        let state = self.hosts.get(host)?;
        let elapsed = now.since(state.replied_at);
        if state.stamp != echo.stamp || elapsed > STAMP_TTL {
            return None;
        }
        let held = Duration::from_micros(echo.held_us.saturating_sub(drift(echo.held_us)));
        elapsed.checked_sub(held)
    }

    fn deposit(&mut self, now: Time, ask: &Ask, transit: Duration) {
        let Some(holding) = self.holdings.get_mut(ask.organisation.index()) else {
            return;
        };
        for parcel in &ask.deposits {
            if let Some(batch) = parcel.unpack(now, transit) {
                holding.deposit(now, batch);
            }
        }
    }

    fn record_demand(&mut self, host: &Name, ask: &Ask) {
        let organisations = self.holdings.len();
        let index = ask.organisation.index();
        let Some(holding) = self.holdings.get_mut(index) else {
            return;
        };
        // A host gets its entry with its first reply; its demand counts from the second one.
        let Some(state) = self.hosts.get_mut(host) else {
            return;
        };
        state.demand_milli.resize(organisations, 0);
        let before = std::mem::replace(&mut state.demand_milli[index], ask.demand_milli);
        holding.demand_milli -= u64::from(before);
        holding.demand_milli += u64::from(ask.demand_milli);
    }

    /// Stamps a reply. The stamp of the last one becomes invalid, so that its deposit is
    /// accepted once.
    fn stamp(&mut self, now: Time, host: &Name) -> Stamp {
        self.next_stamp = self.next_stamp.wrapping_add(1);
        let stamp = Stamp(self.next_stamp);
        let state = self.hosts.entry(host.clone()).or_insert_with(|| HostState {
            stamp,
            replied_at: now,
            demand_milli: Vec::new(),
        });
        state.stamp = stamp;
        state.replied_at = now;
        stamp
    }

    fn shortages(&mut self) -> Vec<Shortage> {
        let holdings = self.holdings.iter_mut().enumerate();
        let shortages = holdings.filter_map(|(i, holding)| {
            let supply = holding.update_supply();
            (supply != Supply::Ample).then(|| Shortage {
                organisation: OrganisationIndex(i as u16),
                supply,
                demand_milli: u32::try_from(holding.demand_milli).unwrap_or(u32::MAX),
            })
        });
        shortages.collect()
    }
}

impl Holding {
    /// The holding under the terms of a new configuration.
    fn next(known: Option<Self>, terms: Terms) -> Self {
        let mut purse = Purse::default();
        if let Some(known) = known {
            let factor = f64::from(terms.rate_milli) / f64::from(known.terms.rate_milli);
            purse = known.purse;
            if factor < 1.0 {
                purse.scale(factor);
            }
        }
        Self {
            terms,
            purse,
            demand_milli: 0,
            is_scarce: false,
        }
    }

    fn deposit(&mut self, now: Time, batch: Batch) {
        if now.since(batch.minted_at) < self.terms.lifetime {
            self.purse.add(batch);
        }
    }

    /// Tokens for a host: for its debt from all tokens, the oldest first; for what it lacks
    /// from those that it can keep for a while. The reserve is left while hosts may overdraw.
    fn grant(&mut self, now: Time, ask: &Ask) -> Vec<Parcel> {
        let payment = self.purse.take_oldest(Tokens(i64::from(ask.debt)));
        let reserve = match self.is_scarce {
            true => Tokens::ZERO,
            false => Tokens::from_f64(self.needed()),
        };
        let free = Tokens(self.purse.total().0 - reserve.0).or_zero();
        let shortage = Tokens(i64::from(ask.shortage));
        let demand = self.demand_milli.max(u64::from(ask.demand_milli)).max(1) as f64;
        let is_plenty = free.as_f64() >= demand / 1_000.0 * PLENTY.as_secs_f64();
        let part = free.as_f64() * f64::from(ask.demand_milli) / demand;
        let limit = match is_plenty {
            true => free,
            false if self.is_scarce => whole(part).max(Tokens::ONE).min(whole(free.as_f64())),
            false => Tokens::from_f64(part),
        };
        let (num, den) = match self.is_scarce {
            true => SCARCE_STOCK_SHARE,
            false => (1, STOCK_SHARE),
        };
        let since = now.before(self.terms.lifetime * num / den);
        let stock = self.purse.take_since(since, shortage.min(limit));
        let mut parcels = Parcel::pack_all(payment, now);
        parcels.extend(Parcel::pack_all(stock, now));
        parcels
    }

    /// Whether the demand is below the rate.
    fn is_calm(&self) -> bool {
        self.demand_milli as f64 <= f64::from(self.terms.rate_milli) * CALM_SHARE
    }

    /// Tokens to keep for hosts that have overdrawn.
    fn needed(&self) -> f64 {
        let share = if self.is_calm() { CALM_RESERVE } else { 1.0 };
        self.terms.reserve.as_f64() * share
    }

    /// The supply as of now.
    ///
    /// With demand below the rate, the debts of all hosts are paid soon, and a low pool fills.
    /// Beyond that, tokens are scarce from when the reserve is in use until some have been
    /// saved, so that the supply does not change with each exchange.
    fn update_supply(&mut self) -> Supply {
        let total = self.purse.total().as_f64();
        let needed = self.needed();
        let low = needed * if self.is_scarce { RECOVERED } else { 1.0 };
        self.is_scarce = !self.is_calm() && total < low;
        if self.is_scarce {
            Supply::Scarce
        } else if total < needed * AMPLE {
            Supply::Tight
        } else {
            Supply::Ample
        }
    }
}

/// The whole tokens of an amount: a fraction at a host that mints little never becomes whole.
fn whole(tokens: f64) -> Tokens {
    Tokens::from_f64(tokens.floor())
}

/// The part of a measured time by which the clock that measured it may have been fast.
fn drift(us: u64) -> u64 {
    us.saturating_mul(MAX_DRIFT_PPM).div_ceil(1_000_000)
}
