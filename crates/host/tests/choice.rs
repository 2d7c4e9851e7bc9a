//! The version is drawn by shares, then the backend server that is expected to respond
//! first is chosen.

mod common;

use common::{calendar, calendar_route, mesh, mesh_of, server};
use knapweed_host::choice::{
    Choice, Exclusions, ExpectedTime, HomeRegions, Options, Query, Reason, Scope,
};
use knapweed_host::{NotRun, ServerChoice};
use knapweed_world::load::RANKS;
use knapweed_world::organisation::Homes;
use knapweed_world::snapshot::Builder;
use knapweed_world::{Flow, LoadReport, Rank, Snapshot, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

const DRAWS: u32 = 20_000;
/// The current time in all choices.
const NOW: Time = Time(60_000_000);
/// The objective of all requests, 800 ms after [`NOW`].
const OBJECTIVE: Time = Time(60_800_000);

fn query<'a>(snapshot: &Snapshot, excluded: &'a Exclusions) -> Query<'a> {
    Query {
        route: calendar_route(snapshot),
        service: calendar(snapshot),
        homes: HomeRegions::default(),
        rank: Rank(1),
        objective: Some(OBJECTIVE),
        now: NOW,
        version_draw: 0,
        server_draw: 0,
        excluded,
    }
}

fn choices(snapshot: &Snapshot, options: Options, excluded: &Exclusions) -> Vec<Choice> {
    let choice: Box<dyn ServerChoice> = Box::new(ExpectedTime::new(options));
    let mut rng = SmallRng::seed_from_u64(1);
    let one = |_| {
        let query = Query {
            version_draw: rng.random_range(0..10_000),
            server_draw: rng.random(),
            ..query(snapshot, excluded)
        };
        choice.choose(snapshot, &query).expect("a backend server")
    };
    (0..DRAWS).map(one).collect()
}

/// Records a load report of the egress of `host`: queueing delay, service time and
/// free slots.
fn report(snapshot: &Snapshot, host: &str, wait_ms: u32, service_ms: u32, free: u16) {
    let key = server(snapshot, host);
    let route = snapshot.route(calendar_route(snapshot));
    let report = LoadReport {
        wait_us: [wait_ms * 1_000; RANKS],
        slot_us: service_ms * 1_000 / 12,
        service_us: service_ms * 1_000,
        free,
        link_us: 0,
        rate_limit: None,
        is_leaving: false,
    };
    snapshot
        .backend_server(key)
        .load
        .record_report(&report, route.flow, NOW);
}

/// A mesh whose backend servers all have free slots and a service time of 100 ms.
fn free_mesh() -> Snapshot {
    let snapshot = mesh(&[("v1", 100)]);
    for host in ["a1-v1", "a2-v1", "b1-v1", "b2-v1", "s1-v1"] {
        report(&snapshot, host, 0, 100, 12);
    }
    snapshot
}

fn without_probes() -> Options {
    Options::default().probe_one_in(0)
}

/// Percentage of the choices for each host and reason.
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

/// Guards against a new version that gets more than its share (hazard H4).
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

/// Guards against traffic over the billed link while the own region is usable.
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

/// Guards against a slow backend server that gets as many requests as its fast peers.
#[test]
fn slow_servers_get_less_work() {
    let snapshot = free_mesh();
    report(&snapshot, "a1-v1", 0, 300, 12);
    let choices = choices(&snapshot, without_probes(), &Exclusions::default());
    insta::assert_snapshot!(shares(&snapshot, &choices));
}

/// Guards against requests that queue in the own zone while another zone is idle, and
/// against requests that leave the zone for a queueing delay shorter than the hop.
#[test]
fn a_queue_that_costs_more_than_the_hop_spills() {
    let snapshot = free_mesh();
    let mut text = Vec::new();
    for wait_ms in [5, 60] {
        report(&snapshot, "a1-v1", wait_ms, 100, 12);
        report(&snapshot, "a2-v1", wait_ms, 100, 12);
        let choices = choices(&snapshot, without_probes(), &Exclusions::default());
        text.push(shares(&snapshot, &choices));
    }
    insta::assert_snapshot!(text.join("--\n"));
}

/// Guards against traffic over the billed link because of a queueing delay that the
/// objective allows, and against late requests while the other region is idle.
#[test]
fn the_other_region_gets_what_would_be_late() {
    let snapshot = free_mesh();
    let mut text = Vec::new();
    for wait_ms in [500, 900] {
        for host in ["a1-v1", "a2-v1", "b1-v1", "b2-v1"] {
            report(&snapshot, host, wait_ms, 100, 0);
        }
        let choices = choices(&snapshot, without_probes(), &Exclusions::default());
        text.push(shares(&snapshot, &choices));
    }
    insta::assert_snapshot!(text.join("--\n"));
}

/// Guards against large bodies on the billed link, and on the hop between zones
/// because of a queueing delay that the objective allows.
#[test]
fn large_bodies_stay_near() {
    let snapshot = mesh_of(&[("v1", 100)], |route| route.is_bulk = true);
    let mut text = Vec::new();
    for wait_ms in [300, 900] {
        for (host, wait_ms) in [("a1-v1", wait_ms), ("a2-v1", wait_ms), ("b1-v1", 800)] {
            report(&snapshot, host, wait_ms, 100, 0);
        }
        report(&snapshot, "b2-v1", 800, 100, 0);
        report(&snapshot, "s1-v1", 0, 100, 12);
        let choices = choices(&snapshot, without_probes(), &Exclusions::default());
        text.push(shares(&snapshot, &choices));
    }
    insta::assert_snapshot!(text.join("--\n"));
}

/// Guards against a burst to one backend server because its last load report was good:
/// the requests sent since that report must be added.
#[test]
fn requests_since_the_report_count() {
    let snapshot = free_mesh();
    let key = server(&snapshot, "a1-v1");
    for _ in 0..14 {
        snapshot.backend_server(key).load.start();
    }
    let choices = choices(&snapshot, without_probes(), &Exclusions::default());
    insta::assert_snapshot!(shares(&snapshot, &choices));
}

/// Guards against a backend server that fails half of its requests but gets as many as
/// its peers, and against one that never gets any again.
#[test]
fn failing_servers_get_less_work_for_a_while() {
    let snapshot = free_mesh();
    let failing = snapshot.backend_server(server(&snapshot, "a1-v1"));
    let since = NOW.before(std::time::Duration::from_secs(30));
    for n in 0..40 {
        failing.load.record_response(n % 2 == 0, since);
    }
    let later = choices(&snapshot, without_probes(), &Exclusions::default());
    failing.load.record_response(true, NOW);
    let now = choices(&snapshot, without_probes(), &Exclusions::default());
    let text = [shares(&snapshot, &now), shares(&snapshot, &later)];
    insta::assert_snapshot!(text.join("--\n"));
}

/// Guards against an unreachable host that keeps its share, and against one that is
/// never probed again or by all requests at once.
#[test]
fn a_dead_host_gets_one_probe_after_its_block() {
    let snapshot = free_mesh();
    let dead = snapshot.backend_server(server(&snapshot, "a1-v1"));
    dead.load.record_unreachable(NOW);
    let blocked = choices(&snapshot, without_probes(), &Exclusions::default());
    dead.load.record_reachable();
    let long_ago = NOW.before(std::time::Duration::from_secs(1));
    dead.load.record_unreachable(long_ago);
    let ended = choices(&snapshot, without_probes(), &Exclusions::default());
    let text = [shares(&snapshot, &blocked), shares(&snapshot, &ended)];
    insta::assert_snapshot!(text.join("--\n"));
    let probes = ended.iter().filter(|c| c.reason == Reason::Probe).count();
    assert_eq!(probes, 1);
}

/// Guards against outdated measurements that are never replaced: some of the requests
/// must probe backend servers whose load report is outdated.
#[test]
fn old_reports_are_replaced() {
    let snapshot = free_mesh();
    let key = server(&snapshot, "a1-v1");
    let old = LoadReport {
        service_us: 3_000_000,
        ..LoadReport::default()
    };
    let route = snapshot.route(calendar_route(&snapshot));
    let long_ago = NOW.before(std::time::Duration::from_secs(10));
    let load = &snapshot.backend_server(key).load;
    load.record_report(&old, route.flow, long_ago);
    load.record_report(&old, Flow(0), long_ago);
    let choices = choices(&snapshot, Options::default(), &Exclusions::default());
    let probes = choices.iter().filter(|c| c.reason == Reason::Probe).count();
    let expected = DRAWS as usize / 64;
    assert!(probes.abs_diff(expected) < expected / 4, "{probes} probes");
}

#[test]
fn servers_that_all_fail_are_still_tried() {
    let snapshot = mesh(&[("v1", 100)]);
    for (_, server) in snapshot.backend_servers() {
        server.load.record_unreachable(NOW);
    }
    let choices = choices(&snapshot, without_probes(), &Exclusions::default());
    assert!(choices.iter().all(|c| c.reason == Reason::LastResort));
}

/// Guards against retries with the server or version that refused the request.
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
    let result = ExpectedTime::default().choose(&snapshot, &query(&snapshot, &excluded));
    assert_eq!(result, Err(NotRun::NoServer));
}

/// Guards against large responses that all come from one host whose link is full, while its
/// backend server is free (load pattern: downloads over links of 10 Mbit/s).
#[test]
fn a_host_with_a_full_link_gets_no_large_responses() {
    let snapshot = mesh_of(&[("v1", 100)], |route| route.is_bulk = true);
    let route = snapshot.route(calendar_route(&snapshot));
    let rows = [0, 300, 1_000, 4_000].map(|link_ms: u32| {
        for host in ["a1-v1", "a2-v1", "b1-v1", "b2-v1", "s1-v1"] {
            report(&snapshot, host, 0, 100, 12);
        }
        let full = LoadReport {
            service_us: 100_000,
            free: 12,
            link_us: link_ms * 1_000,
            ..LoadReport::default()
        };
        for host in ["a1-v1", "a2-v1"] {
            let load = &snapshot.backend_server(server(&snapshot, host)).load;
            load.record_report(
                &full,
                route.flow,
                NOW.before(std::time::Duration::from_secs(4)),
            );
        }
        // The responses of the own host do not pass its link.
        let mut excluded = Exclusions::default();
        excluded.add(server(&snapshot, "a1-v1"), Scope::Server);
        let choices = choices(&snapshot, without_probes(), &excluded);
        format!("{link_ms} ms, 4 s ago:\n{}", shares(&snapshot, &choices))
    });
    insta::assert_snapshot!(rows.join("\n"));
}

/// Guards against requests to a backend server that has said that it is shutting down, as the
/// last resort too, while its host still announces it as ready.
#[test]
fn a_leaving_server_is_not_chosen() {
    let snapshot = free_mesh();
    let route = snapshot.route(calendar_route(&snapshot));
    let leaving = LoadReport {
        is_leaving: true,
        ..LoadReport::default()
    };
    let leaves = |host: &str| {
        let load = &snapshot.backend_server(server(&snapshot, host)).load;
        load.record_report(&leaving, route.flow, NOW);
        // A later report without the statement, which was overtaken, does not take it back.
        load.record_report(&LoadReport::default(), route.flow, NOW);
    };
    leaves("a1-v1");
    let excluded = Exclusions::default();
    let chosen = choices(&snapshot, Options::default(), &excluded);
    let left = server(&snapshot, "a1-v1");
    assert!(chosen.iter().all(|choice| choice.server != left));

    ["a2-v1", "b1-v1", "b2-v1", "s1-v1"]
        .into_iter()
        .for_each(leaves);
    let choice = ExpectedTime::default().choose(&snapshot, &query(&snapshot, &excluded));
    assert_eq!(choice, Err(NotRun::NoServer));
}

/// The shares of the choices for requests whose route has these homes, and whose
/// organisation has `organisation`.
fn shares_at_home(route_homes: &[&str], organisation: Option<&[&str]>) -> String {
    let homes = |names: &[&str]| names.iter().map(|n| common::name(n)).collect();
    let snapshot = mesh_of(&[("v1", 100)], |route| {
        route.home_regions = homes(route_homes)
    });
    let region = |name: &&str| {
        let servers = snapshot.backend_servers();
        let mut regions = servers.map(|(key, _)| snapshot.region_of(key));
        regions.find(|r| snapshot.region(*r).name == common::name(name))
    };
    let organisation = organisation.map(|names| Homes(names.iter().filter_map(region).collect()));
    let choice = ExpectedTime::new(Options::default());
    let mut rng = SmallRng::seed_from_u64(1);
    let excluded = Exclusions::default();
    let mut choices = Vec::new();
    for _ in 0..DRAWS {
        let plain = query(&snapshot, &excluded);
        let query = Query {
            server_draw: rng.random(),
            homes: HomeRegions {
                route: snapshot.route(plain.route).homes.as_ref(),
                organisation: organisation.as_ref(),
            },
            ..plain
        };
        match choice.choose(&snapshot, &query) {
            Ok(choice) => choices.push(choice),
            Err(reason) => return format!("{reason:?}\n"),
        }
    }
    shares(&snapshot, &choices)
}

/// Guards against a request, or its body, in a region that is no home of its route or of its
/// organisation: by the usual choice, a probe, or the last resort.
#[test]
fn requests_stay_in_their_home_regions() {
    let both: &[&str] = &["labasa", "savusavu"];
    let text = [
        ("route: savusavu", shares_at_home(&["savusavu"], None)),
        ("route: labasa", shares_at_home(&["labasa"], None)),
        (
            "organisation: savusavu",
            shares_at_home(&[], Some(&["savusavu"])),
        ),
        (
            "both, shared: savusavu",
            shares_at_home(both, Some(&["savusavu"])),
        ),
        (
            "both, none shared",
            shares_at_home(&["labasa"], Some(&["savusavu"])),
        ),
        ("a region without hosts", shares_at_home(&["rabi"], None)),
    ];
    let text = text.map(|(case, shares)| format!("{case}\n{shares}"));
    insta::assert_snapshot!(text.join("--\n"));
}

/// Guards against a request that leaves its home regions when the backend servers there have
/// all failed.
#[test]
fn the_last_resort_stays_in_the_home_regions() {
    let snapshot = mesh_of(&[("v1", 100)], |route| {
        route.home_regions = vec![common::name("savusavu")];
    });
    snapshot
        .backend_server(server(&snapshot, "s1-v1"))
        .load
        .record_unreachable(NOW);
    let mut excluded = Exclusions::default();
    let homes = HomeRegions {
        route: snapshot.route(calendar_route(&snapshot)).homes.as_ref(),
        organisation: None,
    };
    let choice = ExpectedTime::new(without_probes());
    let choose = |excluded: &Exclusions| {
        let query = Query {
            homes,
            ..query(&snapshot, excluded)
        };
        choice.choose(&snapshot, &query)
    };
    let chosen = choose(&excluded).expect("the server of the home region");
    assert_eq!(chosen.server, server(&snapshot, "s1-v1"));
    assert_eq!(chosen.reason, Reason::LastResort);
    excluded.add(chosen.server, Scope::Server);
    assert_eq!(choose(&excluded), Err(NotRun::NoServer));
}

/// Guards against requests to the backend servers of an evacuated zone, also as a probe or as
/// the last resort.
#[test]
fn an_evacuated_zone_gets_no_request() {
    let config = common::config(&[("v1", 100)]);
    let mesh = |evacuated: &[&str]| {
        let hosts = [
            common::host("a1-v1", "labasa-a", "labasa", "v1"),
            common::host("b1-v1", "labasa-b", "labasa", "v1"),
            common::host("s1-v1", "savusavu-a", "savusavu", "v1"),
        ];
        let builder = Builder::new(common::name("a1-v1"), &config).hosts(hosts);
        let zones = evacuated.iter().map(|zone| common::name(zone));
        builder.evacuated(zones.collect()).build().expect("a mesh")
    };
    let excluded = Exclusions::default();
    let mut text = String::new();
    for evacuated in [&["labasa-a"][..], &["labasa-a", "labasa-b"]] {
        let snapshot = mesh(evacuated);
        let choices = choices(&snapshot, Options::default(), &excluded);
        text += &format!("{evacuated:?}\n{}", shares(&snapshot, &choices));
    }
    insta::assert_snapshot!(text);
    let snapshot = mesh(&["labasa-a", "labasa-b", "savusavu-a"]);
    let choice = ExpectedTime::default().choose(&snapshot, &query(&snapshot, &excluded));
    assert_eq!(choice, Err(NotRun::NoServer));

    // An ingress that does not know of the evacuation is told by a refusal.
    let snapshot = mesh_of(&[("v1", 100)], |_| {});
    let mut excluded = Exclusions::default();
    excluded.add(server(&snapshot, "a1-v1"), Scope::Zone);
    assert!(excluded.contains(&snapshot, server(&snapshot, "a2-v1")));
    assert!(!excluded.contains(&snapshot, server(&snapshot, "b1-v1")));
}

/// Guards against a request that spends all its tries on backend servers that are down:
/// when several of them are due for a probe at once, it may meet one only (load pattern: a
/// tenth of the backend servers crash).
#[test]
fn a_request_probes_at_most_one_dead_server() {
    let snapshot = free_mesh();
    let long_ago = NOW.before(std::time::Duration::from_secs(1));
    let dead = ["a1-v1", "a2-v1"].map(|host| server(&snapshot, host));
    for key in dead {
        snapshot
            .backend_server(key)
            .load
            .record_unreachable(long_ago);
    }
    let choice = ExpectedTime::new(without_probes());
    let mut excluded = Exclusions::default();
    let first = choice.choose(&snapshot, &query(&snapshot, &excluded));
    let first = first.expect("a backend server");
    assert_eq!(first.reason, Reason::Probe);
    excluded.add(first.server, Scope::Server);
    let second = choice.choose(&snapshot, &query(&snapshot, &excluded));
    assert!(!dead.contains(&second.expect("a backend server").server));
}
