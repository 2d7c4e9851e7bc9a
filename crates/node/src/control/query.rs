//! Queries of other threads to the control thread.

use super::Controller;
use super::loads::LoadWaiter;
use knapweed_contract::PartCache;
use tokio::sync::oneshot;

/// A query, with the channel for its reply.
#[derive(Debug)]
pub(crate) enum Query {
    /// Returns the configuration parts of this node, which saves reads of the object store.
    Parts(oneshot::Sender<PartCache>),
    /// Loads the configuration from its source and returns what it found.
    Load(LoadWaiter),
}

impl Controller {
    pub(super) fn answer_query(&mut self, query: Query) {
        match query {
            Query::Parts(tx) => drop(tx.send(self.configs.cache().clone())),
            Query::Load(waiter) => self.load_from_source(waiter),
        }
    }
}
