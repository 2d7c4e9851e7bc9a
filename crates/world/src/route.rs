//! Routes and the table that matches requests to them.

use crate::config::Idempotence;
use crate::organisation::Homes;
use crate::{Flow, Name, RouteKey, ServiceKey};
use bytes::Bytes;
use std::borrow::Cow;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

/// Exclusive upper bound of the random draw that selects a destination.
pub const DRAWS: u16 = 10_000;

/// A route: sends requests whose path starts with a prefix to one of several services.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Flow of its requests, the key of their service times in load statistics.
    pub flow: Flow,
    /// Value of the `host` header that the route matches; `None` matches any.
    pub host: Option<Bytes>,
    /// Path prefix that the route matches, on segment boundaries.
    pub path_prefix: Bytes,
    /// Services that handle the requests, with their weights. None when the configuration
    /// does not tell them: the requests are then refused.
    pub destinations: Vec<(ServiceKey, u32)>,
    /// Deadline of a request after its arrival.
    pub timeout: Duration,
    /// Which requests are idempotent.
    pub idempotence: Idempotence,
    /// Latency objective of a response; `None` when the route has none.
    pub objective: Option<Duration>,
    /// Maximum number of backend servers that one request is sent to.
    pub max_attempts: u8,
    /// Admission priority under overload; 0 is the highest.
    pub priority: u8,
    /// Whether requests carry large bodies.
    pub is_bulk: bool,
    /// Whether its requests need no credential.
    pub is_open: bool,
    /// Regions in which its requests may run; `None` for all.
    pub homes: Option<Homes>,
}

impl Route {
    /// Whether requests with this HTTP method may run more than once.
    pub fn is_idempotent(&self, method: &[u8]) -> bool {
        match &self.idempotence {
            Idempotence::Always => true,
            Idempotence::Never => false,
            Idempotence::Methods(methods) => methods.iter().any(|m| m.as_bytes() == method),
        }
    }

    /// Selects a service in proportion to the weights, for a random `draw` in `0..DRAWS`.
    pub fn destination(&self, draw: u16) -> Option<ServiceKey> {
        let weights = self
            .destinations
            .iter()
            .map(|(_, weight)| u64::from(*weight));
        let mut rest = u64::from(draw) * weights.sum::<u64>() / u64::from(DRAWS);
        for (service, weight) in &self.destinations {
            let weight = u64::from(*weight);
            if rest < weight {
                return Some(*service);
            }
            rest -= weight;
        }
        None
    }

    /// Whether `path` equals the prefix or is below it.
    ///
    /// The prefix `/calendar` matches `/calendar` and `/calendar/today`, but not
    /// `/calendars`.
    pub fn matches(&self, path: &[u8]) -> bool {
        let Some(rest) = path.strip_prefix(self.path_prefix.as_ref()) else {
            return false;
        };
        rest.is_empty() || rest[0] == b'/' || self.path_prefix.ends_with(b"/")
    }
}

/// Routes by path prefix, those of one host name or those for any host.
type Prefixes = HashMap<Bytes, RouteKey>;

/// Routes indexed by `host` header and path prefix.
///
/// A lookup tries each prefix of the path that ends at a segment boundary, so its
/// cost grows with the number of path segments and not with the number of routes.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_prefix: Prefixes,
    by_host: HashMap<Bytes, Prefixes>,
    /// All routes, longest prefix first.
    order: Vec<RouteKey>,
}

impl RouteTable {
    /// Builds the table from all routes of a snapshot.
    pub fn new<'a>(routes: impl IntoIterator<Item = (RouteKey, &'a Route)>) -> Self {
        let mut routes: Vec<_> = routes.into_iter().collect();
        routes.sort_by_key(|(_, route)| Reverse(route.path_prefix.len()));
        let mut table = Self::default();
        for (key, route) in routes {
            table.order.push(key);
            let prefixes = match &route.host {
                Some(host) => table
                    .by_host
                    .entry(host.to_ascii_lowercase().into())
                    .or_default(),
                None => &mut table.by_prefix,
            };
            prefixes.insert(route.path_prefix.clone(), key);
        }
        table
    }

    /// The route for `host` with the longest prefix that matches `path`. Routes
    /// for any host are the fallback; see [`Route::matches`].
    pub fn find(&self, host: &[u8], path: &[u8]) -> Option<RouteKey> {
        let of_host = self.by_host.get(host_name(host).as_ref());
        let found = of_host.and_then(|prefixes| longest_match(prefixes, path));
        found.or_else(|| longest_match(&self.by_prefix, path))
    }

    /// All routes, longest prefix first.
    pub fn iter(&self) -> impl Iterator<Item = RouteKey> + '_ {
        self.order.iter().copied()
    }
}

/// The host name of a `host` header, in lower case and without the port.
fn host_name(host: &[u8]) -> Cow<'_, [u8]> {
    let end = host.iter().rposition(|b| *b == b':');
    let name = match end.map(|end| host.split_at(end)) {
        Some((name, port)) if port[1..].iter().all(u8::is_ascii_digit) => name,
        _ => host,
    };
    match name.iter().any(u8::is_ascii_uppercase) {
        true => Cow::Owned(name.to_ascii_lowercase()),
        false => Cow::Borrowed(name),
    }
}

/// The longest prefix that matches `path`.
fn longest_match(prefixes: &Prefixes, path: &[u8]) -> Option<RouteKey> {
    let ends = (0..=path.len())
        .rev()
        .filter(|end| is_segment_end(path, *end));
    let mut candidates = ends.filter_map(|end| prefixes.get(&path[..end]));
    candidates.next().copied()
}

/// Whether `end` is a segment boundary: the end of the path, or next to a `/`.
fn is_segment_end(path: &[u8], end: usize) -> bool {
    let is_slash = |at: usize| path.get(at) == Some(&b'/');
    end == path.len() || is_slash(end) || (end > 0 && is_slash(end - 1))
}
