//! Requests of an organisation with a quota at the ingress of a node.

use knapweed_host::{NotRun, Outcome};
use knapweed_node::ingress::quota::{QuotaGate, TokenGate};
use knapweed_world::organisation::OrganisationConfig;
use knapweed_world::snapshot::{Builder, HostEntry};
use knapweed_world::{Config, Name, OrganisationKey, Quota, RequestRate, Snapshot, Time, Tokens};
use std::net::SocketAddr;
use std::time::Duration;

const NOW: Time = Time::from_millis(1_000);

fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

/// A mesh with an organisation that has a quota, and one that has none.
fn config() -> Config {
    let limited = OrganisationConfig {
        quota: Some(Quota {
            rate: RequestRate::per_second(10.0).expect("a rate"),
            burst: 10,
        }),
        ..OrganisationConfig::default()
    };
    let mut config = Config::default();
    config.organisations.insert(name("limited"), limited);
    let free = OrganisationConfig::default();
    config.organisations.insert(name("free"), free);
    config
}

fn snapshot(config: &Config, previous: Option<&Snapshot>) -> Snapshot {
    let host = HostEntry {
        name: name("a1"),
        zone: name("labasa-a"),
        region: name("labasa"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        announcements: Vec::new(),
    };
    let builder = Builder::new(name("a1"), config).hosts([host]);
    let builder = match previous {
        Some(previous) => builder.previous(previous),
        None => builder,
    };
    builder.build().expect("a whole mesh")
}

fn organisation(snapshot: &Snapshot, name: &str) -> OrganisationKey {
    let mut organisations = snapshot.organisations();
    let found = organisations.find(|(_, o)| o.name.as_str() == name);
    found.expect("the organisation exists").0
}

/// Guards against a quota that is refilled by each change of the configuration, and
/// against one that applies to organisations without it.
#[test]
fn tokens_outlive_a_snapshot() {
    let config = config();
    let first = snapshot(&config, None);
    let limited = organisation(&first, "limited");
    let tokens = &first.organisation(limited).tokens;
    tokens.publish_usable(NOW.after(Duration::from_secs(1)), NOW);
    tokens.publish_interval(Duration::from_millis(100));
    tokens.credit(Tokens::whole(2));
    let permit = TokenGate.admit(&first, limited, NOW).expect("a token");
    let second = snapshot(&config, Some(&first));
    let limited = organisation(&second, "limited");
    assert!(TokenGate.admit(&second, limited, NOW).is_ok());
    let wait = TokenGate.admit(&second, limited, NOW);
    assert_eq!(wait.expect_err("refused"), Duration::from_millis(100));
    permit.give_back();
    let tokens = &second.organisation(limited).tokens;
    assert_eq!(tokens.take_returned(), Some((NOW, Tokens::ONE)));
    let free = organisation(&second, "free");
    assert!((0..100).all(|_| TokenGate.admit(&second, free, NOW).is_ok()));
}

/// Guards against a status after which callers do not come back.
#[test]
fn a_refusal_says_that_there_are_too_many_requests() {
    let refused = Outcome::NotRun(NotRun::QuotaExceeded);
    assert_eq!(refused.status(), Some(429));
    assert!(!NotRun::QuotaExceeded.is_retryable());
}
