//! Exchanges between two nodes whose connection stops delivering packets.

use crate::common::backend::Backend;
use crate::common::lossy_proxy::LossyProxy;
use crate::common::{self, egress};
use knapweed_host::inquiry::MAX_TRANSIT;
use knapweed_host::{Answer, NotRun, Outcome, RequestId, Unknown};
use knapweed_node::body::RequestBody;
use knapweed_node::carrier::{Carrier, LinkCarrier, Response};
use knapweed_timer::TimerService;
use knapweed_transport::certificates::Authority;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time from the start of a request to its deadline.
const DEADLINE: Duration = Duration::from_secs(4);
/// Time after which the egress has nothing left to send on a new connection. While
/// requests are dropped, its retransmissions would make the connection look alive.
const SETTLE: Duration = Duration::from_secs(1);
/// How long packets are dropped. The connection is retired, and the inquiry sent,
/// before this ends.
const DROP_TIME: Duration = Duration::from_millis(600);

/// Two nodes with a link that can drop packets, and a backend server at the second.
struct LinkedNodes {
    carrier: Arc<LinkCarrier>,
    proxy: Arc<LossyProxy>,
    backend: Backend,
    _endpoints: (common::NodeEndpoint, egress::Node),
}

impl LinkedNodes {
    async fn start(work: Duration) -> Self {
        let authority = Authority::new().expect("an authority");
        let timer = TimerService::start();
        let backend = Backend::start(work).await;
        let node = egress::Node::start(&authority, &timer, backend.address());
        let proxy = LossyProxy::start(node.address()).await;
        let client = common::NodeEndpoint::open(&authority);
        let carrier = Arc::new(LinkCarrier::new(client.endpoint.peers(), timer));
        let nodes = Self {
            carrier,
            proxy,
            backend,
            _endpoints: (client, node),
        };
        // Opens the connection, and proves that it works, before packets are dropped.
        let first = nodes.send(1).await;
        assert_eq!(first.head.outcome, Outcome::Answered(Answer::Complete));
        nodes
    }

    async fn send(&self, attempt: u64) -> Response {
        let mut head = common::head(self.backend.address(), "/calendar");
        // Sends with equal attempt numbers are duplicates of each other.
        head.id.request = RequestId([7; 16]);
        head.id.attempt = attempt;
        head.time_left_us = DEADLINE.as_micros() as u64;
        let mut body = RequestBody::Buffered(bytes::Bytes::new());
        let response = self.carrier.carry(self.proxy.address(), head, &mut body);
        response.await
    }
}

async fn text(response: Response) -> bytes::Bytes {
    let body = http_body_util::BodyExt::collect(response.body).await;
    body.expect("a complete body").to_bytes()
}

/// Guards against the loss of a response that the egress has: its packets are dropped,
/// and the connection delivers nothing more (requirement F8, hazard H5).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_response_cut_off_on_its_way_is_delivered_by_inquiry() {
    let nodes = LinkedNodes::start(Duration::ZERO).await;
    nodes.proxy.drop_responses(DROP_TIME);
    let start = Instant::now();
    let response = nodes.send(2).await;
    assert_eq!(response.head.outcome, Outcome::Answered(Answer::Complete));
    assert_eq!(text(response).await, "done");
    assert!(start.elapsed() < DEADLINE / 2, "{:?}", start.elapsed());
    assert_eq!(nodes.backend.runs(), 2);
}

/// Guards against a run that is aborted, or reported as not run, because its
/// connection was retired while the backend server was working.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_run_goes_on_when_its_connection_is_lost() {
    let nodes = LinkedNodes::start(Duration::from_millis(900)).await;
    nodes.proxy.drop_responses(DROP_TIME);
    let response = nodes.send(2).await;
    assert_eq!(response.head.outcome, Outcome::Answered(Answer::Complete));
    assert_eq!(text(response).await, "done");
    assert_eq!(nodes.backend.runs(), 2);
}

/// Guards against `not-run` without proof: the request is dropped on its way, and a
/// duplicate that arrives later must not run (hazard H6).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_cut_off_on_its_way_never_runs() {
    let nodes = LinkedNodes::start(Duration::ZERO).await;
    // Before that, the egress cannot exclude that the request ran before its start.
    tokio::time::sleep(MAX_TRANSIT).await;
    nodes.proxy.drop_requests(DROP_TIME);
    let never = Outcome::NotRun(NotRun::NeverRan);
    assert_eq!(nodes.send(2).await.head.outcome, never);
    let late = nodes.send(2).await;
    assert_eq!(late.head.outcome, never);
    assert_eq!(nodes.backend.runs(), 1);
    let again = nodes.send(3).await;
    assert_eq!(again.head.outcome, Outcome::Answered(Answer::Complete));
    assert_eq!(nodes.backend.runs(), 2);
}

/// Guards against `not-run` from an egress that may have run the request before a
/// restart (hazard H6).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_young_egress_does_not_claim_that_a_request_never_ran() {
    let nodes = LinkedNodes::start(Duration::ZERO).await;
    tokio::time::sleep(SETTLE).await;
    nodes.proxy.drop_requests(DROP_TIME);
    let unknown = Outcome::Unknown(Unknown::ConnectionLost);
    assert_eq!(nodes.send(2).await.head.outcome, unknown);
}

/// Guards against retiring a connection only because the backend server is slow.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_run_keeps_its_connection() {
    let nodes = LinkedNodes::start(Duration::from_millis(900)).await;
    let before = nodes.proxy.handshakes();
    let response = nodes.send(2).await;
    assert_eq!(response.head.outcome, Outcome::Answered(Answer::Complete));
    assert_eq!(nodes.proxy.handshakes(), before);
}
