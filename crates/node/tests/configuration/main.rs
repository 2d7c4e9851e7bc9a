//! The configuration on the nodes of a mesh follows that of the operator, whatever happens
//! to the store, its answers, the network and the nodes.
//!
//! Plans of changes and disturbances are played in virtual time, with the decisions of the
//! nodes and without I/O. `CONFIGURATION_CASES` and `CONFIGURATION_SEED` set the number of
//! plans and the seed they are drawn from.
//!
//! - (a) No node denies a route that every configuration has that may be in force.
//! - (b) No process goes back to an older version.
//! - (c) All nodes have the newest version 3 s after the last disturbance.
//! - (d) A version has the same content on all nodes.
//! - (e) No node begins to serve an older version than another one that it can ask has served
//!   since before its start.

mod client;
mod mesh;
mod operator;
mod plan;
mod process;
#[path = "../virtual_time/mod.rs"]
mod virtual_time;
mod watch_loop;

use mesh::{Mesh, NodeKey};
use plan::{Plan, Spoiled, Step};
use proptest::prelude::*;
use virtual_time::Draw;

/// Seed of the plans unless `CONFIGURATION_SEED` sets another.
const SEED: u64 = 35;
/// Numbers of nodes in the availability zones of the mesh.
const ZONES: [usize; 3] = [2, 2, 1];

fn assert_holds(zones: &[usize], plans: impl Strategy<Value = Plan>, cases: u64) {
    let draw = Draw {
        variables: ("CONFIGURATION_CASES", "CONFIGURATION_SEED"),
        cases,
        seed: SEED,
    };
    virtual_time::assert_holds(draw, plans, |plan| Mesh::play(zones, plan));
}

/// Guards against a node that watches from a revision which the store gave out before a
/// loss, and misses the changes below it.
#[test]
fn a_node_follows_the_operator_after_losses_of_the_store() {
    assert_holds(&[1], plan::losses(), 300);
}

/// Guards against a node that keeps an old configuration although it reads the store, or
/// denies routes for one that may be old.
#[test]
fn a_node_follows_the_operator_through_disturbances() {
    assert_holds(&[1], plan::disturbances(1), 200);
}

/// Guards against a node that takes a list whose only entry it cannot read for a store without
/// a configuration, and does not load again (issue 35).
#[test]
fn a_node_loads_again_after_a_list_that_cannot_be_read() {
    let change = Step::Change {
        adds: false,
        removes: false,
    };
    let plans = (0..u64::MAX).prop_map(move |seed| {
        let spoiled = Step::SpoilAnswers(NodeKey(0), Spoiled::Entry, 243);
        let steps = vec![(0, spoiled), (0, change), (13, Step::Outage(0))];
        Plan { seed, steps }
    });
    assert_holds(&[1], plans, 100);
}

/// Guards against a mesh that keeps an old configuration after a loss of the store.
#[test]
fn a_mesh_follows_the_operator_after_losses_of_the_store() {
    assert_holds(&ZONES, plan::losses(), 100);
}

/// Guards against nodes that keep an old configuration, or deny routes for one that may be
/// old, while others have the newest one.
#[test]
fn a_mesh_follows_the_operator_through_disturbances() {
    assert_holds(&ZONES, plan::disturbances(ZONES.iter().sum()), 100);
}

/// Guards against a node behind a link that was cut, which denies a route that was added
/// meanwhile: it takes the messages that the link has kept for new ones (issue 35).
#[test]
fn a_node_behind_a_link_that_keeps_messages_denies_no_new_route() {
    let nodes = ZONES.iter().sum();
    assert_holds(&ZONES, plan::links_that_keep_messages(nodes), 100);
}

/// Guards against a node that starts after a loss of the store, knows no other node yet, and
/// takes the older configuration there for the newest (issue 35).
#[test]
fn a_starting_node_asks_the_others_after_a_loss_of_the_store() {
    let nodes = ZONES.iter().sum();
    assert_holds(&ZONES, plan::restarts_after_a_loss(nodes), 100);
}
