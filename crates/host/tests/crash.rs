//! A request that crashes backend servers crashes at most two.

use knapweed_host::crash::verdicts::Verdicts;
use knapweed_host::crash::{
    CrashId, CrashMemory, CrashRecord, CrashSubjects, RETENTION, Subject, Verdict,
};
use knapweed_host::{NotRun, RequestId, SendId};
use knapweed_world::{Time, UnixMillis};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::fmt::Write;

fn ms(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn crash_subjects(identity: u8, body: &[u8]) -> CrashSubjects {
    CrashSubjects {
        identity: Subject::identity(RequestId([identity; 16])),
        content: Subject::content(b"calendar.example", b"POST", b"/calendar", body),
    }
}

fn crash(n: u64) -> CrashId {
    let request = RequestId([0; 16]);
    CrashId::of(SendId {
        request,
        attempt: n,
    })
}

#[test]
fn from_the_first_crash_to_the_refusal() {
    let mut memory = CrashMemory::default();
    let mut out = String::new();
    let deadline = ms(10_000);
    let mut note = |line: &str, verdict: Verdict| {
        writeln!(out, "{line}: {verdict:?}").expect("a string");
    };
    note(
        "first",
        memory.check(&crash_subjects(1, b"bad"), deadline, ms(0)),
    );
    memory.crashed(&crash_subjects(1, b"bad"), crash(1), ms(10));
    note(
        "another body",
        memory.check(&crash_subjects(2, b"good"), deadline, ms(20)),
    );
    note(
        "with a new identity",
        memory.check(&crash_subjects(3, b"bad"), deadline, ms(20)),
    );
    note(
        "beside the trial",
        memory.check(&crash_subjects(4, b"bad"), deadline, ms(30)),
    );
    memory.crashed(&crash_subjects(3, b"bad"), crash(2), ms(40));
    note(
        "after two",
        memory.check(&crash_subjects(5, b"bad"), deadline, ms(50)),
    );
    note(
        "the first identity",
        memory.check(&crash_subjects(1, b"?"), deadline, ms(50)),
    );
    let later = Time(ms(40).0 + RETENTION.as_micros() as u64);
    memory.tick(later);
    note(
        "after the retention",
        memory.check(&crash_subjects(5, b"bad"), deadline, later),
    );
    insta::assert_snapshot!(out);
}

/// Guards against requests that are refused only because they ran beside the one that
/// crashed the server.
#[test]
fn a_request_that_passes_its_trial_is_cleared() {
    let mut memory = CrashMemory::default();
    let request = crash_subjects(1, b"innocent");
    for n in 1..10 {
        memory.crashed(&request, crash(n), ms(n * 100));
        assert_eq!(
            memory.check(&request, ms(10_000), ms(n * 100)),
            Verdict::Exclusive
        );
        memory.ended(&request, true, ms(n * 100 + 10));
        assert_eq!(
            memory.check(&request, ms(10_000), ms(n * 100 + 20)),
            Verdict::Clear
        );
    }
}

/// Guards against a trial whose end is never reported and that blocks the request for
/// ten minutes.
#[test]
fn a_trial_ends_at_its_deadline() {
    let mut memory = CrashMemory::default();
    let request = crash_subjects(1, b"?");
    memory.crashed(&request, crash(1), ms(0));
    assert_eq!(memory.check(&request, ms(1_000), ms(0)), Verdict::Exclusive);
    let refused = Verdict::Refuse(NotRun::CrashSuspect);
    assert_eq!(memory.check(&request, ms(1_000), ms(999)), refused);
    assert_eq!(
        memory.check(&request, ms(2_000), ms(1_000)),
        Verdict::Exclusive
    );
}

/// Guards against a crash that is counted twice because two nodes detected it.
#[test]
fn ingress_and_egress_count_one_crash_once() {
    let (mut ingress, mut egress) = (CrashMemory::default(), CrashMemory::default());
    let request = crash_subjects(1, b"?");
    let records = egress.crashed(&request, crash(1), ms(0));
    ingress.crashed(&request, crash(1), ms(5));
    for record in &records {
        assert!(!ingress.merge(record, ms(10)), "nothing is new");
    }
    assert_eq!(
        ingress.check(&request, ms(1_000), ms(20)),
        Verdict::Exclusive
    );
}

/// Guards against more than two crashed servers (requirement B7).
///
/// A caller sends a request that crashes every server, with a new identity each time,
/// through a random node, after gossip has reached all nodes.
#[test]
fn at_most_two_servers_are_lost() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut nodes: Vec<CrashMemory> = (0..5).map(|_| CrashMemory::default()).collect();
        let mut lost = 0;
        for n in 0..30u8 {
            let now = ms(u64::from(n) * 1_000);
            let request = crash_subjects(n, b"bad");
            let node = rng.random_range(0..nodes.len());
            match nodes[node].check(&request, now.after(RETENTION), now) {
                Verdict::Refuse(_) => continue,
                Verdict::Clear | Verdict::Exclusive => lost += 1,
            }
            let mut records = nodes[node].crashed(&request, crash(u64::from(n) + 1), now);
            gossip(&mut nodes, &mut records, &mut rng, now);
        }
        assert_eq!(lost, 2, "seed {seed}");
    }
}

/// Delivers every record to every node, in either order and the first one twice.
fn gossip(nodes: &mut [CrashMemory], records: &mut [CrashRecord], rng: &mut SmallRng, now: Time) {
    for node in nodes {
        if rng.random() {
            records.reverse();
        }
        for record in records.iter().chain(records.iter().take(1)) {
            node.merge(record, now);
        }
    }
}

/// Guards against unbounded memory use, and against old records that gossip renews.
#[test]
fn memory_is_bounded_and_gossip_does_not_renew_it() {
    let mut memory = CrashMemory::new(100);
    let mut last = Vec::new();
    for n in 0..1_000u64 {
        let body = n.to_le_bytes();
        last = memory.crashed(&crash_subjects(n as u8, &body), crash(n), ms(n));
        assert!(memory.len() <= 100);
    }
    let mut other = CrashMemory::default();
    let late = ms(RETENTION.as_millis() as u64);
    last[0].age_ms = RETENTION.as_millis() as u32;
    assert!(!other.merge(&last[0], late));
    assert!(other.is_empty());
}

/// Guards against different requests with equal content digests.
#[test]
fn parts_of_the_content_are_kept_apart() {
    let of = |method: &[u8], path: &[u8], body: &[u8]| {
        Subject::content(b"calendar.example", method, path, body)
    };
    assert_ne!(of(b"POST", b"/a", b"b"), of(b"POST", b"/ab", b""));
    assert_ne!(of(b"GET", b"/a", b""), of(b"GET", b"/b", b""));
    assert_eq!(of(b"GET", b"/a", b""), of(b"GET", b"/a", b""));
}

/// Guards against nodes that compare their records for ever: after an exchange in both
/// directions the digests are equal, also when a crash is cleared or convicted meanwhile.
#[test]
fn an_exchange_of_all_records_makes_digests_equal() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut a, mut b) = (CrashMemory::default(), CrashMemory::default());
        for n in 0..40u64 {
            let request = crash_subjects(rng.random_range(0..6), &[rng.random_range(0..3)]);
            let node = if rng.random() { &mut a } else { &mut b };
            match rng.random_range(0..3) {
                0 => drop(node.ended(&request, true, ms(n * 10))),
                _ => drop(node.crashed(&request, crash(n), ms(n * 10))),
            }
        }
        let now = ms(1_000);
        for record in a.records(now) {
            b.merge(&record, now);
        }
        for record in b.records(now) {
            a.merge(&record, now);
        }
        assert_eq!(a.digest(), b.digest(), "seed {seed}");
    }
}

/// Guards against evidence that comparisons between nodes keep alive beyond its retention.
#[test]
fn an_exchange_does_not_prolong_the_retention() {
    let (mut a, mut b) = (CrashMemory::default(), CrashMemory::default());
    a.crashed(&crash_subjects(1, b"bad"), crash(1), ms(0));
    let mut now = ms(0);
    while !(a.is_empty() && b.is_empty()) {
        for record in a.records(now) {
            b.merge(&record, now);
        }
        for record in b.records(now) {
            a.merge(&record, now);
        }
        now = now.after(std::time::Duration::from_millis(900));
        a.tick(now);
        b.tick(now);
        assert!(now.since(ms(0)) < RETENTION * 2, "never dropped");
    }
    assert!(now.since(ms(0)) <= RETENTION + std::time::Duration::from_secs(1));
}

/// Guards against stored verdicts that are lost, kept beyond their retention, or without a bound.
#[test]
fn verdicts_outlive_the_memory_of_a_node() {
    let mut memory = CrashMemory::default();
    memory.crashed(&crash_subjects(1, b"suspect"), crash(1), ms(0));
    memory.crashed(&crash_subjects(2, b"bad"), crash(2), ms(0));
    memory.crashed(&crash_subjects(3, b"bad"), crash(3), ms(1_000));
    let wall = UnixMillis(1_700_000_000_000);
    let mut verdicts = Verdicts::default();
    assert!(verdicts.add(&memory.records(ms(3_000)), wall));
    assert!(
        !verdicts.add(&memory.records(ms(3_000)), wall),
        "nothing new"
    );

    let text = serde_json::to_string(&verdicts).expect("JSON");
    let read: Verdicts = serde_json::from_str(&text).expect("verdicts");
    let mut restarted = CrashMemory::default();
    for record in read.records(UnixMillis(wall.0 + 1_000)) {
        restarted.merge(&record, ms(500));
    }
    let refused = Verdict::Refuse(NotRun::CrashesServers);
    let bad = crash_subjects(9, b"bad");
    assert_eq!(restarted.check(&bad, ms(9_000), ms(500)), refused);
    let suspect = crash_subjects(9, b"suspect");
    assert_eq!(
        restarted.check(&suspect, ms(9_000), ms(500)),
        Verdict::Clear
    );

    let expired = UnixMillis(wall.0 + RETENTION.as_millis() as u64);
    for record in read.records(expired) {
        assert!(!CrashMemory::default().merge(&record, ms(500)));
    }
    let mut many = CrashMemory::default();
    for n in 0..400u64 {
        let body = n.to_le_bytes();
        many.crashed(&crash_subjects(0, &body), crash(2 * n), ms(n));
        many.crashed(&crash_subjects(1, &body), crash(2 * n + 1), ms(n));
    }
    verdicts.add(&many.records(ms(500)), wall);
    assert_eq!(verdicts.records(wall).len(), 256);
}
