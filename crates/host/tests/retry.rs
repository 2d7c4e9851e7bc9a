//! Which failures are retried, and how many times.

use knapweed_host::retry::{Body, Decision, Failure, Options, RetryPolicy, Stop, return_wait};
use knapweed_host::{Answer, NotRun, Outcome, Unknown};
use knapweed_world::Time;
use knapweed_world::service::RetryTokens;
use std::fmt::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

fn failure(outcome: Outcome) -> Failure {
    Failure {
        depth: 1,
        tries: 1,
        sends: u8::from(knapweed_host::retry::may_have_arrived(outcome)),
        max_sends: 2,
        outcome,
        idempotent: false,
        body: Body::Unread,
        arrived: Time(0),
        objective: Some(Time::from_millis(80)),
        deadline: Time::from_millis(100),
    }
}

fn tokens(policy: &RetryPolicy, requests: u32) -> RetryTokens {
    let tokens = RetryTokens::default();
    for _ in 0..requests {
        policy.arrived(1, &tokens);
    }
    tokens
}

/// Guards against running a request again that may have run and is not idempotent
/// (hazard H7).
#[test]
fn decisions_by_outcome() {
    let outcomes = [
        Outcome::Answered(Answer::Complete),
        Outcome::Answered(Answer::NotStored),
        Outcome::NotRun(NotRun::Overloaded),
        Outcome::NotRun(NotRun::Draining),
        Outcome::NotRun(NotRun::ConnectFailed),
        Outcome::NotRun(NotRun::CrashesServers),
        Outcome::NotRun(NotRun::TooDeep),
        Outcome::Unknown(Unknown::ConnectionLost),
        Outcome::Unknown(Unknown::ServerCrashed),
        Outcome::Unknown(Unknown::Truncated),
        Outcome::Unknown(Unknown::ForeignResponse),
        Outcome::Unknown(Unknown::DeadlinePassed),
    ];
    let mut out = String::new();
    for outcome in outcomes {
        writeln!(out, "{outcome}").expect("a string");
        for (depth, idempotent) in [(1, false), (1, true), (2, false), (2, true)] {
            let failure = Failure {
                depth,
                idempotent,
                ..failure(outcome)
            };
            let policy = RetryPolicy::default();
            let decision = policy.decide(&failure, &tokens(&policy, 100), Time(0));
            writeln!(
                out,
                "  depth {depth}, idempotent {idempotent}: {decision:?}"
            )
            .expect("a string");
        }
    }
    insta::assert_snapshot!(out);
}

#[test]
fn limits_of_one_request() {
    let policy = RetryPolicy::default();
    let tokens = tokens(&policy, 100);
    let base = failure(Outcome::NotRun(NotRun::Overloaded));
    let at = |failure: Failure, ms| policy.decide(&failure, &tokens, Time::from_millis(ms));
    assert_eq!(at(base, 0), Decision::Retry);
    assert_eq!(at(base, 100), Decision::Stop(Stop::DeadlinePassed));
    let consumed = Failure {
        body: Body::Consumed,
        ..base
    };
    assert_eq!(at(consumed, 0), Decision::Stop(Stop::BodyConsumed));
    // Guards against a second wait in a queue before the caller gets the refusal
    // (requirement B6).
    assert_eq!(at(base, 10), Decision::Retry);
    assert_eq!(at(base, 11), Decision::Stop(Stop::Queued));
    let refused = failure(Outcome::NotRun(NotRun::Draining));
    assert_eq!(at(refused, 11), Decision::Retry);
    let fourth = Failure {
        tries: 4,
        ..refused
    };
    assert_eq!(at(fourth, 0), Decision::Stop(Stop::MaxTries));
    let sent_twice = Failure {
        sends: 2,
        ..failure(Outcome::NotRun(NotRun::ShedByServer))
    };
    assert_eq!(at(sent_twice, 0), Decision::Stop(Stop::MaxTries));
}

/// Guards against a request without an objective that waits in the queues of several backend
/// servers, one after the other, before the caller gets the refusal (requirement B6).
#[test]
fn a_request_without_an_objective_waits_in_one_queue() {
    let policy = RetryPolicy::default();
    let tokens = tokens(&policy, 100);
    let base = Failure {
        objective: None,
        deadline: Time::from_millis(2_000),
        ..failure(Outcome::NotRun(NotRun::Overloaded))
    };
    let at = |failure: Failure, ms| policy.decide(&failure, &tokens, Time::from_millis(ms));
    assert_eq!(at(base, 3), Decision::Retry);
    assert_eq!(at(base, 40), Decision::Stop(Stop::Queued));
    let draining = Failure {
        outcome: Outcome::NotRun(NotRun::Draining),
        ..base
    };
    assert_eq!(at(draining, 40), Decision::Retry);
}

/// Guards against retries above 10% of the requests when many threads share the budget
/// (requirement B6).
#[test]
fn threads_share_one_budget() {
    let policy = Arc::new(RetryPolicy::new(Options::default().burst(1_000_000)));
    let tokens = Arc::new(RetryTokens::default());
    let retries = Arc::new(AtomicU64::new(0));
    let threads: Vec<_> = (0..8)
        .map(|_| {
            let (policy, tokens, retries) = (policy.clone(), tokens.clone(), retries.clone());
            std::thread::spawn(move || {
                for _ in 0..10_000 {
                    policy.arrived(1, &tokens);
                    let failure = failure(Outcome::NotRun(NotRun::ShedByServer));
                    if policy.decide(&failure, &tokens, Time(0)) == Decision::Retry {
                        retries.fetch_add(1, Ordering::Relaxed);
                    }
                }
            })
        })
        .collect();
    for thread in threads {
        thread.join().expect("a thread without a panic");
    }
    assert_eq!(retries.load(Ordering::Relaxed), 8_000);
}

/// Guards against a burst of retries by all nodes at once after a long time without
/// failures.
#[test]
fn all_nodes_together_save_up_a_bounded_number() {
    let policy = RetryPolicy::new(Options::default().burst(60));
    for (nodes, expected) in [(1, 60), (12, 5), (100, 1)] {
        policy.share_among(nodes);
        let tokens = tokens(&policy, 10_000);
        let failure = failure(Outcome::NotRun(NotRun::ShedByServer));
        let retries = (0..100)
            .filter(|_| policy.decide(&failure, &tokens, Time(0)) == Decision::Retry)
            .count();
        assert_eq!(retries, expected, "{nodes} nodes");
    }
}

/// Guards against an overload that uses up the budget for retries of lost requests.
#[test]
fn refusals_for_lack_of_capacity_have_tokens_of_their_own() {
    let policy = RetryPolicy::default();
    let tokens = tokens(&policy, 100);
    let overloaded = failure(Outcome::NotRun(NotRun::Overloaded));
    let retried = (0..100)
        .filter(|_| policy.decide(&overloaded, &tokens, Time(0)) == Decision::Retry)
        .count();
    assert_eq!(retried, 10);
    let shed = failure(Outcome::NotRun(NotRun::ShedByServer));
    assert_eq!(policy.decide(&shed, &tokens, Time(0)), Decision::Retry);
}

/// Guards against callers that are told to return only after their objective, and
/// against callers that return all at once (load pattern: backend servers refuse half of
/// their requests by themselves).
#[test]
fn callers_return_within_their_objective() {
    let left = Duration::from_millis(400);
    assert_eq!(return_wait(Some(left), 0.0), Duration::from_millis(50));
    assert_eq!(return_wait(Some(left), 1.0), Duration::from_millis(150));
    let long = Duration::from_secs(60);
    assert_eq!(return_wait(Some(long), 0.5), return_wait(None, 0.5));
}
