//! Retries by the ingress.
//!
//! Load pattern: some of the backend servers refuse or lose requests, and every
//! ingress notices at the same time. A retry that reaches a backend server costs
//! a token; the tokens of all nodes together limit retries to a fraction of the
//! requests.

use crate::{Answer, NotRun, Outcome, Unknown};
use knapweed_world::Time;
use knapweed_world::service::RetryTokens;
use std::sync::atomic::{AtomicU8, AtomicU32, Ordering};
use std::time::Duration;

/// Settings of a [`RetryPolicy`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    max_tries: u8,
    percent: u8,
    burst: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_tries: 4,
            percent: 10,
            burst: 100,
        }
    }
}

/// Methods that change one setting each.
impl Options {
    /// Maximum number of tries of one request, including those that reach no backend server.
    pub fn max_tries(mut self, n: u8) -> Self {
        self.max_tries = n;
        self
    }

    /// Retries that the budget gains for every 100 requests.
    pub fn percent(mut self, percent: u8) -> Self {
        self.percent = percent;
        self
    }

    /// Maximum number of unused retries that all nodes together accumulate.
    pub fn burst(mut self, retries: u32) -> Self {
        self.burst = retries;
        self
    }
}

/// Whether the body of a request can be sent again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Body {
    /// The request has no body.
    Empty,
    /// Nothing of it was read, or all that was read is buffered.
    Unread,
    /// Part of it was read and is not buffered.
    Consumed,
}

/// A failed try of a request.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// Depth of the request at this ingress.
    pub depth: u8,
    /// Number of tries so far, including this one.
    pub tries: u8,
    /// Number of those tries that may have reached a backend server.
    pub sends: u8,
    /// Maximum number of backend servers that the request may be sent to.
    pub max_sends: u8,
    /// How the try ended.
    pub outcome: Outcome,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the body can be sent again.
    pub body: Body,
    /// When the request arrived at this ingress.
    pub arrived: Time,
    /// Until when a response has its full value; `None` without an objective.
    pub objective: Option<Time>,
    /// When the caller gives up waiting.
    pub deadline: Time,
}

/// What to do after a failed try.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Try another backend server.
    Retry,
    /// Report the outcome of the try to the caller.
    Stop(Stop),
}

/// Why there is no retry.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Stop {
    /// The outcome does not allow a retry.
    Outcome,
    /// The request was shed after it had waited in a queue.
    Queued,
    /// Part of the body was read and cannot be sent again.
    BodyConsumed,
    /// The limit of tries or of sends is reached.
    MaxTries,
    /// The deadline passed.
    DeadlinePassed,
    /// Only the first ingress retries after this outcome.
    Depth,
    /// The retry budget is exhausted.
    Budget,
}

/// Decides on retries.
///
/// Threads share the policy; the budget of each service is kept in atomics.
#[derive(Debug)]
pub struct RetryPolicy {
    max_tries: AtomicU8,
    percent: AtomicU8,
    burst: AtomicU32,
    /// Number of nodes that share the burst.
    nodes: AtomicU32,
}

/// A request that was refused for lack of capacity is retried only within the
/// first 1/8 of the time to its objective; after that, the refusal goes to the
/// caller at once.
const OVERLOAD_RETRY_DIVISOR: u32 = 8;
/// A request without an objective is retried as if it had this one: its refusal is due within
/// this time (requirement B6), and a second wait in a queue would exceed it.
const SHED_TIME: Duration = Duration::from_millis(50);
/// Lower bound of that period: the round trip to another host.
const MIN_OVERLOAD_RETRY_PERIOD: Duration = Duration::from_millis(5);

impl Default for RetryPolicy {
    fn default() -> Self {
        Self::new(Options::default())
    }
}

impl RetryPolicy {
    /// Creates the policy of a node that does not share its burst with others.
    pub fn new(options: Options) -> Self {
        Self {
            max_tries: AtomicU8::new(options.max_tries),
            percent: AtomicU8::new(options.percent),
            burst: AtomicU32::new(options.burst),
            nodes: AtomicU32::new(1),
        }
    }

    /// Replaces the settings while requests are running.
    pub fn set_options(&self, options: Options) {
        self.max_tries.store(options.max_tries, Ordering::Relaxed);
        self.percent.store(options.percent, Ordering::Relaxed);
        self.burst.store(options.burst, Ordering::Relaxed);
    }

    /// Sets the number of nodes that share the burst.
    pub fn share_among(&self, nodes: usize) {
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX).max(1);
        self.nodes.store(nodes, Ordering::Relaxed);
    }

    /// Counts a new request for a service; at depth 1 the budget of the service grows.
    pub fn arrived(&self, depth: u8, tokens: &RetryTokens) {
        if depth <= 1 {
            let nodes = self.nodes.load(Ordering::Relaxed);
            // A share below one token would rule out retries entirely.
            let most = (self.burst.load(Ordering::Relaxed) / nodes).max(1);
            let percent = self.percent.load(Ordering::Relaxed);
            tokens.sends.refill(percent, most);
            tokens.placements.refill(percent, most);
        }
    }

    /// Decides on a retry and spends a token where the retry needs one.
    ///
    /// Below the first ingress only refusals that are not caused by overload
    /// are retried, and without a budget: such refusals are cheap and stop
    /// within seconds, while retries of overloaded calls at every level would
    /// multiply the overload.
    pub fn decide(&self, failure: &Failure, tokens: &RetryTokens, now: Time) -> Decision {
        if !may_run_again(failure) {
            return Decision::Stop(Stop::Outcome);
        }
        if failure.body == Body::Consumed {
            return Decision::Stop(Stop::BodyConsumed);
        }
        let is_send_limit_reached = failure.sends >= failure.max_sends;
        if failure.tries >= self.max_tries.load(Ordering::Relaxed) || is_send_limit_reached {
            return Decision::Stop(Stop::MaxTries);
        }
        if now >= failure.deadline {
            return Decision::Stop(Stop::DeadlinePassed);
        }
        if is_overload(failure.outcome) && is_overload_retry_late(failure, now) {
            return Decision::Stop(Stop::Queued);
        }
        if failure.depth > 1 {
            return decide_nested(failure.outcome);
        }
        let has_token = match failure.sends {
            0 if is_overload(failure.outcome) => tokens.placements.try_spend(),
            0 => true,
            _ => tokens.sends.try_spend(),
        };
        match has_token {
            true => Decision::Retry,
            false => Decision::Stop(Stop::Budget),
        }
    }
}

/// Whether a try with this outcome may have reached a backend server.
pub fn may_have_arrived(outcome: Outcome) -> bool {
    match outcome {
        Outcome::Answered(_) | Outcome::Unknown(_) => true,
        Outcome::NotRun(reason) => {
            matches!(reason, NotRun::ShedByServer | NotRun::ReplacedServer)
        }
    }
}

/// Maximum mean time to retry after, where no estimate of the capacity exists.
const MAX_RETURN_WAIT: Duration = Duration::from_millis(300);
/// A caller is told to return after 1 in this many parts of the time that it has left, so
/// that most of the time remains for its next attempt.
const RETURN_WAIT_DIVISOR: u32 = 4;

/// Time after which a caller whose request was refused is told to return, where nobody has
/// estimated when there is capacity.
///
/// Load pattern: backend servers refuse part of their requests by themselves. A caller
/// that returns within its objective can still get a response of full value. `left` is the
/// time until the objective, or until the deadline once the objective has passed; `None`
/// for a request that was not parsed. `jitter`, from 0 to 1, spreads the callers over half
/// to one and a half times the mean.
pub fn return_wait(left: Option<Duration>, jitter: f64) -> Duration {
    let mean = left.map_or(MAX_RETURN_WAIT, |left| {
        (left / RETURN_WAIT_DIVISOR).min(MAX_RETURN_WAIT)
    });
    mean.mul_f64(0.5 + jitter)
}

fn may_run_again(failure: &Failure) -> bool {
    match failure.outcome {
        Outcome::Answered(Answer::Complete) => false,
        Outcome::Answered(Answer::NotStored) => failure.idempotent,
        Outcome::NotRun(reason) => reason.is_retryable(),
        Outcome::Unknown(reason) => failure.idempotent && is_response_lost(reason),
    }
}

/// Whether the response was lost before any part of it was sent to the caller.
fn is_response_lost(reason: Unknown) -> bool {
    match reason {
        Unknown::ConnectionLost
        | Unknown::ServerCrashed
        | Unknown::Truncated
        | Unknown::ForeignResponse => true,
        Unknown::DeadlinePassed | Unknown::CallerLeft => false,
    }
}

fn is_overload(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::NotRun(reason) if reason.is_overload())
}

fn is_overload_retry_late(failure: &Failure, now: Time) -> bool {
    let left = failure.objective.map(|time| time.since(failure.arrived));
    let period = left.unwrap_or(SHED_TIME) / OVERLOAD_RETRY_DIVISOR;
    now.since(failure.arrived) > period.max(MIN_OVERLOAD_RETRY_PERIOD)
}

fn decide_nested(outcome: Outcome) -> Decision {
    match outcome {
        Outcome::NotRun(reason) if !reason.is_overload() => Decision::Retry,
        _ => Decision::Stop(Stop::Depth),
    }
}
