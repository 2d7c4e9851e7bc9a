//! Copy of the decisions of the watch of the configuration (`control::watch`), whose task
//! has them between its calls: what to call next, and how long to wait after a failure.

use knapweed_node::source::{Error, SourceUpdate};
use knapweed_store::{Error as StoreError, Revision};
use rand::Rng;
use std::time::Duration;

const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// State of one watch.
#[derive(Debug)]
pub(crate) struct WatchLoop {
    /// Revision from which the next call watches; the next call loads when there is none.
    after: Option<Revision>,
    limit: Duration,
}

impl Default for WatchLoop {
    fn default() -> Self {
        Self {
            after: None,
            limit: INITIAL_BACKOFF,
        }
    }
}

impl WatchLoop {
    pub(crate) fn after(&self) -> Option<Revision> {
        self.after
    }

    /// Handles the result of a call, and returns the wait before the next one.
    pub(crate) fn finished(
        &mut self,
        result: Result<&SourceUpdate, &Error>,
        rng: &mut impl Rng,
    ) -> Duration {
        match result {
            Ok(update) => {
                self.limit = INITIAL_BACKOFF;
                self.after = Some(update.revision);
                Duration::ZERO
            }
            Err(Error::Store(StoreError::HistoryCompacted(_))) => {
                self.after = None;
                Duration::ZERO
            }
            Err(err) => {
                self.after = self.after.filter(|_| matches!(err, Error::Store(_)));
                let wait = rng.random_range(Duration::ZERO..=self.limit);
                self.limit = (self.limit * 2).min(MAX_BACKOFF);
                wait
            }
        }
    }
}
