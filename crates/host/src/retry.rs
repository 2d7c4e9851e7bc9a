//! Retries by the ingress.
//!
//! Load pattern: part of the backend servers refuse or lose requests, and every
//! ingress sees it at once. A retry that reaches a backend server costs a token;
//! the tokens of all nodes together keep the retries to a part of the requests.

use crate::{NotRun, Outcome, Unknown};
use knapweed_world::Time;
use knapweed_world::service::RetryTokens;
use std::sync::atomic::{AtomicU8, AtomicU32, Ordering};
use std::time::Duration;

/// Settings of a [`RetryPolicy`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    max_tries: u8,
    percent: u8,
    slack: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_tries: 4,
            percent: 10,
            slack: 100,
        }
    }
}

/// Settings, one by one.
impl Options {
    /// Most tries of one request, those included that reach no backend server.
    pub fn max_tries(mut self, n: u8) -> Self {
        self.max_tries = n;
        self
    }

    /// Retries that the budget gains for 100 requests.
    pub fn percent(mut self, percent: u8) -> Self {
        self.percent = percent;
        self
    }

    /// Most retries that all nodes together save up.
    pub fn slack(mut self, retries: u32) -> Self {
        self.slack = retries;
        self
    }
}

/// How much of a request's body is still there to be sent again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Body {
    /// There is none.
    Empty,
    /// Nothing of it was read, or it is kept.
    Unread,
    /// Part of it was read and is gone.
    Consumed,
}

/// A try that did not succeed.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// Depth of the request at this ingress.
    pub depth: u8,
    /// Tries so far, this one included.
    pub tries: u8,
    /// Those of them that may have reached a backend server.
    pub sends: u8,
    /// Most backend servers that the request may be sent to.
    pub max_sends: u8,
    /// How the try ended.
    pub outcome: Outcome,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Its body.
    pub body: Body,
    /// When it arrived at this ingress.
    pub arrived: Time,
    /// Until when an answer is of full use.
    pub objective: Time,
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
    /// All tries were made.
    MaxTries,
    /// The deadline passed.
    DeadlinePassed,
    /// Only the first ingress retries after this outcome.
    Depth,
    /// The budget is spent.
    Budget,
}

/// Decides on retries. Threads share the budget of a service through an atomic.
#[derive(Debug)]
pub struct RetryPolicy {
    max_tries: AtomicU8,
    percent: AtomicU8,
    slack: AtomicU32,
    /// Nodes that share the slack.
    nodes: AtomicU32,
}

/// A request that was refused for lack of capacity is tried elsewhere within
/// this part of the time to its objective. Later its caller learns it sooner.
const OVERLOAD_PART: u32 = 8;
/// Shortest time for such a retry: the way to a host and back.
const OVERLOAD_RETRY: Duration = Duration::from_millis(5);

impl Default for RetryPolicy {
    fn default() -> Self {
        Self::new(Options::default())
    }
}

impl RetryPolicy {
    /// A policy of a node that has the slack for itself.
    pub fn new(options: Options) -> Self {
        Self {
            max_tries: AtomicU8::new(options.max_tries),
            percent: AtomicU8::new(options.percent),
            slack: AtomicU32::new(options.slack),
            nodes: AtomicU32::new(1),
        }
    }

    /// Replaces the settings.
    pub fn set_options(&self, options: Options) {
        self.max_tries.store(options.max_tries, Ordering::Relaxed);
        self.percent.store(options.percent, Ordering::Relaxed);
        self.slack.store(options.slack, Ordering::Relaxed);
    }

    /// Sets the number of nodes that share the slack.
    pub fn share_among(&self, nodes: usize) {
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX).max(1);
        self.nodes.store(nodes, Ordering::Relaxed);
    }

    /// Counts a request for a service at an ingress of `depth`.
    pub fn arrived(&self, depth: u8, tokens: &RetryTokens) {
        if depth <= 1 {
            let nodes = self.nodes.load(Ordering::Relaxed);
            // With a part below one, a node could never retry at all.
            let most = (self.slack.load(Ordering::Relaxed) / nodes).max(1);
            let percent = self.percent.load(Ordering::Relaxed);
            tokens.sends.gain(percent, most);
            tokens.placements.gain(percent, most);
        }
    }

    /// Decides on a retry and, if it is one that may reach a backend server
    /// again, takes it out of the budget.
    ///
    /// Below the first ingress only refusals that are not caused by overload
    /// are retried, and without a budget: such refusals are cheap and end
    /// within seconds, while retries at each of several levels would multiply
    /// an overload.
    pub fn decide(&self, failure: &Failure, tokens: &RetryTokens, now: Time) -> Decision {
        if !may_run_again(failure) {
            return Decision::Stop(Stop::Outcome);
        }
        if failure.body == Body::Consumed {
            return Decision::Stop(Stop::BodyConsumed);
        }
        let is_sent_to_all = failure.sends >= failure.max_sends;
        if failure.tries >= self.max_tries.load(Ordering::Relaxed) || is_sent_to_all {
            return Decision::Stop(Stop::MaxTries);
        }
        if now >= failure.deadline {
            return Decision::Stop(Stop::DeadlinePassed);
        }
        if is_overload(failure.outcome) && has_waited(failure, now) {
            return Decision::Stop(Stop::Queued);
        }
        if failure.depth > 1 {
            return decide_below(failure.outcome);
        }
        let is_paid = match failure.sends {
            0 if is_overload(failure.outcome) => tokens.placements.spend(),
            0 => true,
            _ => tokens.sends.spend(),
        };
        match is_paid {
            true => Decision::Retry,
            false => Decision::Stop(Stop::Budget),
        }
    }
}

/// Whether a try may have reached a backend server.
pub fn may_have_arrived(outcome: Outcome) -> bool {
    match outcome {
        Outcome::Answered(_) | Outcome::Unknown(_) => true,
        Outcome::NotRun(reason) => {
            matches!(reason, NotRun::ShedByServer | NotRun::ReplacedServer)
        }
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

fn has_waited(failure: &Failure, now: Time) -> bool {
    let time = failure.objective.since(failure.arrived) / OVERLOAD_PART;
    now.since(failure.arrived) > time.max(OVERLOAD_RETRY)
}

fn decide_below(outcome: Outcome) -> Decision {
    match outcome {
        Outcome::NotRun(reason) if !reason.is_overload() => Decision::Retry,
        _ => Decision::Stop(Stop::Depth),
    }
}
