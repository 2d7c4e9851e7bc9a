//! Tests of the ticket commands: text output, JSON output and exit codes.

mod common;

use common::{FakeNode, report, run};
use knapweed_contract::api::{FileResponse, TicketResponse};
use knapweed_contract::head::Accepted;
use knapweed_contract::result::{Attempt, Ending, Evidence, FinalResult, Record, Tally};
use knapweed_contract::{Item, Outcome, Problem, Reason, Ticket};
use knapweed_store::Revision;
use knapweed_world::{ConfigVersion, TicketNumber, UnixMillis};
use serde_json::json;
use std::time::Duration;

const NOW: UnixMillis = UnixMillis(1_772_344_800_000);
const DOCUMENT: &str = r#"{ "ticket": 7, "services": [] }"#;

fn record(ending: Option<Ending>) -> Record {
    let ticket = Ticket::parse(DOCUMENT.as_bytes()).expect("a ticket");
    let head = Revision::new(5);
    let accepted = Accepted {
        ticket: TicketNumber(7),
        version: ConfigVersion(3),
        at: NOW,
    };
    let record = Record::new(ticket, ConfigVersion(2), Attempt { head, at: NOW });
    let result = ending.map(|e| FinalResult::new(e, NOW.after(Duration::from_secs(90))));
    Record {
        progress: Some(accepted),
        result,
        ..record
    }
}

fn filed(outcome: Outcome) -> FileResponse {
    FileResponse::new(Some(TicketNumber(7)), outcome)
}

fn outcomes() -> Vec<Outcome> {
    let reason = Reason::ShareSum { sum: 90 };
    let item = Item::Service("calendar".parse().expect("a name"));
    vec![
        Outcome::Accepted {
            version: ConfigVersion(3),
            at: NOW,
        },
        Outcome::Refused {
            reasons: vec![Problem { item, reason }],
        },
        Outcome::Superseded {
            by: TicketNumber(8),
        },
        Outcome::NumberTaken {
            number: TicketNumber(7),
        },
        Outcome::Unavailable {
            reason: "outage".to_owned(),
        },
        Outcome::Unknown {
            reason: "the answer was lost".to_owned(),
        },
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn filing_tells_each_outcome() {
    let mut out = String::new();
    for outcome in outcomes() {
        let node = FakeNode::start().await;
        let response = filed(outcome);
        node.respond("POST /v1/tickets", response.status(), &response);
        report(
            &mut out,
            &[node.address],
            &["ticket", "file", "-"],
            DOCUMENT,
        )
        .await;
        assert_eq!(node.bodies(), [DOCUMENT]);
    }
    insta::assert_snapshot!(out);
}

/// Guards against sending a malformed document to a node.
#[tokio::test(flavor = "multi_thread")]
async fn bad_documents_are_refused_without_a_node() {
    let node = FakeNode::start().await;
    let mut out = String::new();
    let args = ["ticket", "file", "-"];
    report(
        &mut out,
        &[node.address],
        &args,
        "{ \"ticket\": 7,\n  \"bass\": 3 }",
    )
    .await;
    report(&mut out, &[node.address], &args, &" ".repeat(300_000)).await;
    let args = ["--output", "json", "ticket", "file", "-"];
    report(&mut out, &[node.address], &args, "{}").await;
    let args = ["ticket", "file", "/missing/ticket.json"];
    report(&mut out, &[node.address], &args, "").await;
    assert!(node.bodies().is_empty());
    insta::assert_snapshot!(out);
}

/// Guards against a command that fails while another node could respond, and
/// against reporting `not accepted` when one node reported `unknown`.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_are_tried_in_order() {
    let mut out = String::new();
    let failing = FakeNode::start().await;
    let (first, second) = (FakeNode::start().await, FakeNode::start().await);
    let error = json!({ "error": "starting" });
    failing.respond("POST /v1/tickets", 500, &error);
    failing.respond("GET /v1/tickets/7", 503, &error);
    let mut responses = outcomes().into_iter().map(filed);
    let accepted = responses.next().expect("accepted");
    let unknown = responses.next_back().expect("unknown");
    let unavailable = responses.next_back().expect("unavailable");
    first.respond("POST /v1/tickets", 503, &unknown);
    second.respond("POST /v1/tickets", 503, &unavailable);
    second.respond("POST /v1/tickets", 200, &accepted);
    second.respond("GET /v1/tickets/7", 200, &TicketResponse::new(record(None)));
    let nodes = [failing.address, first.address, second.address];
    let file = ["ticket", "file", "-"];
    report(&mut out, &nodes, &file, DOCUMENT).await;
    report(&mut out, &nodes, &file, DOCUMENT).await;
    report(&mut out, &nodes[..1], &file, DOCUMENT).await;
    let show = ["ticket", "show", "7"];
    report(&mut out, &[nodes[0], nodes[2]], &show, "").await;
    report(&mut out, &nodes[..1], &show, "").await;
    insta::assert_snapshot!(out);
}

/// Guards against reporting `not accepted` while a node that was tried earlier may
/// still accept the ticket. A node that refused the connection cannot accept it.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_did_not_answer_leaves_the_outcome_unknown() {
    let (silent, second) = (FakeNode::start().await, FakeNode::start().await);
    silent.respond("POST /v1/tickets", 500, &json!({ "error": "stopping" }));
    let reason = "outage".to_owned();
    let unavailable = filed(Outcome::Unavailable { reason });
    second.respond("POST /v1/tickets", 503, &unavailable);
    let mut out = String::new();
    let closed = "127.0.0.1:1".parse().expect("an address");
    let file = ["ticket", "file", "-"];
    report(&mut out, &[silent.address, second.address], &file, DOCUMENT).await;
    report(&mut out, &[closed, second.address], &file, DOCUMENT).await;
    report(&mut out, &[closed], &file, DOCUMENT).await;
    insta::assert_snapshot!(out);
}

#[tokio::test(flavor = "multi_thread")]
async fn waiting_tells_the_final_result() {
    let pulled_back = Ending::PulledBack {
        service: "calendar".parse().expect("a name"),
        reason: "the new versions failed more often".to_owned(),
        evidence: Some(Evidence {
            route: None,
            zone: None,
            new: Tally {
                requests: 40,
                failures: 12,
                slow: 0,
            },
            old: Tally::default(),
        }),
    };
    let by = TicketNumber(8);
    let endings = [
        Ending::Completed,
        Ending::InForce,
        Ending::Superseded { by },
        pulled_back,
    ];
    let mut out = String::new();
    for ending in endings {
        let node = FakeNode::start().await;
        let path = "GET /v1/tickets/7";
        node.respond(path, 404, &json!({ "error": "ticket 7 is not filed" }));
        node.respond(path, 200, &TicketResponse::new(record(None)));
        node.respond(path, 200, &TicketResponse::new(record(Some(ending))));
        let args = ["ticket", "wait", "7", "--timeout", "10"];
        report(&mut out, &[node.address], &args, "").await;
    }
    insta::assert_snapshot!(out);
}

/// Guards against a wait that never ends.
#[tokio::test(flavor = "multi_thread")]
async fn waiting_ends_at_its_timeout() {
    let mut out = String::new();
    let node = FakeNode::start().await;
    let args = ["ticket", "wait", "7", "--timeout", "1"];
    report(&mut out, &[node.address], &args, "").await;
    let open = TicketResponse::new(record(None));
    node.respond("GET /v1/tickets/7", 200, &open);
    report(&mut out, &[node.address], &args, "").await;
    report(&mut out, &[node.address], &["ticket", "show", "8"], "").await;
    insta::assert_snapshot!(out);
}

#[tokio::test(flavor = "multi_thread")]
async fn json_output_is_the_response() {
    let node = FakeNode::start().await;
    let response = TicketResponse::new(record(Some(Ending::Completed)));
    node.respond("GET /v1/tickets/7", 200, &response);
    let address = node.address.to_string();
    let args = [
        "ticket", "show", "7", "--output", "json", "--node", &address,
    ];
    let run = run(&args, "").await;
    assert_eq!(run.stderr, "");
    let read: TicketResponse = serde_json::from_str(&run.stdout).expect("a response");
    assert_eq!(read, response);
}
