//! Routes.

use crate::{Name, RouteKey, ServiceKey};
use bytes::Bytes;
use std::cmp::Reverse;
use std::collections::HashMap;
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

/// Routes by their path prefix.
///
/// A search looks up each prefix of the path that a route could have, so its
/// cost grows with the segments of the path and not with the number of routes.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_prefix: HashMap<Bytes, RouteKey>,
    /// Longest prefix first.
    order: Vec<RouteKey>,
}

impl RouteTable {
    /// A table of routes with their prefixes.
    pub fn new(routes: impl IntoIterator<Item = (Bytes, RouteKey)>) -> Self {
        let mut routes: Vec<_> = routes.into_iter().collect();
        routes.sort_by_key(|(prefix, _)| Reverse(prefix.len()));
        Self {
            order: routes.iter().map(|(_, key)| *key).collect(),
            by_prefix: routes.into_iter().collect(),
        }
    }

    /// The route with the longest prefix that matches `path`; see [`Route::matches`].
    pub fn find(&self, path: &[u8]) -> Option<RouteKey> {
        let ends = (0..=path.len())
            .rev()
            .filter(|end| is_segment_end(path, *end));
        let mut candidates = ends.filter_map(|end| self.by_prefix.get(&path[..end]));
        candidates.next().copied()
    }

    /// All routes, longest prefix first.
    pub fn iter(&self) -> impl Iterator<Item = RouteKey> + '_ {
        self.order.iter().copied()
    }
}

/// Whether a matching prefix can end at `end`: with the path, before a `/` or after one.
fn is_segment_end(path: &[u8], end: usize) -> bool {
    let is_slash = |at: usize| path.get(at) == Some(&b'/');
    end == path.len() || is_slash(end) || (end > 0 && is_slash(end - 1))
}
