//! Request bodies and responses of the operators' interface.

use crate::body::{Body, full};
use bytes::Bytes;
use gotham::state::{FromState, State};
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use knapweed_contract::api::ErrorResponse;
use serde::Serialize;

/// Reads a request body of at most `limit` bytes.
///
/// # Errors
///
/// The body is too long or incomplete; the error is the response to send.
pub(super) async fn body(state: &mut State, limit: usize) -> Result<Bytes, Response<Body>> {
    let body = Body::take_from(state);
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(err) => {
            let message = format!("the body was not read, the limit is {limit} bytes: {err}");
            Err(error(StatusCode::PAYLOAD_TOO_LARGE, &message))
        }
    }
}

/// A JSON response.
pub(super) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => response(status, "application/json", bytes.into()),
        Err(err) => text(StatusCode::INTERNAL_SERVER_ERROR, &err.to_string()),
    }
}

/// A JSON response with an error message.
pub(super) fn error(status: StatusCode, message: &str) -> Response<Body> {
    json(
        status,
        &ErrorResponse {
            error: message.to_owned(),
        },
    )
}

/// A plain text response.
pub(super) fn text(status: StatusCode, text: &str) -> Response<Body> {
    response(
        status,
        "text/plain; charset=utf-8",
        Bytes::copy_from_slice(text.as_bytes()),
    )
}

fn response(status: StatusCode, content_type: &'static str, bytes: Bytes) -> Response<Body> {
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
