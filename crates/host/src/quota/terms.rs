//! What a quota means for its tokens: rate, lifetime and capacity.

use super::message::TableTag;
use knapweed_world::{Config, Name, Quota, Tokens};
use std::time::Duration;

/// Share of the tolerated excess that tokens may use. The other part is left for requests
/// that hosts admit by overdraft.
const EXCESS_SHARE: f64 = 0.5;
/// Smallest capacity. With less, a token would expire before it is whole.
const MIN_CAPACITY: f64 = 1.0;
/// Shortest lifetime of a token, unless it would mint less than [`MIN_CAPACITY`] in it. Tokens
/// with a shorter one expire on their way through the pool.
const MIN_LIFETIME: Duration = Duration::from_millis(1_250);
/// Lifetime beyond which tokens are minted faster instead, unless the burst needs a longer one.
const USUAL_LIFETIME: Duration = Duration::from_secs(2);
/// Error of a rate in thousandths that comes from its conversion.
const RATE_EPSILON: f64 = 1e-6;
/// Longest lifetime of a token.
const MAX_LIFETIME: Duration = Duration::from_secs(600);
/// Share of the capacity that a pool keeps at most for hosts that have overdrawn.
const MAX_RESERVE_SHARE: f64 = 0.25;

/// How far the requests of an organisation may exceed its quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Length of the windows in which requests are counted.
    pub window: Duration,
    /// Tolerated excess as a share of what the quota allows in a window.
    pub share: f64,
    /// Tolerated excess beside that, in requests per window.
    pub requests: u32,
}

impl Default for Tolerance {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            share: 0.1,
            requests: 20,
        }
    }
}

impl Tolerance {
    /// The most requests that `quota` and this tolerance allow in a window.
    pub fn limit(&self, quota: &Quota) -> f64 {
        self.allowed(quota) + self.excess(quota)
    }

    fn allowed(&self, quota: &Quota) -> f64 {
        rate(quota) * self.window.as_secs_f64() + f64::from(quota.burst)
    }

    fn excess(&self, quota: &Quota) -> f64 {
        self.allowed(quota) * self.share + f64::from(self.requests)
    }
}

/// Rate of a quota in tokens per second; at least the smallest that can be written down.
fn rate(quota: &Quota) -> f64 {
    f64::from(quota.rate.0.max(1)) / 1_000.0
}

/// Lifetime with which tokens are minted at the rate of the quota.
fn plain_lifetime(quota: &Quota, excess: f64) -> Duration {
    let capacity = (f64::from(quota.burst) + excess).max(MIN_CAPACITY);
    seconds(capacity / rate(quota)).min(MAX_LIFETIME)
}

/// A duration in seconds; the longest lifetime when it cannot be represented.
fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(MAX_LIFETIME)
}

/// The terms of the tokens of one organisation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Tokens that all hosts together mint, in thousandths per second.
    pub rate_milli: u32,
    /// Time after which a token expires.
    pub lifetime: Duration,
    /// Tokens that are minted in one lifetime: no more exist at a time.
    pub capacity: Tokens,
    /// Tokens that a pool keeps for hosts that have overdrawn.
    pub reserve: Tokens,
}

impl Terms {
    /// The terms of a quota.
    ///
    /// In a window no more tokens are used than are minted in the window and one lifetime
    /// before it. Rate and lifetime are such that these are what the quota allows and a share
    /// of the tolerated excess: tokens alone stay below the limit by the rest of the excess.
    pub fn new(quota: &Quota, tolerance: &Tolerance) -> Self {
        let excess = EXCESS_SHARE * tolerance.excess(quota);
        let plain = Self::with(rate(quota), plain_lifetime(quota, excess), excess);
        let burst_time = seconds(f64::from(quota.burst) / rate(quota));
        let lifetime = plain
            .lifetime
            .min(burst_time.max(USUAL_LIFETIME))
            .max(MIN_LIFETIME);
        if lifetime == plain.lifetime {
            return plain;
        }
        let tokens = tolerance.allowed(quota) + excess;
        let rate = tokens / (tolerance.window + lifetime).as_secs_f64();
        let terms = Self::with(rate, lifetime, excess);
        // Without tolerance, the limit may be too low for a whole token in a short time.
        match terms.capacity < Tokens::from_f64(MIN_CAPACITY) {
            true => plain,
            false => terms,
        }
    }

    fn with(rate: f64, lifetime: Duration, excess: f64) -> Self {
        // Rounded down, so that the tokens stay below the limit. The conversion saturates.
        let rate_milli = ((rate * 1_000.0 + RATE_EPSILON) as u32).max(1);
        let capacity = f64::from(rate_milli) / 1_000.0 * lifetime.as_secs_f64();
        Self {
            rate_milli,
            lifetime,
            capacity: Tokens::from_f64(capacity),
            reserve: Tokens::from_f64((excess / 2.0).min(capacity * MAX_RESERVE_SHARE)),
        }
    }

    /// Tokens per second over all hosts.
    pub fn rate(&self) -> f64 {
        f64::from(self.rate_milli) / 1_000.0
    }
}

/// An organisation with a quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Name of the organisation.
    pub organisation: Name,
    /// Terms of its tokens.
    pub terms: Terms,
}

/// The organisations with a quota in a configuration, by name. Messages name an
/// organisation by its position.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    entries: Vec<Entry>,
    tag: TableTag,
}

impl Table {
    /// The table of a configuration. It has the same tag on all hosts, and keeps it over
    /// configuration versions that change no quota.
    pub fn new(config: &Config, tolerance: &Tolerance) -> Self {
        let mut hasher = blake3::Hasher::new();
        let mut entries = Vec::new();
        for (name, organisation) in &config.organisations {
            let Some(quota) = &organisation.quota else {
                continue;
            };
            hasher.update(&(name.as_bytes().len() as u64).to_le_bytes());
            hasher.update(name.as_bytes());
            hasher.update(&quota.rate.0.to_le_bytes());
            hasher.update(&quota.burst.to_le_bytes());
            entries.push(Entry {
                organisation: name.clone(),
                terms: Terms::new(quota, tolerance),
            });
        }
        // An index in a message has 16 bits.
        entries.truncate(usize::from(u16::MAX));
        let tag = TableTag::from_digest(&hasher.finalize());
        Self { entries, tag }
    }

    /// The organisations, in the order of their names.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Identifies the table.
    pub fn tag(&self) -> TableTag {
        self.tag
    }

    /// Whether no organisation has a quota.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
