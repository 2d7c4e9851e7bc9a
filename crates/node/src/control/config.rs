//! Store of the newest configuration on this node, split into parts.

use super::part_history::PartHistory;
use bytes::Bytes;
use knapweed_contract::parts::PartId;
use knapweed_contract::{Digest, Head, PartCache, head, parts};
use knapweed_link::{Delta, Outgoing, Part, PartTag, delta};
use knapweed_store::{Object, Revision};
use knapweed_world::Config;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// The reason why a configuration was not applied.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A patch cannot be applied.
    #[error(transparent)]
    Delta(#[from] delta::Error),
    /// The head cannot be read.
    #[error(transparent)]
    Head(#[from] head::Error),
    /// A part is missing, invalid, or does not match its digest in the head.
    #[error(transparent)]
    Part(#[from] parts::Error),
}

impl Error {
    /// Whether the same configuration may be accepted when all of its parts are sent whole.
    fn may_lack_parts(&self) -> bool {
        matches!(
            self,
            Self::Delta(_) | Self::Part(parts::Error::Missing { .. })
        )
    }
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
    history: PartHistory,
    /// Whether the next fetch asks for whole parts, because the last delta could not be used.
    /// Two tags that collide would make the same fetch fail again and again.
    asks_whole: bool,
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

    /// Sorted tags of the parts that this node has, for a fetch; none if the last delta could
    /// not be used, so that all parts are sent whole.
    pub fn tags(&self) -> Vec<PartTag> {
        if self.asks_whole {
            return Vec::new();
        }
        let mut tags: Vec<_> = self.head.digests().map(tag_of).collect();
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
        let known: HashSet<_> = have.iter().copied().collect();
        let bases = self.history.newest_of(&known);
        let parts = self.parts().map(|(id, part)| Outgoing {
            part,
            base: bases.get(&id).map(|base| (*base).clone()),
        });
        let compressed = Delta::between(self.head.encode(), parts, &known).compress()?;
        self.cached_delta = Some(CachedDelta {
            have,
            compressed: compressed.clone(),
        });
        Ok(compressed)
    }

    fn parts(&self) -> impl Iterator<Item = (PartId, Part)> + '_ {
        self.head.parts().filter_map(|(id, digest)| {
            let content = self.cache.get(digest)?.clone();
            let tag = tag_of(digest);
            Some((id, Part { tag, content }))
        })
    }
}

fn tag_of(digest: &Digest) -> PartTag {
    PartTag::of_digest(digest.as_bytes())
}

/// Updates with newer heads and parts.
impl ConfigStore {
    /// Applies a delta; returns whether it brought a newer configuration.
    ///
    /// # Errors
    ///
    /// The head, a patch or a part is invalid; the previous configuration stays unchanged.
    /// If whole parts may help, the next fetch asks for them.
    pub fn apply_delta(&mut self, delta: Delta) -> Result<bool, Error> {
        let applied = self.try_apply(delta);
        let may_lack_parts = matches!(&applied, Err(err) if err.may_lack_parts());
        self.asks_whole = may_lack_parts && !self.asks_whole;
        applied
    }

    /// Records that a delta could not be decompressed: the next fetch asks for whole parts,
    /// unless the failed one had asked for them.
    pub fn delta_was_unreadable(&mut self) {
        self.asks_whole = !self.asks_whole;
    }

    fn try_apply(&mut self, delta: Delta) -> Result<bool, Error> {
        let object = Object {
            revision: Revision::ABSENT,
            value: delta.head.clone(),
        };
        let (_, head) = Head::decode(Some(&object))?;
        if head.version <= self.head.version {
            return Ok(false);
        }
        let own: HashMap<_, _> = self.parts().map(|(_, p)| (p.tag, p.content)).collect();
        let base_of = |tag| own.get(&tag).or_else(|| self.history.get(tag)).cloned();
        let contents = delta.into_contents(&base_of)?;
        let mut cache = self.cache.clone();
        for content in contents {
            cache.insert(content);
        }
        // Parts that this node had when it sent its tags, and has replaced since.
        for digest in cache.missing(&head) {
            if let Some(content) = self.history.get(tag_of(&digest)) {
                cache.insert(content.clone());
            }
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
        self.remember_parts_without(head);
        self.head = head.clone();
        self.cache = cache;
        self.config = Arc::new(config);
        self.cached_delta = None;
        Ok(true)
    }

    /// Adds the parts that `next` does not have to the history.
    fn remember_parts_without(&mut self, next: &Head) {
        let kept: HashSet<_> = next.digests().map(tag_of).collect();
        let replaced: Vec<_> = self
            .parts()
            .filter(|(_, p)| !kept.contains(&p.tag))
            .collect();
        for (id, part) in replaced {
            self.history.add(id, part);
        }
    }
}
