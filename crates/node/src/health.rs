//! Questions to a backend server about itself.

use crate::body;
use http::{HeaderValue, Request, Uri, header, response};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Longest time for an answer. The next heartbeat, which settles the question as
/// well, comes about a second after the one that leads to it.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Asks the backend server at `address` on a connection of its own, and returns
/// the head of its answer.
///
/// # Errors
///
/// There is no answer in time.
pub async fn ask(address: SocketAddr, path: &str) -> anyhow::Result<response::Parts> {
    tokio::time::timeout(TIMEOUT, exchange(address, path)).await?
}

async fn exchange(address: SocketAddr, path: &str) -> anyhow::Result<response::Parts> {
    let stream = TcpStream::connect(address).await?;
    let (mut tx, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let request = Request::builder()
        .uri(path.parse::<Uri>()?)
        .header(header::HOST, HeaderValue::try_from(address.to_string())?)
        .header(header::CONNECTION, "close")
        .body(body::empty())?;
    let driver = tokio::spawn(connection);
    let response = tx.send_request(request).await;
    driver.abort();
    Ok(response?.into_parts().0)
}
