//! The tokens of one organisation on one host.

use super::demand::Demand;
use super::message::{Ask, OrganisationIndex, Parcel, Shortage, Supply};
use super::purse::{Batch, Purse};
use super::terms::Terms;
use knapweed_world::{QuotaTokens, Time, Tokens};
use std::sync::Arc;
use std::time::Duration;
/// Most requests that a host admits beyond its tokens.
pub const MAX_OVERDRAFT: u32 = 3;
/// Time for which the request path may use the tokens in hand after a tick. The tokens
/// must not expire in that time; the control thread of a small host may be late by it.
const USE_PERIOD: Duration = Duration::from_millis(400);
/// Share of the lifetime that the request path may use the tokens without a tick at most.
const USE_SHARE: u32 = 4;
/// Share of the lifetime after which even a small surplus is deposited.
const DEPOSIT_SHARE: u32 = 6;
/// Surplus that is deposited at once.
const DEPOSIT_MIN: Tokens = Tokens(250_000);
/// Standard deviations of the demand until the next exchange that are kept in hand.
const SAFETY: f64 = 3.0;
/// Smallest number of tokens that is kept in hand.
const MIN_TARGET: f64 = 0.5;
/// Demand until the next exchange from which a host wants a whole token while they are
/// scarce and it may not overdraw.
const MIN_SCARCE_NEED: f64 = 0.1;
/// Tokens that a host mints in a lifetime from which on it keeps fractions while tokens are
/// scarce. With less they expire before they are whole, and the pool can put them together.
const MIN_OWN_TOKENS: f64 = 3.0;
/// Change of the demand that the holder is told about.
const DEMAND_CHANGE: f64 = 0.1;

/// State of one organisation on one host, owned by the control thread.
#[derive(Debug)]
pub struct Account {
    tokens: Arc<QuotaTokens>,
    terms: Terms,
    /// The tokens in hand by age. Requests take the oldest; the purse is told at each tick.
    purse: Purse,
    minted_at: Option<Time>,
    /// Fraction of a millionth of a token that was not minted yet.
    remainder: u64,
    remainder_hosts: u32,
    /// Tokens that this host mints in a lifetime.
    own_tokens: f64,
    /// Minting time of the oldest token at the last tick.
    last_oldest: Time,
    demand: Demand,
    counted: u64,
    told_demand_milli: Option<u32>,
    deposited_at: Time,
    supply: Supply,
    /// Requests per second at all hosts, in thousandths; known while tokens are short.
    total_demand_milli: u32,
}

/// Construction and inspection.
impl Account {
    /// An account without tokens. `tokens` may have been used before; a debt remains.
    pub fn new(tokens: Arc<QuotaTokens>, terms: Terms) -> Self {
        tokens.cap(Tokens::ZERO);
        let _ = tokens.take_returned();
        let counts = tokens.counts();
        let mut account = Self {
            tokens,
            terms,
            purse: Purse::default(),
            minted_at: None,
            remainder: 0,
            remainder_hosts: 0,
            own_tokens: 0.0,
            last_oldest: Time::default(),
            demand: Demand::default(),
            counted: counts.admitted + counts.refused,
            told_demand_milli: None,
            deposited_at: Time::default(),
            supply: Supply::default(),
            total_demand_milli: 0,
        };
        // Without it, every request is refused until the first reply.
        account.set_supply(Supply::default(), 0);
        account
    }

    /// The tokens as the request path sees them.
    pub fn tokens(&self) -> &Arc<QuotaTokens> {
        &self.tokens
    }

    /// Requests per second, refused ones included.
    pub fn demand(&self) -> f64 {
        self.demand.per_s()
    }

    /// The supply that the holder reported.
    pub fn supply(&self) -> Supply {
        self.supply
    }
}

/// Ticks.
impl Account {
    /// Mints and expires tokens. `hosts` is the number of hosts that mint, `None` while this
    /// host does not.
    pub fn tick(&mut self, now: Time, hosts: Option<u32>) {
        self.expire(now);
        self.collect_returned(now);
        self.mint(now, hosts);
        self.publish(now, hosts);
        let counts = self.tokens.counts();
        let count = counts.admitted + counts.refused;
        self.demand.record(count - self.counted, now);
        self.counted = count;
    }

    /// Time before `now` at which the oldest token may have been minted that is still in use
    /// at the next tick.
    fn oldest_usable(&self, now: Time) -> Option<Time> {
        let age = self.terms.lifetime.saturating_sub(self.use_period());
        now.0.checked_sub(age.as_micros() as u64).map(Time)
    }

    fn use_period(&self) -> Duration {
        USE_PERIOD.min(self.terms.lifetime / USE_SHARE)
    }

    /// Removes the tokens from the purse that requests have taken, and the expired ones.
    fn expire(&mut self, now: Time) {
        self.purse.trim_to(self.tokens.balance());
        if let Some(oldest) = self.oldest_usable(now) {
            self.purse.expire(oldest);
        }
        self.tokens.cap(self.purse.total());
    }

    fn collect_returned(&mut self, now: Time) {
        let Some((minted_at, amount)) = self.tokens.take_returned() else {
            return;
        };
        self.add(now, Batch { minted_at, amount });
    }

    fn mint(&mut self, now: Time, hosts: Option<u32>) {
        let since = self.minted_at.replace(now);
        let (Some(since), Some(hosts)) = (since, hosts) else {
            self.minted_at = hosts.map(|_| now);
            return;
        };
        if std::mem::replace(&mut self.remainder_hosts, hosts) != hosts {
            self.remainder = 0;
        }
        let elapsed_us = now.since(since).min(self.terms.lifetime).as_micros() as u64;
        // A rate of one thousandth per second is one millionth per millisecond.
        let minted = elapsed_us * u64::from(self.terms.rate_milli) + self.remainder;
        let unit = 1_000 * u64::from(hosts);
        self.remainder = minted % unit;
        let amount = Tokens((minted / unit) as i64);
        // They count as minted at the start of the interval.
        let minted_at = since;
        self.add(now, Batch { minted_at, amount });
    }

    /// Adds a batch, which pays a debt first. Tokens that have expired are dropped, and those
    /// that do until the next tick may only pay.
    fn add(&mut self, now: Time, batch: Batch) {
        if now.since(batch.minted_at) >= self.terms.lifetime {
            return;
        }
        let is_usable = self
            .oldest_usable(now)
            .is_none_or(|oldest| batch.minted_at >= oldest);
        if !is_usable {
            self.tokens.pay_debt(batch.amount);
            return;
        }
        // Before the request path can take the tokens.
        self.publish_age(now, batch.minted_at);
        self.purse.add(batch);
        self.tokens.credit(batch.amount);
        self.purse.trim_to(self.tokens.balance());
    }

    /// Publishes how long the tokens may be used. The bound of their age rises a tick late,
    /// for a request that has taken a token and reads its age now.
    fn publish_age(&mut self, now: Time, added: Time) {
        let oldest = self.purse.oldest().unwrap_or(now).min(added);
        let bound = oldest.min(self.last_oldest);
        self.tokens
            .publish_usable(now.after(self.use_period()), bound);
    }

    fn publish(&mut self, now: Time, hosts: Option<u32>) {
        self.publish_age(now, now);
        self.last_oldest = self.purse.oldest().unwrap_or(now);
        let own_share = 1.0 / f64::from(hosts.unwrap_or(1).max(1));
        self.own_tokens = self.terms.capacity.as_f64() * own_share;
        let demand_share = match self.total_demand_milli {
            0 => 0.0,
            total => f64::from(self.demand.milli()) / f64::from(total),
        };
        let rate = self.terms.rate() * own_share.max(demand_share.min(1.0));
        self.tokens
            .publish_interval(Duration::from_secs_f64(1.0 / rate));
    }
}

/// Exchange with the holder of the pool.
impl Account {
    /// Sets the overdraft that the supply allows.
    pub fn set_supply(&mut self, supply: Supply, total_demand_milli: u32) {
        self.supply = supply;
        self.total_demand_milli = total_demand_milli;
        self.tokens.publish_overdraft(self.overdraft());
    }

    /// Takes over what a reply says about the organisation; `None` when it says nothing.
    pub fn report_received(&mut self, shortage: Option<&Shortage>) {
        match shortage {
            Some(shortage) => self.set_supply(shortage.supply, shortage.demand_milli),
            None => self.set_supply(Supply::Ample, 0),
        }
    }

    /// Requests that may be admitted beyond the tokens in hand. Most organisations send
    /// less than one request in a token's lifetime to a host: whole tokens cannot wait for
    /// each of them everywhere.
    fn overdraft(&self) -> Tokens {
        match self.supply {
            Supply::Scarce => Tokens::ZERO,
            Supply::Tight => Tokens::ONE,
            Supply::Ample => Tokens::whole(MAX_OVERDRAFT),
        }
    }

    /// Tokens that the host should have for the demand of `period`.
    ///
    /// A host with less demand than that of half a token has none. The fractions that many
    /// such hosts would keep expire before one of them is whole, and the pool, from which
    /// overdrafts are paid, would get nothing.
    fn target(&self, period: Duration) -> Tokens {
        let need = self.demand.per_s() * period.as_secs_f64();
        let target = match self.supply {
            Supply::Scarce if need < MIN_SCARCE_NEED => 0.0,
            Supply::Scarce => need.max(1.0),
            _ => need + SAFETY * need.sqrt() - f64::from(MAX_OVERDRAFT),
        };
        match target < MIN_TARGET {
            true => Tokens::ZERO,
            false => Tokens::from_f64(target),
        }
    }

    /// Whether the next request would be refused though the pool may have tokens.
    pub fn is_urgent(&self) -> bool {
        let left = self.tokens.balance().0 + self.overdraft().0;
        left < Tokens::ONE.0 && self.supply != Supply::Scarce && self.demand.per_s() > 0.0
    }

    /// The part of a request about this organisation; `None` when there is nothing to say.
    /// `period` is the time until the tokens of the next exchange arrive.
    pub fn ask(
        &mut self,
        now: Time,
        organisation: OrganisationIndex,
        may_deposit: bool,
        period: Duration,
    ) -> Option<Ask> {
        self.expire(now);
        let target = self.target(period);
        let surplus = self.surplus(target);
        let deposits = match may_deposit && self.is_deposit_due(now, surplus) {
            true => self.deposit(now, surplus),
            false => Vec::new(),
        };
        let balance = self.tokens.balance();
        let debt = (-balance.0).max(0);
        let shortage = (target.0 - balance.0.max(0)).max(0);
        let demand_milli = self.demand.milli();
        let is_news = self.told_demand_milli.is_none_or(|told| {
            let change = f64::from(told.abs_diff(demand_milli));
            change > DEMAND_CHANGE * f64::from(told)
        });
        if deposits.is_empty() && debt == 0 && shortage == 0 && !is_news {
            return None;
        }
        self.told_demand_milli = Some(demand_milli);
        Some(Ask {
            organisation,
            deposits,
            demand_milli,
            debt: u32::try_from(debt).unwrap_or(u32::MAX),
            shortage: u32::try_from(shortage).unwrap_or(u32::MAX),
        })
    }

    /// Tokens to deposit.
    fn surplus(&self, target: Tokens) -> Tokens {
        let balance = self.tokens.balance();
        let beyond_target = balance.0 - target.0;
        let keeps_fractions = self.supply != Supply::Scarce || self.own_tokens >= MIN_OWN_TOKENS;
        let fraction = balance.or_zero().0 % Tokens::ONE.0;
        match keeps_fractions {
            true => Tokens(beyond_target),
            false => Tokens(beyond_target.max(fraction)),
        }
    }

    fn is_deposit_due(&self, now: Time, surplus: Tokens) -> bool {
        let is_old = now.since(self.deposited_at) >= self.terms.lifetime / DEPOSIT_SHARE;
        surplus >= DEPOSIT_MIN || (surplus > Tokens::ZERO && is_old)
    }

    /// Removes the surplus from the account, oldest first.
    fn deposit(&mut self, now: Time, surplus: Tokens) -> Vec<Parcel> {
        self.deposited_at = now;
        let amount = self.tokens.withdraw(surplus);
        Parcel::pack_all(self.purse.take_oldest(amount), now)
    }

    /// Adds granted tokens, which were at most `transit` under way.
    pub fn credit(&mut self, now: Time, parcels: &[Parcel], transit: Duration) {
        // A new batch extends the time for which all tokens in hand may be used.
        self.expire(now);
        for parcel in parcels {
            if let Some(batch) = parcel.unpack(now, transit) {
                self.add(now, batch);
            }
        }
    }

    /// Forgets what a holder was told: another one does not know it.
    pub fn holder_changed(&mut self) {
        self.told_demand_milli = None;
    }

    /// Applies another quota. Tokens count as minted at the lower one of both rates.
    pub fn set_terms(&mut self, now: Time, terms: Terms) {
        if terms == self.terms {
            return;
        }
        self.expire(now);
        let factor = f64::from(terms.rate_milli) / f64::from(self.terms.rate_milli);
        self.terms = terms;
        if factor < 1.0 {
            self.purse.scale(factor);
        }
        self.expire(now);
        self.remainder = 0;
    }
}
