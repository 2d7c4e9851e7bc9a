//! A new holder of the duty decides nothing before it knows what the decision depends on.

mod common;

use common::replay::{Replay, Variant};
use common::scenario::{Bad, POYRAZ, Scenario, Size, Version};
use common::{START, capacity, config, name, state};
use knapweed_rollout::counters::{LoadLevel, Sample, SeriesId, Warmth};
use knapweed_rollout::judge::{Fault, FaultKind, ShortRolloutJudge, Tally, short_rollout};
use knapweed_rollout::planner::ShortRolloutPlanner;
use knapweed_rollout::result::PullBackReason;
use knapweed_rollout::{
    Action, ByDuration, Counters, Event, Phase, Revision, RolloutController, RolloutState,
    ZoneReport,
};
use knapweed_world::{Share, Time, UnixMillis};

/// Duration of a short rollout in seconds.
const SHORT_S: u64 = 16;
/// Time at which the new holder takes over, in milliseconds.
const TAKEOVER_MS: u64 = 5_000;

/// The state of a rollout that another holder started.
fn running(duration_s: u64, share: u16) -> RolloutState {
    let mut state = state(1, 2, Phase::Ramping(Share(share)));
    state.terms = common::terms(duration_s);
    state
}

fn pulled_back(duration_s: u64) -> RolloutState {
    let fault = Fault {
        kind: FaultKind::Failures,
        route: name("calendar"),
        new: Tally::default(),
        old: Tally::default(),
    };
    let mut state = state(1, 3, Phase::PulledBack(PullBackReason::Fault(fault)));
    state.terms = common::terms(duration_s);
    state
}

/// Counts of 400 requests of v1, and of 40 of v2, of which `failures` failed.
fn totals(failures: u64) -> Counters {
    let mut totals = Counters::default();
    for (version, requests, failures) in [("v1", 400, 0), ("v2", 40, failures)] {
        let id = SeriesId {
            zone: name("labasa-a"),
            version: name(version),
            route: name("calendar"),
            load: LoadLevel::Low,
            warmth: Warmth::Warm,
        };
        let key = totals.key(&id).expect("room for a series");
        for request in 0..requests {
            let sample = match request < failures {
                true => Sample::Failed,
                false => Sample::Succeeded { latency_us: 10_000 },
            };
            totals.record(key, sample);
        }
    }
    totals
}

/// A holder that takes over at [`TAKEOVER_MS`].
struct Holder {
    control: RolloutController,
    now_ms: u64,
    sequence: u64,
    /// Phases that it wrote or published, with their times.
    decisions: Vec<String>,
}

impl Holder {
    fn new(now_ms: u64) -> Self {
        Self {
            control: RolloutController::new(name("calendar"), Box::new(ByDuration)),
            now_ms,
            sequence: 0,
            decisions: Vec::new(),
        }
    }

    /// A holder that has read `stored` and knows the servers.
    fn with_state(stored: RolloutState) -> Self {
        Self::with_state_at(TAKEOVER_MS, stored)
    }

    fn with_state_at(now_ms: u64, stored: RolloutState) -> Self {
        let mut holder = Self::new(now_ms);
        let ready = ["v1", "v2"].map(|v| capacity("labasa-a", v, 12));
        holder.send(Event::Capacity(ready.to_vec()));
        holder.send(Event::Read {
            state: Some(stored),
            revision: Revision::new(2),
        });
        holder
    }

    fn send(&mut self, event: Event) {
        let (now, wall) = (
            Time::from_millis(self.now_ms),
            UnixMillis(START.0 + self.now_ms),
        );
        let mut actions = Vec::new();
        self.control.handle(event, now, wall, &mut actions);
        for action in actions {
            if let Action::Write { state, .. } = action {
                let phase = match state.phase {
                    Phase::PulledBack(_) => "pulled back".to_owned(),
                    phase => format!("{phase:?}"),
                };
                let at = self.now_ms as f64 / 1e3;
                self.decisions.push(format!("{at:>5.1} s {phase}"));
                let revision = Revision::new(3 + self.decisions.len() as u64);
                let written = knapweed_rollout::control::WriteResult::Written(revision);
                self.send(Event::Write(written));
            }
        }
    }

    fn report(&mut self, counters: Counters) {
        self.sequence += 1;
        self.send(Event::Report(ZoneReport {
            zone: name("labasa-a"),
            relay: name("a1"),
            incarnation: 1,
            sequence: self.sequence,
            guard_trips: 0,
            counters,
        }));
    }

    /// Reports without further requests until `until_ms`.
    fn run_until(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            self.now_ms += 250;
            self.report(Counters::default());
        }
    }
}

/// Guards against a new holder that continues a short rollout by the plan of long ones,
/// because it does not know the order yet (EXPOSURE, review case 4).
#[test]
fn the_stored_terms_select_the_plan_of_a_new_holder() {
    let mut text = String::new();
    for duration_s in [SHORT_S, 300] {
        let mut holder = Holder::with_state(running(duration_s, 500));
        holder.report(totals(0));
        // The order is read two seconds later.
        holder.run_until(TAKEOVER_MS + 2_000);
        holder.send(Event::Config(config(1, "v2", duration_s)));
        holder.run_until(duration_s * 1_000);
        text += &format!("{duration_s} s\n{}\n", holder.decisions.join("\n"));
    }
    insta::assert_snapshot!(text);
}

/// Guards against forward steps that a new holder takes before it knows the order, or
/// before the hosts have reported what the previous holder knew (EXPOSURE).
#[test]
fn no_forward_step_before_the_order_and_the_reports_are_known() {
    let order = || Event::Config(config(1, "v2", SHORT_S));
    let mut without_order = Holder::with_state(running(SHORT_S, 500));
    without_order.run_until(SHORT_S * 1_000);
    assert_eq!(without_order.decisions, [""; 0]);

    // The last step is due when the holder takes over.
    let due_ms = SHORT_S * 1_000 - 3_000;
    let mut holder = Holder::with_state_at(due_ms, running(SHORT_S, 500));
    holder.send(order());
    holder.report(totals(0));
    holder.run_until(due_ms + 1_500);
    assert_eq!(holder.decisions, [""; 0]);
    holder.send(Event::AllReported);
    assert_eq!(holder.decisions, [" 14.5 s Ramping(Share(10000))"]);
}

/// Guards against a takeover that waits for hosts that are cut off, and misses the deadline
/// with a good version.
#[test]
fn a_new_holder_does_not_wait_for_hosts_that_do_not_report() {
    let mut holder = Holder::with_state(running(SHORT_S, 500));
    holder.send(Event::Config(config(1, "v2", SHORT_S)));
    holder.report(totals(0));
    holder.run_until(SHORT_S * 1_000);
    let completed = holder.decisions.iter().any(|d| d.ends_with("Completed"));
    assert!(completed, "{:?}", holder.decisions);
}

/// Guards against a fault that an earlier holder saw, and that a new one has to find again
/// while the version gets traffic (EXPOSURE).
#[test]
fn the_totals_of_the_hosts_show_a_fault_to_a_new_holder() {
    for share in [500, 10_000] {
        let mut holder = Holder::with_state(running(SHORT_S, share));
        holder.report(totals(16));
        assert_eq!(holder.decisions, ["  5.0 s pulled back"], "share {share}");
    }
}

/// Guards against totals of the new version that are judged without the baseline, because
/// the old version's arrive later.
#[test]
fn the_order_of_the_first_reports_does_not_matter() {
    let all = totals(0);
    let mut slow = Counters::default();
    let mut old = Counters::default();
    for (id, series) in all.iter() {
        let counters = match id.version.as_str() {
            "v1" => &mut old,
            _ => &mut slow,
        };
        let key = counters.key(id).expect("room for a series");
        let latency_us = if id.version == name("v1") {
            10_000
        } else {
            90_000
        };
        for _ in 0..series.requests {
            counters.record(key, Sample::Succeeded { latency_us });
        }
    }
    for reports in [[old.clone(), slow.clone()], [slow, old]] {
        let mut holder = Holder::with_state(running(SHORT_S, 500));
        for report in reports {
            holder.report(report);
        }
        assert_eq!(holder.decisions, ["  5.0 s pulled back"]);
    }
}

/// Guards against a new holder that completes a rollout which was pulled back while the
/// store was out of reach, so that only other nodes know it.
#[test]
fn a_pull_back_that_is_not_stored_is_taken_over() {
    for seen_first in [true, false] {
        let mut holder = match seen_first {
            true => {
                let mut holder = Holder::new(TAKEOVER_MS);
                holder.send(Event::Seen(pulled_back(SHORT_S)));
                holder.send(Event::Read {
                    state: Some(running(SHORT_S, 10_000)),
                    revision: Revision::new(2),
                });
                holder
            }
            false => {
                let mut holder = Holder::with_state(running(SHORT_S, 10_000));
                holder.send(Event::Seen(pulled_back(SHORT_S)));
                holder
            }
        };
        holder.send(Event::Config(config(1, "v2", SHORT_S)));
        holder.send(Event::AllReported);
        holder.run_until(SHORT_S * 1_000);
        assert_eq!(holder.decisions, ["  5.0 s pulled back"]);
    }
}

/// Guards against a holder that drops the controller of a service whose last rollout has
/// ended before it has learned of the next order, which is then never carried out.
#[test]
fn a_new_holder_that_knows_an_ended_rollout_starts_the_next_one() {
    let mut holder = Holder::new(TAKEOVER_MS);
    assert!(!holder.control.is_idle());
    holder.send(Event::Seen(pulled_back(SHORT_S)));
    assert!(!holder.control.is_idle());
    holder.send(Event::Config(config(2, "v3", SHORT_S)));
    assert!(!holder.control.is_idle());
    holder.send(Event::Read {
        state: Some(pulled_back(SHORT_S)),
        revision: Revision::new(2),
    });
    assert_eq!(holder.decisions, ["  5.0 s Warming"]);
}

/// Guards against evidence in the result that counts requests twice, or loses those of
/// hosts that have stopped, when the holder changes.
#[test]
fn evidence_is_neither_lost_nor_doubled_by_a_takeover() {
    let mut holder = Holder::with_state(running(SHORT_S, 500));
    holder.report(totals(0));
    let stored = RolloutState {
        evidence: holder.control.evidence().clone(),
        ..running(SHORT_S, 500)
    };
    let new = [name("v2")];
    let mut next = Holder::with_state(stored);
    assert_eq!(next.control.evidence().requests(&new), 40);
    next.report(totals(0));
    assert_eq!(next.control.evidence().requests(&new), 40);
    next.report(totals(0));
    assert_eq!(next.control.evidence().requests(&new), 80);
}

/// Guards against a fault that no holder finds because each of them starts without
/// evidence (EXPOSURE).
#[test]
fn a_fault_is_found_although_the_holder_changes_every_two_seconds() {
    let variant = Variant {
        title: "short rollout",
        judge: || Box::new(ShortRolloutJudge::new(short_rollout::Options::default())),
        planner: || Box::new(ShortRolloutPlanner),
        has_guard: false,
    };
    for seed in 0..8 {
        let mut scenario =
            Scenario::draw(POYRAZ, Version::Bad(Bad::AtOnce, Size::Fails(0.3)), seed);
        scenario.deadline_s = SHORT_S;
        scenario.rate = 40.0;
        scenario.ready.iter_mut().for_each(|at| *at = 1.0);
        let mut replay = Replay::new(scenario, variant);
        while !replay.is_over() {
            replay.step();
            if replay.now_ms.is_multiple_of(2_000) {
                replay.change_holder();
            }
        }
        let outcomes = replay.outcomes();
        assert!(
            outcomes.pulled_back(),
            "seed {seed}: {:?}",
            outcomes.outcome
        );
        let bound = outcomes.tallies.requests / 10 + 50;
        assert!(outcomes.tallies.to_new <= bound, "seed {seed}");
    }
}
