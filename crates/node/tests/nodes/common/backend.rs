//! A stand-in backend server that counts requests and connections.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// Path of a request that crashes the backend server.
const CRASH_PATH: &[u8] = b"/crash";
/// Path of a request that ends the backend server without an end of its idle connections,
/// as the loss of a host's network stack does.
const VANISH_PATH: &[u8] = b"/vanish";
/// Path of a request whose connection is closed without a response.
const CLOSE_PATH: &[u8] = b"/close";
/// Path of a request whose answer limits the requests of the backend server to 5 per second.
const LIMITED_PATH: &[u8] = b"/limited";
const LIMITED_RESPONSE: &[u8] =
    b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\nknapweed-rate-limit: 5\r\n\r\ndone";
/// Path of a request whose answer says that the backend server is shutting down.
const LEAVING_PATH: &[u8] = b"/leaving";
const LEAVING_RESPONSE: &[u8] =
    b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\nknapweed-leaving: 1\r\n\r\ndone";
/// Path of a request that is refused; the next request on the connection runs, and gets the
/// refusal once more before its answer.
const REFUSE_PATH: &[u8] = b"/refuse";
const REFUSAL: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nknapweed-shed: true\r\n\r\n";
/// Path of a request that gets no answer.
const HANG_PATH: &[u8] = b"/hang";
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";

pub(crate) struct Backend {
    address: SocketAddr,
    counts: Arc<Counts>,
}

/// Counts of requests and connections.
#[derive(Default)]
struct Counts {
    runs: AtomicU32,
    running: AtomicU32,
    /// Highest number of requests that ran at the same time.
    peak: AtomicU32,
    /// Connections accepted since the start.
    connected: AtomicU32,
}

impl Counts {
    fn start(&self) {
        self.runs.fetch_add(1, Ordering::SeqCst);
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        self.peak.fetch_max(running, Ordering::SeqCst);
    }

    fn end(&self) {
        self.running.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Backend {
    /// Starts a backend server whose requests each run for `work`.
    pub(crate) async fn start(work: Duration) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("a port");
        let address = listener.local_addr().expect("an address");
        let counts = Arc::new(Counts::default());
        let runs = Arc::clone(&counts);
        tokio::spawn(async move {
            let mut connections = JoinSet::new();
            loop {
                tokio::select! {
                    Ok((stream, _)) = listener.accept() => {
                        runs.connected.fetch_add(1, Ordering::SeqCst);
                        connections.spawn(serve(stream, work, Arc::clone(&runs)));
                    }
                    Some(Ok(end)) = connections.join_next() => match end {
                        ConnectionEnd::Closed => {}
                        // Closes all sockets, as the end of a process does.
                        ConnectionEnd::Crashed => return,
                        ConnectionEnd::Vanished => return connections.detach_all(),
                    },
                }
            }
        });
        Self { address, counts }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of requests that ran.
    pub(crate) fn runs(&self) -> u32 {
        self.counts.runs.load(Ordering::SeqCst)
    }

    /// Connections accepted since the start.
    pub(crate) fn connected(&self) -> u32 {
        self.counts.connected.load(Ordering::SeqCst)
    }

    /// Highest number of requests that ran at the same time.
    pub(crate) fn peak(&self) -> u32 {
        self.counts.peak.load(Ordering::SeqCst)
    }
}

/// How a connection ended.
enum ConnectionEnd {
    Closed,
    Crashed,
    Vanished,
}

async fn serve(mut stream: TcpStream, work: Duration, counts: Arc<Counts>) -> ConnectionEnd {
    let mut request = Vec::new();
    let mut has_refused = false;
    while let Ok(n) = stream.read_buf(&mut request).await
        && n > 0
    {
        if request.ends_with(b"\r\n\r\n") {
            let contains = |path: &[u8]| request.windows(path.len()).any(|w| w == path);
            let (crashes, closes) = (contains(CRASH_PATH), contains(CLOSE_PATH));
            let response = match () {
                () if contains(LIMITED_PATH) => LIMITED_RESPONSE,
                () if contains(LEAVING_PATH) => LEAVING_RESPONSE,
                () => RESPONSE,
            };
            let (vanishes, hangs) = (contains(VANISH_PATH), contains(HANG_PATH));
            let refuses = contains(REFUSE_PATH);
            request.clear();
            if refuses || has_refused {
                has_refused = refuses;
                if stream.write_all(REFUSAL).await.is_err() {
                    return ConnectionEnd::Closed;
                }
            }
            if refuses {
                continue;
            }
            counts.start();
            tokio::time::sleep(work).await;
            counts.end();
            if crashes {
                return ConnectionEnd::Crashed;
            }
            if closes {
                return ConnectionEnd::Closed;
            }
            if hangs {
                continue;
            }
            if vanishes {
                return ConnectionEnd::Vanished;
            }
            if stream.write_all(response).await.is_err() {
                return ConnectionEnd::Closed;
            }
        }
    }
    ConnectionEnd::Closed
}
