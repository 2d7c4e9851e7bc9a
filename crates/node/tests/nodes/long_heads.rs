//! Requests whose head is too long for the connection between two nodes.

use crate::common::backend::Backend;
use crate::common::{NodeEndpoint, egress, head};
use knapweed_host::{Answer, Outcome};
use knapweed_node::body::RequestBody;
use knapweed_node::carrier::{Carrier, LinkCarrier};
use knapweed_timer::TimerService;
use knapweed_transport::certificates::Authority;
use knapweed_transport::stream::MAX_HEAD_LEN;
use knapweed_wire::Header;
use std::time::Duration;

/// Guards against a proper request that is refused with 400 since the configuration allows
/// header fields that are longer than the head of a stream between nodes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_that_cannot_be_sent_to_another_node_is_not_the_callers_mistake() {
    let authority = Authority::new().expect("an authority");
    let timer = TimerService::start();
    let backend = Backend::start(Duration::ZERO).await;
    let node = egress::Node::start(&authority, &timer, backend.address());
    let client = NodeEndpoint::open(&authority);
    let carrier = LinkCarrier::new(client.endpoint.peers(), timer);
    let mut outcomes = Vec::new();
    for len in [1_000, MAX_HEAD_LEN] {
        let mut head = head(backend.address(), "/calendar");
        head.headers.push(Header {
            name: "x-long".into(),
            value: vec![b'a'; len].into(),
        });
        let mut body = RequestBody::Buffered(bytes::Bytes::new());
        let response = carrier.carry(node.address(), head, &mut body).await;
        outcomes.push(response.head.outcome);
    }
    assert_eq!(outcomes[0], Outcome::Answered(Answer::Complete));
    assert_eq!(outcomes[1].status(), Some(503), "{:?}", outcomes[1]);
    assert_eq!(outcomes[1].label(), "not-run");
    assert_eq!(backend.runs(), 1);
}
