//! Services, their versions and traffic shares.

use crate::{BackendServerKey, Name, RequestRate, ServiceCounters};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// A share of traffic in basis points; 10,000 is all traffic.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Share(pub u16);

impl Share {
    /// All traffic.
    pub const ALL: Self = Self(10_000);
    /// No traffic.
    pub const NONE: Self = Self(0);

    /// Converts whole percent to a share; values above 100 count as 100.
    pub fn from_percent(percent: u8) -> Self {
        Self(u16::from(percent.min(100)) * 100)
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:02}%", self.0 / 100, self.0 % 100)
    }
}

/// A version of a service, with its traffic share and its ready backend servers.
#[derive(Clone, Debug)]
pub struct ServedVersion {
    /// Name of the version.
    pub version: Name,
    /// Current share of the service's traffic.
    pub share: Share,
    /// Ready backend servers, by distance from the local host: same availability
    /// zone, same region, other region.
    pub servers: [Vec<BackendServerKey>; 3],
}

impl ServedVersion {
    /// Whether any backend server of this version is ready.
    pub fn has_servers(&self) -> bool {
        self.servers.iter().any(|s| !s.is_empty())
    }
}

/// Retry budget of one service for one kind of retry: a bucket of tokens.
///
/// Shared between snapshots, and updated by many threads without a lock.
#[derive(Debug, Default)]
pub struct Tokens {
    /// Tokens left, in hundredths of a retry.
    hundredths: AtomicU64,
}

/// Retry budgets of one service.
#[derive(Debug, Default)]
pub struct RetryTokens {
    /// For retries after an attempt that may have reached a backend server.
    pub sends: Tokens,
    /// For the remaining retries, after a refusal for lack of capacity.
    pub placements: Tokens,
}

/// Cost of one retry, in hundredths of a retry.
const RETRY_COST: u64 = 100;

impl Tokens {
    /// Adds `hundredths` of a retry; the bucket holds at most `most` retries.
    pub fn refill(&self, hundredths: u8, most: u32) {
        let most = u64::from(most) * RETRY_COST;
        let gain = u64::from(hundredths);
        let add = |tokens: u64| (tokens < most).then(|| (tokens + gain).min(most));
        // An error means that the bucket is full.
        let _ = self
            .hundredths
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Consumes the cost of one retry; `false` when the bucket does not hold it.
    pub fn try_spend(&self) -> bool {
        let take = |tokens: u64| tokens.checked_sub(RETRY_COST);
        self.hundredths
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }
}

/// A service, with its versions and the statistics of the local ingress.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Versions that share its traffic.
    pub versions: Vec<ServedVersion>,
    /// Health check path of its backend servers; `None` when they have none.
    pub health_path: Option<Arc<str>>,
    /// Requests per second that each of its backend servers takes while it is cold; `None`
    /// without a limit.
    pub cold_limit: Option<RequestRate>,
    /// Counters of its requests at the local ingress, shared between snapshots.
    pub counters: Arc<ServiceCounters>,
    /// Retry budgets at the local ingress, shared between snapshots.
    pub retry_tokens: Arc<RetryTokens>,
}

impl Service {
    /// Selects a version in proportion to the shares, for a random `draw` in
    /// `0..10_000`.
    ///
    /// Versions without a ready backend server are skipped; their share goes to
    /// the others in proportion. Returns `None` when no version with a share has
    /// a ready backend server.
    pub fn version_for(&self, draw: u16) -> Option<&ServedVersion> {
        let usable = || {
            self.versions
                .iter()
                .filter(|v| v.share > Share::NONE && v.has_servers())
        };
        let total: u32 = usable().map(|v| u32::from(v.share.0)).sum();
        let mut rest = u32::from(draw) * total / u32::from(Share::ALL.0);
        for v in usable() {
            let share = u32::from(v.share.0);
            if rest < share {
                return Some(v);
            }
            rest -= share;
        }
        None
    }
}
