//! Behaviour of the simulated clients: deadlines and retries.

use crate::mesh::RequestKind;
use knapweed_world::Time;
use std::time::Duration;

/// Maximum number of tries of a client that waits for the retry-after time.
pub const MAX_TRIES: u8 = 2;
/// Maximum number of tries of a client that retries without waiting.
pub const MAX_IMMEDIATE_TRIES: u8 = 4;
/// Wait of a client whose refusal carries no retry-after time.
const BACKOFF: Duration = Duration::from_millis(100);
/// A client waits at most its remaining time divided by this before it retries.
const WAIT_DIVISOR: u32 = 3;

/// A request of a client, including all of its tries.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    /// Kind of request that it sends.
    pub kind: RequestKind,
    /// Index of the host whose ingress it uses.
    pub host: usize,
    /// Time of the first try.
    pub start: Time,
    /// Fraction of the deadline of its kind after which it gives up.
    pub patience: f64,
    /// Number of tries so far.
    pub tries: u8,
    /// Whether it retries without waiting.
    pub retries_immediately: bool,
}

impl Client {
    /// Time at which it gives up.
    pub fn deadline(&self) -> Time {
        self.start.after(self.kind.deadline.mul_f64(self.patience))
    }

    /// Time of the next try after a refusal; `None` when it has no tries left or
    /// would retry after its deadline.
    pub fn next_try(&self, retry_after: Option<Duration>, now: Time) -> Option<Time> {
        let tries = match self.retries_immediately {
            true => MAX_IMMEDIATE_TRIES,
            false => MAX_TRIES,
        };
        if self.tries >= tries {
            return None;
        }
        let wait = match self.retries_immediately {
            true => Duration::ZERO,
            false => {
                let most = self.deadline().since(now) / WAIT_DIVISOR;
                retry_after.unwrap_or(BACKOFF).min(most)
            }
        };
        Some(now.after(wait)).filter(|at| *at < self.deadline())
    }
}
