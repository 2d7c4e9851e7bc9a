//! A restarted node serves no version older than one that its host has served.

mod sim;

use knapweed_world::{ConfigVersion, Time};
use knapweed_zone::Duty;
use knapweed_zone::floor::{
    Action, Event, FloorAnswer, MAX_BACKOFF, ROUND_TIMEOUT, Source, VersionFloor,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use sim::{Sim, ms, name};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

/// How a source reacts to a query.
#[derive(Clone, Copy, Debug)]
enum Reply {
    /// It replies with this version, and whether it is serving.
    Version(u64, bool),
    /// It cannot be reached.
    Refused,
    /// It never replies.
    Silent,
}

/// The reactions of all sources that a starting node queries.
#[derive(Clone, Copy, Debug)]
struct Others {
    peers: [Reply; 3],
    relay: Reply,
    platform: Reply,
}

/// Runs a starting node for `length`, and returns its actions and a log of them. A
/// fetch yields the highest version of the sources that reply.
fn start(others: Others, length: Duration) -> (Vec<Action>, String) {
    let mut floor = VersionFloor::new(Time(0), SmallRng::seed_from_u64(1));
    floor.handle(Time(0), Event::Peers(1));
    let (mut actions, mut log) = (Vec::new(), String::new());
    let mut now = Time(0);
    while now <= Time(0).after(length) {
        let mut events = vec![Event::Tick];
        while let Some(event) = events.pop() {
            for action in floor.handle(now, event) {
                writeln!(log, "{:>5} ms {action:?}", now.0 / 1_000).expect("a string");
                events.extend(reply(others, action));
                actions.push(action);
            }
        }
        now = now.after(ms(10));
    }
    (actions, log)
}

fn reply(others: Others, action: Action) -> Vec<Event> {
    match action {
        Action::Ask { source, .. } => {
            let replies = match source {
                Source::Peers => others.peers.to_vec(),
                Source::Relay => vec![others.relay],
                Source::Platform => vec![others.platform],
            };
            let events = replies.into_iter().filter_map(|r| event(source, r));
            events.collect()
        }
        Action::Fetch(_) => newest(others).map(Event::Fetched).into_iter().collect(),
        Action::Serve { .. } | Action::RetryLater { .. } => Vec::new(),
    }
}

fn event(source: Source, reply: Reply) -> Option<Event> {
    match reply {
        Reply::Version(version, is_serving) => Some(Event::Answer(FloorAnswer {
            source,
            served: ConfigVersion(version),
            is_serving,
            may_have_lost: false,
        })),
        Reply::Refused => Some(Event::Failed(source)),
        Reply::Silent => None,
    }
}

fn newest(others: Others) -> Option<ConfigVersion> {
    let [a, b, c] = others.peers;
    let versions = [a, b, c, others.relay, others.platform];
    let versions = versions.into_iter().filter_map(|r| match r {
        Reply::Version(version, _) => Some(ConfigVersion(version)),
        _ => None,
    });
    versions.max()
}

fn served(actions: &[Action]) -> Option<ConfigVersion> {
    actions.iter().find_map(|a| match a {
        Action::Serve { floor } => Some(*floor),
        _ => None,
    })
}

const SERVING: [Reply; 3] = [
    Reply::Version(7, true),
    Reply::Version(9, true),
    Reply::Version(8, true),
];
const RESTARTED: [Reply; 3] = [Reply::Version(0, false); 3];
const LENGTH: Duration = Duration::from_secs(30);

/// Guards against a node that serves an older version than its host has served (hazard H1).
#[test]
fn one_node_restarts() {
    let others = Others {
        peers: SERVING,
        relay: Reply::Version(8, true),
        platform: Reply::Version(9, true),
    };
    let (actions, log) = start(others, ms(1_000));
    assert_eq!(served(&actions), Some(ConfigVersion(9)));
    insta::assert_snapshot!(log);
}

/// Guards against a platform outage that keeps restarted nodes from serving (requirement F2).
#[test]
fn one_node_restarts_while_the_platform_is_down() {
    let others = Others {
        peers: SERVING,
        relay: Reply::Refused,
        platform: Reply::Silent,
    };
    let (actions, log) = start(others, ms(1_000));
    assert_eq!(served(&actions), Some(ConfigVersion(9)));
    insta::assert_snapshot!(log);
}

/// Guards against a zone whose members all restart and agree among themselves on an old
/// version, or on none (hazard H1, requirement F1).
#[test]
fn a_whole_zone_restarts() {
    let others = Others {
        peers: RESTARTED,
        relay: Reply::Version(8, true),
        platform: Reply::Version(9, true),
    };
    let (actions, log) = start(others, ms(1_000));
    assert_eq!(served(&actions), Some(ConfigVersion(9)));
    insta::assert_snapshot!(log);
}

#[test]
fn a_whole_zone_restarts_while_the_platform_is_down() {
    let others = Others {
        peers: RESTARTED,
        relay: Reply::Version(8, true),
        platform: Reply::Refused,
    };
    let (actions, _) = start(others, LENGTH);
    assert_eq!(served(&actions), None);
}

/// Guards against a node that serves without knowing its version floor, and against
/// queries without backoff.
#[test]
fn nobody_answers() {
    let others = Others {
        peers: [Reply::Silent; 3],
        relay: Reply::Silent,
        platform: Reply::Silent,
    };
    let (actions, _) = start(others, LENGTH);
    assert_eq!(served(&actions), None);
    let rounds = actions.iter().filter(|a| matches!(a, Action::Ask { .. }));
    let rounds = rounds.count() / 3;
    assert!((5..=30).contains(&rounds), "{rounds} rounds in {LENGTH:?}");
    let waits = actions.iter().filter_map(|a| match a {
        Action::RetryLater { retry_after } => Some(*retry_after),
        _ => None,
    });
    assert!(waits.max().is_some_and(|w| w <= MAX_BACKOFF));
}

/// Guards against serving a configuration below the floor because it was fetched before
/// the floor was known.
#[test]
fn an_older_configuration_is_not_served() {
    let mut floor = VersionFloor::new(Time(0), SmallRng::seed_from_u64(1));
    floor.handle(Time(0), Event::Peers(1));
    floor.handle(Time(0), Event::Tick);
    floor.handle(Time(1), Event::Fetched(ConfigVersion(3)));
    for version in [4, 3, 3] {
        let answer = event(Source::Peers, Reply::Version(version, true));
        floor.handle(Time(2), answer.expect("an answer"));
    }
    floor.handle(Time(3), Event::Failed(Source::Relay));
    let actions = floor.handle(Time(4), Event::Failed(Source::Platform));
    assert!(actions.contains(&Action::Fetch(ConfigVersion(4))));
    assert!(!floor.is_serving());
    let actions = floor.handle(Time(5), Event::Fetched(ConfigVersion(4)));
    let floor = ConfigVersion(4);
    assert_eq!(actions, [Action::Serve { floor }]);
}

/// Guards against hundreds of nodes that start together and each read the whole
/// configuration from the store, and against nodes that nobody confirms for long: those of
/// a small zone, or of a mesh without a configuration, whose peers do not serve.
#[test]
fn a_part_of_the_nodes_of_a_zone_queries_the_platform() {
    const NODES_PER_ROW: u64 = 2_000;
    let mut out = String::new();
    for peers in [0, 1, 7, 23, 279] {
        let mut by_round = [0_u64; 6];
        for seed in 0..NODES_PER_ROW {
            let round = first_platform_query(peers, seed);
            for count in by_round.iter_mut().skip(round) {
                *count += 1;
            }
        }
        let percent = by_round.map(|n| format!("{}%", n * 100 / NODES_PER_ROW));
        writeln!(out, "{peers} peers: {}", percent.join(" ")).expect("a string");
    }
    insta::assert_snapshot!(out);
}

/// The round, from 0, in which a node queries the platform for the first time while its
/// peers do not serve.
fn first_platform_query(peers: usize, seed: u64) -> usize {
    let mut floor = VersionFloor::new(Time(0), SmallRng::seed_from_u64(seed));
    floor.handle(Time(0), Event::Peers(peers));
    let (mut now, mut rounds) = (Time(0), 0);
    loop {
        let asked = floor.handle(now, Event::Tick);
        let is_platform = |a: &Action| {
            let source = Source::Platform;
            *a == Action::Ask { source, count: 1 }
        };
        if asked.iter().any(is_platform) {
            return rounds;
        }
        if !asked.is_empty() {
            rounds += 1;
            for source in [Source::Peers, Source::Peers, Source::Peers, Source::Relay] {
                floor.handle(now, Event::Failed(source));
            }
        }
        now = now.after(ms(10));
    }
}

/// Guards against peers that lose the served version of a host when it restarts.
#[test]
fn peers_remember_what_a_host_has_served() {
    let mut sim = Sim::new(&[70], 1);
    sim.run(ms(2_000));
    sim.apply(5, ConfigVersion(3));
    sim.run(ms(3_000));
    let host = sim.nodes[5].entry.name.clone();
    let neighbours = sim.nodes[5]
        .membership
        .as_ref()
        .expect("running")
        .neighbours();
    let peers: Vec<_> = neighbours.take(3).map(|a| sim.node_at(a)).collect();
    sim.kill(5);
    sim.run(ms(500));
    sim.start(5);
    sim.run(ms(50));
    for peer in peers {
        let membership = sim.nodes[peer].membership.as_ref().expect("running");
        let (directory, own) = (membership.directory(), membership.own());
        let answer = FloorAnswer::of_member(Source::Peers, directory, own, true, &host);
        assert_eq!(answer.served, ConfigVersion(3));
    }
}

/// Guards against members that a relay considers outdated forever, because their
/// confirmation was lost.
#[test]
fn a_relay_learns_all_confirmations() {
    let mut sim = Sim::new(&[280], 1);
    sim.run(ms(2_000));
    sim.network.loss = 0.2;
    let zone = name("zone-0");
    let relay = sim.holders()[&Duty::Relay { zone }][0];
    sim.apply(relay, ConfigVersion(1));
    let behind = |s: &Sim| {
        let membership = s.nodes[relay].membership.as_ref().expect("running");
        let present = membership.directory().present();
        present
            .filter(|(_, r)| r.applied < ConfigVersion(1))
            .count()
    };
    let time = sim.run_until(ms(10_000), |s| behind(s) == 0);
    println!("all members confirmed after {time:?}");
    assert!(
        time.is_some(),
        "{} members have not confirmed",
        behind(&sim)
    );
}

/// Guards against a node that has the configuration and keeps refusing, because the answer
/// of the platform came between two rounds (issue 35). That is the usual case for a load
/// that takes longer than a round.
#[test]
fn an_answer_between_two_rounds_starts_to_serve() {
    let mut floor = VersionFloor::new(Time(0), SmallRng::seed_from_u64(1));
    floor.handle(Time(0), Event::Peers(1));
    floor.handle(Time(0), Event::Tick);
    for source in [Source::Peers, Source::Peers, Source::Peers, Source::Relay] {
        floor.handle(Time(0), Event::Failed(source));
    }
    let now = Time(0).after(ROUND_TIMEOUT);
    let ended = floor.handle(now, Event::Tick);
    assert!(matches!(ended[..], [Action::RetryLater { .. }]));
    floor.handle(now, Event::Fetched(ConfigVersion(5)));
    let answer = event(Source::Platform, Reply::Version(5, true));
    let actions = floor.handle(now, answer.expect("an answer"));
    let floor = ConfigVersion(5);
    assert_eq!(actions, [Action::Serve { floor }]);
}

/// Guards against a late answer that lets a node serve a configuration below the floor.
#[test]
fn an_answer_between_two_rounds_raises_the_floor() {
    let mut floor = VersionFloor::new(Time(0), SmallRng::seed_from_u64(1));
    floor.handle(Time(0), Event::Peers(1));
    floor.handle(Time(0), Event::Tick);
    let now = Time(0).after(ROUND_TIMEOUT);
    floor.handle(now, Event::Tick);
    floor.handle(now, Event::Fetched(ConfigVersion(4)));
    let answer = event(Source::Peers, Reply::Version(5, true));
    assert_eq!(floor.handle(now, answer.expect("an answer")), []);
    let answer = event(Source::Platform, Reply::Version(4, true));
    assert_eq!(floor.handle(now, answer.expect("an answer")), []);
    assert!(!floor.is_serving());
}

/// Time at which the lookup of members ends, after the first answer of the store.
const LOOKUP_END: Time = Time(300_000);

/// Starts a node while the store has version 4, of a copy. Members are known and asked once
/// the lookup has ended; `replies` are theirs, `None` if the lookup never ends.
fn start_after_a_loss(replies: Option<&[(Source, Reply)]>) -> (VersionFloor, String) {
    const FETCHED: Event = Event::Fetched(ConfigVersion(4));
    const STORED: Event = Event::Answer(FloorAnswer {
        source: Source::Platform,
        served: ConfigVersion(4),
        is_serving: true,
        may_have_lost: true,
    });
    let mut floor = VersionFloor::new(Time(0), SmallRng::seed_from_u64(1));
    let (mut queue, mut log) = (BTreeMap::new(), String::new());
    if replies.is_some() {
        queue.insert(LOOKUP_END, vec![Event::Peers(3), Event::LookupEnded]);
    }
    let mut now = Time(0);
    while now < Time(0).after(ms(2_000)) {
        let mut events = vec![Event::Tick];
        events.extend(queue.remove(&now).unwrap_or_default());
        while let Some(next) = events.pop() {
            for action in floor.handle(now, next) {
                writeln!(log, "{:>5} ms {action:?}", now.0 / 1_000).expect("a string");
                let Action::Ask { source, count } = action else {
                    continue;
                };
                let answered = now.after(ms(30));
                let later = queue.entry(answered).or_insert_with(Vec::new);
                match replies.filter(|_| now >= LOOKUP_END) {
                    // The last event is handled first.
                    _ if source == Source::Platform => later.extend([STORED, FETCHED]),
                    None => events.extend(vec![Event::Failed(source); count]),
                    Some(replies) => {
                        let replies = replies.iter().filter(|(from, _)| *from == source);
                        later.extend(replies.filter_map(|(_, reply)| event(source, *reply)));
                    }
                }
            }
        }
        now = now.after(ms(10));
    }
    (floor, log)
}

/// Guards against a node that knows no other one yet and takes the older configuration of a
/// store that came back from a copy for the newest (issue 35).
#[test]
fn a_store_that_lost_versions_is_not_enough_before_members_are_asked() {
    let refused = (Source::Peers, Reply::Refused);
    let serving = (Source::Peers, Reply::Version(5, true));
    let relay = (Source::Relay, Reply::Refused);
    let (floor, log) = start_after_a_loss(Some(&[refused, refused, serving, relay]));
    assert!(!floor.is_serving());
    assert_eq!(floor.floor(), ConfigVersion(5));
    insta::assert_snapshot!(log);
}

/// Guards against nodes that restart together after a loss and wait for one that serves
/// (requirement F1).
#[test]
fn a_mesh_that_restarts_after_a_loss_serves_what_the_store_has() {
    let refused = (Source::Peers, Reply::Refused);
    let restarted = (Source::Peers, Reply::Version(0, false));
    let relay = (Source::Relay, Reply::Version(0, false));
    let (floor, log) = start_after_a_loss(Some(&[refused, refused, restarted, relay]));
    assert!(floor.is_serving());
    insta::assert_snapshot!(log);
}

/// Guards against a node that serves an older version after a loss because the peers that
/// restarted with it answer, while nothing was heard of the other availability zones.
#[test]
fn peers_that_restarted_too_say_nothing_about_other_zones() {
    let restarted = (Source::Peers, Reply::Version(0, false));
    let relay = (Source::Relay, Reply::Refused);
    let (floor, log) = start_after_a_loss(Some(&[restarted, restarted, restarted, relay]));
    assert!(floor.is_serving());
    insta::assert_snapshot!(log);
}

/// Guards against a node that waits for members which never answer: hosts that are gone and
/// still in the registry.
#[test]
fn members_that_do_not_answer_are_waited_for_a_limited_time() {
    let silent = [
        (Source::Peers, Reply::Silent),
        (Source::Relay, Reply::Silent),
    ];
    let (floor, log) = start_after_a_loss(Some(&silent));
    assert!(floor.is_serving());
    insta::assert_snapshot!(log);
}

/// Guards against the only node of a mesh, which finds no other one in the registry.
#[test]
fn a_lookup_that_finds_nobody_is_waited_for_a_limited_time() {
    let (floor, log) = start_after_a_loss(None);
    assert!(floor.is_serving());
    insta::assert_snapshot!(log);
}
