//! Tokens of an organisation on the request path.

use knapweed_world::{QuotaTokens, Time, Tokens};
use std::time::Duration;

const NOW: Time = Time::from_millis(10_000);

fn tokens(n: u32) -> QuotaTokens {
    let tokens = QuotaTokens::default();
    tokens.publish_usable(NOW.after(Duration::from_millis(400)), NOW);
    tokens.publish_interval(Duration::from_millis(250));
    tokens.credit(Tokens::whole(n));
    tokens
}

/// Guards against refused callers who are all told the same time, and come back together.
#[test]
fn refused_callers_come_back_in_turn() {
    let tokens = tokens(1);
    assert!(tokens.try_take(NOW).is_ok());
    let refused = (0..50).map(|_| tokens.try_take(NOW).expect_err("refused"));
    let waits: Vec<_> = refused.map(|wait| wait.as_millis()).collect();
    assert_eq!(waits[..4], [250, 500, 750, 1_000]);
    assert_eq!(*waits.iter().max().expect("some"), 10_000);
    assert!(waits.is_sorted());
}

/// Guards against tokens that are used after their expiry while the control thread stands
/// still.
#[test]
fn tokens_are_not_used_without_a_tick() {
    let tokens = tokens(5);
    let late = NOW.after(Duration::from_millis(401));
    assert!(tokens.try_take(late).is_err());
    tokens.publish_overdraft(Tokens::ONE);
    assert!(tokens.try_take(late).is_ok());
    assert_eq!(tokens.balance(), Tokens(-Tokens::ONE.0));
    assert!(tokens.try_take(late).is_err());
}

/// Guards against a token that comes back twice: for a request that was admitted by
/// overdraft, and by the payment of the debt.
#[test]
fn a_debt_is_returned_once() {
    let tokens = tokens(1);
    tokens.publish_overdraft(Tokens::ONE);
    let paid = tokens.try_take(NOW).expect("a token");
    let borrowed = tokens.try_take(NOW).expect("an overdraft");
    tokens.give_back(paid);
    assert_eq!(tokens.take_returned(), Some((NOW, Tokens::ONE)));
    tokens.credit(Tokens::ONE);
    assert_eq!(tokens.balance(), Tokens::ZERO);
    tokens.give_back(borrowed);
    assert_eq!(tokens.balance(), Tokens::ZERO);
    assert_eq!(tokens.take_returned(), None);
}

/// Guards against threads that take more tokens than there are.
#[test]
fn threads_share_the_tokens() {
    let tokens = tokens(1_000);
    let take = || (0..500).filter(|_| tokens.try_take(NOW).is_ok()).count();
    let taken: usize = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4).map(|_| scope.spawn(take)).collect();
        threads
            .into_iter()
            .map(|t| t.join().expect("no panic"))
            .sum()
    });
    assert_eq!(taken, 1_000);
    assert_eq!(tokens.counts().refused, 1_000);
}
