//! The route table finds what a search through all routes finds.

use bytes::Bytes;
use knapweed_world::route::RouteTable;
use knapweed_world::{Route, RouteKey, ServiceKey};
use proptest::prelude::*;
use slotmap::SlotMap;
use std::time::Duration;

fn route(prefix: &str) -> Route {
    Route {
        name: "route".parse().expect("a valid name"),
        path_prefix: Bytes::copy_from_slice(prefix.as_bytes()),
        service: ServiceKey::default(),
        timeout: Duration::from_secs(1),
        idempotent_methods: Vec::new(),
    }
}

fn search(routes: &SlotMap<RouteKey, Route>, path: &[u8]) -> Option<usize> {
    let matching = routes.values().filter(|route| route.matches(path));
    matching.map(|route| route.path_prefix.len()).max()
}

proptest! {
    /// Guards against a prefix that the table misses or takes where a shorter
    /// one ends at a segment.
    #[test]
    fn the_table_agrees_with_a_search(
        prefixes in proptest::collection::hash_set("/[ab/]{0,5}", 0..12),
        path in "/[ab/]{0,8}",
    ) {
        let mut routes = SlotMap::<RouteKey, Route>::with_key();
        for prefix in &prefixes {
            routes.insert(route(prefix));
        }
        let pairs = routes.iter().map(|(key, route)| (route.path_prefix.clone(), key));
        let table = RouteTable::new(pairs);
        let found = table.find(path.as_bytes()).map(|key| routes[key].path_prefix.len());
        prop_assert_eq!(found, search(&routes, path.as_bytes()));
    }
}
