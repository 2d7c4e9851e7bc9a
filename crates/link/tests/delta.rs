//! Deltas contain only missing parts, and malformed ones are refused; the token
//! bucket of the region link keeps its rate.

use assert_matches::assert_matches;
use bytes::Bytes;
use knapweed_link::delta::Error;
use knapweed_link::{Delta, LinkBudget, Outgoing, Part, PartTag};
use knapweed_world::Time;
use proptest::prelude::*;

#[test]
fn a_delta_leaves_out_what_the_receiver_has() {
    let parts = ["calendar", "switching", "surveys"].map(|content| Outgoing {
        part: Part::from(Bytes::from(content)),
        base: None,
    });
    let have = [PartTag::of(b"calendar"), PartTag::of(b"old")];
    let delta = Delta::between(Bytes::from("head"), parts, &have.into());
    insta::assert_debug_snapshot!(delta);
    let compressed = delta.compress().expect("a short delta");
    assert_eq!(Delta::decompress(&compressed), Ok(delta));
}

/// Guards against a decompression bomb: a small message that expands until memory
/// is exhausted.
#[test]
fn a_delta_that_unpacks_beyond_the_limit_is_refused() {
    let zeros = vec![0; 64 * 1024 * 1024];
    let compressed = zstd::encode_all(&zeros[..], 1).expect("compressed zeros");
    assert!(compressed.len() < 100_000);
    assert_matches!(Delta::decompress(&compressed), Err(Error::TooLong));
}

#[test]
fn a_budget_keeps_its_rate() {
    let budget = LinkBudget::new(1_000_000);
    let mut taken = 0;
    for ms in 0..2_000 {
        while budget.try_take(1_000, Time::from_millis(1_000 + ms)) {
            taken += 1_000;
        }
    }
    // 2 s at the configured rate plus the burst of 200 ms.
    assert!((2_150_000..=2_200_000).contains(&taken), "took {taken}");
}

proptest! {
    #[test]
    fn any_bytes_are_refused_or_a_delta(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = Delta::decompress(&bytes);
    }
}
