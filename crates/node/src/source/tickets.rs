//! Reads the configuration that accepted tickets produce from the object store.

use super::{ConfigSource, Error, LoadedConfig, SourceUpdate};
use futures_util::future::BoxFuture;
use knapweed_contract::drive::{self, SystemClock};
use knapweed_contract::{Driver, Head, PartCache, head};
use knapweed_store::{Error as StoreError, Object, ObjectStore, Revision};
use std::sync::Arc;
use std::time::Duration;

/// Reads the configuration head written by accepted tickets, and its parts.
#[derive(Clone)]
pub struct TicketSource {
    store: Arc<dyn ObjectStore>,
}

impl TicketSource {
    /// A source that reads from `store`.
    pub fn new(store: Arc<dyn ObjectStore>) -> Self {
        Self { store }
    }

    async fn loaded(&self, object: &Object, mut cache: PartCache) -> Result<LoadedConfig, Error> {
        let (_, head) = Head::decode(Some(object)).map_err(unusable)?;
        let driver = Driver::new(&*self.store, &SystemClock);
        let config = driver.load_config(&head, &mut cache).await;
        match config {
            Ok(_) => Ok(LoadedConfig {
                head,
                cache,
                problems: Vec::new(),
            }),
            Err(drive::Error::Store(err)) => Err(err.into()),
            Err(err) => Err(unusable(err)),
        }
    }

    async fn load_head(&self, known: PartCache) -> Result<SourceUpdate, Error> {
        let listing = self.store.list(head::KIND).await?;
        let is_head = |key: &_| *key == head::key();
        let object = listing.objects.iter().find(|(key, _)| is_head(key));
        let loaded = match object {
            Some((_, object)) => Some(self.loaded(object, known).await?),
            // One of the entries that cannot be read may be the head.
            None if listing.is_partial => {
                let reason = "a list without the head has entries that cannot be read";
                return Err(StoreError::Malformed(reason.into()).into());
            }
            None => None,
        };
        Ok(SourceUpdate {
            loaded,
            is_partial: false,
            revision: listing.revision,
        })
    }

    async fn watch_head(
        &self,
        after: Revision,
        wait: Duration,
        known: PartCache,
    ) -> Result<SourceUpdate, Error> {
        let changes = self.store.watch(head::KIND, after, wait).await?;
        let mut newest = changes.changes.into_iter().rev();
        let newest = newest.find(|change| change.key == head::key());
        let loaded = match newest.and_then(|change| change.object) {
            Some(object) => Some(self.loaded(&object, known).await?),
            None => None,
        };
        Ok(SourceUpdate {
            loaded,
            is_partial: changes.is_partial,
            revision: changes.revision,
        })
    }
}

fn unusable(err: impl std::fmt::Display) -> Error {
    Error::Unusable(err.to_string())
}

impl ConfigSource for TicketSource {
    fn load(&self, known: PartCache) -> BoxFuture<'_, Result<SourceUpdate, Error>> {
        Box::pin(self.load_head(known))
    }

    fn watch(
        &self,
        after: Revision,
        wait: Duration,
        known: PartCache,
    ) -> BoxFuture<'_, Result<SourceUpdate, Error>> {
        Box::pin(self.watch_head(after, wait, known))
    }
}
