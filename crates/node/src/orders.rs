//! Orders to move the traffic of a service to a version, from a source other than
//! the configuration.
//!
//! Tickets put their moves into the configuration and need no orders. An adapter to
//! an external system may supply orders instead.

pub mod book;

use futures_util::future::BoxFuture;
use knapweed_store::{Error, Revision};
use knapweed_world::Name;
use std::time::Duration;

/// Progress of an order, as reported to its source.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// Traffic is being moved.
    Running,
    /// All traffic has moved.
    Completed,
    /// All traffic is back at the old versions.
    PulledBack,
}

/// An order to move all traffic of a service to one version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Name of the service.
    pub service: Name,
    /// The version that is to get all of its traffic.
    pub target: Name,
    /// Time within which the move must be complete.
    pub time: Duration,
    /// The progress last reported; `None` for an order without a report.
    pub reported: Option<Progress>,
}

/// Orders read at a revision of the store.
#[derive(Clone, Debug, Default)]
pub struct Orders {
    /// New or changed orders.
    pub orders: Vec<Order>,
    /// Whether changes that cannot be read were left out; a load may have them.
    pub is_partial: bool,
    /// Revision from which a watch continues.
    pub revision: Revision,
}

/// A source of rollout orders, which also receives the reports on their progress.
pub trait RolloutOrders: Send + Sync {
    /// Loads all orders.
    fn load(&self) -> BoxFuture<'_, Result<Orders, Error>>;

    /// Waits at most `wait` for orders that were added or changed after a revision.
    fn watch(&self, after: Revision, wait: Duration) -> BoxFuture<'_, Result<Orders, Error>>;

    /// Reports the progress of the order to move a service to `target`.
    fn report<'a>(
        &'a self,
        service: &'a Name,
        target: &'a Name,
        progress: Progress,
    ) -> BoxFuture<'a, Result<(), Error>>;
}
