//! Watches the configuration source, on gateways and, as a fallback, on nodes that no
//! longer receive messages from a gateway.

use super::event::ControlHandle;
use super::loads::{self, Found};
use super::query::Query;
use super::{Controller, Event};
use crate::source::{ConfigSource, Error, SourceUpdate};
use knapweed_contract::PartCache;
use knapweed_observe::part;
use knapweed_store::cursor::{NextCall, Retry, WatchCursor};
use knapweed_store::{Error as StoreError, Revision};
use knapweed_timer::TimerService;
use knapweed_world::Time;
use knapweed_zone::membership;
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Longest wait of one watch call. Its response shows that the store is reachable, so
/// a longer wait would delay the detection of a partition.
const WATCH_WAIT: Duration = Duration::from_secs(1);
/// Longest wait before the first retry of a failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest wait before any retry. A new configuration must be in force within 2.5 s
/// after the store is back.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// The task of the running watch, aborted on drop; `None` when there is no watch.
#[derive(Debug, Default)]
pub(super) struct Watch(Option<JoinHandle<()>>);

impl Drop for Watch {
    fn drop(&mut self) {
        if let Some(task) = self.0.take() {
            task.abort();
        }
    }
}

impl Controller {
    /// Starts or stops the watch of the configuration source.
    pub(super) fn watch_head(&mut self, on: bool) {
        self.watch = Watch::default();
        if on {
            let (source, handle) = (Arc::clone(&self.dependencies.configs), self.handle.clone());
            let timer = self.dependencies.timer.clone();
            self.watch = Watch(Some(tokio::spawn(watch(source, handle, timer))));
        }
    }
}

async fn watch(source: Arc<dyn ConfigSource>, handle: ControlHandle, timer: TimerService) {
    let mut limit = INITIAL_BACKOFF;
    let mut cursor = WatchCursor::default();
    loop {
        let found = match cursor.next_call() {
            NextCall::Watch(revision) => watch_once(&*source, &handle, &timer, revision).await,
            NextCall::Load => loads::load(&handle).await,
        };
        match found {
            Ok(found) => {
                limit = INITIAL_BACKOFF;
                match found.is_partial {
                    true => cursor.advanced_partially(found.revision),
                    false => cursor.advanced(found.revision),
                }
            }
            Err(err) => {
                if failed(&mut cursor, &err) == Retry::AtOnce {
                    log::info!(target: part::CONFIG, "loads the configuration again: {err}");
                    continue;
                }
                log::warn!(target: part::CONFIG, "the watch of the configuration failed: {err}");
                handle.send(unavailable(&err)).await;
                // Full jitter spreads the retries of many nodes after an outage.
                let wait = rand::rng().random_range(Duration::ZERO..=limit);
                tokio::time::sleep(wait).await;
                limit = (limit * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Waits for a change after `revision`, and passes on what the store answers.
async fn watch_once(
    source: &dyn ConfigSource,
    handle: &ControlHandle,
    timer: &TimerService,
    revision: Revision,
) -> Result<Found, Error> {
    let known = known_parts(handle).await;
    let started = timer.now();
    let update = source.watch(revision, WATCH_WAIT, known).await?;
    let ended = timer.now();
    let at = ended.before(update.age(ended.since(started), WATCH_WAIT));
    let found = Found::in_update(&update);
    handle.send(Event::SourceUpdate { update, at }).await;
    Ok(found)
}

fn failed(cursor: &mut WatchCursor, err: &Error) -> Retry {
    match err {
        Error::Store(err) => cursor.failed(err),
        Error::Unusable(_) => {
            cursor.start_over();
            Retry::AfterBackoff
        }
    }
}

/// What a failed call says about the store: an unusable answer comes from a store that
/// answers.
fn unavailable(err: &Error) -> Event {
    match err {
        Error::Store(StoreError::HistoryCompacted(_) | StoreError::Malformed(_))
        | Error::Unusable(_) => Event::SourceUnusable,
        Error::Store(_) => Event::SourceUnavailable,
    }
}

/// Results of calls to the store.
impl Controller {
    /// Records whether a call to the store succeeded, and logs when that changes.
    pub(super) fn record_store_reachable(&mut self, now: Time, reached: bool) {
        if self.store_was_reachable.replace(reached) != Some(reached) {
            match reached {
                true => log::info!(target: part::PLATFORM, "the store answers"),
                false => log::warn!(target: part::PLATFORM, "the store does not answer"),
            }
        }
        self.member_event(now, membership::Event::StoreReached(reached));
    }

    pub(super) fn source_updated(&mut self, update: SourceUpdate, at: Time) {
        let now = self.now();
        self.record_store_reachable(now, true);
        if let Some((era, version)) = self.stored_config.update(&update) {
            self.member_event(now, membership::Event::ConfigConfirmed { era, version, at });
        }
        if let Some(loaded) = update.loaded {
            self.config_loaded(loaded);
        }
    }
}

/// Configuration parts that this node has and need not read from the store.
pub(crate) async fn known_parts(handle: &ControlHandle) -> PartCache {
    let (tx, rx) = oneshot::channel();
    handle.send(Event::Query(Query::Parts(tx))).await;
    rx.await.unwrap_or_default()
}
