//! Tokens of one organisation on one host.

use crate::sim::quota;
use knapweed_host::quota::message::Parcel;
use knapweed_host::quota::{Account, Supply, Terms, Tolerance};
use knapweed_world::{QuotaTokens, Time};
use std::sync::Arc;
use std::time::Duration;

fn fresh(age_ms: u32) -> [Parcel; 1] {
    let amount = 1_000_000;
    [Parcel { age_ms, amount }]
}

/// Guards against a grant that extends the use of tokens which expire meanwhile, while the
/// control thread is late.
#[test]
fn a_grant_does_not_extend_older_tokens() {
    let tokens = Arc::new(QuotaTokens::default());
    let terms = Terms::new(&quota(20.0, 20), &Tolerance::default());
    let mut account = Account::new(Arc::clone(&tokens), terms);
    account.set_supply(Supply::Scarce, 0);
    // The lifetime is 1,800 ms: the first token expires at 10,450 ms.
    account.credit(Time::from_millis(10_000), &fresh(1_350), Duration::ZERO);
    account.credit(Time::from_millis(10_350), &fresh(0), Duration::ZERO);
    let late = Time::from_millis(10_700);
    assert!(tokens.try_take(late).is_ok());
    assert!(tokens.try_take(late).is_err());
}
