//! The ingress reads route, identity, deadline and objective from a request.

mod common;

use assert_matches::assert_matches;
use bytes::Bytes;
use common::mesh_of;
use knapweed_host::request::{DEADLINE_MS, Error, IncomingRequest, Request, parse_number};
use knapweed_host::{NotRun, WaitEstimator};
use knapweed_world::{Flow, Time};
use std::time::Duration;

fn incoming() -> IncomingRequest<'static> {
    IncomingRequest {
        method: b"POST",
        path: b"/calendar/today",
        random: [7; 16],
        ..IncomingRequest::default()
    }
}

/// Reads a request for a route with an objective of 600 ms, with an estimator that earlier
/// requests have trained.
fn accept_after(
    wait_estimator: &WaitEstimator,
    incoming: &IncomingRequest<'_>,
) -> Result<Request, Error> {
    let snapshot = mesh_of(&[("v1", 100)], |route| {
        route.objective_ms = Some(600);
        route.priority = 2;
    });
    Request::from_incoming(
        &snapshot,
        incoming,
        wait_estimator,
        Time::from_millis(1_000),
    )
}

fn accept(incoming: &IncomingRequest<'_>) -> Result<Request, Error> {
    accept_after(&WaitEstimator::default(), incoming)
}

#[test]
fn a_request_without_headers_gets_the_defaults() {
    let req = accept(&incoming()).expect("a valid request");
    assert_eq!(req.depth, 1);
    assert_eq!(req.deadline, Time::from_millis(3_000));
    assert!(!req.idempotent);
    assert_eq!(req.identity.0, [7; 16]);
}

/// Guards against a caller that extends the timeout of the route.
#[test]
fn the_smaller_deadline_wins() {
    for (left, expected) in [(500, 1_500), (2_000, 3_000), (60_000, 3_000)] {
        let mut incoming = incoming();
        incoming.time_left = Some(Duration::from_millis(left));
        let req = accept(&incoming).expect("a valid request");
        assert_eq!(req.deadline, Time::from_millis(expected));
    }
}

/// Guards against unbounded chains of calls.
#[test]
fn calls_deeper_than_eight_are_refused() {
    let mut incoming = incoming();
    incoming.depth = 7;
    assert_eq!(accept(&incoming).expect("depth 8").depth, 8);
    incoming.depth = 8;
    assert_matches!(accept(&incoming), Err(Error::TooDeep(9)));
    incoming.depth = u8::MAX;
    assert_matches!(accept(&incoming), Err(Error::TooDeep(_)));
}

#[test]
fn malformed_headers_are_refused() {
    for text in ["", "x", "-1", "+1", "1.5", "99999999999999999999"] {
        let read = parse_number(DEADLINE_MS, text.as_bytes());
        assert_matches!(read, Err(Error::NotANumber(_)), "{text:?}");
    }
    let mut incoming = incoming();
    incoming.path = b"/other";
    assert_matches!(accept(&incoming), Err(Error::NoRoute));
}

/// Guards against a route that cannot be read and whose requests are told that it does not
/// exist: callers do not repeat those.
#[test]
fn a_route_without_a_service_refuses_its_requests() {
    let snapshot = mesh_of(&[("v1", 100)], |route| route.destinations.clear());
    let now = Time::from_millis(1_000);
    let request = Request::from_incoming(&snapshot, &incoming(), &WaitEstimator::default(), now);
    let err = request.expect_err("a refusal");
    assert_eq!(err.reason(), NotRun::NoServer);
    assert_eq!(err.reason().status(), 503);
}

/// Guards against idempotency keys of any size, and against two keys that identify the
/// same request.
#[test]
fn names_of_requests_have_1_to_128_bytes() {
    let named = |id: &[u8]| {
        let mut incoming = incoming();
        incoming.id = Some(Bytes::copy_from_slice(id));
        accept(&incoming).map(|req| req.identity)
    };
    assert_matches!(named(&[]), Err(Error::EmptyId));
    assert_matches!(named(&[b'k'; 128]), Ok(_));
    assert_matches!(named(&[b'k'; 129]), Err(Error::IdTooLong(129)));
    assert_eq!(named(b"a"), named(b"a"));
    assert_ne!(named(b"a"), named(b"b"));
}

fn with_time_left(ms: u64) -> IncomingRequest<'static> {
    IncomingRequest {
        time_left: Some(Duration::from_millis(ms)),
        ..incoming()
    }
}

/// Guards against a retry of a refused caller that counts as a new request, and against a
/// first request that counts as a retry because its deadline is slightly shorter than
/// usual.
#[test]
fn what_a_returning_caller_has_waited_counts() {
    let wait_estimator = WaitEstimator::default();
    let objective = |ms| {
        let request = accept_after(&wait_estimator, &with_time_left(ms)).expect("a request");
        let objective = request.objective.expect("the route has an objective");
        objective.since(Time::from_millis(1_000)).as_millis()
    };
    let first: Vec<_> = [2_000, 1_950, 1_800, 1_650].map(objective).into();
    let returned: Vec<_> = [1_500, 1_200, 900, 500].map(objective).into();
    insta::assert_debug_snapshot!((first, returned));
}

/// Guards against one extreme deadline after which all other requests count as retries.
#[test]
fn one_odd_deadline_changes_little() {
    let wait_estimator = WaitEstimator::default();
    let waited = |ms| wait_estimator.waited(Flow(7 << 32), Duration::from_millis(ms));
    for _ in 0..100 {
        assert_eq!(waited(2_000), Duration::ZERO);
    }
    assert_eq!(waited(600_000), Duration::ZERO);
    assert_eq!(waited(2_000), Duration::ZERO);
}

/// Guards against nested calls with an objective of their own: the objective applies to
/// the request that waits for them.
#[test]
fn a_call_of_a_server_goes_first_and_until_its_deadline() {
    let call = IncomingRequest {
        is_nested: true,
        ..with_time_left(500)
    };
    let wait_estimator = WaitEstimator::default();
    let call = accept_after(&wait_estimator, &call).expect("a request");
    let read = accept_after(&wait_estimator, &with_time_left(500)).expect("a request");
    assert_eq!(call.objective, Some(call.deadline));
    assert!(call.rank < read.rank);
}
