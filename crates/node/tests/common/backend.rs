//! A backend server that counts what it ran.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";

pub(crate) struct Backend {
    address: SocketAddr,
    runs: Arc<AtomicU32>,
}

impl Backend {
    /// Starts a backend server that works on each request for `work`.
    pub(crate) async fn start(work: Duration) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("a port");
        let address = listener.local_addr().expect("an address");
        let runs = Arc::new(AtomicU32::new(0));
        let counter = Arc::clone(&runs);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, work, Arc::clone(&counter)));
            }
        });
        Self { address, runs }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Requests that ran.
    pub(crate) fn runs(&self) -> u32 {
        self.runs.load(Ordering::SeqCst)
    }
}

async fn serve(mut stream: TcpStream, work: Duration, runs: Arc<AtomicU32>) {
    let mut request = Vec::new();
    while let Ok(n) = stream.read_buf(&mut request).await
        && n > 0
    {
        if request.ends_with(b"\r\n\r\n") {
            request.clear();
            runs.fetch_add(1, Ordering::SeqCst);
            tokio::time::sleep(work).await;
            if stream.write_all(RESPONSE).await.is_err() {
                return;
            }
        }
    }
}
