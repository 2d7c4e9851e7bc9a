//! Headers that pass through the node.

use bytes::Bytes;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use knapweed_wire::Header;

/// Headers that belong to one connection (RFC 9110, section 7.6.1).
const OF_ONE_CONNECTION: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Headers that only nodes set.
const OF_NODES: [&str; 2] = [
    knapweed_host::request::OUTCOME,
    knapweed_host::request::REASON,
];

/// The headers that pass on to the next hop.
pub fn to_wire(headers: &HeaderMap) -> Vec<Header> {
    let passing = headers.iter().filter(|(name, _)| passes(headers, name));
    passing.map(|(name, value)| header(name, value)).collect()
}

fn passes(headers: &HeaderMap, name: &HeaderName) -> bool {
    let name = name.as_str();
    !OF_ONE_CONNECTION.contains(&name) && !OF_NODES.contains(&name) && !is_named(headers, name)
}

/// Whether the `connection` header names `name` as its own.
fn is_named(headers: &HeaderMap, name: &str) -> bool {
    let values = headers.get_all(http::header::CONNECTION);
    let mut tokens = values
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','));
    tokens.any(|token| token.trim().eq_ignore_ascii_case(name))
}

fn header(name: &HeaderName, value: &HeaderValue) -> Header {
    Header {
        name: Bytes::copy_from_slice(name.as_str().as_bytes()),
        value: Bytes::copy_from_slice(value.as_bytes()),
    }
}

/// Adds headers from another node. Malformed ones are left out.
pub fn add_from_wire(headers: &mut HeaderMap, from: &[Header]) {
    for header in from {
        let name = HeaderName::from_bytes(&header.name);
        let value = HeaderValue::from_maybe_shared(header.value.clone());
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
}
