//! The accounts of one host, and its exchanges with the holder of the pool.

use super::account::Account;
use super::message::{
    Echo, ExchangeReply, ExchangeRequest, OrganisationIndex, RequestNumber, Stamp, Supply,
};
use super::terms::{Entry, Table};
use knapweed_world::{Name, QuotaTokens, Time};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time between two exchanges of a host.
pub const EXCHANGE_PERIOD: Duration = Duration::from_millis(350);
/// Time between two exchanges while a host lacks tokens.
pub const URGENT_PERIOD: Duration = Duration::from_millis(100);
/// Number of hosts up to which these periods hold. With more, they grow in proportion, so
/// that the holder gets the same number of messages.
const HOSTS_AT_FULL_PACE: u32 = 200;
/// Time after which a reply is not credited any more.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(700);
/// Time without a reply after which a host does not know the supply.
const SUPPLY_TTL: Duration = Duration::from_millis(1_500);

/// A request that has no reply yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    number: RequestNumber,
    sent_at: Time,
}

/// The last reply of the holder, which is returned once.
#[derive(Clone, Copy, Debug)]
struct Received {
    stamp: Stamp,
    at: Time,
}

/// A message for the holder.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Host that holds the pool.
    pub holder: Name,
    /// The message.
    pub request: ExchangeRequest,
}

/// What an operator should know of.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Notice {
    /// Requests of the organisation are refused while its tokens are short.
    Limited(Name),
    /// The tokens of the organisation are not short any more.
    Unlimited(Name),
    /// Another host holds the pool.
    HolderChanged(Name),
}

/// All accounts of a host.
#[derive(Debug, Default)]
pub struct Accounts {
    table: Table,
    accounts: Vec<Account>,
    holder: Option<Name>,
    numbers: RequestNumber,
    pending: Option<Pending>,
    received: Option<Received>,
    replied_at: Option<Time>,
    requested_at: Option<Time>,
    hosts: Option<u32>,
    notices: Vec<Notice>,
}

/// Configuration.
impl Accounts {
    /// Accounts without organisations. Requests are numbered from `random`, so that a reply
    /// to an earlier process of the host is not taken for one to this process.
    pub fn new(random: u64) -> Self {
        Self {
            numbers: RequestNumber(random),
            ..Self::default()
        }
    }

    /// Applies the quotas of a configuration. `tokens` returns those that the request path
    /// uses for an organisation. Accounts of organisations that remain keep their tokens.
    pub fn set_table(
        &mut self,
        now: Time,
        table: Table,
        tokens: impl Fn(&Name) -> Option<Arc<QuotaTokens>>,
    ) {
        let old_names = self.table.entries().iter();
        let old_names = old_names.map(|entry| entry.organisation.clone());
        let mut old: BTreeMap<_, _> = old_names.zip(self.accounts.drain(..)).collect();
        let account = |entry: &Entry| {
            let tokens = tokens(&entry.organisation).unwrap_or_default();
            let known = old.remove(&entry.organisation);
            let Some(mut account) = known.filter(|a| Arc::ptr_eq(a.tokens(), &tokens)) else {
                return Account::new(tokens, entry.terms);
            };
            account.set_terms(now, entry.terms);
            account.holder_changed();
            account
        };
        self.accounts = table.entries().iter().map(account).collect();
        if table.tag() != self.table.tag() {
            // A reply names organisations by their index in the old table.
            self.pending = None;
        }
        self.table = table;
    }

    /// The quotas in force.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// The accounts, in the order of the table.
    pub fn accounts(&self) -> &[Account] {
        &self.accounts
    }

    /// Takes what an operator should know of.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notices)
    }
}

/// Events.
impl Accounts {
    /// Mints and expires tokens; `hosts` as for [`Account::tick`].
    pub fn tick(&mut self, now: Time, hosts: Option<u32>) {
        self.hosts = hosts;
        if !self.knows_supply(now) {
            for account in &mut self.accounts {
                account.set_supply(Supply::default(), 0);
            }
        }
        for account in &mut self.accounts {
            account.tick(now, hosts);
        }
    }

    /// The message to send now; `None` while none is due.
    pub fn poll(&mut self, now: Time, holder: &Name) -> Option<Exchange> {
        if self.accounts.is_empty() {
            return None;
        }
        if self.holder.as_ref() != Some(holder) {
            self.change_holder(holder);
        }
        self.hosts?;
        if !self.is_due(now) {
            return None;
        }
        let echo = self.received.take().map(|received| Echo {
            stamp: received.stamp,
            held_us: now.since(received.at).as_micros() as u64,
        });
        let period = self.period() + REPLY_TIMEOUT / 4;
        let asks = self.accounts.iter_mut().enumerate();
        let asks = asks.filter_map(|(i, account)| {
            let organisation = OrganisationIndex(u16::try_from(i).ok()?);
            account.ask(now, organisation, echo.is_some(), period)
        });
        let asks = asks.collect();
        self.numbers.0 = self.numbers.0.wrapping_add(1);
        let number = self.numbers;
        self.pending = Some(Pending {
            number,
            sent_at: now,
        });
        self.requested_at = Some(now);
        Some(Exchange {
            holder: holder.clone(),
            request: ExchangeRequest {
                table: self.table.tag(),
                number,
                echo,
                asks,
            },
        })
    }

    /// Credits a reply, if it answers the last request in time.
    pub fn reply_received(&mut self, now: Time, reply: &ExchangeReply) {
        let Some(pending) = self.pending.take_if(|p| p.number == reply.number) else {
            return;
        };
        // The reply was sent after the request.
        let transit = now.since(pending.sent_at);
        if transit > REPLY_TIMEOUT {
            return;
        }
        self.received = Some(Received {
            stamp: reply.stamp,
            at: now,
        });
        self.replied_at = Some(now);
        let shortages: BTreeMap<_, _> = reply
            .shortages
            .iter()
            .map(|shortage| (shortage.organisation.index(), shortage))
            .collect();
        for (i, account) in self.accounts.iter_mut().enumerate() {
            let was_scarce = account.supply() == Supply::Scarce;
            account.report_received(shortages.get(&i).copied());
            let is_scarce = account.supply() == Supply::Scarce;
            let name = || self.table.entries()[i].organisation.clone();
            match (was_scarce, is_scarce) {
                (false, true) => self.notices.push(Notice::Limited(name())),
                (true, false) => self.notices.push(Notice::Unlimited(name())),
                _ => {}
            }
        }
        for grant in &reply.grants {
            if let Some(account) = self.accounts.get_mut(grant.organisation.index()) {
                account.credit(now, &grant.parcels, transit);
            }
        }
    }

    fn change_holder(&mut self, holder: &Name) {
        if self.holder.is_some() {
            self.notices.push(Notice::HolderChanged(holder.clone()));
        }
        self.holder = Some(holder.clone());
        self.pending = None;
        self.received = None;
        self.requested_at = None;
        for account in &mut self.accounts {
            account.holder_changed();
        }
    }

    fn knows_supply(&self, now: Time) -> bool {
        let replied_at = self.replied_at;
        replied_at.is_some_and(|at| now.since(at) <= SUPPLY_TTL.max(4 * self.period()))
    }

    fn is_due(&self, now: Time) -> bool {
        let Some(requested_at) = self.requested_at else {
            return true;
        };
        let elapsed = now.since(requested_at);
        if self.pending.is_some() {
            return elapsed >= REPLY_TIMEOUT.max(self.period());
        }
        let is_urgent = || self.accounts.iter().any(Account::is_urgent);
        elapsed >= self.period() || (elapsed >= self.paced(URGENT_PERIOD) && is_urgent())
    }

    fn period(&self) -> Duration {
        self.paced(EXCHANGE_PERIOD)
    }

    fn paced(&self, period: Duration) -> Duration {
        let hosts = self.hosts.unwrap_or(1).max(HOSTS_AT_FULL_PACE);
        period * hosts / HOSTS_AT_FULL_PACE
    }
}
