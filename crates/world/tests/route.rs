//! The route table finds the same routes as a linear search.

use bytes::Bytes;
use knapweed_world::config::Idempotence;
use knapweed_world::route::RouteTable;
use knapweed_world::{Flow, Route, RouteKey, ServiceKey};
use proptest::prelude::*;
use slotmap::SlotMap;
use std::time::Duration;

fn route(prefix: &str) -> Route {
    Route {
        name: "route".parse().expect("a valid name"),
        flow: Flow(1),
        path_prefix: Bytes::copy_from_slice(prefix.as_bytes()),
        host: None,
        destinations: vec![(ServiceKey::default(), 1)],
        timeout: Duration::from_secs(1),
        idempotence: Idempotence::Never,
        objective: None,
        max_attempts: 3,
        priority: 0,
        is_bulk: false,
        is_open: false,
        homes: None,
    }
}

fn linear_search(routes: &SlotMap<RouteKey, Route>, path: &[u8]) -> Option<usize> {
    let matching = routes.values().filter(|route| route.matches(path));
    matching.map(|route| route.path_prefix.len()).max()
}

proptest! {
    /// Guards against a prefix that the table misses, and against a match that ends
    /// inside a path segment where a shorter prefix ends at a segment boundary.
    #[test]
    fn the_table_agrees_with_a_search(
        prefixes in proptest::collection::hash_set("/[ab/]{0,5}", 0..12),
        path in "/[ab/]{0,8}",
    ) {
        let mut routes = SlotMap::<RouteKey, Route>::with_key();
        for prefix in &prefixes {
            routes.insert(route(prefix));
        }
        let table = RouteTable::new(&routes);
        let found = table.find(b"example", path.as_bytes()).map(|key| routes[key].path_prefix.len());
        prop_assert_eq!(found, linear_search(&routes, path.as_bytes()));
    }
}
