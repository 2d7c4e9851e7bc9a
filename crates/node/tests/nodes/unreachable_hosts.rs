//! Requests to hosts to which no connection can be opened.

use crate::common::{NodeEndpoint, head};
use knapweed_host::{NotRun, Outcome};
use knapweed_node::body::RequestBody;
use knapweed_node::carrier::{Carrier, LinkCarrier};
use knapweed_timer::TimerService;
use knapweed_transport::certificates::Authority;
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Time until the deadline of the request, which is shorter than the handshake may take.
const TIME_LEFT: Duration = Duration::from_millis(300);

/// Guards against a request that is reported as one that may have run, although it was not sent
/// when its deadline passed: its caller must not repeat it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_waits_for_a_connection_until_its_deadline_has_not_run() {
    let authority = Authority::new().expect("an authority");
    let client = NodeEndpoint::open(&authority);
    let carrier = LinkCarrier::new(client.endpoint.peers(), TimerService::start());
    // A socket that answers no handshake.
    let silent = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let silent = silent.expect("a socket");
    let address = silent.local_addr().expect("an address");
    let mut head = head(address, "/calendar");
    head.time_left_us = TIME_LEFT.as_micros() as u64;
    let mut body = RequestBody::Buffered(bytes::Bytes::new());
    let response = carrier.carry(address, head, &mut body).await;
    let expected = Outcome::NotRun(NotRun::DeadlinePassed);
    assert_eq!(response.head.outcome, expected);
}
