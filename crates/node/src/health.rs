//! Health queries to backend servers.

use crate::{body, client};
use http::{HeaderValue, Request, Uri, header, response};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time limit of a health query. An idle backend server answers within milliseconds; one
/// that is busy is queried again.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Sends a health query to the backend server at `address` on a new connection, and
/// returns the head of its response.
///
/// # Errors
///
/// The connection fails, or there is no response within the time limit.
pub async fn probe(address: SocketAddr, path: &str) -> anyhow::Result<response::Parts> {
    tokio::time::timeout(TIMEOUT, exchange(address, path)).await?
}

async fn exchange(address: SocketAddr, path: &str) -> anyhow::Result<response::Parts> {
    let stream = TcpStream::connect(address).await?;
    let (mut client, connection) = client::handshake(stream).await?;
    let request = Request::builder()
        .uri(path.parse::<Uri>()?)
        .header(header::HOST, HeaderValue::try_from(address.to_string())?)
        .header(header::CONNECTION, "close")
        .body(body::empty())?;
    let driver = tokio::spawn(connection);
    let response = client.sender.send_request(request).await;
    driver.abort();
    Ok(response?.into_parts().0)
}
