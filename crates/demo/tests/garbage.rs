//! Malformed input on every port does not stop a node.

use anyhow::ensure;
use http::Method;
use knapweed_demo::Mesh;
use knapweed_demo::fleet::{self, NODES, limited};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::time::Duration;

/// Longest time until a connection that received malformed input is answered or closed.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Guards against a node that exits or stops serving because of malformed input.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn garbage_on_every_port_is_survived() -> anyhow::Result<()> {
    limited(async {
        let mut mesh = fleet::start(&NODES[..2], &["a1"]).await?;
        let node = mesh.node("a1");
        for address in [node.callers, node.operators, mesh.platform()] {
            for bytes in [vec![0; 4_096], b"GET".repeat(1_000), long_header()] {
                send_malformed(address, &bytes)?;
            }
        }
        let socket = UdpSocket::bind((std::net::Ipv4Addr::LOCALHOST, 0))?;
        for len in [1, 20, 1_200, 9_000] {
            socket.send_to(&vec![0xff; len], node.nodes)?;
        }
        refuse_bad_documents(&mesh, node.operators).await?;
        still_serves(&mut mesh, node.callers).await
    })
    .await
}

/// Returns a request whose header section exceeds every limit.
fn long_header() -> Vec<u8> {
    let value = "x".repeat(2_000_000);
    format!("GET / HTTP/1.1\r\nhost: a\r\nlong: {value}\r\n\r\n").into_bytes()
}

/// Sends malformed bytes, and reads until the peer has responded or closed the connection.
fn send_malformed(address: SocketAddr, bytes: &[u8]) -> anyhow::Result<()> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    // The peer may close the connection before all bytes are sent.
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let mut response = Vec::new();
    let _ = stream.take(10_000).read_to_end(&mut response);
    Ok(())
}

async fn refuse_bad_documents(mesh: &Mesh, operators: SocketAddr) -> anyhow::Result<()> {
    let cases = [
        ("/v1/tickets", "not json".to_owned(), 409),
        ("/v1/tickets", "x".repeat(300_000), 413),
        ("/v1/announce", "{}".to_owned(), 400),
        ("/v1/announce", "x".repeat(5_000), 413),
    ];
    for (path, body, expected) in cases {
        let reply = mesh
            .client
            .send(Method::POST, operators, path, &[], body)
            .await?;
        let text = String::from_utf8_lossy(&reply.body);
        ensure!(reply.status == expected, "{path}: {} {text}", reply.status);
        ensure!(!text.is_empty(), "{path} gives no reason");
    }
    Ok(())
}

async fn still_serves(mesh: &mut Mesh, callers: SocketAddr) -> anyhow::Result<()> {
    let alive = mesh.process("a1").wait(Duration::from_millis(100)).is_err();
    ensure!(alive, "the node exited: {}", mesh.process("a1").log());
    mesh.until("a call is answered", Duration::from_secs(5), || async {
        let reply = mesh.client.get(callers, "/today").await.ok()?;
        (reply.status == 200).then_some(())
    })
    .await?;
    Ok(())
}
