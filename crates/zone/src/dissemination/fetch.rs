//! Choice of the node to fetch a newer configuration from, and of the time.

use knapweed_world::{ConfigVersion, Time};
use rand::Rng;
use std::net::SocketAddr;
use std::time::Duration;

/// Time without a byte of the answer after which a fetch is retried from another source.
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Upper limit of the random time added to [`FETCH_TIMEOUT`].
pub const FETCH_JITTER: Duration = Duration::from_millis(100);
/// Delay of a fetch from another region, in which another node of the own region may
/// fetch the version first and offer it at lower cost.
pub const REMOTE_FETCH_DELAY: Duration = Duration::from_millis(300);
/// Lower limit of the time after which a source that was busy is asked again: half the time
/// in which it sends a delta of 200 KB over a link of 10 Mbit/s.
pub const BUSY_DELAY: Duration = Duration::from_millis(100);
/// Upper limit of the random time added to [`BUSY_DELAY`].
pub const BUSY_JITTER: Duration = Duration::from_millis(100);
/// Upper limit of the wait after the first refusal of a version; it doubles with each further
/// refusal, up to [`MAX_REFUSED_DELAY`].
pub const REFUSED_DELAY: Duration = Duration::from_millis(100);
/// Upper limit of the wait after any refusal of a version.
pub const MAX_REFUSED_DELAY: Duration = Duration::from_secs(10);
/// Maximum number of refused versions that are remembered.
const MAX_REFUSALS: usize = MAX_SOURCES;
/// Maximum number of doublings of [`REFUSED_DELAY`], which keeps the shift from overflowing.
const MAX_DOUBLINGS: u32 = 16;
/// Maximum number of sources of newer versions that are remembered.
pub const MAX_SOURCES: usize = 8;

/// A node that reported a newer version.
#[derive(Clone, Copy, Debug)]
struct Source {
    address: SocketAddr,
    version: ConfigVersion,
    /// Earliest time of a fetch from this node.
    earliest: Time,
    /// Time until which it is not asked again, because it was busy.
    busy_until: Time,
}

impl Source {
    fn is_ready(&self, now: Time) -> bool {
        self.earliest.max(self.busy_until) <= now
    }
}

/// A version that this node could not apply.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    version: ConfigVersion,
    count: u32,
    /// Time until which the version is not fetched again.
    held_until: Time,
}

impl Refusal {
    /// Refuses the version once more, and holds it back for a random time up to a limit that
    /// doubles with each refusal. A refusal while it is held back changes nothing.
    fn repeat(&mut self, now: Time, rng: &mut impl Rng) {
        if now < self.held_until {
            return;
        }
        let longest = REFUSED_DELAY * (1 << self.count.min(MAX_DOUBLINGS));
        let longest = longest.min(MAX_REFUSED_DELAY);
        self.held_until = now.after(longest.mul_f64(rng.random_range(0.0..1.0)));
        self.count = self.count.saturating_add(1);
    }
}

/// Scheduler of configuration fetches, with at most one in progress.
#[derive(Debug, Default)]
pub struct Fetch {
    applied: ConfigVersion,
    /// Versions above `applied` that could not be applied, in the order of their refusal.
    refused: Vec<Refusal>,
    sources: Vec<Source>,
    outstanding: Option<Outstanding>,
}

/// The fetch in progress: its source, and when it times out.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    from: SocketAddr,
    /// Version that the source had reported when it was asked.
    version: ConfigVersion,
    deadline: Time,
}

/// Event handling; each method returns the node to fetch from now, if any.
impl Fetch {
    /// Handles a report that the node at `address` has applied `version`; the version
    /// is fetched from it after `delay` at the earliest.
    pub fn received(
        &mut self,
        now: Time,
        address: SocketAddr,
        version: ConfigVersion,
        delay: Duration,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        if version <= self.applied {
            return None;
        }
        let known = self.sources.iter().find(|s| s.address == address);
        let earliest = known.map_or(now.after(delay), |s| s.earliest.min(now.after(delay)));
        let busy_until = known.map_or(now, |s| s.busy_until);
        self.sources.retain(|s| s.address != address);
        if self.sources.len() == MAX_SOURCES {
            self.sources.remove(0);
        }
        self.sources.push(Source {
            address,
            version,
            earliest,
            busy_until,
        });
        self.next(now, rng)
    }

    /// Handles `version` having been applied by this node.
    pub fn applied(
        &mut self,
        now: Time,
        version: ConfigVersion,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        self.applied = self.applied.max(version);
        let applied = self.applied;
        self.refused.retain(|r| r.version > applied);
        self.sources.retain(|s| s.version > applied);
        let asked_source = self.outstanding.map(|o| o.from);
        if self.sources.iter().all(|s| Some(s.address) != asked_source) {
            self.outstanding = None;
        }
        self.next(now, rng)
    }

    /// Records that `version` failed to apply; it is fetched again after a backoff with full
    /// jitter. Other versions are not held back.
    pub fn refused(
        &mut self,
        now: Time,
        version: ConfigVersion,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        if version > self.applied {
            self.hold_back(now, version, rng);
        }
        if let Some(asked) = self.outstanding.take_if(|o| o.version <= version) {
            self.demote(asked.from);
        }
        self.next(now, rng)
    }

    /// Handles an answer of the node at `address` that cannot be applied, like
    /// [`Fetch::refused`] with the version that the node had reported.
    pub fn answer_refused(
        &mut self,
        now: Time,
        address: SocketAddr,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let asked = self.outstanding.filter(|o| o.from == address)?;
        self.refused(now, asked.version, rng)
    }

    /// Handles a failed fetch from the node at `address`, and forgets that source.
    pub fn failed(
        &mut self,
        now: Time,
        address: SocketAddr,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        if self.outstanding.is_none_or(|o| o.from != address) {
            return None;
        }
        self.outstanding = None;
        self.sources.retain(|s| s.address != address);
        self.next(now, rng)
    }

    /// Handles a part of the answer of the node at `address`: the fetch goes on.
    pub fn progressed(&mut self, now: Time, address: SocketAddr) {
        if let Some(outstanding) = self.outstanding.as_mut().filter(|o| o.from == address) {
            outstanding.deadline = now.after(FETCH_TIMEOUT);
        }
    }

    /// Handles the answer of the node at `address` that it serves enough others already.
    /// It is asked again after [`BUSY_DELAY`] at the earliest.
    pub fn busy(
        &mut self,
        now: Time,
        address: SocketAddr,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let jitter = BUSY_JITTER.mul_f64(rng.random_range(0.0..1.0));
        if let Some(source) = self.sources.iter_mut().find(|s| s.address == address) {
            source.busy_until = now.after(BUSY_DELAY + jitter);
        }
        if self.outstanding.is_some_and(|o| o.from == address) {
            self.outstanding = None;
        }
        self.next(now, rng)
    }

    /// Retries a fetch that has timed out, or starts one whose delay is over.
    pub fn tick(&mut self, now: Time, rng: &mut impl Rng) -> Option<SocketAddr> {
        let Some(timed_out) = self.outstanding.filter(|o| o.deadline <= now) else {
            return self.next(now, rng);
        };
        self.outstanding = None;
        self.demote(timed_out.from);
        self.next(now, rng)
    }
}

impl Fetch {
    /// Moves a source to the end of the order of preference.
    fn demote(&mut self, address: SocketAddr) {
        if let Some(index) = self.sources.iter().position(|s| s.address == address) {
            let source = self.sources.remove(index);
            self.sources.insert(0, source);
        }
    }

    fn hold_back(&mut self, now: Time, version: ConfigVersion, rng: &mut impl Rng) {
        if let Some(refusal) = self.refused.iter_mut().find(|r| r.version == version) {
            return refusal.repeat(now, rng);
        }
        if self.refused.len() == MAX_REFUSALS {
            self.refused.remove(0);
        }
        let mut refusal = Refusal {
            version,
            count: 0,
            held_until: now,
        };
        refusal.repeat(now, rng);
        self.refused.push(refusal);
    }

    fn is_held_back(&self, now: Time, version: ConfigVersion) -> bool {
        let mut refused = self.refused.iter();
        refused.any(|r| r.version == version && now < r.held_until)
    }

    /// Starts a fetch from the source that reported most recently, unless one is in
    /// progress.
    fn next(&mut self, now: Time, rng: &mut impl Rng) -> Option<SocketAddr> {
        if self.outstanding.is_some() {
            return None;
        }
        let is_ready = |s: &&Source| s.is_ready(now) && !self.is_held_back(now, s.version);
        let source = *self.sources.iter().rfind(is_ready)?;
        let jitter = FETCH_JITTER.mul_f64(rng.random_range(0.0..1.0));
        let deadline = now.after(FETCH_TIMEOUT + jitter);
        self.outstanding = Some(Outstanding {
            from: source.address,
            version: source.version,
            deadline,
        });
        Some(source.address)
    }
}
