//! Calls on objects.

use crate::respond;
use bytes::Bytes;
use gotham::helpers::http::Body;
use gotham::state::{FromState, State};
use http::{HeaderMap, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use knapweed_platform::object::MAX_VALUE_LEN;
use knapweed_platform::{Condition, Error, Object, ObjectKey, Platform, Revision};
use knapweed_platform_http::protocol::{ANY, Listed, Listing, OBJECTS, parse_etag};
use std::time::Duration;

/// Longest wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// The reason why a call cannot be understood.
struct BadCall(&'static str);

impl BadCall {
    fn answer(&self, state: &State) -> Response<Body> {
        respond::text(state, StatusCode::BAD_REQUEST, self.0.to_owned())
    }
}

/// `GET /objects/<key>`, with a wait when `after` is given.
pub(crate) async fn read(platform: &dyn Platform, state: &mut State) -> Response<Body> {
    let key = key(state);
    let (after, wait) = match (number(state, "after"), number(state, "wait_ms")) {
        (Ok(after), Ok(wait)) => (after, wait),
        (Err(e), _) | (_, Err(e)) => return e.answer(state),
    };
    let Some(after) = after else {
        let result = platform.read(&key).await;
        return object(state, result, StatusCode::NOT_FOUND);
    };
    let wait = Duration::from_millis(wait.unwrap_or(0)).min(MAX_WAIT);
    let result = platform.watch(&key, Revision(after), wait).await;
    object(state, result, StatusCode::NOT_MODIFIED)
}

/// `PUT /objects/<key>`.
pub(crate) async fn write(platform: &dyn Platform, state: &mut State) -> Response<Body> {
    let key = key(state);
    let condition = match condition(HeaderMap::borrow_from(state)) {
        Ok(condition) => condition,
        Err(e) => return e.answer(state),
    };
    let value = match value(Body::take_from(state)).await {
        Ok(Some(value)) => value,
        Ok(None) => return respond::empty(state, StatusCode::PAYLOAD_TOO_LARGE),
        Err(e) => return e.answer(state),
    };
    match platform.write(&key, value, condition).await {
        Ok(revision) => respond::with_etag(respond::empty(state, StatusCode::OK), revision),
        Err(e) => respond::failure(state, &e),
    }
}

/// `DELETE /objects/<key>`.
pub(crate) async fn delete(platform: &dyn Platform, state: &mut State) -> Response<Body> {
    let key = key(state);
    let revision = match condition(HeaderMap::borrow_from(state)) {
        Ok(Condition::Revision(revision)) => revision,
        Ok(Condition::Absent) => return BadCall("DELETE needs if-match").answer(state),
        Err(e) => return e.answer(state),
    };
    match platform.delete(&key, revision).await {
        Ok(()) => respond::empty(state, StatusCode::OK),
        Err(e) => respond::failure(state, &e),
    }
}

/// `GET /list`.
pub(crate) async fn list(platform: &dyn Platform, state: &mut State) -> Response<Body> {
    let prefix = parameter(state, "prefix").unwrap_or_default().to_owned();
    match platform.list(&prefix).await {
        Ok(found) => {
            let objects = found.into_iter();
            let objects = objects.map(|(key, revision)| Listed { key, revision });
            let listing = Listing {
                objects: objects.collect(),
            };
            respond::json(state, &listing)
        }
        Err(e) => respond::failure(state, &e),
    }
}

fn object(
    state: &State,
    result: Result<Option<Object>, Error>,
    otherwise: StatusCode,
) -> Response<Body> {
    match result {
        Ok(Some(object)) => {
            let body = Body::new(http_body_util::Full::new(object.value).map_err(|e| match e {}));
            let mut response = respond::empty(state, StatusCode::OK);
            *response.body_mut() = body;
            respond::with_etag(response, object.revision)
        }
        Ok(None) => respond::empty(state, otherwise),
        Err(e) => respond::failure(state, &e),
    }
}

fn key(state: &State) -> ObjectKey {
    let path = Uri::borrow_from(state).path();
    ObjectKey::new(path.strip_prefix(OBJECTS).unwrap_or(path))
}

/// A parameter of the query, taken as it stands.
fn parameter<'a>(state: &'a State, name: &str) -> Option<&'a str> {
    let query = Uri::borrow_from(state).query()?;
    let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
    pairs.find(|(n, _)| *n == name).map(|(_, value)| value)
}

fn number(state: &State, name: &str) -> Result<Option<u64>, BadCall> {
    let text = parameter(state, name);
    let number = text.map(str::parse).transpose();
    number.map_err(|_| BadCall("after and wait_ms are numbers"))
}

fn condition(headers: &HeaderMap) -> Result<Condition, BadCall> {
    let text = |name| headers.get(name).map(|v| v.to_str().unwrap_or_default());
    match (text(header::IF_MATCH), text(header::IF_NONE_MATCH)) {
        (Some(tag), None) => parse_etag(tag)
            .map(Condition::Revision)
            .ok_or(BadCall("if-match is a revision in quotes")),
        (None, Some(ANY)) => Ok(Condition::Absent),
        _ => Err(BadCall("expected if-match or if-none-match: *")),
    }
}

/// The body of a write; `None` when it is too long.
///
/// Up to twice the limit is read, since a caller that is still sending might
/// miss an early answer.
async fn value(body: Body) -> Result<Option<Bytes>, BadCall> {
    match Limited::new(body, 2 * MAX_VALUE_LEN).collect().await {
        Ok(value) => Ok(Some(value.to_bytes()).filter(|v| v.len() <= MAX_VALUE_LEN)),
        Err(e) if e.is::<LengthLimitError>() => Ok(None),
        Err(_) => Err(BadCall("the body ended early")),
    }
}
