//! Lengths of deltas after a configuration has grown.

use crate::configs::{config_of, store_of};
use knapweed_node::control::config::ConfigStore;

/// Number of routes that one growth adds.
const GROWTH: usize = 1_400;

fn growths() -> impl Iterator<Item = usize> {
    (0..=4).map(|growth| growth * GROWTH)
}

/// Guards against growths whose deltas are as long as the whole table, which a link of
/// 10 Mbit/s does not carry to all hosts in time.
#[test]
fn a_delta_is_about_as_long_as_what_a_growth_adds() {
    let mut lines = Vec::new();
    for (version, routes) in growths().enumerate().skip(1) {
        let before = config_of(version as u64, routes - GROWTH);
        let grown = config_of(version as u64 + 1, routes);
        let mut sender = store_of([&before, &grown]);
        let receiver = store_of([&before]);
        let len = |delta: Result<bytes::Bytes, _>| delta.expect("a delta").len();
        let growth = len(sender.delta_for(receiver.tags()));
        let whole = len(sender.delta_for(ConfigStore::default().tags()));
        lines.push(format!(
            "{} -> {routes} routes: {growth} bytes, whole {whole}",
            routes - GROWTH
        ));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against a delta that carries the routes that have not changed.
#[test]
fn a_growth_of_1400_routes_is_under_a_third_of_the_table() {
    let (before, grown) = (config_of(1, 5_000), config_of(2, 5_000 + GROWTH));
    let mut sender = store_of([&before, &grown]);
    let growth = sender.delta_for(store_of([&before]).tags());
    let growth = growth.expect("a delta").len();
    let whole = sender.delta_for(Vec::new()).expect("a delta").len();
    assert!(growth * 3 < whole, "{growth} bytes of {whole}");
}
