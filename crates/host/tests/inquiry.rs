//! Statuses that an egress reports about a send, and the outcomes derived from them.

use bytes::Bytes;
use knapweed_host::inquiry::{
    Begin, ExchangeStore, Inquiry, MAX_BODY, Options, SendResult, SendStatus, Step, StoredResponse,
};
use knapweed_host::{Answer, NotRun, Outcome, RequestId, SendId, Unknown};
use knapweed_world::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

fn s(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

fn send(attempt: u64) -> SendId {
    let request = RequestId([1; 16]);
    SendId { request, attempt }
}

fn response(len: usize) -> Arc<StoredResponse> {
    Arc::new(StoredResponse {
        status: 200,
        headers: vec![(Bytes::from_static(b"etag"), Bytes::from_static(b"7"))],
        body: vec![b'x'; len].into(),
    })
}

fn store(options: Options) -> ExchangeStore {
    ExchangeStore::new(options, s(0))
}

#[test]
fn a_finished_send_is_found_with_its_response() {
    let mut store = store(Options::default());
    assert_eq!(store.begin(send(1)), Begin::Run);
    assert_eq!(
        store.inquire(send(1), Duration::ZERO, s(10)),
        SendStatus::Running
    );
    store.finish(send(1), SendResult::Answered(Some(response(10))), s(11));
    let found = store.inquire(send(1), Duration::ZERO, s(12));
    assert_eq!(found, SendStatus::Complete(Some(response(10))));
    assert_eq!(store.begin(send(1)), Begin::Repeated);
}

/// Guards against a send that runs after its status was reported as `never` (hazard H6).
#[test]
fn a_send_declared_as_never_run_is_refused_for_the_retention() {
    let mut store = store(Options::default());
    assert_eq!(
        store.inquire(send(1), Duration::ZERO, s(10)),
        SendStatus::Never
    );
    store.tick(s(610));
    assert_eq!(store.begin(send(1)), Begin::Refuse);
    assert_eq!(
        store.inquire(send(1), Duration::ZERO, s(610)),
        SendStatus::Never
    );
    store.tick(s(611));
    assert!(store.is_empty());
}

/// Guards against the status `never` for a send that ran before the egress started.
#[test]
fn a_new_egress_does_not_report_never_for_older_sends() {
    let mut store = store(Options::default());
    let age = Duration::from_secs(6);
    assert_eq!(store.inquire(send(1), age, s(10)), SendStatus::Forgotten);
    assert_eq!(store.inquire(send(2), age, s(12)), SendStatus::Never);
}

/// Guards against unbounded memory use, and against the status `never` for a send whose
/// record was dropped for lack of space.
#[test]
fn random_sends_stay_in_bounds_and_never_is_true() {
    for seed in 0..50 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut store = store(Options::default().max_sends(50).max_bytes(100_000));
        let mut ran = HashSet::new();
        let mut running = Vec::new();
        let (mut now, mut nevers) = (s(100), 0);
        for attempt in 0..2_000 {
            now = now.after(Duration::from_millis(rng.random_range(0..400)));
            if rng.random_range(0..4) > 0 && store.begin(send(attempt)) == Begin::Run {
                ran.insert(attempt);
                running.push(attempt);
            }
            if running.len() > 5 {
                let ended = running.swap_remove(rng.random_range(0..running.len()));
                let len = rng.random_range(0..MAX_BODY + 10_000);
                store.finish(send(ended), SendResult::Answered(Some(response(len))), now);
            }
            // Inquires about sends of the last 4 s: each step takes 0.2 s on average.
            let asked = attempt.saturating_sub(rng.random_range(0..20));
            let age = Duration::from_millis(400 * (attempt - asked));
            if store.inquire(send(asked), age, now) == SendStatus::Never {
                nevers += 1;
                assert!(!ran.contains(&asked), "seed {seed}: {asked} ran");
                assert_eq!(store.begin(send(asked)), Begin::Refuse);
            }
            store.tick(now);
            assert!(store.len() <= 50 + 50 + running.len());
            assert!(store.bytes() <= 100_000);
        }
        assert!(nevers > 0, "seed {seed}: no send was declared as never run");
    }
}

/// Guards against an outcome that the status of the send does not prove.
#[test]
fn outcomes_by_finding() {
    let lost = Outcome::Unknown(Unknown::ConnectionLost);
    let not_stored = Outcome::Answered(Answer::NotStored);
    let cases = [
        (
            SendStatus::Complete(Some(response(1))),
            0,
            Step::Deliver(response(1)),
        ),
        (SendStatus::Complete(None), 0, Step::End(not_stored)),
        (
            SendStatus::Never,
            5,
            Step::End(Outcome::NotRun(NotRun::NeverRan)),
        ),
        (SendStatus::Never, 6, Step::End(lost)),
        (
            SendStatus::NotRun(NotRun::Overloaded),
            0,
            Step::End(Outcome::NotRun(NotRun::Overloaded)),
        ),
        (
            SendStatus::Unknown(Unknown::ServerCrashed),
            0,
            Step::End(Outcome::Unknown(Unknown::ServerCrashed)),
        ),
        (SendStatus::Forgotten, 0, Step::End(lost)),
    ];
    for (send_status, way_s, expected) in cases {
        let (mut inquiry, step) = Inquiry::start(s(1), s(20), s(2));
        assert_eq!(
            step,
            Step::Ask {
                age: Duration::from_secs(1)
            }
        );
        assert_eq!(inquiry.status_received(send_status, s(2 + way_s)), expected);
    }
}

#[test]
fn a_running_send_is_asked_about_until_the_deadline() {
    let ms = Time::from_millis;
    let (mut inquiry, _) = Inquiry::start(ms(0), ms(1_200), ms(400));
    assert_eq!(
        inquiry.status_received(SendStatus::Running, ms(410)),
        Step::Wait(ms(900))
    );
    let age = Duration::from_millis(900);
    assert_eq!(inquiry.wake(ms(900)), Step::Ask { age });
    assert_eq!(
        inquiry.status_received(SendStatus::Running, ms(910)),
        Step::Wait(ms(1_200))
    );
    let lost = Outcome::Unknown(Unknown::ConnectionLost);
    assert_eq!(inquiry.wake(ms(1_200)), Step::End(lost));
}
