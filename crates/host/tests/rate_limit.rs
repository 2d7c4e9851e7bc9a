//! Requests per second that a backend server takes: the limit holds, and its end is noticed.

use knapweed_host::Admission;
use knapweed_host::admission::{
    Arrival, LimitChange, NamedLimit, ObjectiveQueue, Options, Verdict, WaiterKey,
};
use knapweed_world::load::RequestRate;
use knapweed_world::{Flow, Rank, Time};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

/// Window in which the requests of a limited backend server are counted.
const WINDOW_MS: u64 = 4_000;
/// Requests in a window beyond one and a half times the limit.
const SLACK: f64 = 5.0;

fn ms(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::per_second(per_second).expect("a rate")
}

/// A load on one limited backend server.
struct Load {
    label: &'static str,
    /// Time between two arrivals at this time, in milliseconds; `None` while idle.
    gap_ms: fn(u64) -> Option<u64>,
    /// The limit at this time.
    limit: fn(u64) -> f64,
}

/// Sends of one run of a load, in milliseconds, with the number of refused requests.
struct Run {
    sends: Vec<u64>,
    refused: usize,
}

/// Runs a load for 30 s on a server with 6 slots and a service time of 100 ms.
fn run(load: &Load) -> Run {
    const SERVICE_MS: u64 = 100;
    let mut queue = ObjectiveQueue::new(Options::new(6));
    let mut ends: BTreeMap<u64, u32> = BTreeMap::new();
    let mut waiting: Vec<WaiterKey> = Vec::new();
    let mut run = Run {
        sends: Vec::new(),
        refused: 0,
    };
    let mut limit = None;
    let mut next_arrival = 0;
    for at in 0..30_000 {
        let now = ms(at);
        let mut released = Vec::new();
        if limit != Some((load.limit)(at)) {
            limit = Some((load.limit)(at));
            let change = LimitChange::Limited(rate((load.limit)(at)));
            released.push(queue.limit_rate(change, now));
        }
        for _ in 0..ends.remove(&at).unwrap_or(0) {
            let took = Some(Duration::from_millis(SERVICE_MS));
            released.push(queue.finish(Flow(1), took, now));
        }
        if queue.next_expiry().is_some_and(|due| due <= now) {
            released.push(queue.expire(now));
        }
        for released in released {
            for waiter in released.run {
                waiting.retain(|w| *w != waiter);
                run.sends.push(at);
                *ends.entry(at + SERVICE_MS).or_default() += 1;
            }
            run.refused += released.shed.len();
            waiting.retain(|w| !released.shed.iter().any(|s| s.waiter == *w));
        }
        if at < next_arrival {
            continue;
        }
        let Some(gap_ms) = (load.gap_ms)(at) else {
            continue;
        };
        next_arrival = at + gap_ms;
        let arrival = Arrival {
            flow: Flow(1),
            organisation: None,
            rank: Rank(1),
            objective: Some(ms(at + 800)),
            deadline: ms(at + 3_000),
            exclusive: false,
        };
        match queue.arrive(arrival, now) {
            Verdict::Admit => {
                run.sends.push(at);
                *ends.entry(at + SERVICE_MS).or_default() += 1;
            }
            Verdict::Queue { waiter, displaced } => {
                waiting.push(waiter);
                run.refused += displaced.len();
            }
            Verdict::Shed(_) => run.refused += 1,
        }
    }
    run
}

/// Most sends in a window, as a share of those that the rule allows.
fn worst_window(load: &Load, sends: &[u64]) -> f64 {
    let allowed = |start: u64| {
        let limits = (start..start + WINDOW_MS).map(load.limit);
        1.5 * limits.sum::<f64>() / 1_000.0 + SLACK
    };
    let counts = sends.iter().enumerate().map(|(i, start)| {
        let end = sends.partition_point(|at| *at < start + WINDOW_MS);
        (end - i) as f64 / allowed(*start)
    });
    counts.fold(0.0, f64::max)
}

/// Guards against more requests than a backend server has named as its limit, and against a limit
/// that leaves most of what it allows unused.
#[test]
fn the_limit_holds_under_every_load() {
    let loads = [
        Load {
            label: "steady load of three times the limit",
            gap_ms: |_| Some(23),
            limit: |_| 14.4,
        },
        Load {
            label: "a limit below one request per second",
            gap_ms: |_| Some(10),
            limit: |_| 0.3,
        },
        Load {
            label: "a limit of zero",
            gap_ms: |_| Some(10),
            limit: |_| 0.0,
        },
        Load {
            label: "a limit that changes each second",
            gap_ms: |_| Some(10),
            limit: |at| if at / 1_000 % 2 == 0 { 20.0 } else { 2.0 },
        },
        Load {
            label: "ten idle seconds, then a burst",
            gap_ms: |at| (at > 10_000).then_some(1),
            limit: |_| 16.2,
        },
        Load {
            label: "a limit above the load",
            gap_ms: |_| Some(100),
            limit: |_| 50.0,
        },
    ];
    let mut out = String::new();
    for load in loads {
        let run = run(&load);
        let worst = worst_window(&load, &run.sends);
        assert!(worst <= 1.0, "{}: {worst}", load.label);
        let sent = run.sends.len();
        writeln!(
            out,
            "{}: {sent} sent, {} refused, at most {:.0}% of what is allowed in 4 s",
            load.label,
            run.refused,
            worst * 100.0
        )
        .expect("a string");
    }
    insta::assert_snapshot!(out);
}

/// Guards against a limit that an overtaken answer ends, and one that never ends.
#[test]
fn a_limit_ends_with_an_answer_to_a_later_request() {
    let mut limit = NamedLimit::default();
    let named = Some(rate(5.0));
    assert_eq!(limit.answered(None, ms(0), ms(10)), None);
    assert_eq!(
        limit.answered(named, ms(0), ms(20)),
        Some(LimitChange::Limited(rate(5.0)))
    );
    assert_eq!(limit.answered(named, ms(0), ms(30)), None, "no change");
    assert_eq!(
        limit.answered(None, ms(25), ms(40)),
        None,
        "sent before the last one that named it"
    );
    assert_eq!(
        limit.answered(None, ms(30), ms(50)),
        Some(LimitChange::Unlimited)
    );
    assert_eq!(limit.answered(None, ms(60), ms(70)), None);
}

/// Guards against an older limit, reported by another host, that replaces what the server says.
#[test]
fn a_reported_limit_counts_until_the_server_names_one() {
    let mut limit = NamedLimit::default();
    assert_eq!(
        limit.reported(rate(5.0), ms(0)),
        Some(LimitChange::Limited(rate(5.0)))
    );
    assert_eq!(limit.reported(rate(9.0), ms(1)), None);
    assert_eq!(
        limit.answered(Some(rate(7.0)), ms(1), ms(2)),
        Some(LimitChange::Limited(rate(7.0)))
    );
    assert_eq!(limit.reported(rate(5.0), ms(3)), None);
}
