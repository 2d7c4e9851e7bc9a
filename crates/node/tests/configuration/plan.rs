//! Plans of a run: what operators, servers and disturbances do, and when.

use crate::mesh::NodeKey;
use proptest::collection::vec;
use proptest::prelude::*;

/// Longest pause before a step, in milliseconds.
const MAX_PAUSE_MS: u16 = 2_500;
/// Longest of the short pauses, so that steps often fall into a disturbance.
const MAX_SHORT_PAUSE_MS: u16 = 300;
/// Longest duration of a disturbance, in milliseconds.
const MAX_DISTURBANCE_MS: u16 = 6_000;
/// Greatest number of steps of one plan.
const MAX_STEPS: usize = 12;

/// Return of the store from an older copy.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Loss {
    /// Age of the copy in milliseconds, rounded to the interval of the copies.
    pub(crate) copy_age_ms: u16,
    /// Time for which the store does not answer before it comes back.
    pub(crate) away_ms: u16,
    /// Time after which the operator writes its configuration again.
    pub(crate) rewritten_after_ms: u16,
    /// Number of changes that servers write as soon as the store is back.
    pub(crate) server_writes: u8,
    /// Whether the registry of hosts is empty in the copy.
    pub(crate) loses_registry: bool,
}

/// Which part of an entry cannot be read.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Spoiled {
    /// Its value: the configuration cannot be used.
    Value,
    /// All of it: the client leaves the entry out.
    Entry,
}

/// One step of a plan.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// The operator writes the next version of the configuration.
    Change {
        /// Whether it adds a route.
        adds: bool,
        /// Whether it removes the oldest of the added routes.
        removes: bool,
    },
    /// Servers write to other objects, which raises the revision of the store.
    ServerWrites(u8),
    /// The store loses its latest changes.
    Lose(Loss),
    /// The store does not answer for a time and loses nothing.
    Outage(u16),
    /// The store discards its history.
    Compact,
    /// A node does not reach the store for a time.
    CutFromStore(NodeKey, u16),
    /// A node reaches neither the store nor other nodes for a time.
    Isolate(NodeKey, u16),
    /// The link of a node is cut for a time, and later delivers the messages between nodes
    /// that it has kept.
    KeepMessages(NodeKey, u16),
    /// The answers of the store to a node are lost for a time.
    LoseAnswers(NodeKey, u16),
    /// The entries in the answers of the store to a node cannot be read, for a time.
    SpoilAnswers(NodeKey, Spoiled, u16),
    /// The answers of the store to a node take this long, for a time.
    DelayAnswers(NodeKey, u16, u16),
    /// The process of a node is killed and started again after this time.
    Restart(NodeKey, u16),
}

/// A whole run.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    /// Seed of delays, choices and losses of messages.
    pub(crate) seed: u64,
    /// Steps, each with the pause before it in milliseconds.
    pub(crate) steps: Vec<(u16, Step)>,
}

fn loss() -> impl Strategy<Value = Loss> {
    let times = (
        0..4_000u16,
        0..1_500u16,
        0..2_000u16,
        0..30u8,
        any::<bool>(),
    );
    times.prop_map(
        |(copy_age_ms, away_ms, rewritten_after_ms, server_writes, loses_registry)| Loss {
            copy_age_ms,
            away_ms,
            rewritten_after_ms,
            server_writes,
            loses_registry,
        },
    )
}

fn change() -> impl Strategy<Value = Step> {
    (any::<bool>(), any::<bool>()).prop_map(|(adds, removes)| Step::Change { adds, removes })
}

/// Writes, and losses of the store.
fn loss_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => change(),
        2 => (1..30u8).prop_map(Step::ServerWrites),
        3 => loss().prop_map(Step::Lose),
        1 => Just(Step::Compact),
    ]
}

fn spoiled() -> impl Strategy<Value = Spoiled> {
    prop_oneof![Just(Spoiled::Value), Just(Spoiled::Entry)]
}

/// Writes, losses of the store and all other disturbances.
fn any_step(nodes: usize) -> impl Strategy<Value = Step> {
    let node = move || (0..nodes).prop_map(NodeKey);
    let length = || 0..MAX_DISTURBANCE_MS;
    prop_oneof![
        8 => loss_step(),
        1 => (0..3_000u16).prop_map(Step::Outage),
        1 => (node(), length()).prop_map(|(n, ms)| Step::CutFromStore(n, ms)),
        1 => (node(), length()).prop_map(|(n, ms)| Step::Isolate(n, ms)),
        1 => (node(), length()).prop_map(|(n, ms)| Step::KeepMessages(n, ms)),
        1 => (node(), 0..3_000u16).prop_map(|(n, ms)| Step::LoseAnswers(n, ms)),
        1 => (node(), spoiled(), 0..3_000u16).prop_map(|(n, s, ms)| Step::SpoilAnswers(n, s, ms)),
        1 => (node(), 0..600u16, length()).prop_map(|(n, d, ms)| Step::DelayAnswers(n, d, ms)),
        1 => (node(), 0..1_000u16).prop_map(|(n, ms)| Step::Restart(n, ms)),
    ]
}

fn plans(step: impl Strategy<Value = Step>) -> impl Strategy<Value = Plan> {
    let pause = prop_oneof![0..MAX_SHORT_PAUSE_MS, 0..MAX_PAUSE_MS];
    let steps = vec((pause, step), 1..=MAX_STEPS);
    (any::<u64>(), steps).prop_map(|(seed, steps)| Plan { seed, steps })
}

/// Plans in which only the store is disturbed, by losses and by the end of its history.
pub(crate) fn losses() -> impl Strategy<Value = Plan> {
    plans(loss_step())
}

/// Plans with all disturbances for a mesh of this many nodes.
pub(crate) fn disturbances(nodes: usize) -> impl Strategy<Value = Plan> {
    plans(any_step(nodes))
}

/// Plans in which a route is added while the link of a node is cut, at least the bound for
/// changes before the link works again.
pub(crate) fn links_that_keep_messages(nodes: usize) -> impl Strategy<Value = Plan> {
    let change = Step::Change {
        adds: true,
        removes: false,
    };
    let times = (0..2_000u16, 3_000..MAX_DISTURBANCE_MS);
    let plan = (any::<u64>(), times, (0..nodes).prop_map(NodeKey));
    plan.prop_map(move |(seed, (until_change, rest), node)| {
        let cut = Step::KeepMessages(node, until_change + rest);
        let steps = vec![(0, cut), (until_change, change)];
        Plan { seed, steps }
    })
}

/// Plans in which the store loses a change, and a node starts again before the operator has
/// written it again.
pub(crate) fn restarts_after_a_loss(nodes: usize) -> impl Strategy<Value = Plan> {
    let change = Step::Change {
        adds: true,
        removes: false,
    };
    let times = (200..1_000u16, 0..500u16, 0..1_000u16);
    let restarted = (0..nodes).prop_map(NodeKey);
    let plan = (any::<u64>(), times, any::<bool>(), restarted);
    plan.prop_map(
        move |(seed, (until_lost, away_ms, until_restart), loses_registry, node)| {
            let lost = Step::Lose(Loss {
                copy_age_ms: until_lost + 100,
                away_ms,
                rewritten_after_ms: 4_000,
                server_writes: 1,
                loses_registry,
            });
            let restart = Step::Restart(node, 100);
            let steps = vec![(0, change), (until_lost, lost), (until_restart, restart)];
            Plan { seed, steps }
        },
    )
}
