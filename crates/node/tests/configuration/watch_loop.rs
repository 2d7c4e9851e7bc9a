//! The watch of the configuration between its calls: the cursor in the history of the store,
//! with the waits of the task in `control::watch`.

use knapweed_node::source::{Error, SourceUpdate};
use knapweed_store::cursor::{NextCall, Retry, WatchCursor};
use rand::Rng;
use std::time::Duration;

const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// State of one watch.
#[derive(Debug)]
pub(crate) struct WatchLoop {
    cursor: WatchCursor,
    limit: Duration,
}

impl Default for WatchLoop {
    fn default() -> Self {
        Self {
            cursor: WatchCursor::default(),
            limit: INITIAL_BACKOFF,
        }
    }
}

impl WatchLoop {
    pub(crate) fn next_call(&self) -> NextCall {
        self.cursor.next_call()
    }

    pub(crate) fn succeeded(&mut self, update: &SourceUpdate) {
        self.limit = INITIAL_BACKOFF;
        match update.is_partial {
            true => self.cursor.advanced_partially(update.revision),
            false => self.cursor.advanced(update.revision),
        }
    }

    /// Handles a failed call; returns the wait before the next one, or `None` when the task
    /// makes it at once and reports nothing.
    pub(crate) fn failed(&mut self, err: &Error, rng: &mut impl Rng) -> Option<Duration> {
        let retry = match err {
            Error::Store(err) => self.cursor.failed(err),
            Error::Unusable(_) => {
                self.cursor.start_over();
                Retry::AfterBackoff
            }
        };
        if retry == Retry::AtOnce {
            return None;
        }
        let wait = rng.random_range(Duration::ZERO..=self.limit);
        self.limit = (self.limit * 2).min(MAX_BACKOFF);
        Some(wait)
    }
}
