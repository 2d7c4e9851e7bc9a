//! HTTP connections to backend servers.

use crate::body::Body;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Longest head of a response, in bytes. The head is parsed again with each read until it
/// is complete, so a long one also costs processor time.
const MAX_HEAD_LEN: usize = 32 * 1024;

/// The I/O of a connection, which must be polled.
pub(crate) type Driver = Connection<TokioIo<TcpStream>, Body>;

/// Starts HTTP on a connection to a backend server.
///
/// # Errors
///
/// The connection fails.
pub(crate) async fn handshake(stream: TcpStream) -> hyper::Result<(SendRequest<Body>, Driver)> {
    let mut builder = Builder::new();
    builder.max_buf_size(MAX_HEAD_LEN);
    builder.handshake(TokioIo::new(stream)).await
}
