//! Heads of requests and responses between an ingress and an egress.

use bytes::Bytes;
use knapweed_host::crash::Subject;
use knapweed_host::{Outcome, SendId};
use knapweed_world::load::RequestRate;
use knapweed_world::{LoadReport, Name, Rank};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An HTTP header.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// Header name, in lower case.
    pub name: Bytes,
    /// Header value, as received.
    pub value: Bytes,
}

/// Message that the ingress sends before the request body.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestHead {
    /// Identifies this attempt to send the request.
    pub id: SendId,
    /// HTTP method, such as `GET`.
    pub method: Bytes,
    /// Path and query of the request target.
    pub path: Bytes,
    /// Headers, without hop-by-hop headers.
    pub headers: Vec<Header>,
    /// Route that the request matched.
    pub route: Name,
    /// Service that the request is for.
    pub service: Name,
    /// Version of the service that the ingress selected.
    pub version: Name,
    /// Address of the selected backend server on the egress's host.
    pub address: SocketAddr,
    /// Time until the deadline of the request, in microseconds.
    pub time_left_us: u64,
    /// Time until the latency objective is missed, in microseconds; `None` when
    /// the request has no objective.
    pub objective_left_us: Option<u64>,
    /// Admission priority under overload.
    pub rank: Rank,
    /// Request id that the caller set; `None` when it set none.
    pub caller_id: Option<Bytes>,
    /// Service whose backend servers run on the host of the first ingress; `None`
    /// when that host has several services or none.
    pub origin: Option<Name>,
    /// Organisation of the caller; `None` when it needs none and has none.
    pub organisation: Option<Name>,
    /// Rate of its quota, by which the egress weights its share of the slots; `None` without one.
    pub organisation_rate: Option<RequestRate>,
    /// Nesting depth of the request: 1 for a request of a caller, one more for each
    /// request that a backend server makes to handle another one.
    pub depth: u8,
    /// Digest of the request as its caller sent it, by which its crashes are known.
    pub content: Subject,
    /// Rate limit of the backend server that the ingress last learned of; `None` without
    /// one. An egress that has just started does not know it.
    pub rate_limit: Option<RequestRate>,
    /// Whether an earlier send of the request crashed a backend server.
    pub is_suspect: bool,
    /// Whether a request body follows.
    pub has_body: bool,
}

/// Message that the egress sends before the response body.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResponseHead {
    /// Whether the request ran, and with which result.
    pub outcome: Outcome,
    /// Whether the backend server crashed while it ran the request.
    pub crashed: bool,
    /// HTTP status from the backend server; 0 without a response.
    pub status: u16,
    /// Headers, without hop-by-hop headers.
    pub headers: Vec<Header>,
    /// Expected time until capacity is available, in microseconds; set for a
    /// refused request.
    pub retry_after_us: Option<u64>,
    /// Load of the backend server when the response started; `None` when it is not
    /// known.
    pub load: Option<LoadReport>,
}

impl ResponseHead {
    /// The head for an outcome without a response from a backend server.
    pub fn without_answer(outcome: Outcome) -> Self {
        Self {
            outcome,
            crashed: false,
            status: 0,
            headers: Vec::new(),
            retry_after_us: None,
            load: None,
        }
    }
}
