//! Backend servers that send bytes without end.

use crate::common::{egress, head};
use assert_matches::assert_matches;
use http::header::HeaderMap;
use http::response;
use http_body_util::BodyExt;
use knapweed_host::{NotRun, Outcome};
use knapweed_node::body;
use knapweed_node::egress::Egress;
use knapweed_node::protocol::native::NativeHeaders;
use knapweed_node::protocol::{ServerAnswer, ServerNotice, ServerProtocol};
use knapweed_timer::TimerService;
use knapweed_wire::RequestHead;
use knapweed_world::backend_server::Announcement;
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Bytes that a node may take from a connection before it closes it, with what the operating
/// system buffers on both sides.
const MAX_TAKEN: usize = 16 * 1024 * 1024;
/// Longest time until a request has its outcome: its deadline, and some time to spare.
const MAX_OUTCOME_TIME: Duration = Duration::from_millis(2_500);
/// Longest time from the end of a request until its connection is closed.
const MAX_CLOSE_TIME: Duration = Duration::from_secs(2);

/// What a backend server sends: a beginning, and then the same bytes again and again.
struct Endless {
    label: &'static str,
    beginning: &'static [u8],
    repeated: &'static [u8],
    /// Pause after each repetition.
    pause: Duration,
}

/// Native headers, but a refusal belongs to the request, so that its body is read.
struct NamedRefusals;

impl ServerProtocol for NamedRefusals {
    fn prepare(
        &self,
        head: &RequestHead,
        server: &Announcement,
        left: Duration,
        to: &mut HeaderMap,
    ) {
        NativeHeaders.prepare(head, server, left, to);
    }

    fn is_leaving(&self, server: &Announcement, response: &response::Parts) -> Option<bool> {
        NativeHeaders.is_leaving(server, response)
    }

    fn notice(&self, response: &response::Parts) -> ServerNotice {
        NativeHeaders.notice(response)
    }

    fn interpret(&self, head: &RequestHead, response: &response::Parts) -> ServerAnswer {
        match NativeHeaders.interpret(head, response) {
            ServerAnswer::RefusedUnnamed(reason) => ServerAnswer::Refused(reason),
            answer => answer,
        }
    }
}

/// Starts a backend server; the channel gets the number of bytes that were taken from it when a
/// connection is closed.
async fn start(endless: &'static Endless) -> (SocketAddr, mpsc::UnboundedReceiver<usize>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (tx, rx) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let tx = tx.clone();
            tokio::spawn(async move {
                let mut request = [0; 1024];
                if !matches!(stream.read(&mut request).await, Ok(1..)) {
                    return;
                }
                let mut taken = 0;
                let mut bytes = endless.beginning;
                while taken <= MAX_TAKEN && stream.write_all(bytes).await.is_ok() {
                    taken += bytes.len();
                    bytes = endless.repeated;
                    if !endless.pause.is_zero() {
                        tokio::time::sleep(endless.pause).await;
                    }
                }
                let _ = tx.send(taken);
            });
        }
    });
    (address, rx)
}

/// The case of a long response that its caller does not read.
const UNREAD: &str = "a body without a length";
const NO_PAUSE: Duration = Duration::ZERO;
const PAUSE: Duration = Duration::from_millis(10);
static CASES: [Endless; 12] = [
    Endless {
        label: "no answer",
        beginning: b"\x00\x01\x02",
        repeated: &[0; 1024],
        pause: NO_PAUSE,
    },
    Endless {
        label: "a header",
        beginning: b"HTTP/1.1 200 OK\r\nx: ",
        repeated: &[b'a'; 1024],
        pause: NO_PAUSE,
    },
    Endless {
        label: "headers",
        beginning: b"HTTP/1.1 200 OK\r\n",
        repeated: b"x: a\r\n",
        pause: NO_PAUSE,
    },
    Endless {
        label: "interim responses",
        beginning: b"HTTP/1.1 100 Continue\r\n\r\n",
        repeated: b"HTTP/1.1 100 Continue\r\n\r\n",
        pause: PAUSE,
    },
    Endless {
        label: "the body of a refusal",
        beginning: b"HTTP/1.1 503 Full\r\nknapweed-shed: 1\r\ntransfer-encoding: chunked\r\n\r\n",
        repeated: b"1\r\na\r\n",
        pause: PAUSE,
    },
    Endless {
        label: "interim responses without a pause",
        beginning: b"HTTP/1.1 100 Continue\r\n\r\n",
        repeated: b"HTTP/1.1 102 Processing\r\nx: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n\r\n",
        pause: NO_PAUSE,
    },
    Endless {
        label: "the digits of a chunk size",
        beginning: b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        repeated: &[b'0'; 1024],
        pause: NO_PAUSE,
    },
    Endless {
        label: "spaces after a chunk size",
        beginning: b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1",
        repeated: &[b' '; 1024],
        pause: NO_PAUSE,
    },
    Endless {
        label: "a chunk extension",
        beginning: b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;x=",
        repeated: &[b'a'; 1024],
        pause: NO_PAUSE,
    },
    Endless {
        label: "trailers",
        beginning: b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        repeated: b"x: a\r\n",
        pause: NO_PAUSE,
    },
    Endless {
        label: "a body without a length",
        beginning: b"HTTP/1.1 200 OK\r\n\r\n",
        repeated: &[b'a'; 1024],
        pause: NO_PAUSE,
    },
    Endless {
        label: "the body of an answer",
        beginning: b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        repeated: b"8\r\naaaaaaaa\r\n",
        pause: NO_PAUSE,
    },
];

/// Guards against a node that reads bytes without end into its memory, waits for their end, or
/// keeps the connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_bytes_end_with_the_request() {
    let timer = TimerService::start();
    let mut out = String::new();
    let mut unbounded = Vec::new();
    for case in &CASES {
        let (address, mut closed) = start(case).await;
        let egress = Egress::new(timer.clone(), Arc::default(), Arc::new(NamedRefusals));
        egress.announce(&egress::announcement(address));
        let started = Instant::now();
        let response = egress.run(head(address, "/calendar"), body::empty()).await;
        let outcome = response.head.outcome;
        assert!(started.elapsed() < MAX_OUTCOME_TIME, "{}", case.label);
        if outcome == Outcome::NotRun(NotRun::ShedByServer) {
            assert!(
                started.elapsed() < Duration::from_millis(500),
                "{}",
                case.label
            );
        }
        // The caller leaves.
        drop(response);
        let taken = tokio::time::timeout(MAX_CLOSE_TIME, closed.recv()).await;
        let taken = taken.expect("a closed connection").expect("a server");
        if taken > MAX_TAKEN {
            unbounded.push(case.label);
        }
        writeln!(out, "{}: {outcome}", case.label).expect("a string");
    }
    assert_eq!(unbounded, [""; 0], "more than {MAX_TAKEN} bytes taken");
    insta::assert_snapshot!(out);
}

/// Guards against a caller that reads nothing of a long response and keeps the slot and the
/// connection of the backend server for as long as it likes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_response_that_is_not_read_ends_at_its_deadline() {
    let timer = TimerService::start();
    let case = CASES.iter().find(|case| case.label == UNREAD);
    let (address, mut closed) = start(case.expect("a case")).await;
    let egress = Egress::new(timer.clone(), Arc::default(), Arc::new(NamedRefusals));
    egress.announce(&egress::announcement(address));
    let mut response = egress.run(head(address, "/calendar"), body::empty()).await;
    let closed = tokio::time::timeout(MAX_OUTCOME_TIME, closed.recv()).await;
    assert_matches!(closed, Ok(Some(_)));
    // The part that has arrived must not look complete.
    let error = loop {
        match response.body.frame().await {
            Some(Ok(_)) => {}
            Some(Err(err)) => break Some(err),
            None => break None,
        }
    };
    assert_matches!(error, Some(_));
}
