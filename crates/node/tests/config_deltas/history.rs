//! The earlier contents that a node keeps are bounded, and the newest ones stay.

use bytes::Bytes;
use knapweed_contract::parts::PartId;
use knapweed_link::{Part, PartTag};
use knapweed_node::control::part_history::{MAX_HISTORY_LEN, MAX_HISTORY_PARTS, PartHistory};
use proptest::prelude::*;
use std::collections::HashSet;

proptest! {
    /// Guards against a history that grows until a small host has no memory, and against
    /// one that drops more than it must.
    #[test]
    fn the_newest_contents_within_both_bounds_stay(
        lens in prop_oneof![
            proptest::collection::vec(0..2 * MAX_HISTORY_LEN, 0..10),
            proptest::collection::vec(0..MAX_HISTORY_LEN / 20, 0..100),
            proptest::collection::vec(0..2_000_usize, 0..2 * MAX_HISTORY_PARTS),
        ],
    ) {
        let zeros = Bytes::from(vec![0; 2 * MAX_HISTORY_LEN]);
        let mut history = PartHistory::default();
        for (tag, len) in (0..).zip(&lens) {
            let part = Part { tag: PartTag(tag), content: zeros.slice(..*len) };
            history.add(PartId::Routes(tag as u8 % 16), part);
        }
        let mut sum = 0;
        let newest = lens.iter().rev().take(MAX_HISTORY_PARTS).take_while(|len| {
            sum += **len;
            sum <= MAX_HISTORY_LEN
        });
        let expected = newest.count();
        let kept: Vec<_> = (0..lens.len())
            .filter(|tag| history.get(PartTag(*tag as u32)).is_some())
            .collect();
        let newest: Vec<_> = (lens.len() - expected..lens.len()).collect();
        prop_assert_eq!(kept, newest);
    }
}

/// Guards against a patch of an old content where the receiver has a newer one, and of a
/// content that it does not have.
#[test]
fn the_base_is_the_newest_content_that_the_receiver_has() {
    let mut history = PartHistory::default();
    for (tag, group) in [(1, 0), (2, 0), (3, 0), (4, 1), (5, 2)] {
        let content = Bytes::from(format!("content {tag}"));
        let tag = PartTag(tag);
        history.add(PartId::Routes(group), Part { tag, content });
    }
    let have = HashSet::from([1, 2, 4, 6].map(PartTag));
    insta::assert_debug_snapshot!(history.newest_of(&have));
}
