//! Rollout control while the object store comes back from an older copy.

mod common;

use common::by_time::ByTime;
use common::platform::FakePlatform;
use common::{START, capacity, config, name};
use insta::assert_snapshot;
use knapweed_rollout::control::WriteResult;
use knapweed_rollout::counters::{LoadLevel, Sample, SeriesId, Warmth};
use knapweed_rollout::{
    Action, ByDuration, ChooseStrategy, Counters, Event, Phase, Revision, RolloutController,
    RolloutState, StoreEra, ZoneReport,
};
use knapweed_world::{Share, Time, UnixMillis};
use std::fmt::Write;

/// Time from the restore to the check of what is stored.
const RECOVERY_MS: u64 = 1_000;
const STEP_MS: u64 = 250;

/// Rollout control with a platform that answers at once.
struct Holder {
    control: RolloutController,
    platform: FakePlatform,
    now_ms: u64,
    /// Whether the new version fails its requests.
    is_faulty: bool,
    /// Descriptions of the states that were published, without repetitions.
    published: Vec<String>,
}

fn describe(state: &RolloutState) -> String {
    let phase = match &state.phase {
        Phase::PulledBack(_) => "pulled back".to_owned(),
        phase => format!("{phase:?}"),
    };
    format!("epoch {} {phase}", state.epoch.0)
}

impl Holder {
    fn new(strategies: Box<dyn ChooseStrategy>) -> Self {
        let mut holder = Self {
            control: RolloutController::new(name("calendar"), strategies),
            platform: FakePlatform::default(),
            now_ms: 0,
            is_faulty: false,
            published: Vec::new(),
        };
        holder.send(Event::Config(config(1, "v2", 100)));
        let ready = ["v1", "v2"].map(|v| capacity("labasa-a", v, 12));
        holder.send(Event::Capacity(ready.to_vec()));
        holder
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let (now, wall) = (
            Time::from_millis(self.now_ms),
            UnixMillis(START.0 + self.now_ms),
        );
        let mut actions = Vec::new();
        self.control.handle(event, now, wall, &mut actions);
        for action in &actions {
            if let Action::Publish(state) = action
                && self.published.last() != Some(&describe(state))
            {
                self.published.push(describe(state));
            }
        }
        actions
    }

    fn send(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let actions = self.handle(event);
            events.extend(actions.iter().filter_map(|a| self.platform.answer(a)));
        }
    }

    fn report(&mut self) {
        let mut counters = Counters::default();
        for version in ["v1", "v2"] {
            let id = SeriesId {
                zone: name("labasa-a"),
                version: name(version),
                route: name("calendar"),
                load: LoadLevel::Low,
                warmth: Warmth::Warm,
            };
            let key = counters.key(&id).expect("room for a series");
            for _ in 0..20 {
                counters.record(
                    key,
                    match self.is_faulty && version == "v2" {
                        true => Sample::Failed,
                        false => Sample::Succeeded { latency_us: 10_000 },
                    },
                );
            }
        }
        self.send(Event::Report(ZoneReport {
            zone: name("labasa-a"),
            relay: name("a1"),
            incarnation: 1,
            sequence: self.now_ms,
            guard_trips: 0,
            counters,
        }));
    }

    fn run_until(&mut self, done: impl Fn(&Holder) -> bool) {
        while !done(self) {
            self.now_ms += STEP_MS;
            assert!(self.now_ms < 400_000, "{:?}", self.control.state());
            self.report();
        }
    }

    fn run_for(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        self.run_until(|h| h.now_ms >= end);
    }

    fn share(&self) -> Share {
        let progress = |s: &RolloutState| s.phase.progress();
        self.control.state().map_or(Share::NONE, progress)
    }

    fn has_ended(&self) -> bool {
        self.control.is_idle() && self.control.state().is_some()
    }

    /// The store comes back from `copy`, and the holder learns of it.
    fn restore(&mut self, copy: &FakePlatform) {
        self.platform.restore(copy);
        self.send(Event::StoreRestored(self.platform.era));
    }
}

/// The moments of a rollout at which the store loses data.
#[derive(Clone, Copy, Debug)]
enum Moment {
    Ramping,
    Completed,
    PulledBack,
}

fn run_to(moment: Moment) -> (Holder, FakePlatform) {
    let mut holder = match moment {
        Moment::PulledBack => Holder::new(Box::new(ByDuration)),
        Moment::Ramping | Moment::Completed => Holder::new(Box::new(ByTime)),
    };
    holder.run_until(|h| h.platform.history.len() == 2);
    let copy = holder.platform.clone();
    match moment {
        Moment::Ramping => holder.run_until(|h| h.share() >= Share(5_000)),
        Moment::Completed => holder.run_until(Holder::has_ended),
        Moment::PulledBack => {
            holder.is_faulty = true;
            holder.run_until(Holder::has_ended);
        }
    }
    (holder, copy)
}

/// Guards against a holder that takes a state for stored although the store has lost it: the
/// stored state stayed older or absent, and the next holder continued from there.
#[test]
fn a_state_that_the_store_lost_is_written_again() {
    let mut out = String::new();
    for moment in [Moment::Ramping, Moment::Completed, Moment::PulledBack] {
        for (label, keeps_state) in [("older copy", true), ("copy without state", false)] {
            let (mut holder, copy) = run_to(moment);
            let copy = match keeps_state {
                true => copy,
                false => FakePlatform::default(),
            };
            let before = holder.control.state().cloned().expect("a state");
            let requests = holder.control.evidence().requests(&[name("v2")]);
            holder.published.clear();
            holder.restore(&copy);
            holder.run_for(RECOVERY_MS);
            let stored = holder.platform.stored.as_ref();
            let is_behind = stored.is_none_or(|s| s.cmp_precedence(&before).is_lt());
            let state = holder.control.state().expect("a state");
            assert!(state.cmp_precedence(&before).is_ge(), "{moment:?}, {label}");
            assert!(holder.control.evidence().requests(&[name("v2")]) >= requests);
            assert_eq!(holder.platform.contradictions, 0);
            writeln!(
                out,
                "{moment:?}, {label}: {}, then stored {}, behind: {is_behind}, published {:?}",
                describe(&before),
                stored.map_or("nothing".to_owned(), describe),
                holder.published
            )
            .expect("a string");
        }
    }
    assert_snapshot!(out);
}

/// Guards against a result that is not written again after the store has lost it.
#[test]
fn a_result_that_the_store_lost_is_requested_again() {
    let (mut holder, copy) = run_to(Moment::Completed);
    let first = std::mem::take(&mut holder.platform.results);
    holder.restore(&copy);
    holder.run_for(RECOVERY_MS);
    assert_eq!(holder.platform.results, first);
    // One that its reader no longer has, in the same era.
    holder.platform.results.clear();
    let ticket = holder.control.state().expect("a state").ticket;
    holder.send(Event::ResultMissing(ticket));
    assert_eq!(holder.platform.results, first);
    assert!(holder.control.is_idle());
}

/// Guards against forward steps between the restore and the write of the current state, and
/// against answers of the earlier era that pass for the state that the store has.
#[test]
fn answers_of_an_earlier_era_are_not_what_is_stored() {
    let (mut holder, copy) = run_to(Moment::Ramping);
    let before = holder.control.state().cloned().expect("a state");
    let read_before = Event::Read {
        state: Some(before.clone()),
        revision: Revision::new(holder.platform.revision),
    };
    holder.platform.restore(&copy);
    let started = holder.handle(Event::StoreRestored(StoreEra(1)));
    let late = holder.handle(read_before);
    let late_write = Event::Write(WriteResult::Written(Revision::new(9)));
    let after_write = holder.handle(late_write);
    let mut out = String::new();
    for (label, actions) in [
        ("restored", started),
        ("a read of era 0", late),
        ("a write of era 0", after_write),
    ] {
        let kinds = actions.iter().map(|action| match action {
            Action::Read => "read".to_owned(),
            Action::Write { state, condition } => {
                format!("write {} on {condition}", describe(state))
            }
            Action::Publish(state) => format!("publish {}", describe(state)),
            Action::Finish(_) => "finish".to_owned(),
        });
        let kinds: Vec<_> = kinds.collect();
        writeln!(out, "{label}: {kinds:?}").expect("a string");
    }
    assert_snapshot!(out);
    holder.now_ms += STEP_MS;
    let read = holder.platform.answer(&Action::Read).expect("an answer");
    holder.send(read);
    assert_eq!(holder.platform.stored, Some(before));
}

/// Guards against a holder that reads the state again for each node that reports the same era.
#[test]
fn an_era_that_is_known_changes_nothing() {
    let (mut holder, copy) = run_to(Moment::Completed);
    holder.restore(&copy);
    holder.run_for(RECOVERY_MS);
    let actions = holder.handle(Event::StoreRestored(StoreEra(1)));
    assert_eq!(actions, []);
}
