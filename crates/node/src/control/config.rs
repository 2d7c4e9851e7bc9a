//! Store of the newest configuration on this node, split into parts.

use bytes::Bytes;
use knapweed_contract::{Head, PartCache, head, parts};
use knapweed_link::{Delta, PartTag, delta};
use knapweed_store::{Object, Revision};
use knapweed_world::Config;
use std::sync::Arc;

/// The reason why a configuration was not applied.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The head cannot be read.
    #[error(transparent)]
    Head(#[from] head::Error),
    /// A part is missing, invalid, or does not match its digest in the head.
    #[error(transparent)]
    Part(#[from] parts::Error),
}

/// A compressed delta, kept for the next node that has the same parts.
#[derive(Debug)]
struct CachedDelta {
    have: Vec<PartTag>,
    compressed: Bytes,
}

/// The newest configuration that this node holds.
#[derive(Debug, Default)]
pub struct ConfigStore {
    head: Head,
    cache: PartCache,
    config: Arc<Config>,
    /// The last delta; after a change, most nodes request the same one.
    cached_delta: Option<CachedDelta>,
}

/// Read access to the configuration, its parts and the delta for another node.
impl ConfigStore {
    /// The configuration, joined from its parts.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Version of the configuration, digests of its parts and recent tickets.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// Contents of the parts.
    pub fn cache(&self) -> &PartCache {
        &self.cache
    }

    /// Sorted tags of the parts that this node has.
    pub fn tags(&self) -> Vec<PartTag> {
        let mut tags: Vec<_> = self.contents().map(|c| PartTag::of(&c)).collect();
        tags.sort_unstable();
        tags
    }

    /// Whether the delta for a node that has the parts `have` is at hand.
    pub fn has_delta_for(&self, have: &[PartTag]) -> bool {
        self.cached_delta.as_ref().is_some_and(|d| d.have == have)
    }

    /// The compressed delta for a node that has the parts `have`.
    ///
    /// # Errors
    ///
    /// The delta is too long.
    pub fn delta_for(&mut self, have: Vec<PartTag>) -> Result<Bytes, delta::Error> {
        if let Some(cached_delta) = self.cached_delta.as_ref().filter(|m| m.have == have) {
            return Ok(cached_delta.compressed.clone());
        }
        let head = self.head.encode();
        let compressed = Delta::between(head, self.contents(), have.iter().copied()).compress()?;
        self.cached_delta = Some(CachedDelta {
            have,
            compressed: compressed.clone(),
        });
        Ok(compressed)
    }

    fn contents(&self) -> impl Iterator<Item = Bytes> + '_ {
        self.head
            .digests()
            .filter_map(|d| self.cache.get(d).cloned())
    }
}

/// Updates with newer heads and parts.
impl ConfigStore {
    /// Applies a delta; returns whether it brought a newer configuration.
    ///
    /// # Errors
    ///
    /// The head or a part is invalid; the previous configuration stays unchanged.
    pub fn apply_delta(&mut self, delta: Delta) -> Result<bool, Error> {
        let object = Object {
            revision: Revision::ABSENT,
            value: delta.head,
        };
        let (_, head) = Head::decode(Some(&object))?;
        let mut cache = self.cache.clone();
        for content in delta.parts {
            cache.insert(content);
        }
        self.replace(&head, cache)
    }

    /// Applies a head with its parts; returns whether it is newer than the previous one.
    ///
    /// # Errors
    ///
    /// A part is missing or invalid; the previous configuration stays unchanged.
    pub fn replace(&mut self, head: &Head, mut cache: PartCache) -> Result<bool, Error> {
        if head.version <= self.head.version {
            return Ok(false);
        }
        let config = parts::join(head, &cache)?;
        cache.retain(head);
        self.head = head.clone();
        self.cache = cache;
        self.config = Arc::new(config);
        self.cached_delta = None;
        Ok(true)
    }
}
