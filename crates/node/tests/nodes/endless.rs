//! Backend servers that send bytes without end.

use crate::common::{egress, head};
use http::header::HeaderMap;
use http::response;
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

const NO_PAUSE: Duration = Duration::ZERO;
const PAUSE: Duration = Duration::from_millis(10);
static CASES: [Endless; 6] = [
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
        assert!(taken <= MAX_TAKEN, "{}: {taken}", case.label);
        writeln!(out, "{}: {outcome}", case.label).expect("a string");
    }
    insta::assert_snapshot!(out);
}
