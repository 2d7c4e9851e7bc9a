//! Tests of rollout control: changes of the holder, partitioned zones, and outages of
//! the platform during a rollout.

mod common;

use common::replay::{Outcomes, Replay, STANDARD, TICKET};
use common::scenario::{Bad, Good, POYRAZ, Scenario, Size, Span, Version};
use knapweed_rollout::{Outcome, Phase, RolloutState};
use knapweed_world::Share;

const PLAIN: Version = Version::Good(Good::Plain);
const FAILING: Version = Version::Bad(Bad::AtOnce, Size::Fails(0.5));

fn scenario(version: Version) -> Scenario {
    Scenario::draw(POYRAZ, version, 77)
}

/// Asserts that the epochs increase by one and that no share decreases.
fn assert_in_order(history: &[RolloutState]) {
    for pair in history.windows(2) {
        assert_eq!(pair[1].epoch.0, pair[0].epoch.0 + 1, "{:?}", pair[1].phase);
        let (before, after) = (pair[0].phase.progress(), pair[1].phase.progress());
        assert!(after >= before, "{before} -> {after}");
    }
}

/// The shares of all steps, in order.
fn steps(outcomes: &Outcomes) -> Vec<Share> {
    let states = outcomes.platform.history.iter();
    let mut shares: Vec<Share> = states.map(|s| s.phase.progress()).collect();
    shares.dedup();
    shares
}

/// Guards against steps that a new holder repeats, skips or reverts.
#[test]
fn a_new_holder_at_each_step_goes_on() {
    for delay in [0, 1, 2, 5] {
        let mut replay = Replay::new(scenario(PLAIN), STANDARD);
        let mut epochs = 0;
        while !replay.is_over() {
            replay.step();
            if replay.platform.history.len() > epochs {
                epochs = replay.platform.history.len();
                (0..delay).for_each(|_| replay.step());
                replay.change_holder();
            }
        }
        let outcomes = replay.outcomes();
        assert!(outcomes.in_time(), "{:?}", outcomes.outcome);
        assert!(outcomes.holders > 6, "{} holders", outcomes.holders);
        assert_in_order(&outcomes.platform.history);
        assert_eq!(outcomes.platform.contradictions, 0);
        assert_eq!(steps(&outcomes).len(), 6, "{:?}", steps(&outcomes));
    }
}

/// Guards against a pull-back that is lost when the holder changes before or after
/// the pull-back was written.
#[test]
fn a_pull_back_survives_its_holder() {
    for (outage, delay) in [
        (Span::NEVER, 0),
        (Span::NEVER, 3),
        (
            Span {
                from: 5.0,
                to: 60.0,
            },
            20,
        ),
    ] {
        let mut failing = scenario(FAILING);
        failing.outage = outage;
        let mut replay = Replay::new(failing, STANDARD);
        while !replay.is_over() {
            let before = replay.share();
            replay.step();
            if before > Share::NONE && replay.share() == Share::NONE {
                (0..delay).for_each(|_| replay.step());
                replay.change_holder();
            }
        }
        let outcomes = replay.outcomes();
        assert!(outcomes.pulled_back(), "{:?}", outcomes.outcome);
        assert_eq!(outcomes.platform.contradictions, 0);
        let after = outcomes.tallies.last_to_new.zip(outcomes.decided);
        let after = after.map(|(last, decided)| last - decided);
        assert!(after.is_some_and(|s| s <= 2.0), "{after:?} s");
    }
}

/// Guards against a step that is repeated by the delayed write of a paused former
/// holder.
#[test]
fn a_late_write_of_an_old_holder_has_no_effect() {
    let mut replay = Replay::new(scenario(PLAIN), STANDARD);
    while replay.platform.history.len() < 3 {
        replay.step();
    }
    let late = knapweed_rollout::Action::Write {
        state: Box::new(replay.platform.history[1].clone()),
        condition: knapweed_rollout::Revision::new(1),
    };
    replay.platform.answer(&late);
    assert_eq!(replay.platform.history.len(), 3);
    let outcomes = replay.run();
    assert!(outcomes.in_time());
    assert_in_order(&outcomes.platform.history);
}

/// Guards against repeated steps and results when the response to a write that took
/// effect is lost (requirement F4).
#[test]
fn lost_answers_neither_double_a_step_nor_a_result() {
    let mut replay = Replay::new(scenario(PLAIN), STANDARD);
    while !replay.is_over() {
        replay.platform.loses_answers = replay.now_ms % 7_000 < 3_000;
        replay.step();
    }
    let outcomes = replay.outcomes();
    assert!(outcomes.in_time(), "{:?}", outcomes.outcome);
    assert_in_order(&outcomes.platform.history);
    assert_eq!(outcomes.platform.contradictions, 0);
}

/// Guards against forward steps while a zone is partitioned and sends no reports
/// (requirement F9).
#[test]
fn no_forward_step_while_a_zone_is_cut_off() {
    let mut cut = scenario(PLAIN);
    let until = cut.deadline_s as f64 * 0.5;
    cut.cut = Some((
        2,
        Span {
            from: 6.0,
            to: until,
        },
    ));
    let mut replay = Replay::new(cut, STANDARD);
    while (replay.now_ms as f64) < until * 1e3 {
        replay.step();
        assert!(replay.share() <= Share(500));
    }
    let held = replay.platform.history.iter();
    assert!(held.clone().any(|s| matches!(s.phase, Phase::Holding(_))));
    let outcomes = replay.run();
    assert!(outcomes.in_time(), "{:?}", outcomes.outcome);
    assert_in_order(&outcomes.platform.history);
}

/// Guards against a pull-back that is delayed by a partitioned zone or by an outage
/// of the platform.
#[test]
fn a_pull_back_needs_neither_all_zones_nor_the_platform() {
    let mut cut = scenario(FAILING);
    cut.cut = Some((1, Span { from: 6.0, to: 1e6 }));
    cut.outage = Span {
        from: 6.0,
        to: 80.0,
    };
    let outcomes = Replay::new(cut, STANDARD).run();
    assert!(outcomes.pulled_back());
    assert!(
        outcomes.decided.is_some_and(|at| at < 60.0),
        "{:?}",
        outcomes.decided
    );
}

/// Guards against rollouts that miss their deadline because there is little traffic.
#[test]
fn little_traffic_is_in_time() {
    for seed in 0..12 {
        let version = Version::Good(Good::LittleTraffic);
        let mut scenario = Scenario::draw(POYRAZ, version, 900 + seed);
        if seed % 3 == 0 {
            scenario.rate = 0.0;
        }
        let outcomes = Replay::new(scenario, STANDARD).run();
        assert!(outcomes.in_time(), "seed {seed}: {:?}", outcomes.outcome);
    }
}

/// Guards against rollouts that never end when the new servers do not start.
#[test]
fn servers_that_never_start_end_the_rollout() {
    let mut absent = scenario(PLAIN);
    absent.ready.iter_mut().for_each(|at| *at = 1e6);
    let outcomes = Replay::new(absent, STANDARD).run();
    insta::assert_debug_snapshot!(outcomes.outcome);
    assert_eq!(outcomes.tallies.to_new, 0);
}

/// Guards against rollouts that never end when too few of the new servers start.
#[test]
fn too_few_servers_end_the_rollout_at_its_deadline() {
    let mut few = scenario(PLAIN);
    few.ready.iter_mut().skip(1).for_each(|at| *at = 1e6);
    let deadline_s = few.deadline_s as f64;
    let outcomes = Replay::new(few, STANDARD).run();
    insta::assert_debug_snapshot!(outcomes.outcome);
    assert!(outcomes.decided.is_some_and(|at| at >= deadline_s));
}

/// Guards against evidence that lacks the requests to the new version.
#[test]
fn the_result_holds_the_counts_of_both_versions() {
    let outcomes = Replay::new(scenario(FAILING), STANDARD).run();
    let result = &outcomes.platform.results[&TICKET];
    assert!(matches!(result.outcome, Outcome::PulledBack { .. }));
    let rows = result.evidence.rows.iter();
    let new: u64 = rows
        .filter(|r| r.version == common::name("v2"))
        .map(|r| r.requests)
        .sum();
    assert!(new > 0 && new <= outcomes.tallies.to_new);
}
