//! Requests that crash every backend server that runs them.

use crate::common::backend::Backend;
use crate::common::{egress, head, name};
use knapweed_host::crash::Subject;
use knapweed_host::{Answer, NotRun, Outcome, Unknown};
use knapweed_node::body::{self, Body};
use knapweed_node::egress::Egress;
use knapweed_node::trial::{Scope, Trials};
use knapweed_rollout::{Epoch, Evidence, Phase, RolloutState};
use knapweed_timer::TimerService;
use knapweed_wire::Header;
use knapweed_world::backend_server::{Announcement, Instance};
use knapweed_world::config::{Caution, RolloutTerms, VersionShare};
use knapweed_world::{ServerState, Share, TicketNumber, UnixMillis};
use std::sync::Arc;
use std::time::Duration;

const ANSWERED: Outcome = Outcome::Answered(Answer::Complete);
const CRASHED: Outcome = Outcome::Unknown(Unknown::ServerCrashed);

/// Work of a request that a suspect waits for. A request without an objective is shed after a
/// shorter wait.
const WORK: Duration = Duration::from_millis(60);
/// Objective of a suspect that waits for another request, long enough on a busy machine.
const OBJECTIVE_US: u64 = 1_500_000;

/// The egress of a host, and its one backend server.
struct Host {
    egress: Arc<Egress>,
    backend: Backend,
}

impl Host {
    async fn start(timer: &TimerService) -> Self {
        let backend = Backend::start(Duration::ZERO).await;
        let egress = egress::with_backend(timer, Arc::default(), backend.address());
        Self { egress, backend }
    }

    async fn send(&self, path: &'static str) -> Outcome {
        let head = head(self.backend.address(), path);
        self.egress.run(head, body::empty()).await.head.outcome
    }

    async fn send_body(&self, path: &'static str, text: &'static str) -> Outcome {
        let mut head = head(self.backend.address(), path);
        head.has_body = true;
        head.content = Subject::content(b"", &head.method, &head.path, text.as_bytes());
        head.headers.push(Header {
            name: "content-length".into(),
            value: text.len().to_string().into(),
        });
        let body: Body = body::full(text.into());
        self.egress.run(head, body).await.head.outcome
    }
}

fn rollout() -> RolloutState {
    let share = |version: &str| VersionShare {
        version: name(version),
        share: Share::ALL,
    };
    RolloutState {
        service: name("calendar"),
        ticket: TicketNumber(1),
        epoch: Epoch(1),
        phase: Phase::Warming,
        changed: UnixMillis(0),
        terms: RolloutTerms {
            start: UnixMillis(0),
            deadline: UnixMillis(600_000),
            min_old_capacity: 25,
            caution: Caution::Careful,
            from: vec![share("v0")],
        },
        target: vec![share("v1")],
        proven: Vec::new(),
        has_result: true,
        evidence: Evidence::default(),
        owed: Vec::new(),
    }
}

/// Guards against a request that crashes a third backend server when its caller sends
/// it again with a new request id (requirements F7, B7).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_takes_down_two_backend_servers_at_most() {
    let timer = TimerService::start();
    let (a, b, c) = tokio::join!(
        Host::start(&timer),
        Host::start(&timer),
        Host::start(&timer)
    );
    assert_eq!(a.send("/calendar/crash").await, CRASHED);
    b.egress.merge_crashes(a.egress.take_crashes().observed);
    assert_eq!(b.send("/calendar/crash").await, CRASHED);
    c.egress.merge_crashes(b.egress.take_crashes().observed);
    let refused = Outcome::NotRun(NotRun::CrashesServers);
    assert_eq!(c.send("/calendar/crash").await, refused);
    assert_eq!(c.backend.runs(), 0);
    assert_eq!(c.send("/calendar").await, ANSWERED);
    assert_eq!((a.backend.runs(), b.backend.runs()), (1, 1));
}

/// Guards against a suspected request that fails other requests by crashing the
/// backend server they run on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_suspect_runs_alone() {
    let timer = TimerService::start();
    let a = Host::start(&timer).await;
    let backend = Backend::start(WORK).await;
    let egress = egress::with_backend(&timer, Arc::default(), backend.address());
    let b = Host { egress, backend };
    assert_eq!(a.send("/calendar/crash").await, CRASHED);
    let records = a.egress.take_crashes().observed;
    assert_eq!(records.len(), 2);
    b.egress.merge_crashes(records);
    let mut suspect = head(b.backend.address(), "/calendar/crash");
    suspect.objective_left_us = Some(OBJECTIVE_US);
    let suspect = b.egress.run(suspect, body::empty());
    let (first, second) = tokio::join!(b.send("/calendar"), suspect);
    assert_eq!((first, second.head.outcome), (ANSWERED, CRASHED));
    assert_eq!((b.backend.runs(), b.backend.peak()), (2, 1));
}

/// Guards against a retry that fails other requests because it arrives before the
/// records of the first crash.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_retry_after_a_crash_runs_alone() {
    let timer = TimerService::start();
    let a = Host::start(&timer).await;
    let first = head(a.backend.address(), "/calendar/crash");
    assert!(a.egress.run(first, body::empty()).await.head.crashed);
    let backend = Backend::start(WORK).await;
    let egress = egress::with_backend(&timer, Arc::default(), backend.address());
    let b = Host { egress, backend };
    let mut retry = head(b.backend.address(), "/calendar/crash");
    retry.is_suspect = true;
    retry.objective_left_us = Some(OBJECTIVE_US);
    let retry = b.egress.run(retry, body::empty());
    let (other, retry) = tokio::join!(b.send("/calendar"), retry);
    assert_eq!((other, retry.head.outcome), (ANSWERED, CRASHED));
    assert_eq!((b.backend.runs(), b.backend.peak()), (2, 1));
}

/// Guards against a suspect that waits longer than other requests without an objective, which
/// are shed within 50 ms (requirement B6), and against one that runs although it was shed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_suspect_without_an_objective_is_shed_while_others_run() {
    let timer = TimerService::start();
    let backend = Backend::start(Duration::from_millis(500)).await;
    let egress = egress::with_backend(&timer, Arc::default(), backend.address());
    let b = Host { egress, backend };
    let mut suspect = head(b.backend.address(), "/calendar/crash");
    suspect.is_suspect = true;
    let suspect = b.egress.run(suspect, body::empty());
    let (other, suspect) = tokio::join!(b.send("/calendar"), suspect);
    let shed = Outcome::NotRun(NotRun::Overloaded);
    assert_eq!((other, suspect.head.outcome), (ANSWERED, shed));
    assert_eq!(b.backend.runs(), 1);
}

/// Guards against a closed connection that is recorded as a crash, so that later
/// requests are refused, and against extra connections that probe the backend server
/// (requirement B8).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_closed_connection_is_no_crash() {
    let timer = TimerService::start();
    let host = Host::start(&timer).await;
    for _ in 0..3 {
        assert_eq!(host.send("/calendar/close").await, CRASHED);
    }
    let new = host.egress.take_crashes();
    assert!(new.observed.is_empty() && new.learned.is_empty());
    assert!(host.egress.crash_records().is_empty());
    assert_eq!(host.send("/calendar").await, ANSWERED);
    assert_eq!(host.backend.connected(), 4);
}

/// Guards against a crash that is not recorded because an idle connection, whose end has not
/// arrived, passes for a sign of life.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_crash_is_recorded_while_idle_connections_seem_open() {
    let timer = TimerService::start();
    let backend = Backend::start(Duration::from_millis(20)).await;
    let egress = egress::with_backend(&timer, Arc::default(), backend.address());
    let host = Host { egress, backend };
    let idle = tokio::join!(
        host.send("/calendar"),
        host.send("/calendar"),
        host.send("/calendar")
    );
    assert_eq!(idle, (ANSWERED, ANSWERED, ANSWERED));
    assert_eq!(host.send("/calendar/vanish").await, CRASHED);
    assert_eq!(host.egress.take_crashes().observed.len(), 2);
    assert_eq!(
        host.send("/calendar").await,
        Outcome::NotRun(NotRun::ConnectFailed)
    );
}

/// The announcement of another run of a backend server under the same name.
fn restarted(backend: &Backend, started_ms: u64) -> Announcement {
    Announcement {
        instance: Some(Instance {
            name: name("calendar-1"),
            started_ms,
        }),
        ..egress::announcement(backend.address())
    }
}

/// Guards against a crash that is not recorded because the port of the backend server is open
/// again, or was never closed, when the node looks.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_that_is_back_at_once_has_crashed() {
    let timer = TimerService::start();
    for path in ["/calendar/close", "/calendar/hang"] {
        let host = Host::start(&timer).await;
        host.egress.announce(&restarted(&host.backend, 1));
        assert_eq!(host.send("/calendar").await, ANSWERED);
        assert_ne!(host.send(path).await, ANSWERED);
        assert!(host.egress.take_crashes().observed.is_empty(), "{path}");
        // The next process has the name of the first and answers before it announces itself.
        let restarted_ms = timer.wall_clock().0;
        tokio::time::sleep(Duration::from_millis(5)).await;
        assert_eq!(host.send("/calendar").await, ANSWERED);
        host.egress
            .announce(&restarted(&host.backend, restarted_ms));
        assert_eq!(host.egress.take_crashes().observed.len(), 2, "{path}");
        assert_eq!(host.send("/calendar").await, ANSWERED);
    }
}

/// Guards against a guilty request that is spared because another connection was reset shortly
/// before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_reset_before_a_crash_does_not_hide_it() {
    let timer = TimerService::start();
    let host = Host::start(&timer).await;
    assert_eq!(host.send("/calendar/close").await, CRASHED);
    assert_eq!(host.send("/calendar/crash").await, CRASHED);
    let records = host.egress.take_crashes().observed;
    let crash = head(host.backend.address(), "/calendar/crash");
    assert!(records.iter().any(|r| r.subject == crash.content));
}

/// Guards against requests that are blamed for the end of a backend server that answered others
/// after them, or that was shutting down.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restart_is_no_crash_of_earlier_requests() {
    let timer = TimerService::start();
    let host = Host::start(&timer).await;
    host.egress.announce(&restarted(&host.backend, 1));
    assert_eq!(host.send("/calendar/close").await, CRASHED);
    assert_eq!(host.send("/calendar").await, ANSWERED);
    let now_ms = timer.wall_clock().0 + 1;
    host.egress.announce(&restarted(&host.backend, now_ms));
    assert!(host.egress.take_crashes().observed.is_empty());

    assert_eq!(host.send("/calendar/close").await, CRASHED);
    host.egress.announce(&Announcement {
        state: ServerState::Draining,
        ..restarted(&host.backend, now_ms)
    });
    host.egress.announce(&restarted(&host.backend, now_ms + 1));
    assert!(host.egress.take_crashes().observed.is_empty());
}

/// Guards against a request that is sent although its crashes became known while it waited for
/// a slot.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_verdict_counts_for_a_request_that_waits() {
    let timer = TimerService::start();
    let backend = Backend::start(Duration::from_millis(300)).await;
    let egress = egress::with_backend(&timer, Arc::default(), backend.address());
    let host = Host { egress, backend };
    let (a, b) = tokio::join!(Host::start(&timer), Host::start(&timer));
    assert_eq!(a.send("/calendar/crash").await, CRASHED);
    assert_eq!(b.send("/calendar/crash").await, CRASHED);
    host.egress.merge_crashes(a.egress.take_crashes().observed);
    let waiting = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let mut head = head(host.backend.address(), "/calendar/crash");
        head.objective_left_us = Some(1_500_000);
        host.egress.run(head, body::empty()).await.head.outcome
    };
    let meanwhile = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        host.egress.merge_crashes(b.egress.take_crashes().observed);
    };
    let (running, waited, ()) = tokio::join!(host.send("/calendar"), waiting, meanwhile);
    assert_eq!(running, ANSWERED);
    assert_eq!(waited, Outcome::NotRun(NotRun::CrashesServers));
    assert_eq!(host.backend.runs(), 1);
}

/// Guards against pulling back a good version because of a request that crashes every
/// version.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crashes_are_not_counted_for_a_rollout() {
    let timer = TimerService::start();
    let trials = Arc::new(Trials::default());
    let states = [(name("calendar"), rollout())].into();
    trials.update(&states, &name("labasa-a"), timer.now());
    let trial = trials.find(&name("calendar")).expect("a trial");
    for path in ["/calendar", "/calendar/crash"] {
        let backend = Backend::start(Duration::ZERO).await;
        let egress = egress::with_backend(&timer, Arc::clone(&trials), backend.address());
        Host { egress, backend }.send(path).await;
        assert_eq!(trial.report(Scope::All).counters.requests(), 1, "{path}");
    }
}

/// Guards against refusing requests whose body differs from that of the crashing
/// request, and against bodies that are altered while crash records are known.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_body_belongs_to_the_content() {
    let timer = TimerService::start();
    let (a, b, c) = tokio::join!(
        Host::start(&timer),
        Host::start(&timer),
        Host::start(&timer)
    );
    assert_eq!(a.send_body("/calendar/crash", "bad\r\n\r\n").await, CRASHED);
    b.egress.merge_crashes(a.egress.take_crashes().observed);
    assert_eq!(b.send_body("/calendar/crash", "bad\r\n\r\n").await, CRASHED);
    c.egress.merge_crashes(b.egress.take_crashes().observed);
    let refused = Outcome::NotRun(NotRun::CrashesServers);
    assert_eq!(c.send_body("/calendar/crash", "bad\r\n\r\n").await, refused);
    assert_eq!(c.send_body("/calendar", "good\r\n\r\n").await, ANSWERED);
}
