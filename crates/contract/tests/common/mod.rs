//! Documents and configurations that the tests share.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub(crate) mod sim;
pub(crate) mod world;

use knapweed_contract::check::{Context, Defaults, TargetShares, check};
use knapweed_contract::{Problem, Ticket};
use knapweed_world::{Config, Name, UnixMillis};
use serde_json::{Value, json};

/// Initial wall-clock time of the tests: 2026-03-01T06:00:00Z.
pub(crate) const NOW: UnixMillis = UnixMillis(1_772_344_800_000);

pub(crate) fn name(text: &str) -> Name {
    text.parse().expect("a name")
}

pub(crate) fn ticket(document: Value) -> Ticket {
    Ticket::parse(document.to_string().as_bytes()).expect("a ticket")
}

pub(crate) fn service(name: &str, version: &str) -> Value {
    json!({ "name": name, "versions": [{ "version": version, "share": 100 }] })
}

pub(crate) fn route(name: &str, prefix: &str, service: &str) -> Value {
    json!({ "name": name, "path_prefix": prefix, "service": service, "timeout_ms": 2000,
        "idempotent_methods": ["GET", "HEAD"] })
}

/// A ticket that sets one service to one version.
pub(crate) fn set_service(
    number: u64,
    base: Option<u64>,
    service_name: &str,
    version: &str,
) -> Vec<u8> {
    let mut document = json!({ "ticket": number, "services": [service(service_name, version)] });
    if let Some(base) = base {
        document["base"] = json!(base);
    }
    document.to_string().into_bytes()
}

pub(crate) fn try_apply(config: &Config, document: Value) -> Result<Config, Vec<Problem>> {
    let cx = Context {
        config,
        now: NOW,
        defaults: &Defaults::default(),
        traffic: &TargetShares,
    };
    check(&ticket(document), cx)
}

/// A configuration of version 1 with the services calendar and switching and their
/// routes.
pub(crate) fn config() -> Config {
    let document = json!({ "ticket": 1,
        "services": [service("calendar", "v1"), service("switching", "v1")],
        "routes": [route("calendar", "/calendar", "calendar"),
            route("switching", "/switching", "switching")] });
    try_apply(&Config::default(), document).expect("a valid ticket")
}
