//! Requests that got no response from the backend server.

use crate::carrier::Response;
use knapweed_host::admission::Refusal;
use knapweed_host::{NotRun, Outcome};
use std::time::Duration;

/// Outcome of a request that got no response from the backend server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Failure {
    pub(super) outcome: Outcome,
    retry_after: Option<Duration>,
}

impl Failure {
    pub(super) fn into_response(self) -> Response {
        let mut response = Response::without_answer(self.outcome);
        response.head.retry_after_us = self.retry_after.map(|wait| wait.as_micros() as u64);
        response
    }
}

impl From<Outcome> for Failure {
    fn from(outcome: Outcome) -> Self {
        Self {
            outcome,
            retry_after: None,
        }
    }
}

impl From<NotRun> for Failure {
    fn from(reason: NotRun) -> Self {
        Outcome::NotRun(reason).into()
    }
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Self {
            outcome: Outcome::NotRun(refusal.reason),
            retry_after: refusal.retry_after,
        }
    }
}
