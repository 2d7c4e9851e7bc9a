//! What the ingress takes from a request.

mod common;

use assert_matches::assert_matches;
use bytes::Bytes;
use common::mesh;
use knapweed_host::Identity;
use knapweed_host::request::{Arrival, Error, Request};
use knapweed_world::{Time, UnixMillis};

fn arrival() -> Arrival<'static> {
    Arrival {
        method: b"POST",
        path: b"/calendar/today",
        random: [7; 16],
        ..Arrival::default()
    }
}

fn take(arrival: &Arrival<'_>) -> Result<Request, Error> {
    Request::take(&mesh(&[("v1", 100)]), arrival, Time::from_millis(1_000))
}

#[test]
fn a_request_without_headers_gets_the_defaults() {
    let req = take(&arrival()).expect("a valid request");
    assert_eq!(req.depth, 1);
    assert_eq!(req.deadline, Time::from_millis(3_000));
    assert!(!req.idempotent);
    assert!(!req.identity.is_keyed());
}

/// Guards against a caller that extends the timeout of its route.
#[test]
fn the_smaller_deadline_wins() {
    for (header, expected) in [("500", 1_500), ("2000", 3_000), ("60000", 3_000)] {
        let mut arrival = arrival();
        arrival.deadline_ms = Some(header.as_bytes());
        let req = take(&arrival).expect("a valid request");
        assert_eq!(req.deadline, Time::from_millis(expected));
    }
}

/// Guards against endless chains of calls.
#[test]
fn calls_deeper_than_eight_are_refused() {
    let mut arrival = arrival();
    arrival.depth = Some(b"7");
    assert_eq!(take(&arrival).expect("depth 8").depth, 8);
    arrival.depth = Some(b"8");
    assert_matches!(take(&arrival), Err(Error::TooDeep(9)));
    arrival.depth = Some(b"18446744073709551615");
    assert_matches!(take(&arrival), Err(Error::TooDeep(_)));
}

#[test]
fn malformed_headers_are_refused() {
    for text in ["", "x", "-1", "+1", "1.5", "99999999999999999999"] {
        let mut arrival = arrival();
        arrival.deadline_ms = Some(text.as_bytes());
        assert_matches!(take(&arrival), Err(Error::NotANumber(_)), "{text:?}");
    }
    let mut arrival = arrival();
    arrival.path = b"/other";
    assert_matches!(take(&arrival), Err(Error::NoRoute));
}

#[test]
fn keys_have_1_to_128_bytes() {
    assert_matches!(Identity::from_key(Bytes::new()), Err(Error::EmptyKey));
    for len in [1, 128] {
        assert_matches!(Identity::from_key(vec![b'k'; len].into()), Ok(_));
    }
    let long = Identity::from_key(vec![b'k'; 129].into());
    assert_matches!(long, Err(Error::KeyTooLong(129)));
}

/// Guards against keys that only look as if they proved their age.
#[test]
fn only_uuids_of_version_7_have_a_time() {
    let made_at = |text: &'static str| {
        let key = Identity::from_key(Bytes::from_static(text.as_bytes()));
        key.expect("a valid key").made_at()
    };
    // The example of RFC 9562, appendix A.6.
    let example = "017F22E2-79B0-7CC3-98C4-DC0C0C07398F";
    assert_eq!(made_at(example), Some(UnixMillis(1_645_557_742_000)));
    for other in [
        "017F22E2-79B0-4CC3-98C4-DC0C0C07398F",
        "017F22E2-79B0-7CC3-18C4-DC0C0C07398F",
        "017F22E279B07CC398C4DC0C0C07398F",
        "017F22E2-79B0-7CC3-98C4-DC0C0C07398G",
        "order-4711",
    ] {
        assert_eq!(made_at(other), None, "{other}");
    }
}
