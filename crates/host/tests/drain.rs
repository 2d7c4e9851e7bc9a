//! A leaving node interrupts no request and accepts none after it has stopped.

use knapweed_host::NotRun;
use knapweed_host::drain::{Drain, Next, Options, Phase, StopAction};
use knapweed_world::Time;
use std::fmt::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

fn ms(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Guards against a shutdown that interrupts a running request (hazard H9).
#[test]
fn the_life_of_a_node() {
    let drain = Drain::default();
    let mut out = String::new();
    let mut log = |at: u64, event: &str, result: &dyn std::fmt::Debug| {
        let state = (drain.phase(), drain.running(), drain.is_ready());
        writeln!(out, "{at:>5} ms {event}: {result:?} {state:?}").expect("a string");
    };
    log(0, "arrive", &drain.arrive(ms(0)));
    log(100, "poll", &drain.poll(ms(100)));
    log(1_000, "leave", &drain.leave(ms(1_000)));
    log(1_500, "arrive", &drain.arrive(ms(1_500)));
    log(2_000, "poll", &drain.poll(ms(2_000)));
    log(2_100, "end", &drain.end());
    log(2_500, "poll", &drain.poll(ms(2_500)));
    log(2_600, "arrive", &drain.arrive(ms(2_600)));
    log(9_000, "poll", &drain.poll(ms(9_000)));
    log(9_100, "end", &drain.end());
    log(9_100, "poll", &drain.poll(ms(9_100)));
    log(9_200, "arrive", &drain.arrive(ms(9_200)));
    insta::assert_snapshot!(out);
}

/// Guards against requests that are taken late in the grace period and cut off at its end,
/// without an answer: above all those that must not be repeated.
#[test]
fn late_requests_are_taken_only_if_they_fit_into_the_grace_period() {
    let drain = Drain::new(Options {
        min_wait: Duration::from_millis(2_300),
        max_wait: Duration::from_secs(6),
        grace: Some(Duration::from_secs(10)),
        ..Options::default()
    });
    let check = |at: u64, left: u64, is_idempotent: bool| {
        let taken = drain.check_deadline(ms(at), ms(at + left), is_idempotent);
        taken.map_or("refused", |()| "taken")
    };
    let mut out = String::new();
    let mut row = |at: u64| {
        for left in [1_000, 4_000, 6_000, 9_600] {
            let (repeatable, once) = (check(at, left, true), check(at, left, false));
            let row = format!("{at:>5} ms, may take {left} ms: {repeatable}, once only: {once}");
            writeln!(out, "{row}").expect("a string");
        }
    };
    row(0);
    drain.leave(ms(1_000));
    for at in [1_000, 2_000, 3_299, 3_300, 5_000, 7_000, 9_000] {
        row(at);
    }
    insta::assert_snapshot!(out);
}

#[test]
fn a_second_signal_terminates() {
    let drain = Drain::default();
    assert_eq!(drain.leave(ms(0)), StopAction::Leave);
    assert_eq!(drain.leave(ms(10)), StopAction::Terminate);
}

/// Guards against a node that never stops while requests keep arriving.
#[test]
fn steady_arrivals_delay_the_stop_by_at_most_30_s() {
    let drain = Drain::default();
    drain.leave(ms(0));
    let mut at = 0;
    while drain.arrive(ms(at)).is_ok() {
        drain.end();
        drain.poll(ms(at));
        at += 100;
        assert!(at < 60_000, "still accepting requests");
    }
    assert_eq!(at, 30_100);
    assert_eq!(drain.poll(ms(at)), Next::Exit);
}

/// Guards against a request that a stopped node accepts, and against the end of the
/// last request going unnoticed, when threads race with the shutdown.
#[test]
fn threads_race_with_the_stop() {
    for round in 0..200 {
        let drain = Arc::new(Drain::default());
        let stopped = Arc::new(AtomicBool::new(false));
        let accepted = Arc::new(AtomicU64::new(0));
        let threads: Vec<_> = (0..4)
            .map(|_| {
                let (drain, stopped, accepted) = (drain.clone(), stopped.clone(), accepted.clone());
                std::thread::spawn(move || serve(&drain, &stopped, &accepted))
            })
            .collect();
        drain.leave(ms(0));
        for _ in 0..round {
            std::hint::spin_loop();
        }
        if drain.poll(ms(40_000)) == Next::Exit {
            stopped.store(true, Ordering::SeqCst);
        }
        let noticed = threads.into_iter().map(|t| t.join().expect("no panic"));
        let noticed = noticed.filter(|n| *n).count();
        assert_eq!(drain.phase(), Phase::Stopped, "{noticed} ends were noticed");
        assert_eq!(drain.running(), 0);
    }
}

/// Accepts requests until one is refused; returns whether it saw the last request end.
fn serve(drain: &Drain, stopped: &AtomicBool, accepted: &AtomicU64) -> bool {
    loop {
        match drain.arrive(ms(1)) {
            Err(reason) => {
                assert_eq!(reason, NotRun::NotServing);
                return false;
            }
            Ok(()) => {
                assert!(!stopped.load(Ordering::SeqCst), "accepted after the stop");
                accepted.fetch_add(1, Ordering::SeqCst);
            }
        }
        if drain.end() && drain.poll(ms(40_000)) == Next::Exit {
            stopped.store(true, Ordering::SeqCst);
            return true;
        }
    }
}
