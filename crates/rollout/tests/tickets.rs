//! Tests of a new ticket for the service during a rollout.

mod common;

use common::by_time::ByTime;
use common::platform::FakePlatform;
use common::{START, capacity, config, name};
use insta::assert_snapshot;
use knapweed_rollout::{
    Action, Counters, Event, Phase, RolloutController, RolloutState, ZoneReport,
};
use knapweed_world::config::ServiceConfig;
use knapweed_world::{Share, Time, UnixMillis};

/// Rollout control with a platform that answers immediately.
struct Holder {
    control: RolloutController,
    platform: FakePlatform,
    now_ms: u64,
}

impl Holder {
    fn new(config: ServiceConfig) -> Self {
        let control = RolloutController::new(name("calendar"), Box::new(ByTime));
        let mut holder = Self {
            control,
            platform: FakePlatform::default(),
            now_ms: 0,
        };
        holder.send(Event::Config(config));
        let ready = ["v1", "v2", "v3"].map(|v| capacity("labasa-a", v, 12));
        holder.send(Event::Capacity(ready.to_vec()));
        holder
    }

    fn send(&mut self, event: Event) {
        let (now, wall) = (
            Time::from_millis(self.now_ms),
            UnixMillis(START.0 + self.now_ms),
        );
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut actions: Vec<Action> = Vec::new();
            self.control.handle(event, now, wall, &mut actions);
            events.extend(actions.iter().filter_map(|a| self.platform.answer(a)));
        }
    }

    fn run_until(&mut self, done: impl Fn(&Holder) -> bool) {
        while !done(self) {
            self.now_ms += 500;
            assert!(self.now_ms < 400_000, "{:?}", self.control.state());
            self.send(Event::Report(ZoneReport {
                zone: name("labasa-a"),
                relay: name("a1"),
                incarnation: 1,
                sequence: self.now_ms,
                guard_trips: 0,
                counters: Counters::default(),
            }));
        }
    }

    fn share(&self) -> Share {
        let progress = |s: &RolloutState| s.phase.progress();
        self.control.state().map_or(Share::NONE, progress)
    }

    /// Runs until a quarter of the traffic has moved.
    fn run_to_a_quarter(&mut self) {
        self.run_until(|h| h.share() == Share(2_500));
    }

    /// Lists the states and the results that were written.
    fn written_history(&self) -> String {
        let mut out = String::new();
        for state in &self.platform.history {
            let shares = state.shares();
            let shares: Vec<_> = shares
                .iter()
                .map(|s| format!("{} {}", s.version, s.share))
                .collect();
            let phase = match &state.phase {
                Phase::PulledBack(_) => "pulled back".into(),
                phase => format!("{phase:?}"),
            };
            let (ticket, epoch) = (state.ticket, state.epoch.0);
            out += &format!(
                "ticket {ticket} epoch {epoch} {phase}: {}\n",
                shares.join(", ")
            );
        }
        for (ticket, result) in &self.platform.results {
            out += &format!("result of {ticket}: {:?}\n", result.outcome);
        }
        out += &format!("contradictions: {}\n", self.platform.contradictions);
        out
    }
}

/// Guards against shares that jump when a new ticket supersedes a rollout.
#[test]
fn a_new_ticket_starts_from_the_shares_in_force() {
    let mut holder = Holder::new(config(1, "v2", 100));
    holder.run_to_a_quarter();
    holder.send(Event::Config(config(2, "v3", 200)));
    holder.run_until(|h| h.platform.results.len() == 2);
    assert_snapshot!(holder.written_history());
}

/// Guards against a return to the old version that is delayed by tests, although
/// that version is known and warm.
#[test]
fn a_ticket_back_to_the_old_version_moves_at_once() {
    let mut holder = Holder::new(config(1, "v2", 100));
    holder.run_to_a_quarter();
    holder.send(Event::Config(config(2, "v1", 200)));
    holder.run_until(|h| h.platform.results.len() == 2);
    assert_snapshot!(holder.written_history());
}

/// Guards against a rollout that stops, or whose shares jump, because a ticket
/// without a rollout repeats its target.
#[test]
fn a_ticket_that_repeats_the_target_lets_the_move_go_on() {
    let mut holder = Holder::new(config(1, "v2", 100));
    holder.run_to_a_quarter();
    let mut same = config(2, "v2", 100);
    same.rollout = None;
    holder.send(Event::Config(same));
    holder.run_until(|h| h.platform.results.len() == 1);
    assert_snapshot!(holder.written_history());
}

/// Guards against a rollout result for a ticket that has no rollout.
#[test]
fn a_ticket_without_a_rollout_ends_the_move() {
    let mut holder = Holder::new(config(1, "v2", 100));
    holder.run_to_a_quarter();
    let mut direct = config(2, "v3", 100);
    direct.rollout = None;
    holder.send(Event::Config(direct));
    holder.run_until(|h| h.control.is_idle());
    assert_snapshot!(holder.written_history());
}

/// Guards against an older configuration that reverts a rollout (hazard H1).
#[test]
fn an_older_configuration_is_ignored() {
    let mut holder = Holder::new(config(2, "v2", 100));
    holder.run_to_a_quarter();
    holder.send(Event::Config(config(1, "v3", 100)));
    holder.run_until(|h| h.control.is_idle());
    assert_eq!(holder.platform.results.len(), 1);
    assert_eq!(holder.share(), Share::ALL);
}
