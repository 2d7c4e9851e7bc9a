//! Validation applies a ticket as a whole or refuses it with a reason for each item.

mod common;

use common::{NOW, config, name, route, service, ticket, try_apply};
use knapweed_contract::Problem;
use knapweed_contract::check::{
    Context, CurrentShares, Defaults, MAX_PROBLEMS, TargetShares, check,
};
use knapweed_world::config::{ServiceConfig, VersionShare};
use knapweed_world::{Config, Name, Share};
use proptest::prelude::*;
use serde_json::{Value, json};
use std::fmt::Write;

fn describe(config: &Config, documents: &[Value]) -> String {
    let mut out = String::new();
    for document in documents {
        let problems = match try_apply(config, document.clone()) {
            Ok(next) => format!("makes version {}", next.version),
            Err(problems) => problems
                .iter()
                .map(Problem::to_string)
                .collect::<Vec<_>>()
                .join("; "),
        };
        writeln!(out, "{problems}").expect("a string");
    }
    out
}

#[test]
fn a_good_ticket_makes_the_next_configuration() {
    insta::assert_json_snapshot!(config());
}

#[test]
fn each_bad_service_is_refused_with_its_reason() {
    let versions = |versions: &[(&str, u8)]| {
        let list = versions
            .iter()
            .map(|(v, s)| json!({ "version": v, "share": s }));
        let list: Vec<_> = list.collect();
        json!({ "ticket": 2, "services": [{ "name": "calendar", "versions": list }] })
    };
    let rollout = |rollout: Value| {
        let mut change = service("calendar", "v2");
        change["rollout"] = rollout;
        json!({ "ticket": 2, "services": [change] })
    };
    let many: Vec<String> = (0..33).map(|i| format!("v{i}")).collect();
    let many: Vec<_> = many.iter().map(|v| (v.as_str(), 3)).collect();
    let out = describe(
        &config(),
        &[
            versions(&[]),
            versions(&[("v1", 60), ("v2", 50)]),
            versions(&[("v1", 255), ("v2", 255)]),
            versions(&[("v1", 50), ("v1", 50)]),
            versions(&many),
            rollout(json!({ "deadline_s": 9 })),
            rollout(json!({ "deadline_s": 10 })),
            rollout(json!({ "deadline_s": u64::MAX })),
            rollout(json!({ "deadline": "2026-03-01T05:59:59Z" })),
            rollout(json!({ "deadline": "2026-03-01T07:00:05+01:00" })),
            rollout(json!({ "deadline": "2026-03-01T07:05:00+01:00" })),
            rollout(json!({ "deadline": "2026-03-01T07:05:00Z", "deadline_s": 60 })),
            rollout(json!({ "min_old_capacity": 101 })),
        ],
    );
    insta::assert_snapshot!(out);
}

#[test]
fn each_bad_route_and_removal_is_refused_with_its_reason() {
    let with_route = |changes: &[(&str, Value)]| {
        let mut route = route("planning", "/planning", "calendar");
        for (field, value) in changes {
            route[field] = value.clone();
        }
        json!({ "ticket": 2, "routes": [route] })
    };
    let long = format!("/{}", "a".repeat(1_024));
    let out = describe(
        &config(),
        &[
            with_route(&[]),
            with_route(&[("service", json!("surveys"))]),
            with_route(&[("path_prefix", json!("planning"))]),
            with_route(&[("path_prefix", json!(""))]),
            with_route(&[("path_prefix", json!("/plan ning"))]),
            with_route(&[("path_prefix", json!(long))]),
            with_route(&[("path_prefix", json!("/calendar"))]),
            with_route(&[("timeout_ms", json!(0))]),
            with_route(&[("timeout_ms", json!(600_000))]),
            with_route(&[("timeout_ms", json!(600_001))]),
            with_route(&[("idempotent_methods", json!(["get"]))]),
            with_route(&[("service", json!("surveys")), ("timeout_ms", json!(0))]),
            json!({ "ticket": 2, "remove": { "services": ["calendar"] } }),
            json!({ "ticket": 2, "remove": { "services": ["calendar"], "routes": ["calendar"] } }),
            json!({ "ticket": 2, "remove": { "services": ["surveys"], "routes": ["surveys"] } }),
            json!({ "ticket": 2, "services": [service("calendar", "v2")],
            "remove": { "services": ["calendar"], "routes": ["calendar"] } }),
            json!({ "ticket": 2, "routes": [route("a", "/a", "calendar"), route("a", "/a", "calendar")] }),
            json!({ "ticket": 2, "routes": [route("a", "/a", "calendar"), route("b", "/a", "calendar")] }),
            json!({ "ticket": 2 }),
        ],
    );
    insta::assert_snapshot!(out);
}

/// Guards against a list of problems that is too long for the record.
#[test]
fn a_long_list_of_problems_is_cut() {
    let routes: Vec<_> = (0..500)
        .map(|i| route(&format!("r{i}"), "x", "none"))
        .collect();
    let document = json!({ "ticket": 2, "routes": routes });
    let problems = try_apply(&config(), document).expect_err("a bad ticket");
    assert_eq!(problems.len(), MAX_PROBLEMS + 1);
    let last = problems.last().map(Problem::to_string);
    insta::assert_snapshot!(last.unwrap_or_default());
}

/// CurrentShares source that reports all traffic of every service on version v0, as after
/// a rollout was pulled back.
struct PulledBack;

impl CurrentShares for PulledBack {
    fn shares(&self, _service: &Name, _config: &ServiceConfig) -> Vec<VersionShare> {
        vec![VersionShare {
            version: name("v0"),
            share: Share::ALL,
        }]
    }
}

/// Guards against a rollout that starts from the target shares of a rollout that was
/// pulled back, which would send all traffic to the faulty version (hazard H4).
#[test]
fn a_rollout_starts_from_the_versions_that_serve_now() {
    let config = config();
    let rollouts: Vec<_> = [&TargetShares as &dyn CurrentShares, &PulledBack]
        .into_iter()
        .flat_map(|traffic| ["v0", "v1", "v2"].map(|version| (traffic, version)))
        .map(|(traffic, version)| {
            let document = json!({ "ticket": 2, "services": [service("calendar", version)] });
            let cx = Context {
                config: &config,
                now: NOW,
                defaults: &Defaults::default(),
                traffic,
            };
            let next = check(&ticket(document), cx).expect("a valid ticket");
            next.services[&name("calendar")].rollout.clone()
        })
        .collect();
    insta::assert_json_snapshot!(rollouts);
}

fn any_name() -> impl Strategy<Value = String> {
    prop_oneof![
        "[a-d]",
        Just("calendar".to_owned()),
        Just("switching".to_owned())
    ]
}

fn any_service() -> impl Strategy<Value = Value> {
    let version = (
        "[uv][0-9]?",
        prop_oneof![Just(50_u8), Just(100), any::<u8>()],
    );
    let versions = proptest::collection::vec(version, 0..3);
    let deadline = proptest::option::of(any::<u64>());
    (any_name(), versions, deadline, any::<u8>()).prop_map(|(name, versions, s, capacity)| {
        let list = versions
            .iter()
            .map(|(v, share)| json!({ "version": v, "share": share }));
        let list: Vec<_> = list.collect();
        let rollout = s.map(|s| json!({ "deadline_s": s, "min_old_capacity": capacity }));
        json!({ "name": name, "versions": list, "rollout": rollout })
    })
}

fn any_route() -> impl Strategy<Value = Value> {
    let prefix = prop_oneof!["/[a-c]", ".{0,5}"];
    (any_name(), prefix, any_name(), any::<u32>()).prop_map(|(name, prefix, service, timeout)| {
        json!({ "name": name, "path_prefix": prefix, "service": service,
            "timeout_ms": timeout % 700_000 })
    })
}

fn any_ticket() -> impl Strategy<Value = Value> {
    let names = || proptest::collection::vec(any_name(), 0..3);
    let services = proptest::collection::vec(any_service(), 0..3);
    let routes = proptest::collection::vec(any_route(), 0..3);
    (services, routes, names(), names()).prop_map(|(services, routes, removed, removed_routes)| {
        json!({ "ticket": 2, "services": services, "routes": routes,
            "remove": { "services": removed, "routes": removed_routes } })
    })
}

proptest! {
    /// Guards against a panic, and against an accepted ticket that results in a
    /// route to a service that does not exist (hazard H2) or in shares that do not
    /// sum to 100.
    #[test]
    fn accepted_tickets_make_whole_configurations(document in any_ticket()) {
        if let Ok(next) = try_apply(&config(), document) {
            for route in next.routes.values() {
                let mut destinations = route.destinations.iter();
                prop_assert!(destinations.all(|d| next.services.contains_key(&d.service)));
            }
            for service in next.services.values() {
                let sum: u32 = service.versions.iter().map(|v| u32::from(v.share.0)).sum();
                prop_assert_eq!(sum, 10_000);
            }
            prop_assert_eq!(next.version.0, 2);
        }
    }
}
