//! Messages survive serialization, and no header value breaks the parser.

mod common;

use bytes::Bytes;
use common::mesh;
use knapweed_host::crash::{CrashId, CrashMemory, CrashRecord, CrashSubjects, Subject};
use knapweed_host::inquiry::{SendStatus, StoredResponse};
use knapweed_host::request::{
    DEADLINE_MS, IncomingRequest, MAX_DEPTH, MAX_ID_LEN, Request, parse_number,
};
use knapweed_host::{Outcome, RequestId, SendId, Unknown, WaitEstimator};
use knapweed_world::Time;
use proptest::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

fn round_trip<T: Debug + DeserializeOwned + PartialEq + Serialize>(value: &T) {
    let text = serde_json::to_string(value).expect("serializable");
    let back: T = serde_json::from_str(&text).expect("what was written");
    assert_eq!(*value, back);
}

fn send() -> SendId {
    SendId {
        request: RequestId([1; 16]),
        attempt: u64::MAX,
    }
}

/// Guards against a message that another node cannot read.
#[test]
fn messages_survive_serialization() {
    round_trip(&SendStatus::Complete(Some(Arc::new(StoredResponse {
        status: 200,
        headers: vec![(Bytes::from_static(b"a"), Bytes::from_static(b"\xff"))],
        body: Bytes::from_static(b"body"),
    }))));
    round_trip(&Outcome::Unknown(Unknown::ConnectionLost));
    for record in crash_records() {
        round_trip(&record);
    }
}

fn crash_records() -> Vec<CrashRecord> {
    let crash_subjects = CrashSubjects {
        identity: Subject([1; 16]),
        content: Subject([2; 16]),
    };
    CrashMemory::default().crashed(&crash_subjects, CrashId::of(send()), Time(0))
}

proptest! {
    /// Guards against a header that makes the ingress panic or exceeds its limits.
    #[test]
    fn any_header_is_taken_or_refused(
        path in proptest::collection::vec(any::<u8>(), 0..40),
        id in proptest::option::of(proptest::collection::vec(any::<u8>(), 0..200)),
        text in "[0-9+. -]{0,22}",
        depth in any::<u8>(),
        now in 0..u64::MAX / 2,
    ) {
        let snapshot = mesh(&[("v1", 100)]);
        let path = [b"/calendar/".as_slice(), &path].concat();
        let incoming = IncomingRequest {
            method: b"GET",
            path: &path,
            id: id.map(Bytes::from),
            time_left: parse_number(DEADLINE_MS, text.as_bytes()).ok().map(Duration::from_millis),
            depth,
            ..IncomingRequest::default()
        };
        if let Ok(req) =
            Request::from_incoming(&snapshot, &incoming, &WaitEstimator::default(), Time(now))
        {
            prop_assert!((1..=MAX_DEPTH).contains(&req.depth));
            prop_assert!(req.deadline <= Time(now + 2_000_000));
            let len = incoming.id.map_or(1, |id| id.len());
            prop_assert!((1..=MAX_ID_LEN).contains(&len));
        }
    }
}
