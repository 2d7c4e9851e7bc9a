//! Complete rollouts of a simulated service, as snapshots of every stored state.

mod common;

use common::replay::{Replay, STANDARD};
use common::scenario::{Bad, Good, POWER_AUTHORITY, Scenario, Size, Version};
use insta::assert_snapshot;

fn state_history(version: Version) -> String {
    let scenario = Scenario::draw(POWER_AUTHORITY, version, 7);
    let outcomes = Replay::new(scenario, STANDARD).run();
    let mut out = String::new();
    for state in &outcomes.platform.history {
        let at = (state.changed.0 - common::START.0) as f64 / 1e3;
        out += &format!("{at:>6.1} s epoch {} {:?}\n", state.epoch.0, state.phase);
    }
    out + &format!("{:#?}\n", outcomes.outcome)
}

#[test]
fn a_good_version_takes_every_step() {
    assert_snapshot!(state_history(Version::Good(Good::Plain)));
}

#[test]
fn a_failing_version_is_pulled_back() {
    assert_snapshot!(state_history(Version::Bad(Bad::AtOnce, Size::Fails(0.3))));
}

#[test]
fn a_slow_version_is_pulled_back() {
    assert_snapshot!(state_history(Version::Bad(Bad::AtOnce, Size::Slows(4.0))));
}
