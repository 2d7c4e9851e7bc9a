//! Messages round-trip through the codec, and malformed input cannot break a decoder.

use assert_matches::assert_matches;
use bytes::Bytes;
use knapweed_host::crash::Subject;
use knapweed_host::{NotRun, Outcome, RequestId, SendId};
use knapweed_wire::{
    Error, Header, RequestHead, ResponseHead, StreamHead, codec::VERSION, decode, encode,
};
use knapweed_world::{Name, Rank};
use knapweed_zone::Message;
use proptest::prelude::*;

fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

fn request() -> RequestHead {
    RequestHead {
        id: SendId {
            request: RequestId([7; 16]),
            attempt: 9,
        },
        method: Bytes::from("POST"),
        path: Bytes::from("/switching/orders?unit=3"),
        headers: vec![Header {
            name: Bytes::from("content-type"),
            value: Bytes::from("application/json"),
        }],
        route: name("switching"),
        service: name("switching"),
        version: name("v2"),
        address: ([127, 0, 0, 1], 7500).into(),
        time_left_us: 2_000_000,
        objective_left_us: Some(800_000),
        rank: Rank(1),
        caller_id: None,
        origin: Some(name("calendar")),
        organisation: Some(name("tea-growers")),
        organisation_rate: None,
        depth: 1,
        content: Subject([5; 16]),
        rate_limit: None,
        is_suspect: false,
        has_body: true,
    }
}

#[test]
fn a_request_survives_and_stays_small() {
    let head = StreamHead::Request(Box::new(request()));
    let bytes = encode(&head).expect("encoded");
    assert_eq!(decode::<StreamHead>(&bytes), Ok(head));
    // A request head must fit into one packet together with the overhead of QUIC.
    assert!(bytes.len() < 200, "{} bytes", bytes.len());
}

#[test]
fn a_response_survives() {
    let head = ResponseHead::without_answer(Outcome::NotRun(NotRun::Overloaded));
    let bytes = encode(&head).expect("encoded");
    assert_eq!(decode::<ResponseHead>(&bytes), Ok(head));
}

/// Guards against misreading messages of a node with another protocol version during
/// an upgrade.
#[test]
fn another_version_is_refused_by_its_number() {
    assert_matches!(decode::<StreamHead>(&[]), Err(Error::Empty));
    let other = VERSION + 1;
    assert_eq!(
        decode::<StreamHead>(&[other, 0]),
        Err(Error::UnknownVersion(other))
    );
    assert_matches!(
        decode::<StreamHead>(&[VERSION, 0xff]),
        Err(Error::Malformed(_))
    );
}

proptest! {
    /// Guards against a peer that crashes a node by sending arbitrary bytes.
    #[test]
    fn any_bytes_are_refused_or_a_message(
        mut bytes in proptest::collection::vec(any::<u8>(), 0..400),
        is_version in any::<bool>(),
    ) {
        if is_version && !bytes.is_empty() {
            bytes[0] = VERSION;
        }
        let _ = decode::<StreamHead>(&bytes);
        let _ = decode::<ResponseHead>(&bytes);
        let _ = decode::<Message>(&bytes);
    }

    /// Guards against a corrupted byte that makes the decoder panic or allocate
    /// without bound.
    #[test]
    fn a_damaged_request_is_refused_or_a_message(at in 0usize..150, byte in any::<u8>()) {
        let head = StreamHead::Request(Box::new(request()));
        let mut bytes = encode(&head).expect("encoded").to_vec();
        let at = at % bytes.len();
        bytes[at] = byte;
        let _ = decode::<StreamHead>(&bytes);
    }
}
