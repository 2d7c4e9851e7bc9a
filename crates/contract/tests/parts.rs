//! The parts together hold the whole configuration, and damaged or swapped parts are detected.

mod common;

use assert_matches::assert_matches;
use common::{config, name, service, try_apply};
use knapweed_contract::parts::{ConfigParts, Error, join, route_group, split};
use knapweed_contract::{Digest, Head, PartCache};
use knapweed_world::Config;
use serde_json::json;

fn head_of(config: &Config) -> (Head, ConfigParts) {
    let parts = split(config);
    let head = Head {
        version: config.version,
        services: parts.services.clone(),
        routes: parts.routes.clone(),
        ..Head::default()
    };
    (head, parts)
}

fn cache_of(parts: &ConfigParts) -> PartCache {
    let mut cache = PartCache::default();
    for content in parts.contents.values() {
        cache.insert(content.clone());
    }
    cache
}

#[test]
fn a_configuration_survives_the_way_through_parts() {
    let (head, parts) = head_of(&config());
    assert_eq!(join(&head, &cache_of(&parts)), Ok(config()));
    insta::assert_json_snapshot!(head);
}

/// Guards against a change that makes nodes load parts that did not change.
#[test]
fn a_change_of_one_service_changes_one_part() {
    let document = json!({ "ticket": 2, "services": [service("calendar", "v2")] });
    let next = try_apply(&config(), document).expect("a valid ticket");
    let (head, parts) = head_of(&next);
    assert_eq!(cache_of(&split(&config())).missing(&head).len(), 1);
    assert_eq!(parts.contents.len(), 4);
}

/// Guards against a configuration that is assembled from damaged or swapped parts
/// (hazard H3).
#[test]
fn missing_and_swapped_parts_are_refused() {
    let (head, parts) = head_of(&config());
    assert_matches!(
        join(&head, &PartCache::default()),
        Err(Error::Missing { .. })
    );

    let mut swapped = head.clone();
    let other = head.services[&name("switching")];
    swapped.services.insert(name("calendar"), other);
    let cache = cache_of(&parts);
    assert_matches!(join(&swapped, &cache), Err(Error::Misplaced { .. }));

    let mut moved = head.clone();
    let group = route_group(&name("calendar"));
    let digest = moved.routes.remove(&group).expect("the group of the route");
    moved.routes.insert((group + 1) % 16, digest);
    assert_matches!(join(&moved, &cache), Err(Error::Misplaced { .. }));

    let mut cache = cache;
    let garbage = cache.insert("{}".into());
    let mut damaged = head;
    damaged.services.insert(name("calendar"), garbage);
    assert_matches!(join(&damaged, &cache), Err(Error::Malformed { .. }));
}

#[test]
fn digests_are_read_and_written_as_text() {
    let digest = Digest::of(b"calendar");
    assert_eq!(digest.to_string().parse(), Ok(digest));
    assert_matches!("abc".parse::<Digest>(), Err(_));
}
