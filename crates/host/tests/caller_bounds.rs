//! What callers may make hosts of different sizes hold.

use knapweed_host::{CallerBounds, HostResources};
use std::fmt::Write;

/// Guards against bounds of callers that leave too little of a small host for everything else,
/// or that refuse callers on one of ordinary size.
#[test]
fn bounds_follow_the_resources_of_the_host() {
    let hosts = [
        (40, 4_100),
        (160, 1_024),
        (160, 400),
        (260, 4_100),
        (512, 8_192),
        (16, 100),
    ];
    let mut out = String::new();
    for (memory_mb, descriptors) in hosts {
        let resources = HostResources {
            memory: memory_mb << 20,
            descriptors,
        };
        let bounds = CallerBounds::of(resources);
        let is_too_small = resources.is_too_small();
        writeln!(
            out,
            "{memory_mb} MB, {descriptors} descriptors: {} KB, {} connections, too small: {is_too_small}",
            bounds.memory >> 10,
            bounds.connections
        )
        .expect("a string");
    }
    insta::assert_snapshot!(out);
}
