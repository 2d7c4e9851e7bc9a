//! Load of backend servers: the reports of their egresses, and the local host's
//! own observations.

use crate::{Name, Time};
use serde::{Deserialize, Serialize};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::Relaxed};
use std::time::Duration;

/// Admission priority of a request under overload; lower ranks are admitted first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Rank(pub u8);

/// Number of ranks that a [`LoadReport`] distinguishes; higher ranks share the last entry. Enough
/// for nested calls and two priorities of organisations with three of routes.
pub const RANKS: usize = 8;

impl Rank {
    /// The rank of a request on a route with this priority. A nested request, which
    /// a backend server makes, precedes those of callers: its parent request has
    /// already done work and occupies a slot while it waits.
    pub fn of(priority: u8, is_nested: bool) -> Self {
        match is_nested {
            true => Self(0),
            false => Self(priority.saturating_add(1)),
        }
    }

    /// Index of the rank in [`LoadReport::wait_us`].
    pub fn index(self) -> usize {
        usize::from(self.0).min(RANKS - 1)
    }
}

/// Number of requests that a backend server takes per second, in thousandths.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct RequestRate(pub u32);

impl RequestRate {
    /// The rate of `n` requests per second; `None` unless that is a number of at least 0.
    pub fn per_second(n: f64) -> Option<Self> {
        // The conversion saturates.
        (n >= 0.0).then_some(Self((n * 1_000.0) as u32))
    }

    /// Requests per second.
    pub fn as_f64(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}

/// Load of a backend server, which its egress attaches to each response.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Expected time until a request that arrives now gets a slot, by rank, in
    /// microseconds.
    pub wait_us: [u32; RANKS],
    /// Mean interval at which a slot becomes free while all are in use, in microseconds.
    pub slot_us: u32,
    /// Typical service time of the request's flow in the backend server, in
    /// microseconds; 0 before the first response.
    pub service_us: u32,
    /// Number of free slots.
    pub free: u16,
    /// Expected time until the link of the host has sent what it was handed, in
    /// microseconds: a response to another host arrives that much later.
    pub link_us: u32,
    /// Rate that the backend server has limited its requests to; `None` without a limit.
    pub rate_limit: Option<RequestRate>,
    /// Whether this run of the backend server is shutting down.
    pub is_leaving: bool,
}

/// Class of requests with similar service times in a backend server: those of one route.
///
/// Unlike a `RouteKey` it is stable across snapshots.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Flow(pub u64);

impl Flow {
    /// The flow of the route with this name.
    pub fn named(route: &Name) -> Self {
        let mut hasher = DefaultHasher::new();
        route.hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// Number of flows whose service time is kept for one backend server.
const SERVICE_TIME_ENTRIES: usize = 8;

/// Fixed-point representation of a failure ratio of 1.
const FAILURE_RATIO_ONE: u32 = 1024;
/// The latest response has a weight of 1 in this many in the moving average of failures.
const FAILURE_SMOOTHING: u32 = 8;
/// Half-life of the failure ratio without a response. The decay lets a backend
/// server that receives few requests be tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(5);
/// Half-life of a reported wait for a link. Large responses keep a link busy for seconds,
/// and a host sees few of them; a shorter memory sends the next one there again.
const LINK_WAIT_HALF_LIFE: Duration = Duration::from_secs(4);
/// Initial backoff of an unreachable backend server: about as long as an egress
/// takes to restart.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum backoff: four times the time after which a host counts as failed.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Load of one backend server as seen by the local host.
///
/// Shared between snapshots, and updated by many threads without a lock: a reader
/// may see a mix of two updates, which is as good an estimate as either.
#[derive(Debug, Default)]
pub struct ServerLoad {
    in_flight: AtomicU32,
    /// Last reported waits by rank; the other fields of the report follow.
    wait_us: [AtomicU32; RANKS],
    slot_us: AtomicU32,
    free: AtomicU32,
    /// Last reported wait for the link of the host.
    link_us: AtomicU32,
    reported_at: AtomicU64,
    /// Requests sent since the last report.
    sent: AtomicU32,
    /// Upper half: tag of a flow; lower half: its service time in microseconds.
    service_times: [AtomicU64; SERVICE_TIME_ENTRIES],
    /// Moving average of the failure ratio, in units of 1/[`FAILURE_RATIO_ONE`].
    failure_average: AtomicU32,
    answered_at: AtomicU64,
    /// Consecutive attempts at which its host was unreachable.
    unreachable_count: AtomicU32,
    blocked_until: AtomicU64,
    /// Whether a report has stated that the server is shutting down, which is final.
    is_leaving: AtomicBool,
    /// Rate limit in the last report.
    rate_limit: RateLimitCell,
}

/// A rate limit that threads share.
#[derive(Debug)]
struct RateLimitCell(AtomicU32);

/// Value of a [`RateLimitCell`] without a limit.
const NO_RATE_LIMIT: u32 = u32::MAX;

impl Default for RateLimitCell {
    fn default() -> Self {
        Self(AtomicU32::new(NO_RATE_LIMIT))
    }
}

/// Statistics that choose a backend server.
impl ServerLoad {
    /// Requests of this host that are in flight to the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Relaxed)
    }

    /// Requests that this host has sent since the last report.
    pub fn sent_since_report(&self) -> u32 {
        self.sent.load(Relaxed)
    }

    /// The last report, reduced to one rank, and its time; `None` before the first report.
    pub fn report(&self, rank: Rank) -> Option<(ReportedLoad, Time)> {
        let at = Time(self.reported_at.load(Relaxed));
        let reported = ReportedLoad {
            wait: micros(self.wait_us[rank.index()].load(Relaxed)),
            slot: micros(self.slot_us.load(Relaxed)),
            free: self.free.load(Relaxed),
        };
        (at > Time(0)).then_some((reported, at))
    }

    /// Expected wait of a response for the link of the server's host; halves each
    /// [`LINK_WAIT_HALF_LIFE`] without a report.
    pub fn link_wait(&self, now: Time) -> Duration {
        let wait = micros(self.link_us.load(Relaxed));
        let age = now.since(Time(self.reported_at.load(Relaxed)));
        wait.mul_f64(0.5f64.powf(age.as_secs_f64() / LINK_WAIT_HALF_LIFE.as_secs_f64()))
    }

    /// Whether the server has stated something about itself that holds until it says
    /// otherwise.
    pub fn has_notice(&self) -> bool {
        self.rate_limit().is_some() || self.is_leaving()
    }

    /// Whether the server has stated that it is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Relaxed)
    }

    /// The rate limit in the last report; `None` without one.
    pub fn rate_limit(&self) -> Option<RequestRate> {
        match self.rate_limit.0.load(Relaxed) {
            NO_RATE_LIMIT => None,
            rate => Some(RequestRate(rate)),
        }
    }

    /// Typical service time of a flow in the server; `None` when it is not known.
    pub fn service_time(&self, flow: Flow) -> Option<Duration> {
        let entry = self.service_times[entry_index(flow)].load(Relaxed);
        let is_known = entry != 0 && entry >> 32 == u64::from(flow_tag(flow));
        is_known.then(|| micros(entry as u32))
    }

    /// Ratio of failures among recent responses, from 0 to 1.
    pub fn failure_ratio(&self, now: Time) -> f64 {
        let ratio = f64::from(self.failure_average.load(Relaxed)) / f64::from(FAILURE_RATIO_ONE);
        let age = now.since(Time(self.answered_at.load(Relaxed)));
        ratio * 0.5f64.powf(age.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// End of the backoff after its host was unreachable; `None` when there is none.
    pub fn blocked_until(&self) -> Option<Time> {
        match self.blocked_until.load(Relaxed) {
            0 => None,
            until => Some(Time(until)),
        }
    }
}

/// The part of a [`LoadReport`] that concerns requests of one rank.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportedLoad {
    /// Expected time until a request of the rank gets a slot.
    pub wait: Duration,
    /// Mean interval at which a slot becomes free while all are in use.
    pub slot: Duration,
    /// Number of free slots.
    pub free: u32,
}

/// Updates by the request path.
impl ServerLoad {
    /// Counts a request that is sent.
    pub fn start(&self) {
        self.in_flight.fetch_add(1, Relaxed);
        self.sent.fetch_add(1, Relaxed);
    }

    /// Counts a request that ended.
    pub fn finish(&self) {
        self.in_flight.fetch_sub(1, Relaxed);
    }

    /// Stores the report that came with a response to a request of `flow`.
    pub fn record_report(&self, report: &LoadReport, flow: Flow, now: Time) {
        for (known, new) in self.wait_us.iter().zip(report.wait_us) {
            known.store(new, Relaxed);
        }
        self.slot_us.store(report.slot_us, Relaxed);
        self.free.store(u32::from(report.free), Relaxed);
        self.link_us.store(report.link_us, Relaxed);
        self.reported_at.store(now.0.max(1), Relaxed);
        self.sent.store(0, Relaxed);
        if report.is_leaving {
            self.is_leaving.store(true, Relaxed);
        }
        let rate_limit = report.rate_limit.map_or(NO_RATE_LIMIT, |rate| rate.0);
        self.rate_limit.0.store(rate_limit, Relaxed);
        if report.service_us > 0 {
            let entry = u64::from(flow_tag(flow)) << 32 | u64::from(report.service_us);
            self.service_times[entry_index(flow)].store(entry, Relaxed);
        }
        self.record_reachable();
    }

    /// Updates the failure ratio with the result of a request.
    pub fn record_response(&self, is_failure: bool, now: Time) {
        let old = self.failure_average.load(Relaxed);
        let kept = old - old / FAILURE_SMOOTHING;
        let new = match is_failure {
            true => kept + FAILURE_RATIO_ONE / FAILURE_SMOOTHING,
            // The subtraction lets the ratio reach zero in spite of the integer division.
            false => kept.saturating_sub(1),
        };
        self.failure_average.store(new, Relaxed);
        self.answered_at.store(now.0, Relaxed);
    }

    /// Ends the backoff: the host was reached.
    pub fn record_reachable(&self) {
        self.unreachable_count.store(0, Relaxed);
        self.blocked_until.store(0, Relaxed);
    }

    /// Starts a backoff, or doubles it: the host was unreachable.
    pub fn record_unreachable(&self, now: Time) {
        let count = self.unreachable_count.fetch_add(1, Relaxed).min(8);
        let backoff = (INITIAL_BACKOFF * (1 << count)).min(MAX_BACKOFF);
        self.blocked_until.store(now.after(backoff).0, Relaxed);
    }

    /// Claims the right to probe the server with one request after its backoff has
    /// ended. Of several concurrent callers only one gets `true`.
    pub fn claim_probe(&self, now: Time) -> bool {
        let until = self.blocked_until.load(Relaxed);
        let next = now.after(INITIAL_BACKOFF).0;
        until <= now.0
            && self
                .blocked_until
                .compare_exchange(until, next, Relaxed, Relaxed)
                .is_ok()
    }
}

fn micros(us: u32) -> Duration {
    Duration::from_micros(u64::from(us))
}

fn entry_index(flow: Flow) -> usize {
    flow.0 as usize % SERVICE_TIME_ENTRIES
}

fn flow_tag(flow: Flow) -> u32 {
    (flow.0 >> 32) as u32
}
