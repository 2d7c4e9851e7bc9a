//! Routes.

use crate::{Name, ServiceKey};
use bytes::Bytes;
use std::time::Duration;

/// A route: requests whose path starts with a prefix go to one service.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// The path prefix.
    pub path_prefix: Bytes,
    /// The service that answers.
    pub service: ServiceKey,
    /// Longest time for a request.
    pub timeout: Duration,
    /// Methods that may run more than once.
    pub idempotent_methods: Vec<Bytes>,
}

impl Route {
    /// Whether requests of `method` may run more than once.
    pub fn is_idempotent(&self, method: &[u8]) -> bool {
        self.idempotent_methods.iter().any(|m| m == method)
    }

    /// Whether `path` is the prefix or lies below it.
    ///
    /// The prefix `/calendar` matches `/calendar` and `/calendar/today`, and
    /// not `/calendars`.
    pub fn matches(&self, path: &[u8]) -> bool {
        let Some(rest) = path.strip_prefix(self.path_prefix.as_ref()) else {
            return false;
        };
        rest.is_empty() || rest[0] == b'/' || self.path_prefix.ends_with(b"/")
    }
}
