//! Patches make the content that they were made from, and anything else is refused.

use assert_matches::assert_matches;
use bytes::Bytes;
use knapweed_link::delta::{Error, MAX_DELTA_LEN};
use knapweed_link::{Delta, Part, PartTag, Patch};
use proptest::prelude::*;
use serde::{Deserialize, Serialize};

/// A patch as it is encoded, for bytes that no sender would make.
#[derive(Deserialize, Serialize)]
struct RawPatch {
    base: PartTag,
    steps: Vec<u8>,
    inserted: Vec<u8>,
}

fn patch_of(steps: Vec<u8>, inserted: Vec<u8>) -> Patch {
    let raw = RawPatch {
        base: PartTag(0),
        steps,
        inserted,
    };
    let encoded = postcard::to_stdvec(&raw).expect("an encoded patch");
    postcard::from_bytes(&encoded).expect("a patch")
}

/// Entries that repeat, so that contents have chunks in common, and some more than once.
fn content() -> impl Strategy<Value = Vec<u8>> {
    let entry = prop_oneof![
        (0..12_u8, 0..3_u8).prop_map(|(key, value)| format!("\"{key}\":{{\"at\":{value}}},")),
        "[},{a]{0,6}",
    ];
    proptest::collection::vec(entry, 0..30).prop_map(|entries| entries.concat().into_bytes())
}

fn entries(keys: impl Iterator<Item = usize>) -> String {
    let entries: Vec<_> = keys
        .map(|key| format!("\"key-{key:04}\":{{\"path\":\"/{key}\",\"to\":[{{\"a\":1}}]}}"))
        .collect();
    format!("{{{}}}", entries.join(","))
}

/// Guards against a patch that repeats what has not changed.
#[test]
fn a_patch_holds_the_entries_that_changed() {
    let base = entries((0..400).filter(|key| key % 10 != 7));
    let changes = [
        ("added", entries(0..400)),
        ("removed", entries((0..400).filter(|key| key % 10 > 3))),
        ("unchanged", base.clone()),
        ("replaced", entries(1_000..1_400)),
    ];
    let lens = changes.map(|(change, content)| {
        let patch = Patch::between(PartTag(0), base.as_bytes(), content.as_bytes());
        let len = patch.map(|p| postcard::to_stdvec(&p).expect("an encoded patch").len());
        format!("{change}: {len:?} of {} bytes", content.len())
    });
    insta::assert_snapshot!(lens.join("\n"));
}

/// Guards against a short message that copies its base until memory is exhausted.
#[test]
fn patches_that_make_more_than_the_limit_are_refused() {
    let base = Part::from(Bytes::from(vec![1; MAX_DELTA_LEN / 4]));
    // The base is one chunk.
    let copy = postcard::to_stdvec(&(0_i32, 1_u32, 0_u32)).expect("a step");
    let again = postcard::to_stdvec(&(-1_i32, 1_u32, 0_u32)).expect("a step");
    let patch = patch_of([copy, again].concat(), Vec::new());
    let delta = |count| Delta {
        head: Bytes::new(),
        parts: Vec::new(),
        patches: vec![patch.clone(); count],
    };
    let base_of = |_| Some(base.content.clone());
    assert_matches!(delta(2).into_contents(&base_of), Ok(contents) if contents.len() == 2);
    assert_eq!(delta(3).into_contents(&base_of), Err(Error::TooLong));
    let unknown = delta(1).into_contents(&|_| None);
    assert_eq!(unknown, Err(Error::UnknownBase(PartTag(0))));
}

proptest! {
    /// Guards against a changed part that the receiver cannot rebuild.
    #[test]
    fn a_patch_makes_the_content(base in content(), content in content()) {
        if let Some(patch) = Patch::between(PartTag(0), &base, &content) {
            let made = patch.apply(&base, content.len());
            prop_assert_eq!(made, Ok(Bytes::from(content.clone())));
            prop_assert_eq!(patch.apply(&base, content.len() - 1), Err(Error::TooLong));
        }
    }

    /// Guards against bytes of a peer that make a node panic or use memory without bound.
    #[test]
    fn any_steps_are_refused_or_make_a_bounded_content(
        steps in proptest::collection::vec(any::<u8>(), 0..60),
        inserted in content(),
        base in content(),
    ) {
        let made = patch_of(steps, inserted).apply(&base, 1_000);
        prop_assert!(made.map_or(true, |content| content.len() <= 1_000));
    }

    /// The same for a patch of a sender in which one byte has changed.
    #[test]
    fn a_changed_byte_is_refused_or_makes_a_bounded_content(
        base in content(),
        content in content(),
        at in any::<prop::sample::Index>(),
        change in 1_u8..,
    ) {
        if let Some(patch) = Patch::between(PartTag(0), &base, &content) {
            let mut encoded = postcard::to_stdvec(&patch).expect("an encoded patch");
            let at = at.index(encoded.len());
            encoded[at] ^= change;
            if let Ok(changed) = postcard::from_bytes::<Patch>(&encoded) {
                let made = changed.apply(&base, 10_000);
                prop_assert!(made.map_or(true, |content| content.len() <= 10_000));
            }
        }
    }
}
