//! Versions by shares, then the nearest and least loaded backend server.

mod common;

use common::{calendar, mesh, server};
use knapweed_host::choice::{
    Choice, Exclusions, NearestLeastLoaded, Options, Query, Reason, Scope,
};
use knapweed_host::{NotRun, ServerChoice};
use knapweed_world::Snapshot;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

const DRAWS: u32 = 20_000;

fn choices(snapshot: &Snapshot, options: Options, excluded: &Exclusions) -> Vec<Choice> {
    let choice: Box<dyn ServerChoice> = Box::new(NearestLeastLoaded::new(options));
    let mut rng = SmallRng::seed_from_u64(1);
    let service = calendar(snapshot);
    let one = |_| {
        let query = Query {
            service,
            version_draw: rng.random_range(0..10_000),
            server_draw: rng.random(),
            excluded,
        };
        choice.choose(snapshot, &query).expect("a backend server")
    };
    (0..DRAWS).map(one).collect()
}

/// Share of the choices for each host and reason, in percent.
fn shares(snapshot: &Snapshot, choices: &[Choice]) -> String {
    let mut counts = BTreeMap::new();
    for choice in choices {
        let host = snapshot.backend_server(choice.server).host;
        let host = snapshot.host(host).name.clone();
        *counts.entry((host, choice.reason)).or_insert(0u32) += 1;
    }
    let lines = counts.iter().map(|((host, reason), n)| {
        format!(
            "{host} {reason:?} {:.0}%\n",
            100.0 * f64::from(*n) / f64::from(DRAWS)
        )
    });
    lines.collect()
}

/// Guards against a new version that gets more than its share (H4).
#[test]
fn versions_get_their_shares_in_the_own_zone() {
    let snapshot = mesh(&[("v1", 95), ("v2", 5)]);
    let choices = choices(&snapshot, Options::default(), &Exclusions::default());
    let new = choices
        .iter()
        .filter(|c| snapshot.backend_server(c.server).version == common::name("v2"))
        .count();
    let share = new as f64 / f64::from(DRAWS);
    assert!((0.045..=0.055).contains(&share), "share {share}");
    insta::assert_snapshot!(shares(&snapshot, &choices));
}

/// Guards against traffic over the billed link while the own region works.
#[test]
fn the_other_region_is_last() {
    let snapshot = mesh(&[("v1", 100)]);
    let mut excluded = Exclusions::default();
    for host in ["a1-v1", "a2-v1"] {
        excluded.add(server(&snapshot, host), Scope::Server);
    }
    let other_zone = choices(&snapshot, Options::default(), &excluded);
    for host in ["b1-v1", "b2-v1"] {
        excluded.add(server(&snapshot, host), Scope::Server);
    }
    let other_region = choices(&snapshot, Options::default(), &excluded);
    let text = [
        shares(&snapshot, &other_zone),
        shares(&snapshot, &other_region),
    ];
    insta::assert_snapshot!(text.join("--\n"));
}

#[test]
fn the_less_loaded_server_is_preferred() {
    let snapshot = mesh(&[("v1", 100)]);
    let busy = server(&snapshot, "a1-v1");
    for _ in 0..4 {
        snapshot.backend_server(busy).load.start();
    }
    let choices = choices(&snapshot, Options::default(), &Exclusions::default());
    insta::assert_snapshot!(shares(&snapshot, &choices));
}

/// Guards against requests that wait in the own zone while another zone is idle.
#[test]
fn a_queue_that_costs_more_than_the_hop_spills() {
    let snapshot = mesh(&[("v1", 100)]);
    for host in ["a1-v1", "a2-v1"] {
        let own = snapshot.backend_server(server(&snapshot, host));
        own.load.succeeded(10_000);
        for _ in 0..12 {
            own.load.start();
        }
    }
    let options = Options::default().probe_one_in(0);
    let at_limit = choices(&snapshot, options, &Exclusions::default());
    for host in ["a1-v1", "a2-v1"] {
        let own = snapshot.backend_server(server(&snapshot, host));
        for _ in 0..4 {
            own.load.start();
        }
    }
    let queued = choices(&snapshot, options, &Exclusions::default());
    let text = [shares(&snapshot, &at_limit), shares(&snapshot, &queued)];
    insta::assert_snapshot!(text.join("--\n"));
}

/// Guards against a dead server that keeps its share, and against one that is
/// never tried again.
#[test]
fn failing_servers_are_only_probed() {
    let snapshot = mesh(&[("v1", 100)]);
    let failing = snapshot.backend_server(server(&snapshot, "a1-v1"));
    for _ in 0..3 {
        failing.load.failed();
    }
    let choices = choices(&snapshot, Options::default(), &Exclusions::default());
    let probes = choices.iter().filter(|c| c.reason == Reason::Probe).count();
    assert!(
        probes > 0 && probes < DRAWS as usize / 32,
        "{probes} probes"
    );
    insta::assert_snapshot!(shares(&snapshot, &choices));
}

#[test]
fn servers_that_all_fail_are_still_tried() {
    let snapshot = mesh(&[("v1", 100)]);
    for (_, server) in snapshot.backend_servers() {
        for _ in 0..3 {
            server.load.failed();
        }
    }
    let options = Options::default().probe_one_in(0);
    let choices = choices(&snapshot, options, &Exclusions::default());
    assert!(choices.iter().all(|c| c.reason == Reason::LastResort));
}

/// Guards against retries that return to the server or version that refused.
#[test]
fn retries_avoid_what_was_tried() {
    let snapshot = mesh(&[("v1", 50), ("v2", 50)]);
    let mut excluded = Exclusions::default();
    excluded.add(server(&snapshot, "a1-v2"), Scope::Version);
    excluded.add(server(&snapshot, "a1-v1"), Scope::Server);
    let choices = choices(&snapshot, Options::default(), &excluded);
    insta::assert_snapshot!(shares(&snapshot, &choices));
}

#[test]
fn without_any_server_nothing_is_sent() {
    let snapshot = mesh(&[("v1", 100)]);
    let mut excluded = Exclusions::default();
    excluded.add(server(&snapshot, "a1-v1"), Scope::Version);
    let query = Query {
        service: calendar(&snapshot),
        version_draw: 0,
        server_draw: 0,
        excluded: &excluded,
    };
    let result = NearestLeastLoaded::default().choose(&snapshot, &query);
    assert_eq!(result, Err(NotRun::NoServer));
}
