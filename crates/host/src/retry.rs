//! Retries by the ingress.

use crate::{Outcome, Unknown};
use knapweed_world::Time;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Settings of a [`RetryPolicy`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    max_retries: u8,
    percent: u8,
    burst: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_retries: 2,
            percent: 10,
            burst: 100,
        }
    }
}

/// Settings, one by one.
impl Options {
    /// Most retries of one request.
    pub fn max_retries(mut self, n: u8) -> Self {
        self.max_retries = n;
        self
    }

    /// Retries that the budget gains for 100 successes.
    pub fn percent(mut self, percent: u8) -> Self {
        self.percent = percent;
        self
    }

    /// Most retries that the budget saves up.
    pub fn burst(mut self, retries: u32) -> Self {
        self.burst = retries;
        self
    }
}

/// How much of a request's body is still there to be sent again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Body {
    /// There is none.
    Empty,
    /// Nothing of it was read.
    Unread,
    /// Part of it was read and is gone.
    Consumed,
}

/// A try that did not succeed.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// Depth of the request at this ingress.
    pub depth: u8,
    /// Retries made so far.
    pub retries: u8,
    /// How the try ended.
    pub outcome: Outcome,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Its body.
    pub body: Body,
    /// When it arrived at this ingress.
    pub arrived: Time,
    /// Its deadline.
    pub deadline: Time,
}

/// What to do after a try that did not succeed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Try another backend server.
    Retry,
    /// Report the outcome to the caller.
    Stop(Stop),
}

/// Why there is no retry.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Stop {
    /// The outcome does not allow one.
    Outcome,
    /// It has waited in a queue already.
    Queued,
    /// Part of the body is gone.
    BodyConsumed,
    /// All retries were made.
    MaxRetries,
    /// The deadline passed.
    DeadlinePassed,
    /// Only the first ingress retries after this outcome.
    Depth,
    /// The budget is spent.
    Budget,
}

/// Decides on retries, with a budget that threads share through an atomic.
#[derive(Debug)]
pub struct RetryPolicy {
    options: Options,
    /// Hundredths of a retry.
    tokens: AtomicU64,
}

/// A request that was shed after more than this is not tried again: the wait in
/// a second queue would let its caller know only after the 50 ms in which shed
/// requests are answered.
const OVERLOAD_RETRY: Duration = Duration::from_millis(5);

/// Tokens that one retry costs.
const RETRY_COST: u64 = 100;

impl Default for RetryPolicy {
    fn default() -> Self {
        Self::new(Options::default())
    }
}

impl RetryPolicy {
    /// A policy with an empty budget, so that retries never exceed the
    /// configured share of successes.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            tokens: AtomicU64::new(0),
        }
    }

    /// Counts a success at an ingress of `depth`.
    pub fn succeeded(&self, depth: u8) {
        if depth > 1 {
            return;
        }
        let max = u64::from(self.options.burst) * RETRY_COST;
        let gain = u64::from(self.options.percent);
        let add = |tokens: u64| (tokens < max).then(|| (tokens + gain).min(max));
        let _ = self
            .tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Decides on a retry and, if it is one, takes it out of the budget.
    ///
    /// Below the first ingress only refusals that are not caused by overload
    /// are retried, and without a budget: such refusals are cheap and end
    /// within seconds, while retries at each of several levels would multiply
    /// an overload.
    pub fn decide(&self, failure: &Failure, now: Time) -> Decision {
        if !may_run_again(failure) {
            return Decision::Stop(Stop::Outcome);
        }
        if failure.body == Body::Consumed {
            return Decision::Stop(Stop::BodyConsumed);
        }
        if failure.retries >= self.options.max_retries {
            return Decision::Stop(Stop::MaxRetries);
        }
        if now >= failure.deadline {
            return Decision::Stop(Stop::DeadlinePassed);
        }
        if is_overload(failure.outcome) && now.since(failure.arrived) > OVERLOAD_RETRY {
            return Decision::Stop(Stop::Queued);
        }
        if failure.depth > 1 {
            return decide_below(failure.outcome);
        }
        if self.spend() {
            Decision::Retry
        } else {
            Decision::Stop(Stop::Budget)
        }
    }

    fn spend(&self) -> bool {
        let take = |tokens: u64| tokens.checked_sub(RETRY_COST);
        let result = self
            .tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        result.is_ok()
    }
}

fn may_run_again(failure: &Failure) -> bool {
    match failure.outcome {
        Outcome::Answered(_) => false,
        Outcome::NotRun(reason) => reason.is_retryable(),
        Outcome::Unknown(reason) => failure.idempotent && is_lost(reason),
    }
}

/// Whether the exchange was lost before any part of a response went to the caller.
fn is_lost(reason: Unknown) -> bool {
    matches!(reason, Unknown::ConnectionLost | Unknown::ServerCrashed)
}

fn is_overload(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::NotRun(reason) if reason.is_overload())
}

fn decide_below(outcome: Outcome) -> Decision {
    match outcome {
        Outcome::NotRun(reason) if !reason.is_overload() => Decision::Retry,
        _ => Decision::Stop(Stop::Depth),
    }
}
