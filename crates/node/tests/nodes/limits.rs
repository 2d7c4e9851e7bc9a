//! Backend servers that limit the rate of their requests, or say that they are shutting down.

use crate::common::backend::Backend;
use crate::common::{egress, head, name};
use futures_util::future::join_all;
use knapweed_host::admission::{ColdAllowance, ColdStart};
use knapweed_host::{Answer, NotRun, Outcome};
use knapweed_node::body;
use knapweed_node::egress::Egress;
use knapweed_timer::TimerService;
use knapweed_world::ServerState;
use knapweed_world::backend_server::{Announcement, Instance};
use knapweed_world::load::RequestRate;
use std::sync::Arc;
use std::time::Duration;

const ANSWERED: Outcome = Outcome::Answered(Answer::Complete);
/// The limit that the backend server names.
const LIMIT: RequestRate = RequestRate(5_000);

/// Sends a request that may wait for a second; returns its outcome and the rate limit that its
/// ingress learns of.
async fn send(
    egress: &Egress,
    backend: &Backend,
    path: &'static str,
    known: Option<RequestRate>,
) -> (Outcome, Option<RequestRate>) {
    let mut head = head(backend.address(), path);
    head.objective_left_us = Some(1_000_000);
    head.rate_limit = known;
    let response = egress.run(head, body::empty()).await.head;
    let load = response.load.expect("a load report");
    (response.outcome, load.rate_limit)
}

/// Guards against requests beyond the limit that a backend server has named, and against a limit
/// that does not end with it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_limited_server_gets_no_more_than_it_takes() {
    let timer = TimerService::start();
    let backend = Backend::start(Duration::ZERO).await;
    let egress = egress::with_backend(&timer, Arc::default(), backend.address());
    let first = send(&egress, &backend, "/calendar/limited", None).await;
    assert_eq!(first, (ANSWERED, Some(LIMIT)));

    let many = (0..40).map(|_| send(&egress, &backend, "/calendar/limited", None));
    let answered = join_all(many).await;
    let answered = answered.iter().filter(|(o, _)| *o == ANSWERED).count();
    // Within the second that they may wait.
    assert!((2..=6).contains(&answered), "{answered} answered");
    assert_eq!(backend.runs(), 1 + answered as u32);

    let (outcome, limit) = send(&egress, &backend, "/calendar", None).await;
    assert_eq!((outcome, limit), (ANSWERED, None));
    let many = (0..12).map(|_| send(&egress, &backend, "/calendar", None));
    assert!(join_all(many).await.iter().all(|(o, _)| *o == ANSWERED));
}

/// Guards against a limit that is lost with the process of the node beside the backend server,
/// while the hosts that send it requests know the limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restarted_egress_learns_the_limit_from_an_ingress() {
    let timer = TimerService::start();
    let backend = Backend::start(Duration::ZERO).await;
    let egress = egress::with_backend(&timer, Arc::default(), backend.address());
    let many = (0..40).map(|_| send(&egress, &backend, "/calendar/limited", Some(LIMIT)));
    let answered = join_all(many).await;
    let answered = answered.iter().filter(|(o, _)| *o == ANSWERED).count();
    assert!((2..=6).contains(&answered), "{answered} answered");
    assert_eq!(backend.runs(), answered as u32);
}

/// Guards against requests to a backend server that has said in an answer that it is shutting
/// down, queued ones included, while its heartbeats still say that it is ready.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_that_says_it_leaves_gets_no_request() {
    let timer = TimerService::start();
    let backend = Backend::start(Duration::from_millis(50)).await;
    let egress = egress::with_backend(&timer, Arc::default(), backend.address());
    let ready = Announcement {
        instance: Some(Instance {
            name: name("calendar-1"),
            started_ms: 1,
        }),
        ..egress::announcement(backend.address())
    };
    egress.announce(&ready);
    assert_eq!(send(&egress, &backend, "/calendar", None).await.0, ANSWERED);

    // Of 30 requests, 12 run at the same time and the others wait.
    let many = (0..30).map(|_| send(&egress, &backend, "/calendar/leaving", None));
    let outcomes = join_all(many).await;
    let answered = outcomes.iter().filter(|(o, _)| *o == ANSWERED).count();
    assert_eq!(answered, 12);
    egress.announce(&Announcement {
        is_cold: true,
        ..ready.clone()
    });
    let mut head = head(backend.address(), "/calendar");
    head.objective_left_us = Some(1_000_000);
    let refused = egress.run(head, body::empty()).await.head;
    assert_eq!(refused.outcome, Outcome::NotRun(NotRun::Draining));
    assert!(refused.load.expect("a load report").is_leaving);
    assert_eq!(backend.runs(), 13);
    let draining = Announcement {
        state: ServerState::Draining,
        ..ready.clone()
    };
    assert_eq!(egress.take_leaving(), [draining]);

    egress.announce(&Announcement {
        instance: Some(Instance {
            name: name("calendar-1"),
            started_ms: 2,
        }),
        ..ready
    });
    assert_eq!(send(&egress, &backend, "/calendar", None).await.0, ANSWERED);
}

/// Guards against requests to a cold backend server beyond its limit, against a queue in front
/// of it, and against a limit that stays after the cold start.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cold_server_refuses_what_it_cannot_take_at_once() {
    let timer = TimerService::start();
    let backend = Backend::start(Duration::ZERO).await;
    let egress = egress::with_backend(&timer, Arc::default(), backend.address());
    let allowance = ColdAllowance {
        percent: 0,
        slack: 8,
    };
    egress.allow_cold(allowance);
    let cold = Announcement {
        instance: Some(Instance {
            name: name("calendar-1"),
            started_ms: 1,
        }),
        is_cold: true,
        ..egress::announcement(backend.address())
    };
    egress.announce(&cold);
    // Without a limit in the configuration, a cold server is treated as any other.
    assert_eq!(
        send(&egress, &backend, "/calendar", None).await,
        (ANSWERED, None)
    );
    egress.set_cold_limits([(name("calendar"), LIMIT)].into());

    let refused = Outcome::NotRun(NotRun::ColdServer);
    let many = (0..40).map(|_| send(&egress, &backend, "/calendar", None));
    let outcomes = join_all(many).await;
    assert!(outcomes.iter().all(|sent| *sent == (refused, Some(LIMIT))));
    tokio::time::sleep(Duration::from_millis(450)).await;
    let many = (0..40).map(|_| send(&egress, &backend, "/calendar", None));
    let outcomes = join_all(many).await;
    let answered = outcomes.iter().filter(|(o, _)| *o == ANSWERED).count();
    assert!((1..=4).contains(&answered), "{answered} answered");

    // The statement of another run changes nothing.
    let other = Announcement {
        instance: None,
        ..cold.clone()
    };
    egress.state_cold_start(&other, ColdStart::WARM);
    let many = (0..4).map(|_| send(&egress, &backend, "/calendar", None));
    assert!(join_all(many).await.contains(&(refused, Some(LIMIT))));
    let ends = timer.now().after(Duration::from_millis(300));
    egress.state_cold_start(&cold, ColdStart::Until(ends));
    tokio::time::sleep(Duration::from_millis(350)).await;
    let many = (0..12).map(|_| send(&egress, &backend, "/calendar", None));
    assert!(
        join_all(many)
            .await
            .iter()
            .all(|sent| *sent == (ANSWERED, None))
    );
}
