//! Tokens of an organisation with a quota, as the request path of one host sees them.

use crate::Time;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering::Relaxed};
use std::time::Duration;

/// Number of [`Tokens`] units in one token.
const UNITS: i64 = 1_000_000;
/// Longest time after which a refused caller is told to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Bits of the number of returned tokens in [`QuotaTokens::returned`]; the others hold
/// the time of the oldest, in milliseconds.
const RETURNED_BITS: u32 = 20;
const RETURNED_MASK: u64 = (1 << RETURNED_BITS) - 1;

/// An amount of tokens in millionths; a request takes [`Tokens::ONE`]. Negative for a debt.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Tokens(pub i64);

impl Tokens {
    /// No tokens.
    pub const ZERO: Self = Self(0);
    /// The token that admits one request.
    pub const ONE: Self = Self(UNITS);

    /// This many whole tokens.
    pub const fn whole(n: u32) -> Self {
        Self(n as i64 * UNITS)
    }

    /// The amount in tokens, rounded down to a millionth.
    pub fn from_f64(tokens: f64) -> Self {
        Self((tokens * UNITS as f64) as i64)
    }

    /// The amount in tokens.
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / UNITS as f64
    }

    /// This amount, or zero for a debt.
    pub fn or_zero(self) -> Self {
        self.max(Self::ZERO)
    }
}

/// A request that was admitted; [`QuotaTokens::give_back`] returns its token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Admitted {
    /// Earliest time at which the token that it took was minted.
    minted_at: Time,
    /// The part of the token that was overdrawn.
    borrowed: Tokens,
}

/// Requests since the start of the process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QuotaCounts {
    /// Requests that took a token.
    pub admitted: u64,
    /// Requests that were refused.
    pub refused: u64,
}

/// Tokens of an organisation on the local host, shared between snapshots.
///
/// Request threads take tokens without a lock. The control thread credits, withdraws and
/// expires them, and publishes the limits of what may be taken.
#[derive(Debug, Default)]
pub struct QuotaTokens {
    /// Tokens in hand; negative while overdrawn.
    balance: AtomicI64,
    /// Lower limit of the balance after a request: zero, or minus the overdraft.
    floor: AtomicI64,
    /// Time from which the tokens in hand may have expired.
    usable_until: AtomicU64,
    /// Lower bound of the time at which any token in hand was minted.
    oldest: AtomicU64,
    /// Tokens that were given back: their number, and when the oldest was minted.
    returned: AtomicU64,
    /// Time between two tokens of this host, in microseconds.
    interval_us: AtomicU64,
    /// When the token is due that the last refused caller was told to come back for.
    promised: AtomicU64,
    admitted: AtomicU64,
    refused: AtomicU64,
}

/// Request path.
impl QuotaTokens {
    /// Takes a token for a request.
    ///
    /// # Errors
    ///
    /// None is left. The error is the time after which the caller should come back: callers
    /// get the times at which the next tokens are due, each its own.
    pub fn try_take(&self, now: Time) -> Result<Admitted, Duration> {
        let oldest_before = self.oldest.load(Relaxed);
        let floor = self.floor.load(Relaxed);
        let is_usable = now.0 <= self.usable_until.load(Relaxed);
        let taken = self.balance.fetch_update(Relaxed, Relaxed, |balance| {
            let usable = if is_usable { balance } else { balance.min(0) };
            (usable - UNITS >= floor).then_some(usable - UNITS)
        });
        match taken {
            Ok(before) => {
                self.admitted.fetch_add(1, Relaxed);
                // The control thread may have credited older tokens meanwhile.
                let oldest = oldest_before.min(self.oldest.load(Relaxed));
                let usable = if is_usable { before.max(0) } else { 0 };
                Ok(Admitted {
                    minted_at: Time(oldest),
                    borrowed: Tokens((UNITS - usable).max(0)),
                })
            }
            Err(_) => {
                self.refused.fetch_add(1, Relaxed);
                Err(self.next_promise(now))
            }
        }
    }

    /// Returns the token of a request that did not run. What was overdrawn lowers the debt,
    /// unless that has been paid meanwhile.
    pub fn give_back(&self, admitted: Admitted) {
        if admitted.borrowed > Tokens::ZERO {
            return self.pay_debt(admitted.borrowed);
        }
        let ms = admitted.minted_at.0 / 1_000;
        let add = |returned: u64| {
            let (oldest, count) = (returned >> RETURNED_BITS, returned & RETURNED_MASK);
            let oldest = if count == 0 { ms } else { oldest.min(ms) };
            let count = (count + 1).min(RETURNED_MASK);
            Some(oldest << RETURNED_BITS | count)
        };
        let _ = self.returned.fetch_update(Relaxed, Relaxed, add);
    }

    /// Assigns the next token to a refused caller, and returns the time until it is due.
    fn next_promise(&self, now: Time) -> Duration {
        let interval = self.interval_us.load(Relaxed).max(1);
        let latest = now.after(MAX_RETRY_AFTER).0;
        let next = |promised: u64| (promised.max(now.0) + interval).min(latest);
        let promised = self
            .promised
            .fetch_update(Relaxed, Relaxed, |promised| Some(next(promised)));
        let due = next(promised.unwrap_or_else(|promised| promised));
        Time(due).since(now)
    }
}

/// Control thread.
impl QuotaTokens {
    /// Tokens in hand; negative while overdrawn.
    pub fn balance(&self) -> Tokens {
        Tokens(self.balance.load(Relaxed))
    }

    /// Adds tokens, which pay debts first.
    pub fn credit(&self, amount: Tokens) {
        self.balance.fetch_add(amount.0, Relaxed);
    }

    /// Lowers a debt by `amount`; the rest is dropped.
    pub fn pay_debt(&self, amount: Tokens) {
        let pay = |balance: i64| (balance < 0).then(|| (balance + amount.0).min(0));
        // An error means that there is no debt.
        let _ = self.balance.fetch_update(Relaxed, Relaxed, pay);
    }

    /// Removes up to `amount` of the tokens in hand, and returns how much that was.
    pub fn withdraw(&self, amount: Tokens) -> Tokens {
        let part = |balance: i64| amount.0.min(balance).max(0);
        let before = self
            .balance
            .fetch_update(Relaxed, Relaxed, |balance| Some(balance - part(balance)));
        Tokens(part(before.unwrap_or(0)))
    }

    /// Removes the tokens in hand beyond `amount`: the others have expired.
    pub fn cap(&self, amount: Tokens) {
        self.balance.fetch_min(amount.0, Relaxed);
    }

    /// Publishes how long the tokens in hand may be taken, and when the oldest was minted.
    pub fn publish_usable(&self, until: Time, oldest: Time) {
        self.oldest.store(oldest.0, Relaxed);
        self.usable_until.store(until.0, Relaxed);
    }

    /// Publishes how far requests may overdraw.
    pub fn publish_overdraft(&self, overdraft: Tokens) {
        self.floor.store(-overdraft.0, Relaxed);
    }

    /// Publishes the time between two tokens, by which refused callers are spread.
    pub fn publish_interval(&self, interval: Duration) {
        let us = interval.min(MAX_RETRY_AFTER).as_micros() as u64;
        self.interval_us.store(us, Relaxed);
    }

    /// Takes over the tokens that were given back; `None` when there are none. The time is a
    /// lower bound of that at which they were minted.
    pub fn take_returned(&self) -> Option<(Time, Tokens)> {
        let returned = self.returned.swap(0, Relaxed);
        let (ms, count) = (returned >> RETURNED_BITS, returned & RETURNED_MASK);
        (count > 0).then(|| (Time::from_millis(ms), Tokens::whole(count as u32)))
    }

    /// Requests since the start of the process.
    pub fn counts(&self) -> QuotaCounts {
        QuotaCounts {
            admitted: self.admitted.load(Relaxed),
            refused: self.refused.load(Relaxed),
        }
    }
}
