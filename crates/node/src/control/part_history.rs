//! Earlier contents of parts, against which changed parts are encoded.

use bytes::Bytes;
use knapweed_contract::parts::PartId;
use knapweed_link::{Part, PartTag};
use std::collections::{BTreeMap, HashSet, VecDeque};

/// Maximum length of all earlier contents, in bytes; the 16 groups of 6,400 routes have 1.4 MB.
pub const MAX_HISTORY_LEN: usize = 4 * 1024 * 1024;
/// Maximum number of earlier contents.
pub const MAX_HISTORY_PARTS: usize = 1_024;

/// Contents that parts of the configuration had before, oldest first. Beyond
/// [`MAX_HISTORY_LEN`] or [`MAX_HISTORY_PARTS`], the oldest ones are dropped.
#[derive(Debug, Default)]
pub struct PartHistory {
    parts: VecDeque<(PartId, Part)>,
    len: usize,
}

impl PartHistory {
    /// Adds the content that a part had until now.
    pub fn add(&mut self, id: PartId, part: Part) {
        self.len += part.content.len();
        self.parts.push_back((id, part));
        while self.len > MAX_HISTORY_LEN || self.parts.len() > MAX_HISTORY_PARTS {
            let Some((_, oldest)) = self.parts.pop_front() else {
                break;
            };
            self.len -= oldest.content.len();
        }
    }

    /// Returns the newest content of each part among those that are tagged in `have`.
    pub fn newest_of(&self, have: &HashSet<PartTag>) -> BTreeMap<&PartId, &Part> {
        let known = self.parts.iter().filter(|(_, p)| have.contains(&p.tag));
        known.map(|(id, part)| (id, part)).collect()
    }

    /// Returns the newest content with this tag.
    pub fn get(&self, tag: PartTag) -> Option<&Bytes> {
        let newest = self.parts.iter().rfind(|(_, p)| p.tag == tag);
        newest.map(|(_, part)| &part.content)
    }
}
