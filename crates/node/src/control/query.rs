//! Queries of other threads to the control thread.

use super::Controller;
use knapweed_contract::PartCache;
use tokio::sync::oneshot;

/// A query, with the channel for its reply.
#[derive(Debug)]
pub enum Query {
    /// Returns the configuration parts of this node, which saves reads of the object store.
    Parts(oneshot::Sender<PartCache>),
}

impl Controller {
    pub(super) fn answer_query(&self, query: Query) {
        match query {
            Query::Parts(tx) => drop(tx.send(self.configs.cache().clone())),
        }
    }
}
