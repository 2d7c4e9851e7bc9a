//! Documents are parsed strictly, and errors contain the position.

mod common;

use assert_matches::assert_matches;
use common::{name, service};
use knapweed_contract::Ticket;
use knapweed_contract::ticket::{Error, MAX_DOCUMENT_LEN};
use proptest::prelude::*;
use serde_json::{Value, json};
use std::fmt::Write;

const EXAMPLE: &str = r#"{
  "ticket": 4711,
  "base": 41,
  "services": [
    { "name": "calendar",
      "versions": [ { "version": "v2", "share": 100 } ],
      "rollout": { "deadline_s": 600, "min_old_capacity": 25, "caution": "careful" } }
  ],
  "routes": [
    { "name": "calendar", "path_prefix": "/calendar", "service": "calendar",
      "timeout_ms": 2000, "idempotent_methods": ["GET", "HEAD"] }
  ],
  "remove": { "services": [], "routes": [] }
}"#;

#[test]
fn the_documented_example_is_read() {
    let ticket = Ticket::parse(EXAMPLE.as_bytes()).expect("the example");
    assert_eq!(ticket.object_count(), 2);
    insta::assert_debug_snapshot!(ticket);
}

/// Guards against typing errors that are silently ignored.
#[test]
fn bad_documents_are_refused_with_the_position() {
    let replaced = [
        ("\"ticket\": 4711", "\"ticket\": -1"),
        ("\"ticket\": 4711", "\"ticket\": 0"),
        ("\"ticket\": 4711,", ""),
        ("\"base\": 41", "\"bass\": 41"),
        ("\"base\": 41", "\"ticket\": 41"),
        ("\"timeout_ms\"", "\"timeout\""),
        ("\"share\": 100", "\"share\": 300"),
        ("\"share\": 100", "\"share\": 99.5"),
        ("\"name\": \"calendar\",\n", "\"name\": \"cal endar\",\n"),
        ("\"careful\"", "\"bold\""),
        ("\"deadline_s\": 600", "\"deadline\": \"tomorrow\""),
        (
            "\"deadline_s\": 600",
            "\"deadline\": \"1969-12-31T23:59:59Z\"",
        ),
        ("  \"remove\"", "  remove"),
        ("[] }\n}", "[] }\n} {}"),
        ("[] }\n}", "[] }"),
    ];
    let mut out = String::new();
    for (from, to) in replaced {
        assert!(EXAMPLE.contains(from), "{from}");
        let document = EXAMPLE.replacen(from, to, 1);
        let e = Ticket::parse(document.as_bytes()).expect_err("a bad document");
        writeln!(out, "{to:?}: {e}").expect("a string");
    }
    insta::assert_snapshot!(out);
}

#[test]
fn large_documents_are_refused() {
    let spaces = vec![b' '; MAX_DOCUMENT_LEN + 1];
    assert_matches!(Ticket::parse(&spaces), Err(Error::TooLong { len: 200_001 }));
    let document = |count| {
        let services: Vec<Value> = (0..count)
            .map(|i| service(&format!("s{i}"), "v1"))
            .collect();
        json!({ "ticket": 1, "services": services }).to_string()
    };
    assert_matches!(Ticket::parse(document(500).as_bytes()), Ok(_));
    assert_matches!(
        Ticket::parse(document(501).as_bytes()),
        Err(Error::TooManyObjects { count: 501 })
    );
}

#[test]
fn the_digest_ignores_spaces_and_the_order_of_fields() {
    let reordered: Value = serde_json::from_str(EXAMPLE).expect("JSON");
    let other = Ticket::parse(reordered.to_string().as_bytes()).expect("the example");
    let mut ticket = Ticket::parse(EXAMPLE.as_bytes()).expect("the example");
    assert_eq!(ticket.digest(), other.digest());
    ticket.services[0].name = name("calender");
    assert_ne!(ticket.digest(), other.digest());
}

proptest! {
    /// Guards against a panic on arbitrary input.
    #[test]
    fn random_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = Ticket::parse(&bytes);
    }

    /// Guards against a panic on a damaged document.
    #[test]
    fn damaged_documents_never_panic(
        at in 0..EXAMPLE.len(), len in 0..8_usize, new in proptest::collection::vec(any::<u8>(), 0..8)
    ) {
        let mut document = EXAMPLE.as_bytes().to_vec();
        let end = (at + len).min(document.len());
        document.splice(at..end, new);
        if let Ok(ticket) = Ticket::parse(&document) {
            let again = serde_json::to_vec(&ticket).expect("JSON");
            prop_assert_eq!(Ticket::parse(&again), Ok(ticket));
        }
    }
}
