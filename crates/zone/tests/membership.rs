//! Failure detection, gossip and healing of partitions with hundreds of members.

mod sim;

use knapweed_world::backend_server::ServerState;
use knapweed_zone::MemberState;
use knapweed_zone::membership::Event;
use knapweed_zone::membership::neighbours::NEIGHBOURS;
use knapweed_zone::message::MAX_MESSAGE_LEN;
use rand::Rng;
use rand::seq::index::sample;
use sim::results::{median, worst};
use sim::seeds::for_seeds;
use sim::{Sim, announcement, ms};
use std::time::Duration;

/// Members of one availability zone at the target size.
const MEMBERS: usize = 280;
/// Time within which all members must know of a death (bound B3).
const DETECTION_BOUND: Duration = Duration::from_secs(5);
/// Time within which all members must know that a member or server leaves (bound B2).
const LEAVE_BOUND: Duration = Duration::from_secs(3);
/// Number of simulated runs of each randomized scenario.
const SEEDS: u64 = 20;
/// Time in which 87 nodes that started together had learned of each other.
const DISCOVERY_TIME: Duration = ms(600);
/// Longest time from a lost ping to the declared death of its target, which is how long
/// suspicions from before a merge can still take effect.
const OPEN_SUSPICIONS: Duration = ms(3_100);

/// Guards against members that nobody pings, so that their death goes undetected.
#[test]
fn each_member_is_pinged_by_several_others() {
    let sim = settled(MEMBERS, 1);
    let mut pinged_by = vec![0; MEMBERS];
    for node in &sim.nodes {
        let membership = node.membership.as_ref().expect("a running node");
        for address in membership.neighbours() {
            pinged_by[sim.node_at(address)] += 1;
        }
    }
    let fewest = pinged_by.iter().copied().min();
    assert!(fewest >= Some(NEIGHBOURS), "{pinged_by:?}");
}

fn settled(members: usize, seed: u64) -> Sim {
    let mut sim = Sim::new(&[members], seed);
    sim.run(ms(4_000));
    sim
}

/// Guards against dead members that keep receiving traffic, because their death is
/// detected or spread too late (bound B3).
#[test]
fn a_death_is_known_to_all_within_the_bound() {
    let times = for_seeds(SEEDS, |seed| {
        let mut sim = settled(MEMBERS, seed);
        let victim = sim.rng.random_range(0..MEMBERS);
        sim.kill(victim);
        let dead = |s: &Sim| s.all_see(victim, MemberState::Dead);
        let time = sim.run_until(ms(10_000), dead).expect("a known death");
        assert!(sim.false_deaths().is_empty(), "seed {seed}");
        time
    });
    let (median, worst) = (median(&times), worst(&times));
    println!("median {median:?}, worst {worst:?}");
    assert!(worst <= DETECTION_BOUND, "worst {worst:?} of {times:?}");
}

/// Guards against late detection when a rack or switch fails: members that ping each
/// other die together (bound B3).
#[test]
fn a_rack_that_dies_is_known_to_all_within_the_bound() {
    let times = for_seeds(5, |seed| {
        let mut sim = settled(MEMBERS, seed);
        let victims = sample(&mut sim.rng, MEMBERS, 40).into_vec();
        for victim in &victims {
            sim.kill(*victim);
        }
        let dead = |s: &Sim| victims.iter().all(|v| s.all_see(*v, MemberState::Dead));
        let time = sim.run_until(ms(15_000), dead).expect("known deaths");
        assert!(sim.false_deaths().is_empty(), "seed {seed}");
        time
    });
    let worst = worst(&times);
    println!("{times:?}");
    assert!(worst <= DETECTION_BOUND, "worst {worst:?} of {times:?}");
}

/// Guards against a short pause of a healthy member, such as a debugger stop or a
/// swap-in, being taken for its death (bound B3).
#[test]
fn a_pause_of_two_seconds_is_not_a_death() {
    for_seeds(SEEDS, |seed| {
        let mut sim = settled(MEMBERS, seed);
        for victim in sample(&mut sim.rng, MEMBERS, 5) {
            sim.pause(victim, ms(2_000));
        }
        sim.run(ms(8_000));
        let deaths = sim.false_deaths();
        assert!(deaths.is_empty(), "seed {seed}: {deaths:?}");
        let alive = |s: &Sim| (0..MEMBERS).all(|n| s.all_see(n, MemberState::Alive));
        assert!(alive(&sim), "seed {seed}: a suspicion was not refuted");
    });
}

/// Guards against a node that suspects others because it could not receive their
/// answers while it was paused itself.
#[test]
fn a_long_pause_raises_no_suspicion_of_others() {
    let mut sim = settled(70, 1);
    sim.pause(7, ms(20_000));
    sim.run(ms(30_000));
    let suspected = |s: &&sim::Observation| s.host != 7 && s.state != MemberState::Alive;
    let suspected: Vec<_> = sim.observations.iter().filter(suspected).collect();
    assert!(suspected.is_empty(), "{suspected:?}");
    assert!(sim.all_see(7, MemberState::Alive));
}

/// Guards against lost datagrams being taken for failed members.
#[test]
fn lost_messages_kill_nobody() {
    let mut sim = settled(MEMBERS, 3);
    sim.network.loss = 0.05;
    sim.run(ms(30_000));
    let deaths = sim.false_deaths();
    assert!(deaths.is_empty(), "{deaths:?}");
}

/// Guards against a simultaneous restart of many members after which the others count
/// as dead or the new incarnations stay unknown (requirement F1).
#[test]
fn a_third_of_the_members_restarts_at_once() {
    let mut sim = settled(MEMBERS, 4);
    sim.network.measures = true;
    let victims: Vec<_> = (0..MEMBERS).step_by(3).collect();
    for victim in &victims {
        sim.kill(*victim);
    }
    sim.run(ms(1_000));
    for victim in &victims {
        sim.start(*victim);
    }
    let known = |s: &Sim| (0..MEMBERS).all(|n| is_current(s, n));
    let time = sim.run_until(DETECTION_BOUND, known);
    assert!(time.is_some(), "restarted members are not known to all");
    sim.run(ms(5_000));
    let deaths = sim.false_deaths();
    assert!(deaths.is_empty(), "{} false deaths", deaths.len());
    let longest = sim.network.longest;
    assert!(longest <= MAX_MESSAGE_LEN, "a message of {longest} bytes");
}

fn is_current(sim: &Sim, host: usize) -> bool {
    let Some(membership) = &sim.nodes[host].membership else {
        return true;
    };
    let incarnation = membership.own().incarnation;
    let knows = |n: usize| {
        let record = sim.record(n, host);
        record.is_some_and(|r| r.incarnation == incarnation && r.state == MemberState::Alive)
    };
    (0..sim.nodes.len()).all(knows)
}

/// Guards against a healed partition whose sides still list each other as dead, or declare
/// members dead again after they have merged (requirement F9).
#[test]
fn a_partition_merges_without_flapping() {
    let mut sim = settled(MEMBERS, 5);
    sim.network.sides = (0..MEMBERS).map(|n| (n % 4 == 0) as u8).collect();
    sim.run(ms(10_000));
    assert_eq!(sim.record(1, 0).map(|r| r.state), Some(MemberState::Dead));
    sim.network.sides.clear();
    sim.observations.clear();
    let merge = sim.now;
    let whole = |s: &Sim| (0..MEMBERS).all(|n| s.all_see(n, MemberState::Alive));
    let time = sim.run_until(ms(20_000), whole);
    assert!(time.is_some(), "the sides of the partition did not merge");
    sim.run(ms(10_000));
    let relapses = sim.relapses();
    assert!(relapses.is_empty(), "{} relapses", relapses.len());
    // A suspicion raised before the merge may still time out as a death.
    let since_merge = |s: &sim::Observation| s.at.since(merge);
    let late: Vec<_> = sim.false_deaths();
    let last = late.iter().map(since_merge).max().unwrap_or_default();
    assert!(last <= OPEN_SUSPICIONS, "a death {last:?} after the merge");
    assert!(whole(&sim), "members are suspected or dead after the merge");
}

/// Guards against new work being sent to a backend server that is leaving (hazard H8, bound B2).
#[test]
fn a_leaving_server_is_known_to_all_within_the_bound() {
    let times = for_seeds(SEEDS, |seed| {
        let mut sim = settled(MEMBERS, seed);
        sim.network.loss = 0.01;
        let leaver = sim.rng.random_range(0..MEMBERS);
        let address = sim.nodes[leaver].entry.address;
        let draining = announcement(address, ServerState::Draining);
        sim.handle(leaver, Event::LocalAnnouncement(draining));
        let known = |s: &Sim| (0..MEMBERS).all(|n| is_draining(s, n, leaver));
        sim.run_until(ms(10_000), known).expect("a known drain")
    });
    let (median, worst) = (median(&times), worst(&times));
    println!("median {median:?}, worst {worst:?}");
    assert!(worst <= LEAVE_BOUND, "worst {worst:?} of {times:?}");
}

fn is_draining(sim: &Sim, observer: usize, host: usize) -> bool {
    let record = sim.record(observer, host).expect("a known record");
    let mut servers = record.announcements.iter();
    servers.all(|a| a.state == ServerState::Draining)
}

/// Guards against a leaving host that still gets work until it stops (bound B2).
#[test]
fn a_leaving_host_is_known_and_stays_gone() {
    let mut sim = settled(MEMBERS, 6);
    sim.handle(9, Event::Leave);
    let leaving = |s: &Sim| s.all_see(9, MemberState::Leaving);
    let time = sim.run_until(LEAVE_BOUND, leaving);
    assert!(time.is_some(), "the leaving host is not known to all");
    sim.handle(9, Event::Stop);
    sim.kill(9);
    let gone = |s: &Sim| s.all_see(9, MemberState::Dead);
    assert!(sim.run_until(DETECTION_BOUND, gone).is_some());
    sim.run(ms(10_000));
    assert!(gone(&sim), "the stopped host is no longer dead");
}

/// Guards against lost messages that cause a leaving host to be declared dead while it
/// finishes its requests (hazard H9).
#[test]
fn lost_messages_do_not_kill_a_leaving_host() {
    let mut sim = settled(140, 8);
    sim.network.loss = 0.1;
    for host in 0..40 {
        sim.handle(host, Event::Leave);
    }
    sim.run(ms(30_000));
    let deaths = sim.false_deaths();
    assert!(deaths.is_empty(), "{deaths:?}");
}

/// Guards against late detection of a leaving host that dies before it has stopped (bound B3).
#[test]
fn the_death_of_a_leaving_host_is_known_within_the_bound() {
    for_seeds(5, |seed| {
        let mut sim = settled(MEMBERS, seed);
        sim.handle(9, Event::Leave);
        sim.run(ms(1_000));
        sim.kill(9);
        let dead = |s: &Sim| s.all_see(9, MemberState::Dead);
        let time = sim.run_until(ms(15_000), dead);
        assert!(time.is_some_and(|t| t <= DETECTION_BOUND), "{time:?}");
    });
}

/// Guards against lost, reordered and duplicated messages that revive a backend server
/// at a node which already knows that it has left (requirement F2).
#[test]
fn crossed_and_repeated_messages_bring_back_no_server() {
    const LEAVERS: usize = 20;
    let mut sim = settled(140, 7);
    sim.network.loss = 0.05;
    sim.network.repeated = 0.3;
    let mut has_left = vec![[false; LEAVERS]; 140];
    for state in [ServerState::Draining, ServerState::Gone] {
        for leaver in 0..LEAVERS {
            let address = sim.nodes[leaver].entry.address;
            let next = announcement(address, state);
            sim.handle(leaver, Event::LocalAnnouncement(next));
            sim.run(ms(50));
        }
    }
    for _ in 0..200 {
        sim.run(ms(50));
        for (observer, left) in has_left.iter_mut().enumerate() {
            for (leaver, left) in left.iter_mut().enumerate() {
                let record = sim.record(observer, leaver).expect("a known record");
                let is_gone = record.announcements.is_empty();
                assert!(is_gone || !*left, "{leaver} is back at {observer}");
                *left = is_gone;
            }
        }
    }
    assert!(has_left.iter().flatten().all(|left| *left));
}

/// Guards against a load peak on the store when all nodes start together: a node that
/// knows no others yet would take every duty that calls the store.
#[test]
fn a_node_takes_no_duty_before_it_could_meet_others() {
    let mut sim = Sim::new(&[1], 7);
    let mut taken_at = None;
    for step in 1..=100 {
        sim.run(ms(20));
        let membership = sim.nodes[0].membership.as_ref().expect("a running node");
        if membership.role().controls_rollouts {
            taken_at = Some(ms(20) * step);
            break;
        }
    }
    let taken_at = taken_at.expect("a node without others took no duty");
    assert!(taken_at >= DISCOVERY_TIME, "duties after {taken_at:?}");
}
