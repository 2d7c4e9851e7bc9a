//! HTTP client with which tests act as callers and operators.

use anyhow::Context;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest time to wait for a complete response.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A complete HTTP response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status code.
    pub status: StatusCode,
    /// All headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl Reply {
    /// Value of a header, or an empty string if it is absent or not text.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default()
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// The body is not JSON.
    pub fn json(&self) -> anyhow::Result<serde_json::Value> {
        serde_json::from_slice(&self.body)
            .with_context(|| format!("invalid JSON: {}", String::from_utf8_lossy(&self.body)))
    }
}

/// An HTTP client with a connection pool; clones share the pool.
#[derive(Clone, Debug)]
pub struct Client {
    inner: HttpClient<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            inner: HttpClient::builder(TokioExecutor::new()).build(connector),
        }
    }
}

impl Client {
    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// No complete response arrives in time, or the request is invalid.
    pub async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> anyhow::Result<Reply> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(body.into()))?;
        let exchange = async {
            let (parts, body) = self.inner.request(req).await?.into_parts();
            let body = body.collect().await?.to_bytes();
            Ok::<_, anyhow::Error>(Reply {
                status: parts.status,
                headers: parts.headers,
                body,
            })
        };
        tokio::time::timeout(TIMEOUT, exchange)
            .await
            .context("no complete response in time")?
    }

    /// Sends a GET request without headers and reads the complete response.
    ///
    /// # Errors
    ///
    /// No complete response arrives in time, or the request is invalid.
    pub async fn get(&self, address: SocketAddr, path: &str) -> anyhow::Result<Reply> {
        self.send(Method::GET, address, path, &[], Bytes::new())
            .await
    }
}
