//! Sources of the mesh configuration.
//!
//! [`tickets`] reads the configuration that accepted tickets produce; an adapter may
//! read it from another system. Nodes exchange a configuration among themselves in
//! parts, independent of its source.

pub mod tickets;

use futures_util::future::BoxFuture;
use knapweed_contract::{Head, PartCache};
use knapweed_store::{Revision, StoreEra};
use knapweed_world::ConfigVersion;
use std::time::Duration;

/// The reason why a source returned no configuration.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A call to the store failed.
    #[error(transparent)]
    Store(#[from] knapweed_store::Error),
    /// The source holds an invalid configuration.
    #[error("the configuration cannot be used: {0}")]
    Unusable(String),
}

/// A configuration, split into parts.
#[derive(Clone, Debug, Default)]
pub struct LoadedConfig {
    /// Version of the configuration and digests of its parts.
    pub head: Head,
    /// Contents of the parts.
    pub cache: PartCache,
    /// Entries that the source could not use as they were written, and what applies
    /// instead, one sentence each.
    pub problems: Vec<String>,
}

/// Result of a load or watch of a source.
#[derive(Clone, Debug, Default)]
pub struct SourceUpdate {
    /// The configuration; `None` when the source has none yet, and when a watch
    /// ended without a change.
    pub loaded: Option<LoadedConfig>,
    /// Whether changes that cannot be read were left out; a load may have them.
    pub is_partial: bool,
    /// Revision from which a watch continues.
    pub revision: Revision,
}

impl SourceUpdate {
    /// Largest age of the state that this answer describes, if the call took `elapsed`.
    ///
    /// A watch that found no change for `wait` was answered at the end of that time; 0 for a
    /// load.
    pub fn age(&self, elapsed: Duration, wait: Duration) -> Duration {
        let is_unchanged = self.loaded.is_none() && !self.is_partial;
        match is_unchanged && elapsed >= wait {
            true => elapsed - wait,
            false => elapsed,
        }
    }
}

/// The version of the configuration that the store had at the last read.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoredConfig {
    era: StoreEra,
    version: ConfigVersion,
}

impl StoredConfig {
    /// Takes note of an answer of the source, and returns the era of the store and the version
    /// that it has. An answer without a configuration confirms the version before, unless the
    /// store has lost it; `None` when the answer may lack a newer one.
    ///
    /// Within an era the version only rises: an answer with a lower one is of an earlier call.
    pub fn update(&mut self, update: &SourceUpdate) -> Option<(StoreEra, ConfigVersion)> {
        let era = update.revision.era;
        if update.is_partial || era < self.era {
            return None;
        }
        let loaded = update.loaded.as_ref().map(|loaded| loaded.head.version);
        let known = match era == self.era {
            true => self.version,
            false => ConfigVersion::default(),
        };
        let version = known.max(loaded.unwrap_or_default());
        *self = Self { era, version };
        Some((era, version))
    }
}

/// A source of configurations.
pub trait ConfigSource: Send + Sync {
    /// Loads the newest configuration. Parts in `known` need not be read again.
    fn load(&self, known: PartCache) -> BoxFuture<'_, Result<SourceUpdate, Error>>;

    /// Waits at most `wait` for a configuration newer than that at revision `after`.
    fn watch(
        &self,
        after: Revision,
        wait: Duration,
        known: PartCache,
    ) -> BoxFuture<'_, Result<SourceUpdate, Error>>;
}
