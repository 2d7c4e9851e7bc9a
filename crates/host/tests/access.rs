//! Who may use a route, by credential, policy, route and currency of the configuration.

mod common;

use common::{config, host, name};
use knapweed_host::access;
use knapweed_world::organisation::CredentialPolicy;
use knapweed_world::snapshot::Builder;
use knapweed_world::{CredentialDigest, OrganisationConfig, Snapshot};
use std::fmt::Write;

const POLICIES: [CredentialPolicy; 3] = [
    CredentialPolicy::NotRequired,
    CredentialPolicy::Required,
    CredentialPolicy::Incomplete,
];

fn snapshot(policy: CredentialPolicy, is_open: bool) -> Snapshot {
    let mut config = config(&[("v1", 100)]);
    config.credentials = policy;
    config.routes.values_mut().for_each(|r| r.is_open = is_open);
    if policy != CredentialPolicy::NotRequired {
        let growers = OrganisationConfig {
            credentials: vec![CredentialDigest::of(b"known")],
            ..OrganisationConfig::default()
        };
        config.organisations.insert(name("tea-growers"), growers);
    }
    let local = host("a1", "labasa-a", "labasa", "v1");
    let snapshot = Builder::new(local.name.clone(), &config).hosts([local]);
    snapshot.build().expect("a valid mesh")
}

fn decision(snapshot: &Snapshot, credential: Option<CredentialDigest>, is_current: bool) -> String {
    let route = snapshot.routes().next().expect("a route");
    match access::authorize(snapshot, route, credential, is_current) {
        Ok(None) => "runs without an organisation".to_owned(),
        Ok(Some(key)) => format!("runs for {}", snapshot.organisation(key).name),
        Err(err) => format!("{} {}", err.reason().status(), err.reason().label()),
    }
}

/// Guards against a request that runs without a valid credential, and against a final refusal
/// by a node that may not know all credentials.
#[test]
fn the_decision_follows_from_policy_route_credential_and_currency() {
    let mut out = String::new();
    for policy in POLICIES {
        for is_open in [false, true] {
            let snapshot = snapshot(policy, is_open);
            for credential in [None, Some("known"), Some("other")] {
                for is_current in [true, false] {
                    let digest = credential.map(|c| CredentialDigest::of(c.as_bytes()));
                    let decision = decision(&snapshot, digest, is_current);
                    let place = format!("{policy:?} open={is_open} current={is_current}");
                    writeln!(out, "{place} {credential:?}: {decision}").expect("a string");
                }
            }
        }
    }
    insta::assert_snapshot!(out);
}
