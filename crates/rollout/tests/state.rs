//! Tests of the join of rollout states and of the traffic shares that result.

mod common;

use common::{config, share, state};
use insta::assert_snapshot;
use knapweed_rollout::judge::{Fault, FaultKind, Tally};
use knapweed_rollout::result::PullBackReason;
use knapweed_rollout::shares::{in_force, interpolate};
use knapweed_rollout::{Phase, RolloutState};
use knapweed_world::{Share, UnixMillis};
use proptest::prelude::*;

fn fault() -> impl Strategy<Value = PullBackReason> {
    (0u64..4, 0u64..4).prop_map(|(requests, affected)| {
        PullBackReason::Fault(Fault {
            kind: FaultKind::Failures,
            route: common::name("today"),
            new: Tally { requests, affected },
            old: Tally::default(),
        })
    })
}

fn phase() -> impl Strategy<Value = Phase> {
    prop_oneof![
        Just(Phase::Warming),
        (0u16..4).prop_map(|s| Phase::Ramping(Share(s))),
        (0u16..4).prop_map(|s| Phase::Holding(Share(s))),
        Just(Phase::Completed),
        fault().prop_map(Phase::PulledBack),
        Just(Phase::PulledBack(PullBackReason::NoServers)),
    ]
}

/// Generates states with few different values, so that equal tickets and epochs are
/// frequent.
fn any_state() -> impl Strategy<Value = RolloutState> {
    (0u64..3, 0u64..3, phase(), 0u64..2, any::<bool>()).prop_map(|(t, e, phase, at, proven)| {
        let mut state = state(t, e, phase);
        state.changed = UnixMillis(at);
        if proven {
            state.proven = vec![common::name("v1")];
        }
        state
    })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(2_000) })]

    /// Guards against nodes that end up with different states when copies arrive
    /// in different orders, twice, or through other nodes.
    #[test]
    fn the_join_is_commutative_associative_and_idempotent(
        a in any_state(), b in any_state(), c in any_state()
    ) {
        prop_assert_eq!(a.clone().join(a.clone()), a.clone());
        prop_assert_eq!(a.clone().join(b.clone()), b.clone().join(a.clone()));
        let left = a.clone().join(b.clone()).join(c.clone());
        prop_assert_eq!(left, a.join(b.join(c)));
    }

    /// Guards against shares whose sum is not 100% because of rounding.
    #[test]
    fn shares_always_sum_to_all(progress in 0u16..=10_000, split in 1u8..100) {
        let from = vec![share("v1", split), share("v0", 100 - split)];
        let to = vec![share("v2", 100 - split), share("v1", split)];
        let shares = interpolate(&from, &to, Share(progress));
        let sum: u32 = shares.iter().map(|s| u32::from(s.share.0)).sum();
        prop_assert_eq!(sum, 10_000);
    }

    /// Guards against a stored state that a new holder cannot deserialize.
    #[test]
    fn a_state_survives_json(a in any_state()) {
        let text = serde_json::to_string(&a).expect("serializable");
        prop_assert_eq!(serde_json::from_str::<RolloutState>(&text).expect("readable"), a);
    }
}

#[test]
fn the_join_prefers_ticket_then_pull_back_then_completion_then_epoch() {
    let states = [
        state(1, 1, Phase::Warming),
        state(1, 2, Phase::Ramping(Share(500))),
        state(1, 1, Phase::Completed),
        state(1, 1, Phase::PulledBack(PullBackReason::NoServers)),
        state(2, 1, Phase::Warming),
    ];
    for pair in states.windows(2) {
        assert_eq!(pair[0].clone().join(pair[1].clone()), pair[1]);
    }
}

/// Guards against shares that jump between the acceptance of a ticket and the first
/// state of its rollout, and against a ticket that undoes a pull-back.
#[test]
fn the_shares_in_force_follow_the_state_of_the_newest_rollout() {
    let half = state(1, 3, Phase::Ramping(Share(5_000)));
    let back = state(1, 4, Phase::PulledBack(PullBackReason::NoServers));
    let mut direct = config(2, "v2", 100);
    direct.rollout = None;
    let cases = [
        ("no state yet", in_force(&config(1, "v2", 100), None)),
        ("same ticket", in_force(&config(1, "v2", 100), Some(&half))),
        (
            "newer ticket without a state",
            in_force(&config(2, "v3", 100), Some(&half)),
        ),
        (
            "newer ticket that repeats the target",
            in_force(&direct, Some(&half)),
        ),
        (
            "repeated target after a pull-back",
            in_force(&direct, Some(&back)),
        ),
        (
            "configuration older than the state",
            in_force(&config(0, "v1", 100), Some(&half)),
        ),
    ];
    let mut out = String::new();
    for (title, shares) in cases {
        let shares: Vec<_> = shares
            .iter()
            .map(|s| format!("{} {}", s.version, s.share))
            .collect();
        out += &format!("{title}: {}\n", shares.join(", "));
    }
    assert_snapshot!(out);
}
