//! Buffered bodies share a budget of bytes.

use assert_matches::assert_matches;
use knapweed_host::ByteBudget;
use knapweed_host::byte_budget::Exhausted;
use proptest::prelude::*;
use std::sync::Arc;

/// Guards against bytes that are not returned, so that the budget is used up for ever.
#[test]
fn bytes_are_returned_on_drop() {
    let budget = Arc::new(ByteBudget::new(10));
    let mut first = budget.reservation();
    let mut second = budget.reservation();
    assert_matches!(first.grow(6), Ok(()));
    let exhausted = |is_first| Exhausted {
        used: 6,
        limit: 10,
        is_first,
    };
    assert_eq!(second.grow(5), Err(exhausted(true)));
    // Only the first failure in a row is logged.
    assert_eq!(second.grow(5), Err(exhausted(false)));
    drop(first);
    assert_matches!(second.grow(5), Ok(()));
    assert_eq!(budget.used(), 5);
}

proptest! {
    /// Guards against a sum of reservations that exceeds the budget.
    #[test]
    fn the_sum_of_reservations_stays_within_the_budget(
        steps in prop::collection::vec((0..8_usize, 0..2_000_usize, any::<bool>()), 1..200),
    ) {
        let budget = Arc::new(ByteBudget::new(5_000));
        let mut reserved: Vec<_> = (0..8).map(|_| (budget.reservation(), 0)).collect();
        for (index, len, is_dropped) in steps {
            let (reservation, sum) = &mut reserved[index];
            if is_dropped {
                (*reservation, *sum) = (budget.reservation(), 0);
            } else if reservation.grow(len).is_ok() {
                *sum += len;
            }
            let expected: usize = reserved.iter().map(|(_, sum)| sum).sum();
            prop_assert_eq!(budget.used(), expected);
            prop_assert!(expected <= 5_000);
        }
    }
}
