//! Questions that other threads ask the control thread.

use super::Control;
use knapweed_contract::PartCache;
use tokio::sync::oneshot;

/// A question with the way to answer it.
#[derive(Debug)]
pub enum Query {
    /// The parts at hand, to save reads of the platform.
    Parts(oneshot::Sender<PartCache>),
}

impl Control {
    pub(super) fn answer(&self, query: Query) {
        match query {
            Query::Parts(tx) => drop(tx.send(self.configs.cache().clone())),
        }
    }
}
