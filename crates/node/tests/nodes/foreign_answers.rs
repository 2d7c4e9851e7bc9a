//! Answers of faulty backend servers that do not belong to the request.

use crate::common::backend::Backend;
use crate::common::{egress, head};
use knapweed_host::{Answer, NotRun, Outcome};
use knapweed_node::body;
use knapweed_timer::TimerService;
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
