//! Loads of the configuration from its source: one at a time, whose result serves the watch,
//! the version floor and each fetch of a version that no member has.

use super::event::ControlHandle;
use super::query::Query;
use super::{Controller, Event};
use crate::source::{Error, SourceUpdate};
use knapweed_observe::part;
use knapweed_store::{Error as StoreError, Revision};
use knapweed_world::{ConfigVersion, Time};
use std::sync::Arc;
use tokio::sync::oneshot;

/// The load that is under way, and those who wait for its result.
#[derive(Debug)]
pub struct Loads<W> {
    /// `None` when no load is under way.
    waiting: Option<Vec<W>>,
}

impl<W> Default for Loads<W> {
    fn default() -> Self {
        Self { waiting: None }
    }
}

impl<W> Loads<W> {
    /// Adds one that wants the result of a load, and returns whether a load must be started
    /// for it.
    pub fn join(&mut self, waiter: W) -> bool {
        let is_first = self.waiting.is_none();
        self.waiting.get_or_insert_default().push(waiter);
        is_first
    }

    /// Ends the load; returns those who wait for its result.
    pub fn end(&mut self) -> Vec<W> {
        self.waiting.take().unwrap_or_default()
    }
}

/// What a successful load has found.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Found {
    /// Version of the configuration; 0 when the source has none.
    pub(super) version: ConfigVersion,
    /// Revision from which a watch continues.
    pub(super) revision: Revision,
    /// Whether entries that cannot be read were left out.
    pub(super) is_partial: bool,
}

impl Found {
    pub(super) fn in_update(update: &SourceUpdate) -> Self {
        let head = update.loaded.as_ref().map(|loaded| &loaded.head);
        Self {
            version: head.map(|head| head.version).unwrap_or_default(),
            revision: update.revision,
            is_partial: update.is_partial,
        }
    }
}

/// Receives the result of a load.
pub(crate) type LoadWaiter = oneshot::Sender<Result<Found, Error>>;

impl Controller {
    /// Loads the configuration from its source, unless a load is under way; `waiter` gets the
    /// result of that one then.
    pub(super) fn load_from_source(&mut self, waiter: LoadWaiter) {
        if !self.loads.join(waiter) {
            return;
        }
        let (source, handle) = (Arc::clone(&self.dependencies.configs), self.handle.clone());
        let timer = self.dependencies.timer.clone();
        let known = self.configs.cache().clone();
        tokio::spawn(async move {
            let at = timer.now();
            // A task of its own: one that panics must not keep all later loads from starting.
            let load = tokio::spawn(async move { source.load(known).await });
            let result = load.await.unwrap_or_else(|err| {
                log::error!(target: part::CONFIG, "a load of the configuration failed: {err}");
                Err(Error::Unusable(err.to_string()))
            });
            handle.send(Event::LoadEnded { result, at }).await;
        });
    }

    /// Applies the result of a load, and passes it to those who wait for it.
    pub(super) fn load_ended(&mut self, result: Result<SourceUpdate, Error>, at: Time) {
        let found = match result {
            Ok(update) => {
                let found = Found::in_update(&update);
                self.source_updated(update, at);
                Ok(found)
            }
            Err(err) => {
                log::debug!(target: part::CONFIG, "could not load the configuration: {err}");
                Err(err)
            }
        };
        for waiter in self.loads.end() {
            // A watch may have ended meanwhile.
            let _ = waiter.send(found.clone());
        }
    }
}

/// Loads the configuration on behalf of another task.
pub(super) async fn load(handle: &ControlHandle) -> Result<Found, Error> {
    let (tx, rx) = oneshot::channel();
    handle.send(Event::Query(Query::Load(tx))).await;
    let ended = |_| StoreError::Unavailable("the control thread has ended".into());
    rx.await.map_err(ended)?
}
