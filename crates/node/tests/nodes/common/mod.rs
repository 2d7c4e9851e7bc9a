//! In-process nodes, and a link between them that can drop packets.

pub(crate) mod backend;
pub(crate) mod egress;
pub(crate) mod lossy_proxy;
pub(crate) mod mesh;

use knapweed_host::crash::Subject;
use knapweed_host::{RequestId, SendId};
use knapweed_transport::certificates::Authority;
use knapweed_transport::tls::{Files, Identity};
use knapweed_transport::{Endpoint, Inbound};
use knapweed_wire::RequestHead;
use knapweed_world::{Name, Rank};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

pub(crate) fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

/// The head of a request without a body, with a random request id.
pub(crate) fn head(backend: SocketAddr, path: &'static str) -> RequestHead {
    RequestHead {
        id: SendId {
            request: RequestId(rand::random()),
            attempt: rand::random(),
        },
        method: "POST".into(),
        path: path.into(),
        headers: Vec::new(),
        route: name("calendar"),
        service: name("calendar"),
        version: name("v1"),
        address: backend,
        time_left_us: 2_000_000,
        objective_left_us: None,
        rank: Rank(1),
        caller_id: None,
        origin: None,
        organisation: None,
        organisation_rate: None,
        depth: 1,
        content: Subject::content(b"", b"POST", path.as_bytes(), b""),
        rate_limit: None,
        is_suspect: false,
        has_body: false,
    }
}

pub(crate) fn identity(authority: &Authority) -> Identity {
    let dir = tempfile::tempdir().expect("a temporary folder");
    let issued = authority
        .issue("host", &[IpAddr::V4(Ipv4Addr::LOCALHOST)])
        .expect("a certificate");
    let files = Files {
        certificate: dir.path().join("node.pem"),
        key: dir.path().join("node.key"),
        authority: dir.path().join("authority.pem"),
    };
    std::fs::write(&files.certificate, issued.certificate).expect("a file");
    std::fs::write(&files.key, issued.key).expect("a file");
    std::fs::write(&files.authority, authority.certificate()).expect("a file");
    Identity::load(&files).expect("an identity")
}

/// A node's endpoint with the streams and datagrams that it receives.
pub(crate) struct NodeEndpoint {
    pub(crate) endpoint: Endpoint,
    pub(crate) inbound: Inbound,
}

impl NodeEndpoint {
    pub(crate) fn open(authority: &Authority) -> Self {
        let any_port = (Ipv4Addr::LOCALHOST, 0).into();
        let opened = Endpoint::open(any_port, &identity(authority));
        let (endpoint, inbound) = opened.expect("an endpoint");
        Self { endpoint, inbound }
    }
}
