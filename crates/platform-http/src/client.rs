//! The client.

use crate::answer::{self, Raw};
use crate::protocol::{self, ANY, LIST, OBJECTS};
use bytes::Bytes;
use http::{Method, Request, Response, header, request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use knapweed_platform::object::MAX_VALUE_LEN;
use knapweed_platform::{Answer, Condition, Error, Object, ObjectKey, Platform, Revision};
use std::net::SocketAddr;
use std::time::Duration;

/// Options of an [`HttpPlatform`].
#[derive(Clone, Debug)]
pub struct Builder {
    address: SocketAddr,
    request_timeout: Duration,
    connect_timeout: Duration,
    idle_timeout: Duration,
    max_idle_connections: usize,
}

impl Builder {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            request_timeout: Duration::from_secs(2),
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(30),
            max_idle_connections: 4,
        }
    }

    /// Longest time of a call, by default 2 s; a watch adds its wait.
    pub fn request_timeout(mut self, timeout: Duration) -> Self {
        self.request_timeout = timeout;
        self
    }

    /// Longest time to open a connection, by default 1 s.
    pub fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Time after which an unused connection is closed, by default 30 s.
    pub fn idle_timeout(mut self, timeout: Duration) -> Self {
        self.idle_timeout = timeout;
        self
    }

    /// Number of unused connections kept open, by default 4.
    pub fn max_idle_connections(mut self, max: usize) -> Self {
        self.max_idle_connections = max;
        self
    }

    /// Builds the client; it connects with its first call.
    pub fn build(self) -> HttpPlatform {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(self.connect_timeout));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(self.idle_timeout)
            .pool_max_idle_per_host(self.max_idle_connections)
            .build(connector);
        HttpPlatform {
            client,
            address: self.address,
            request_timeout: self.request_timeout,
        }
    }
}

/// The platform behind HTTP.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    request_timeout: Duration,
}

/// The effect that a call may have had when its answer is missing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Effect {
    None,
    Possible,
}

impl Effect {
    /// The error for an answer that is missing after the request was sent.
    fn missing(self, reason: String) -> Error {
        match self {
            Self::None => Error::Unavailable(reason),
            Self::Possible => Error::AnswerLost(reason),
        }
    }
}

/// Construction.
impl HttpPlatform {
    /// Options for the platform at `address`.
    pub fn builder(address: SocketAddr) -> Builder {
        Builder::new(address)
    }
}

/// Steps of a call.
impl HttpPlatform {
    fn request(&self, method: Method, path: &str) -> request::Builder {
        let uri = format!("http://{}{path}", self.address);
        Request::builder().method(method).uri(uri)
    }

    /// Sends a request and collects its answer within `timeout`.
    async fn send(
        &self,
        request: request::Builder,
        body: Bytes,
        timeout: Duration,
        effect: Effect,
    ) -> Result<Raw, Error> {
        let request = request
            .body(Full::new(body))
            .map_err(|e| Error::Unavailable(format!("no request can be made: {e}")))?;
        match tokio::time::timeout(timeout, self.exchange(request, effect)).await {
            Ok(result) => result,
            Err(_) => Err(effect.missing(format!("no answer within {timeout:?}"))),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>, effect: Effect) -> Result<Raw, Error> {
        let response = self.client.request(request).await;
        let response = response.map_err(|e| match e.is_connect() {
            true => Error::Unavailable(chain(&e)),
            false if is_nonsense(&e) => Error::Malformed(chain(&e)),
            false => effect.missing(chain(&e)),
        })?;
        let (head, body) = response.into_parts();
        let body = body.collect().await;
        let body = body.map_err(|e| effect.missing(chain(&e)))?;
        Ok(Response::from_parts(head, body.to_bytes()))
    }

    async fn get(&self, path: &str, timeout: Duration) -> Result<Raw, Error> {
        let request = self.request(Method::GET, path);
        self.send(request, Bytes::new(), timeout, Effect::None)
            .await
    }

    async fn change(
        &self,
        method: Method,
        key: &ObjectKey,
        value: Bytes,
        condition: Condition,
    ) -> Result<Raw, Error> {
        let request = self.request(method, &object_path(key)?);
        let request = match condition {
            Condition::Absent => request.header(header::IF_NONE_MATCH, ANY),
            Condition::Revision(r) => request.header(header::IF_MATCH, protocol::etag(r)),
        };
        self.send(request, value, self.request_timeout, Effect::Possible)
            .await
    }
}

/// The path of an object; keys of other characters are refused before a call.
fn object_path(key: &ObjectKey) -> Result<String, Error> {
    Ok(format!("{OBJECTS}{}", uri_safe(key.as_str())?))
}

fn uri_safe(text: &str) -> Result<&str, Error> {
    match protocol::is_uri_safe(text) {
        true => Ok(text),
        false => Err(Error::Unavailable(format!("{text:?} cannot be in a URI"))),
    }
}

/// The messages of an error and its causes.
fn chain(e: &dyn std::error::Error) -> String {
    let mut text = e.to_string();
    let mut source = e.source();
    while let Some(e) = source {
        text = format!("{text}: {e}");
        source = e.source();
    }
    text
}

/// Whether the answer was not HTTP.
fn is_nonsense(e: &hyper_util::client::legacy::Error) -> bool {
    let mut source = std::error::Error::source(e);
    while let Some(e) = source {
        if let Some(e) = e.downcast_ref::<hyper::Error>() {
            return e.is_parse();
        }
        source = e.source();
    }
    false
}

impl Platform for HttpPlatform {
    fn read<'a>(&'a self, key: &'a ObjectKey) -> Answer<'a, Option<Object>> {
        Box::pin(async move {
            let path = object_path(key)?;
            answer::object(self.get(&path, self.request_timeout).await?)
        })
    }

    fn watch<'a>(
        &'a self,
        key: &'a ObjectKey,
        after: Revision,
        wait: Duration,
    ) -> Answer<'a, Option<Object>> {
        Box::pin(async move {
            let path = object_path(key)?;
            let path = format!("{path}?after={}&wait_ms={}", after.0, wait.as_millis());
            answer::object(self.get(&path, self.request_timeout + wait).await?)
        })
    }

    fn write<'a>(
        &'a self,
        key: &'a ObjectKey,
        value: Bytes,
        condition: Condition,
    ) -> Answer<'a, Revision> {
        Box::pin(async move {
            let len = value.len();
            if len > MAX_VALUE_LEN {
                let key = key.clone();
                return Err(Error::TooLarge { key, len });
            }
            let raw = self.change(Method::PUT, key, value, condition).await?;
            answer::written(&raw, key, len)?.ok_or_else(|| answer::no_etag(&raw))
        })
    }

    fn delete<'a>(&'a self, key: &'a ObjectKey, revision: Revision) -> Answer<'a, ()> {
        Box::pin(async move {
            let condition = Condition::Revision(revision);
            let raw = self.change(Method::DELETE, key, Bytes::new(), condition);
            answer::written(&raw.await?, key, 0).map(drop)
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> Answer<'a, Vec<(ObjectKey, Revision)>> {
        Box::pin(async move {
            let path = format!("{LIST}?prefix={}", uri_safe(prefix)?);
            let listing = answer::listing(&self.get(&path, self.request_timeout).await?)?;
            let objects = listing.objects.into_iter();
            Ok(objects.map(|o| (o.key, o.revision)).collect())
        })
    }
}
