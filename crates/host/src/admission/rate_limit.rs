//! Limit on the rate of requests that a backend server names in its answers.
//!
//! Load pattern: a backend server in need takes fewer requests per second than its slots
//! allow, from all hosts together. All of its requests pass the egress of its host, which
//! limits them by a token bucket.

use knapweed_world::Time;
use knapweed_world::load::RequestRate;
use std::time::Duration;

/// Rate below which no limit is followed. Without any request there would be no answer
/// that ends the limit.
const MIN_RATE: RequestRate = RequestRate(500);
/// Unused requests are saved up for this long.
const BURST_PERIOD: Duration = Duration::from_secs(1);

/// Token bucket of one backend server: a request takes a token when it is sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    rate: RequestRate,
    /// Most tokens that it holds; `None` for those of [`BURST_PERIOD`].
    burst: Option<u16>,
    tokens: f64,
    refilled_at: Time,
}

impl TokenBucket {
    /// Creates an empty bucket, since requests may have been sent just before.
    pub(super) fn new(rate: RequestRate, now: Time) -> Self {
        Self {
            rate: rate.max(MIN_RATE),
            burst: None,
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Changes the limit; tokens that a lower one would not have saved up are lost.
    pub(super) fn set_limit(&mut self, rate: RequestRate, burst: Option<u16>, now: Time) {
        self.refill(now);
        self.rate = rate.max(MIN_RATE);
        self.burst = burst;
        self.tokens = self.tokens.min(self.max_tokens());
    }

    /// Adds the tokens of the time that has passed.
    pub(super) fn refill(&mut self, now: Time) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        let tokens = self.tokens + elapsed * self.rate.as_f64();
        self.tokens = tokens.min(self.max_tokens());
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Whole tokens as of the last refill.
    pub(super) fn available(&self) -> u32 {
        self.tokens as u32
    }

    pub(super) fn take(&mut self) {
        self.tokens -= 1.0;
    }

    /// When there will be a token.
    pub(super) fn next_token(&self) -> Time {
        let missing = (1.0 - self.tokens).max(0.0);
        let wait = Duration::from_secs_f64(missing / self.rate.as_f64());
        // Rounded up, so that the token is there at that time.
        self.refilled_at.after(wait + Duration::from_micros(1))
    }

    /// Time between two tokens, in microseconds.
    pub(super) fn interval_us(&self) -> u64 {
        (1e6 / self.rate.as_f64()) as u64
    }

    pub(super) fn rate(&self) -> RequestRate {
        self.rate
    }

    fn max_tokens(&self) -> f64 {
        let saved_up = || self.rate.as_f64() * BURST_PERIOD.as_secs_f64();
        self.burst.map_or_else(saved_up, f64::from).max(1.0)
    }
}

/// A change of the limit that a backend server names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitChange {
    /// It takes this many requests per second from now on.
    Limited(RequestRate),
    /// It takes this many requests per second from now on, and in any one second at most
    /// `burst` more.
    Bounded {
        /// The requests per second.
        rate: RequestRate,
        /// Requests that may be saved up.
        burst: u16,
    },
    /// It names no limit any more.
    Unlimited,
}

impl LimitChange {
    /// The rate from now on; `None` without a limit.
    pub fn rate(&self) -> Option<RequestRate> {
        match self {
            Self::Limited(rate) | Self::Bounded { rate, .. } => Some(*rate),
            Self::Unlimited => None,
        }
    }
}

/// Follows the limit in the answers of one run of a backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct NamedLimit {
    current: Option<(RequestRate, Time)>,
}

impl NamedLimit {
    /// Handles an answer to a request that was sent at `sent`, with the limit that it names.
    ///
    /// Answers may overtake each other. One without a limit ends the limit only if its
    /// request was sent after the last answer that named one.
    pub fn answered(
        &mut self,
        named: Option<RequestRate>,
        sent: Time,
        now: Time,
    ) -> Option<LimitChange> {
        let before = self.current;
        match (named, before) {
            (Some(rate), _) => {
                self.current = Some((rate, now));
                let is_new = before.is_none_or(|(known, _)| known != rate);
                is_new.then_some(LimitChange::Limited(rate))
            }
            (None, Some((_, named_at))) if sent >= named_at => {
                self.current = None;
                Some(LimitChange::Unlimited)
            }
            (None, _) => None,
        }
    }

    /// The limit that was last named; `None` without one.
    pub fn rate(&self) -> Option<RequestRate> {
        self.current.map(|(rate, _)| rate)
    }

    /// Handles a limit that another host knows of; a limit that was named here is newer.
    pub fn reported(&mut self, rate: RequestRate, now: Time) -> Option<LimitChange> {
        match self.current {
            Some(_) => None,
            None => self.answered(Some(rate), now, now),
        }
    }
}
