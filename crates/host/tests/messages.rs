//! Messages keep their content across serialization, and no header breaks the parser.

mod common;

use bytes::Bytes;
use common::mesh;
use knapweed_host::crash::{CrashId, CrashMemory, CrashRecord, Subject, Suspect};
use knapweed_host::inquiry::{Finding, StoredResponse};
use knapweed_host::ledger::message::{Copy, Floor, KeyState, Permit, PermitAnswer, Record};
use knapweed_host::ledger::table::{Epoch, Member, Row, Slot, SlotTable};
use knapweed_host::request::{Arrival, MAX_DEPTH, Request};
use knapweed_host::{NotRun, Outcome, RequestId, SendId, Unknown};
use knapweed_world::{Time, UnixMillis};
use proptest::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;
use std::sync::Arc;

fn round_trip<T: Debug + DeserializeOwned + PartialEq + Serialize>(value: &T) {
    let text = serde_json::to_string(value).expect("serializable");
    let back: T = serde_json::from_str(&text).expect("what was written");
    assert_eq!(*value, back);
}

fn member(host: &str) -> Member {
    Member {
        host: common::name(host),
        incarnation: 7,
    }
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
    let record = Record {
        send: send(),
        seq: 3,
        state: KeyState::Unresolved,
        egress: member("e1"),
        fingerprint: 9,
        age_s: 10,
        left_s: 2,
    };
    let row = Row::first(common::name("labasa"), member("a"), member("b"));
    round_trip(&SlotTable { rows: vec![row; 2] });
    round_trip(&Permit {
        epoch: Epoch::FIRST,
        send: send(),
        fingerprint: 1,
        made_at: Some(UnixMillis(5)),
        egress: member("e1"),
        left_ms: 1_000,
    });
    round_trip(&PermitAnswer::Refused(NotRun::KeyTooOld));
    round_trip(&Copy {
        slot: Slot(255),
        epoch: Epoch(2),
        deputy: member("b"),
        chunk: 0,
        last: true,
        floor: Some(Floor {
            newer_than: UnixMillis(1),
            until: UnixMillis(2),
        }),
        records: vec![record],
    });
    round_trip(&Finding::Complete(Some(Arc::new(StoredResponse {
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
    let suspect = Suspect {
        identity: Subject([1; 16]),
        content: Subject([2; 16]),
    };
    CrashMemory::default().crashed(&suspect, CrashId::of(send()), Time(0))
}

proptest! {
    /// Guards against a header that stops the ingress or gets past its limits.
    #[test]
    fn any_header_is_taken_or_refused(
        path in proptest::collection::vec(any::<u8>(), 0..40),
        key in proptest::option::of(proptest::collection::vec(any::<u8>(), 0..200)),
        deadline in proptest::option::of("[0-9+. -]{0,22}"),
        depth in proptest::option::of("[0-9]{0,3}"),
        now in 0..u64::MAX / 2,
    ) {
        let snapshot = mesh(&[("v1", 100)]);
        let path = [b"/calendar/".as_slice(), &path].concat();
        let arrival = Arrival {
            method: b"GET",
            path: &path,
            key: key.map(Bytes::from),
            deadline_ms: deadline.as_deref().map(str::as_bytes),
            depth: depth.as_deref().map(str::as_bytes),
            random: [0; 16],
        };
        if let Ok(req) = Request::take(&snapshot, &arrival, Time(now)) {
            prop_assert!((1..=MAX_DEPTH).contains(&req.depth));
            prop_assert!(req.deadline <= Time(now + 2_000_000));
            let len = arrival.key.map_or(1, |key| key.len());
            prop_assert!((1..=128).contains(&len));
            let _ = req.identity.made_at();
        }
    }
}
