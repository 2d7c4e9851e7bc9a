//! What a node knows about the newest configuration, and how that spreads.

mod sim;

use knapweed_world::{ConfigVersion, StoreEra, Time};
use knapweed_zone::freshness::CONFIRMED_FOR;
use knapweed_zone::membership::Event;
use knapweed_zone::{Confirmation, Freshness};
use sim::results::{median, worst};
use sim::seeds::for_seeds;
use sim::{Sim, ms};
use std::time::Duration;

const V1: ConfigVersion = ConfigVersion(1);
const V2: ConfigVersion = ConfigVersion(2);
const FIRST_ERA: StoreEra = StoreEra(0);
const SECOND_ERA: StoreEra = StoreEra(1);

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

/// A node with the first version, which the store has confirmed at 1 s.
fn confirmed() -> Freshness {
    let mut freshness = Freshness::default();
    freshness.applied(V1);
    freshness.store_answered(at(1), at(1), FIRST_ERA, V1);
    freshness
}

fn aged(era: StoreEra, age_ms: u16) -> Option<Confirmation> {
    Some(Confirmation { era, age_ms })
}

/// Guards against a node that takes an old table for the newest one, and against one that
/// never trusts its table.
#[test]
fn a_version_counts_as_the_newest_while_nothing_speaks_against_it() {
    type Step = fn(&mut Freshness);
    let cases: [(&str, Step); 12] = [
        ("confirmed by the store at 1 s", |_| {}),
        ("confirmed again at 3 s", |f| {
            f.store_answered(at(3), at(3), FIRST_ERA, V1);
        }),
        ("a newer version in the store", |f| {
            f.store_answered(at(3), at(3), FIRST_ERA, V2);
        }),
        ("a newer version in the store, then in force", |f| {
            f.store_answered(at(3), at(3), FIRST_ERA, V2);
            f.applied(V2);
        }),
        ("a newer version at another node", |f| {
            f.reported(at(3), Some(at(3)), V2, None);
        }),
        ("a newer version in force, not confirmed", |f| f.applied(V2)),
        ("confirmed by a node at 3 s, 500 ms old", |f| {
            f.reported(at(3), Some(at(3)), V1, aged(FIRST_ERA, 500));
        }),
        ("an older version at another node, confirmed", |f| {
            f.reported(at(3), Some(at(3)), ConfigVersion(0), aged(FIRST_ERA, 0));
        }),
        ("a later era at another node, with its version", |f| {
            f.reported(at(3), Some(at(3)), V1, aged(SECOND_ERA, 100));
        }),
        ("a later era at a node with an older version", |f| {
            f.reported(at(3), Some(at(3)), ConfigVersion(0), aged(SECOND_ERA, 0));
        }),
        ("a later era, whose store has an older version", |f| {
            f.store_answered(at(3), at(3), SECOND_ERA, ConfigVersion(0));
        }),
        ("an earlier era at another node", |f| {
            f.reported(at(2), Some(at(2)), V1, aged(SECOND_ERA, 0));
            f.reported(at(3), Some(at(3)), V1, aged(FIRST_ERA, 0));
        }),
    ];
    let lines = cases.map(|(name, step)| {
        let mut freshness = confirmed();
        step(&mut freshness);
        let until = freshness.current_until();
        format!("{name}: until {} ms", until.0 / 1_000)
    });
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against a 404 for routes that the store has lost before any node received them: the
/// older version that it has counts as the newest only after the operators had time to write
/// theirs again.
#[test]
fn a_store_that_came_back_confirms_its_version_after_a_while() {
    type Step = fn(&mut Freshness);
    let cases: [(&str, Step); 10] = [
        ("the version before, at once", |f| {
            f.store_answered(at(3), at(3), SECOND_ERA, V1);
        }),
        ("the version before, 9 s later", |f| {
            f.store_answered(at(3), at(3), SECOND_ERA, V1);
            f.store_answered(at(12), at(12), SECOND_ERA, V1);
        }),
        ("the version before, 10 s later", |f| {
            f.store_answered(at(3), at(3), SECOND_ERA, V1);
            f.store_answered(at(13), at(13), SECOND_ERA, V1);
        }),
        ("a newer version, in force", |f| {
            f.store_answered(at(3), at(3), SECOND_ERA, V1);
            f.store_answered(at(4), at(4), SECOND_ERA, V2);
            f.applied(V2);
        }),
        ("versions that are written again one by one", |f| {
            f.store_answered(at(3), at(3), SECOND_ERA, V1);
            f.store_answered(at(4), at(4), SECOND_ERA, V2);
            f.applied(V2);
            f.store_answered(at(13), at(13), SECOND_ERA, V2);
        }),
        ("a newer version, from before the loss", |f| {
            f.store_answered(at(3), at(3), SECOND_ERA, V2);
            f.applied(V2);
        }),
        (
            "a process that stood still until 3 s hears of the era",
            |f| {
                f.reported(at(13), Some(at(3)), V1, aged(SECOND_ERA, 0));
                f.reported(at(13), Some(at(13)), V2, None);
                f.applied(V2);
                f.store_answered(at(14), at(14), SECOND_ERA, V2);
            },
        ),
        ("an answer that took 8 s", |f| {
            f.store_answered(at(11), at(3), SECOND_ERA, V1);
            f.store_answered(at(14), at(14), SECOND_ERA, V1);
        }),
        ("a node that knows better", |f| {
            f.store_answered(at(3), at(3), SECOND_ERA, V1);
            f.reported(at(4), Some(at(4)), V1, aged(SECOND_ERA, 0));
        }),
        ("a process that starts in the later era", |f| {
            *f = Freshness::default();
            f.store_answered(at(3), at(3), SECOND_ERA, V1);
            f.applied(V1);
        }),
    ];
    let lines = cases.map(|(name, step)| {
        let mut freshness = confirmed();
        step(&mut freshness);
        let until = freshness.current_until();
        format!("{name}: until {} ms", until.0 / 1_000)
    });
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against a confirmation that is passed on after it has lost its validity.
#[test]
fn a_confirmation_is_passed_on_with_its_age() {
    let freshness = confirmed();
    let ages = [1, 3, 5].map(|now| freshness.confirmation(at(now)).map(|c| c.age_ms));
    assert_eq!(ages, [Some(0), Some(2_000), None]);
}

/// Guards against an old confirmation that is passed on as a recent one because its age exceeds
/// the range of the message.
#[test]
fn a_confirmation_that_is_too_old_for_a_message_is_not_passed_on() {
    let mut freshness = Freshness::new(Duration::from_secs(120));
    freshness.applied(V1);
    freshness.store_answered(at(1), at(1), FIRST_ERA, V1);
    let ages = [66, 67].map(|now| freshness.confirmation(at(now)).map(|c| c.age_ms));
    assert_eq!(ages, [Some(65_000), None]);
}

/// Guards against a node that has just started and takes a confirmation that is older than its
/// process for one of its start, and passes it on as such.
#[test]
fn a_confirmation_from_before_the_start_keeps_its_age() {
    let heard_at = Time::from_millis(500);
    let mut freshness = Freshness::default();
    freshness.applied(V1);
    freshness.reported(heard_at, Some(heard_at), V1, aged(FIRST_ERA, 2_900));
    let left = freshness.current_until().since(heard_at);
    let passed_on = freshness.confirmation(heard_at).map(|c| c.age_ms);
    assert_eq!((left, passed_on), (ms(100), Some(2_900)));
}

/// Guards against a confirmation that never expires while hosts restart one after the other:
/// each one that has just started makes it younger for the next one.
#[test]
fn restarts_do_not_keep_a_confirmation_alive() {
    let mut age_ms = 0;
    for restart in 1..=10 {
        let heard_at = Time::from_millis(500);
        let mut started = Freshness::default();
        started.applied(V1);
        started.reported(heard_at, Some(heard_at), V1, aged(FIRST_ERA, age_ms));
        let Some(passed_on) = started.confirmation(heard_at.after(ms(1_000))) else {
            assert!(restart <= 3, "restart {restart}");
            return;
        };
        age_ms = passed_on.age_ms;
    }
    panic!("after 10 s the confirmation is {age_ms} ms old");
}

/// Interval at which a node that watches the configuration hears from the store.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);
const SEEDS: u64 = 3;
/// Time for which a confirmation may be on its way through an availability zone or two.
const TRANSIT_TIME: Duration = ms(100);

/// Returns the ages of the confirmations of all nodes, sampled over 10 s.
fn confirmation_ages(zones: &[usize], loss: f64, seed: u64) -> Vec<Duration> {
    let mut sim = Sim::new(zones, seed);
    sim.run(ms(6_000));
    sim.apply(0, V1);
    sim.run(ms(3_000));
    sim.network.loss = loss;
    let mut ages = Vec::new();
    for second in 0..15 {
        confirm_watched(&mut sim);
        sim.run(WATCH_INTERVAL);
        if second >= 5 {
            let now = sim.now;
            let nodes = sim.nodes.iter().filter_map(|n| n.membership.as_ref());
            ages.extend(
                nodes.map(|m| now.since(m.freshness().current_until().before(CONFIRMED_FOR))),
            );
        }
    }
    ages
}

fn confirm_watched(sim: &mut Sim) {
    confirm_version(sim, V1);
}

fn confirm_version(sim: &mut Sim, version: ConfigVersion) {
    let watching = (0..sim.nodes.len()).filter(|n| sim.nodes[*n].watches_head);
    for node in watching.collect::<Vec<_>>() {
        let confirmed = Event::ConfigConfirmed {
            era: FIRST_ERA,
            version,
            at: sim.now,
        };
        sim.handle(node, confirmed);
    }
}

/// Guards against nodes far from the store that refuse unknown paths as unavailable all the
/// time, because confirmations reach them too late.
#[test]
fn confirmations_reach_every_node_in_time() {
    for zones in [&[280][..], &[56; 5], &[14; 6]] {
        let ages = for_seeds(SEEDS, |seed| confirmation_ages(zones, 0.02, seed)).concat();
        let (median, worst) = (median(&ages), worst(&ages));
        println!("{zones:?}: median {median:?}, worst {worst:?}");
        let worst = worst + TRANSIT_TIME;
        assert!(worst < CONFIRMED_FOR, "{zones:?}: {worst:?}");
    }
}

/// Guards against a node that is cut off and claims that a route does not exist which it
/// cannot have heard of.
#[test]
fn a_partitioned_zone_stops_counting_its_version_as_the_newest() {
    let mut sim = Sim::new(&[14, 14], 1);
    sim.run(ms(6_000));
    sim.apply(0, V1);
    sim.run(ms(3_000));
    confirm_watched(&mut sim);
    sim.run(CONFIRMED_FOR / 2);
    let is_current = |sim: &Sim, node: usize| {
        let membership = sim.nodes[node].membership.as_ref();
        membership.is_some_and(|m| m.freshness().current_until() > sim.now)
    };
    assert!((0..28).all(|node| is_current(&sim, node)));
    sim.network.sides = (0..28).map(|node| u8::from(node >= 14)).collect();
    sim.run(CONFIRMED_FOR);
    assert!((0..28).all(|node| !is_current(&sim, node)));
}

/// Guards against hosts under load that are cut off from the store and keep a confirmation alive
/// among themselves: its age does not grow while a message waits in queues.
#[test]
fn messages_that_wait_in_queues_do_not_make_a_confirmation_younger() {
    let lasting = [0, 20, 50, 100, 200].map(|queueing| {
        let mut sim = Sim::new(&[14], 1);
        sim.run(ms(6_000));
        sim.apply(0, V1);
        sim.run(ms(3_000));
        sim.network.queueing = ms(queueing);
        for _ in 0..3 {
            confirm_watched(&mut sim);
            sim.run(WATCH_INTERVAL);
        }
        confirm_watched(&mut sim);
        let confirmed_at = sim.now;
        let is_current = |sim: &Sim| {
            let nodes = sim.nodes.iter().filter_map(|n| n.membership.as_ref());
            let until = nodes.map(|m| m.freshness().current_until()).max();
            until > Some(sim.now)
        };
        while is_current(&sim) && sim.now.since(confirmed_at) < 10 * CONFIRMED_FOR {
            sim.run(ms(10));
        }
        (queueing, sim.now.since(confirmed_at))
    });
    println!("waits in queues, time until no node is current: {lasting:?}");
    let slack = ms(200);
    for (queueing, lasted) in lasting {
        assert!(lasted <= CONFIRMED_FOR + slack, "{queueing} ms: {lasted:?}");
    }
}

/// Guards against a node that was paused and claims that a route does not exist which was added
/// meanwhile: it handles the messages that waited during the pause as if they had just been sent
/// (DENIED, issue 35).
#[test]
fn confirmations_that_waited_during_a_pause_do_not_count() {
    const PAUSED: usize = 13;
    let mut sim = Sim::new(&[14], 1);
    sim.run(ms(6_000));
    sim.apply(0, V1);
    sim.run(ms(3_000));
    confirm_watched(&mut sim);
    sim.run(CONFIRMED_FOR / 2);
    sim.pause(PAUSED, 2 * CONFIRMED_FOR);
    sim.run(ms(100));
    confirm_watched(&mut sim);
    sim.run(2 * CONFIRMED_FOR - ms(101));
    let is_current = |sim: &Sim, node: usize| {
        let membership = sim.nodes[node].membership.as_ref();
        membership.is_some_and(|m| m.freshness().current_until() > sim.now)
    };
    for _ in 0..300 {
        sim.run(ms(1));
        assert!(!is_current(&sim, PAUSED), "at {:?}", sim.now);
    }
    for _ in 0..2 {
        confirm_watched(&mut sim);
        sim.run(WATCH_INTERVAL);
    }
    assert!(is_current(&sim, PAUSED), "confirmations count again");
}

/// Guards against a node behind a link that was cut, which claims that a route does not exist
/// that was added meanwhile: it takes the messages that waited for the link for new ones
/// (DENIED, issue 35).
#[test]
fn confirmations_that_waited_for_a_link_do_not_count() {
    const BEHIND: usize = 13;
    let mut sim = Sim::new(&[14], 1);
    sim.run(ms(6_000));
    sim.apply(0, V1);
    sim.run(ms(3_000));
    for _ in 0..3 {
        confirm_watched(&mut sim);
        sim.run(WATCH_INTERVAL);
    }
    let state = |sim: &Sim| {
        let membership = sim.nodes[BEHIND].membership.as_ref();
        let membership = membership.expect("a running node");
        let is_current = membership.freshness().current_until() > sim.now;
        (is_current, membership.own().applied)
    };
    assert_eq!(state(&sim), (true, V1));
    sim.cut_link(BEHIND);
    confirm_watched(&mut sim);
    sim.run(WATCH_INTERVAL);
    sim.apply(0, V2);
    sim.run(CONFIRMED_FOR + ms(100));
    assert_eq!(state(&sim), (false, V1));
    sim.restore_link();
    for _ in 0..500 {
        sim.run(ms(1));
        assert_ne!(state(&sim), (true, V1), "at {:?}", sim.now);
    }
    for _ in 0..2 {
        confirm_version(&mut sim, V2);
        sim.run(WATCH_INTERVAL);
    }
    assert_eq!(state(&sim), (true, V2), "confirmations count again");
}

/// Guards against a host that stalls again and again and refuses unknown paths as unavailable
/// all the time: its pauses add up, and no confirmation of other nodes counts (issue 35).
#[test]
fn a_node_that_stalls_again_and_again_accepts_recent_confirmations() {
    const STALLING: usize = 13;
    let mut sim = Sim::new(&[14], 1);
    sim.run(ms(6_000));
    sim.apply(0, V1);
    sim.run(ms(3_000));
    let mut ages = Vec::new();
    for _ in 0..30 {
        confirm_watched(&mut sim);
        for _ in 0..2 {
            sim.pause(STALLING, ms(400));
            sim.run(ms(500));
            let membership = sim.nodes[STALLING].membership.as_ref();
            let until = membership.map(|m| m.freshness().current_until());
            let confirmed_at = until.unwrap_or_default().before(CONFIRMED_FOR);
            ages.push(sim.now.since(confirmed_at));
        }
    }
    let (median, worst) = (median(&ages), worst(&ages));
    println!("median {median:?}, worst {worst:?}");
    assert!(worst < CONFIRMED_FOR, "{ages:?}");
}
