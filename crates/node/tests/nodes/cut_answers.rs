//! Backend servers that stop in the middle of an answer and close the connection.

use crate::common::{egress, head};
use bytes::Bytes;
use http_body_util::BodyExt;
use knapweed_host::Outcome;
use knapweed_node::body;
use knapweed_node::egress::Egress;
use knapweed_node::protocol::native::NativeHeaders;
use knapweed_timer::TimerService;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Time in which a part of an answer arrives.
const PART_TIME: Duration = Duration::from_millis(50);

const ANSWERS: [(&str, &[u8]); 3] = [
    (
        "with a length",
        b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 12\r\n\r\nall of it ok",
    ),
    (
        "in chunks",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n7\r\nall of \r\n5\r\nit ok\r\n0\r\n\r\n",
    ),
    (
        "after an interim response",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\nall of it ok",
    ),
];

/// Starts a backend server that sends the first bytes of `answer`, as many as the path of the
/// request says, and closes the connection.
async fn start(answer: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 1024];
                let Ok(read @ 1..) = stream.read(&mut request).await else {
                    return;
                };
                let request = String::from_utf8_lossy(&request[..read]);
                let path = request.split(' ').nth(1).unwrap_or_default();
                let len = path.rsplit('/').next().and_then(|len| len.parse().ok());
                let _ = stream.write_all(&answer[..len.unwrap_or(0)]).await;
            });
        }
    });
    address
}

/// The body of the answer that the caller gets, if it is a whole one.
async fn whole_body(timer: TimerService, address: SocketAddr, len: usize) -> Option<Bytes> {
    // An egress for each request: those that end without an answer count as crashes.
    let egress = Egress::new(timer, Arc::default(), Arc::new(NativeHeaders));
    egress.announce(&egress::announcement(address));
    let mut head = head(address, "/calendar");
    head.path = format!("/calendar/{len}").into();
    let response = egress.run(head, body::empty()).await;
    let is_answered = matches!(response.head.outcome, Outcome::Answered(_));
    let body = response.body.collect().await.ok()?;
    is_answered.then(|| body.to_bytes())
}

/// Guards against an answer that broke off, in its head or in its body, and reaches the caller
/// as a whole one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_breaks_off_is_never_whole() {
    let timer = TimerService::start();
    for (label, answer) in ANSWERS {
        let address = start(answer).await;
        let requests = (0..=answer.len()).map(|len| {
            let request = tokio::spawn(whole_body(timer.clone(), address, len));
            (len, request)
        });
        for (len, request) in requests.collect::<Vec<_>>() {
            let whole = request.await.expect("no panic");
            let expected = (len == answer.len()).then_some(&b"all of it ok"[..]);
            assert_eq!(whole.as_deref(), expected, "{label}, {len} bytes");
        }
    }
}

/// Length of an upload that the backend server never reads to its end.
const UPLOAD_LEN: usize = 8 << 20;
/// Time for which a backend server keeps an upload that it does not read.
const UNREAD_TIME: Duration = Duration::from_secs(5);

/// How a backend server ends the connection of an answer to an upload.
#[derive(Clone, Copy, Debug)]
enum End {
    Closed,
    /// Only the side of the answer ends; the upload is not read.
    Finished,
    Reset,
}

/// Starts a backend server that answers each upload at once without a length, goes on with a
/// part of the body, and ends the connection while the upload is being written.
async fn start_early(len: usize, end: End) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 1024];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await;
            let _ = stream.write_all(&vec![b'a'; len]).await;
            // The part arrives before the reset.
            tokio::time::sleep(PART_TIME).await;
            match end {
                End::Closed => {}
                End::Finished => {
                    let _ = stream.shutdown().await;
                    tokio::time::sleep(UNREAD_TIME).await;
                }
                End::Reset => drop(stream.set_zero_linger()),
            }
        }
    });
    address
}

/// Guards against an answer without a length whose connection ends while the request is still
/// being sent: its end is no sign that it is whole.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_without_a_length_is_not_whole_before_its_upload() {
    let timer = TimerService::start();
    for len in [0, 1, 1_000, 300_000] {
        for end in [End::Closed, End::Finished, End::Reset] {
            let address = start_early(len, end).await;
            let egress = Egress::new(timer.clone(), Arc::default(), Arc::new(NativeHeaders));
            egress.announce(&egress::announcement(address));
            let mut head = head(address, "/calendar");
            head.has_body = true;
            let upload = body::full(Bytes::from(vec![b'a'; UPLOAD_LEN]));
            let response = egress.run(head, upload).await;
            let is_answered = matches!(response.head.outcome, Outcome::Answered(_));
            let body = response
                .body
                .collect()
                .await
                .map(|body| body.to_bytes().len());
            println!("{end:?} after {len} bytes: answered {is_answered}, {body:?}");
            assert!(!is_answered || body.is_err(), "{end:?} after {len} bytes");
        }
    }
}

/// Guards against an answer whose status is none, or none that HTTP defines, and that reaches the
/// caller as an answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_without_a_valid_status_is_none() {
    const STATUSES: [(&str, &[u8]); 8] = [
        ("000", b"HTTP/1.1 000 OK\r\ncontent-length: 2\r\n\r\nok"),
        ("099", b"HTTP/1.1 099 OK\r\ncontent-length: 2\r\n\r\nok"),
        ("600", b"HTTP/1.1 600 OK\r\ncontent-length: 2\r\n\r\nok"),
        ("999", b"HTTP/1.1 999 OK\r\ncontent-length: 2\r\n\r\nok"),
        ("1000", b"HTTP/1.1 1000 OK\r\ncontent-length: 2\r\n\r\nok"),
        ("letters", b"HTTP/1.1 abc OK\r\ncontent-length: 2\r\n\r\nok"),
        (
            "two digits",
            b"HTTP/1.1 20 OK\r\ncontent-length: 2\r\n\r\nok",
        ),
        ("none", b"HTTP/1.1 \r\ncontent-length: 2\r\n\r\nok"),
    ];
    let timer = TimerService::start();
    for (label, answer) in STATUSES {
        let address = start(answer).await;
        let whole = whole_body(timer.clone(), address, answer.len()).await;
        assert_eq!(whole, None, "{label}");
    }
}
