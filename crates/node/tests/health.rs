//! Health queries to backend servers.

use knapweed_node::health::probe;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Starts a server that sends `raw_response` on each connection and closes it.
async fn server(raw_response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = [0; 1024];
            let _ = stream.read(&mut buf).await;
            let _ = stream.write_all(raw_response.as_bytes()).await;
        }
    });
    address
}

/// Guards against the loss of a response when the server closes the connection right
/// after it. Repeated, since the client may observe the two events in either order.
#[tokio::test]
async fn an_answer_before_the_close_counts() {
    let address = server("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n").await;
    for _ in 0..50 {
        let response = probe(address, "/health").await.expect("a response");
        assert_eq!(response.status, 200);
    }
}

#[tokio::test]
async fn a_close_without_an_answer_is_an_error() {
    let address = server("").await;
    probe(address, "/health").await.expect_err("no response");
}
