//! Answers of faulty backend servers that do not belong to the request.

use crate::common::backend::Backend;
use crate::common::{egress, head};
use http::header::HeaderMap;
use http::response;
use knapweed_host::{Answer, NotRun, Outcome};
use knapweed_node::body;
use knapweed_node::egress::Egress;
use knapweed_node::protocol::native::NativeHeaders;
use knapweed_node::protocol::{Mismatch, ServerAnswer, ServerNotice, ServerProtocol};
use knapweed_observe::Metrics;
use knapweed_timer::TimerService;
use knapweed_wire::RequestHead;
use knapweed_world::backend_server::Announcement;
use std::sync::Arc;
use std::time::Duration;

/// Guards against a request that ran and is reported as not run, because the backend server wrote
/// an earlier refusal once more on the connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_repeated_refusal_is_not_the_answer_of_the_next_request() {
    let timer = TimerService::start();
    let backend = Backend::start(Duration::ZERO).await;
    let egress = egress::with_backend(&timer, Arc::default(), backend.address());
    let send = async |path| {
        let head = head(backend.address(), path);
        egress.run(head, body::empty()).await.head.outcome
    };
    let refused = Outcome::NotRun(NotRun::ShedByServer);
    assert_eq!(send("/calendar/refuse").await, refused);
    let next = send("/calendar").await;
    assert_eq!(next, Outcome::Answered(Answer::Complete));
    assert_eq!(backend.runs(), 1);
}

/// Rejects the answer to each request for the reason at the index in its path.
struct Rejecting;

impl ServerProtocol for Rejecting {
    fn prepare(
        &self,
        head: &RequestHead,
        server: &Announcement,
        left: Duration,
        to: &mut HeaderMap,
    ) {
        NativeHeaders.prepare(head, server, left, to);
    }

    fn is_leaving(&self, server: &Announcement, response: &response::Parts) -> Option<bool> {
        NativeHeaders.is_leaving(server, response)
    }

    fn notice(&self, response: &response::Parts) -> ServerNotice {
        NativeHeaders.notice(response)
    }

    fn interpret(&self, head: &RequestHead, response: &response::Parts) -> ServerAnswer {
        let last = head.path.last().copied().unwrap_or_default();
        let reason = Mismatch::ALL.get(usize::from(last.wrapping_sub(b'0')));
        reason.map_or_else(
            || NativeHeaders.interpret(head, response),
            |reason| ServerAnswer::Mismatched(*reason),
        )
    }
}

/// Guards against answers of backend servers that are not passed on and counted nowhere, among
/// them those without a signature (D4 of issue 35).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rejected_answers_are_counted_by_reason() {
    let timer = TimerService::start();
    let backend = Backend::start(Duration::ZERO).await;
    let egress = Egress::new(timer, Arc::default(), Arc::new(Rejecting));
    egress.announce(&egress::announcement(backend.address()));
    let metrics = Metrics::new();
    let rejections = egress.rejections().clone();
    metrics.register("answers_rejected", "Rejected answers", rejections);
    for path in ["/0", "/1", "/1", "/2", "/ok", "/refuse"] {
        let head = head(backend.address(), path);
        egress.run(head, body::empty()).await;
    }
    insta::assert_snapshot!(metrics.to_text());
}
