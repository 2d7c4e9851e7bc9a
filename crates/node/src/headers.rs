//! Conversion of headers between HTTP and the protocol between nodes.

use bytes::Bytes;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use knapweed_wire::Header;

/// Hop-by-hop headers, which a proxy must not forward (RFC 9110, section 7.6.1).
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns the headers to forward: those that are not hop-by-hop and that
/// `is_forwarded` accepts.
pub fn to_wire(headers: &HeaderMap, is_forwarded: impl Fn(&HeaderName) -> bool) -> Vec<Header> {
    let forwarded = headers.iter().filter(|(name, _)| {
        let is_hop_by_hop = HOP_BY_HOP_HEADERS.contains(&name.as_str());
        !is_hop_by_hop && !is_in_connection_header(headers, name.as_str()) && is_forwarded(name)
    });
    forwarded.map(|(name, value)| header(name, value)).collect()
}

/// Whether the `connection` header lists `name`, which makes it hop-by-hop.
fn is_in_connection_header(headers: &HeaderMap, name: &str) -> bool {
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

/// Adds headers received from another node. Malformed headers are skipped.
pub fn add_from_wire(headers: &mut HeaderMap, from: &[Header]) {
    for header in from {
        let name = HeaderName::from_bytes(&header.name);
        let value = HeaderValue::from_maybe_shared(header.value.clone());
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
}
