//! Requests to a cold backend server: the limit holds in any one second, and a backend server
//! counts as cold until it says otherwise.

use knapweed_host::Admission;
use knapweed_host::admission::cold_limit::in_force;
use knapweed_host::admission::{
    Arrival, ColdAllowance, ColdStart, LimitChange, ObjectiveQueue, Options, Verdict,
};
use knapweed_world::{Flow, Rank, RequestRate, Time};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

/// Requests per second of a cold backend server.
const LIMIT: RequestRate = RequestRate(16_000);
/// One and a half times the limit, and 8 requests.
const ALLOWANCE: ColdAllowance = ColdAllowance {
    percent: 50,
    slack: 8,
};

fn ms(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Most requests in one second, and their number, of arrivals every `gap_ms` milliseconds from
/// `idle_ms` until 12 s. The backend server has 8 slots, takes 20 ms for a request, and becomes
/// cold at 1 s.
fn run(gap_ms: u64, idle_ms: u64) -> (usize, usize) {
    let mut queue = ObjectiveQueue::new(Options::new(8));
    let mut ends: BTreeMap<u64, u32> = BTreeMap::new();
    let mut sends = Vec::new();
    for at in 0..12_000 {
        let now = ms(at);
        for _ in 0..ends.remove(&at).unwrap_or(0) {
            queue.finish(Flow(1), Some(Duration::from_millis(20)), now);
        }
        if at == 1_000 {
            queue.limit_rate(in_force(None, Some(LIMIT), ALLOWANCE), now);
        }
        if at < idle_ms || at % gap_ms > 0 {
            continue;
        }
        queue.expire(now);
        if queue.load(Flow(1)).free == 0 {
            continue;
        }
        let arrival = Arrival {
            flow: Flow(1),
            organisation: None,
            rank: Rank(1),
            objective: Some(ms(at + 800)),
            deadline: ms(at + 3_000),
            exclusive: false,
        };
        assert!(matches!(queue.arrive(arrival, now), Verdict::Admit));
        sends.push(at);
        *ends.entry(at + 20).or_default() += 1;
    }
    let cold: Vec<_> = sends.into_iter().filter(|at| *at >= 1_000).collect();
    let in_a_second = |(i, start): (usize, &u64)| {
        let end = cold.partition_point(|at| *at < start + 1_000);
        end - i
    };
    let most = cold.iter().enumerate().map(in_a_second).max();
    (most.unwrap_or(0), cold.len())
}

/// Guards against a cold backend server that gets more requests in some second than it is
/// allowed, under a steady load, a burst after idle time, and a load below the limit.
#[test]
fn the_limit_holds_in_any_second() {
    let mut out = String::new();
    for (label, gap_ms, idle_ms) in [
        ("200 requests per second", 5, 0),
        ("1,000 per second after 10 idle seconds", 1, 10_000),
        ("10 per second", 100, 0),
    ] {
        let (most, sent) = run(gap_ms, idle_ms);
        assert!(most <= 32, "{label}: {most} in one second");
        writeln!(out, "{label}: {sent} sent, at most {most} in a second").expect("a string");
    }
    insta::assert_snapshot!(out);
}

/// Guards against the limit of a cold start that replaces a lower one that the backend server
/// names in its answers, or the other way round.
#[test]
fn the_lower_limit_is_in_force() {
    let named = |rate| Some(RequestRate(rate));
    let both = |named, cold| in_force(named, cold, ALLOWANCE);
    let bounded = |rate| LimitChange::Bounded {
        rate: RequestRate(rate),
        burst: 8,
    };
    assert_eq!(both(None, None), LimitChange::Unlimited);
    assert_eq!(
        both(named(5_000), None),
        LimitChange::Limited(RequestRate(5_000))
    );
    assert_eq!(both(None, Some(LIMIT)), bounded(16_000));
    assert_eq!(both(named(5_000), Some(LIMIT)), bounded(5_000));
    assert_eq!(both(named(50_000), Some(LIMIT)), bounded(16_000));
}

/// Guards against a cold start that ends before the time that the backend server stated, or
/// without a statement.
#[test]
fn a_cold_start_ends_by_statements_only() {
    let stated = ColdStart::stated(Duration::from_millis(800), ms(1_000));
    assert!(stated.is_cold(ms(1_799)));
    assert!(!stated.is_cold(ms(1_800)));
    assert!(!ColdStart::stated(Duration::ZERO, ms(1_000)).is_cold(ms(1_000)));
    assert!(ColdStart::Unstated.is_cold(ms(1_000_000)));
}
