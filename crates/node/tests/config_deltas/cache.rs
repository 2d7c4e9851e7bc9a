//! The delta that a node keeps for the next fetch.

use knapweed_link::PartTag;
use knapweed_node::control::config::ConfigStore;

/// Guards against a busy node that builds a delta only to refuse it: it looks here first.
#[test]
fn only_the_last_delta_is_at_hand() {
    let mut configs = ConfigStore::default();
    let (none, one) = (Vec::new(), vec![PartTag(1)]);
    assert!(!configs.has_delta_for(&none));
    configs.delta_for(none.clone()).expect("a delta");
    assert!(configs.has_delta_for(&none));
    assert!(!configs.has_delta_for(&one));
    configs.delta_for(one.clone()).expect("a delta");
    assert!(!configs.has_delta_for(&none));
    assert!(configs.has_delta_for(&one));
}
