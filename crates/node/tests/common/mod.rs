//! Nodes in this process, with a link between them that can be cut.

pub(crate) mod backend;
pub(crate) mod cut;
pub(crate) mod egress;

use knapweed_transport::certificates::Authority;
use knapweed_transport::tls::{Files, Identity};
use knapweed_transport::{Arrivals, Endpoint};
use knapweed_world::Name;
use std::net::{IpAddr, Ipv4Addr};

pub(crate) fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

fn identity(authority: &Authority) -> Identity {
    let dir = tempfile::tempdir().expect("a temporary folder");
    let pair = authority
        .issue("host", &[IpAddr::V4(Ipv4Addr::LOCALHOST)])
        .expect("a pair");
    let files = Files {
        certificate: dir.path().join("node.pem"),
        key: dir.path().join("node.key"),
        authority: dir.path().join("authority.pem"),
    };
    std::fs::write(&files.certificate, pair.certificate).expect("a file");
    std::fs::write(&files.key, pair.key).expect("a file");
    std::fs::write(&files.authority, authority.certificate()).expect("a file");
    Identity::load(&files).expect("an identity")
}

/// The end of a node's links.
pub(crate) struct End {
    pub(crate) endpoint: Endpoint,
    pub(crate) arrivals: Arrivals,
}

impl End {
    pub(crate) fn open(authority: &Authority) -> Self {
        let any_port = (Ipv4Addr::LOCALHOST, 0).into();
        let opened = Endpoint::open(any_port, &identity(authority));
        let (endpoint, arrivals) = opened.expect("an endpoint");
        Self { endpoint, arrivals }
    }
}
