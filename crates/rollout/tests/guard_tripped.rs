//! Tests that a tripped guard suspends forward steps, since its host then provides no
//! more evidence to the judge.

use knapweed_rollout::control::WriteResult;
use knapweed_rollout::{
    Action, ByDuration, Counters, Epoch, Event, Phase, Revision, RolloutController, RolloutState,
    ZoneCapacity, ZoneReport,
};
use knapweed_world::config::{Caution, RolloutTerms, ServiceConfig, VersionShare};
use knapweed_world::{ConfigVersion, Name, Share, TicketNumber, Time, UnixMillis};

/// Progress of the rollout when the guard trips, in percent.
const FIRST_SHARE: u8 = 5;

fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

fn all_on(version: &str) -> Vec<VersionShare> {
    vec![VersionShare {
        version: name(version),
        share: Share::ALL,
    }]
}

fn config() -> ServiceConfig {
    ServiceConfig {
        versions: all_on("v2"),
        rollout: Some(RolloutTerms {
            start: UnixMillis(0),
            deadline: UnixMillis(60_000),
            min_old_capacity: 25,
            caution: Caution::Careful,
            from: all_on("v1"),
        }),
        ticket: TicketNumber(7),
        changed_at: ConfigVersion(2),
        max_connections: None,
        health_path: None,
        cold_limit: None,
    }
}

fn control() -> RolloutController {
    RolloutController::new(name("calendar"), Box::new(ByDuration))
}

/// The initial state that rollout control stores.
fn initial_state() -> RolloutState {
    let mut control = control();
    let mut out = Vec::new();
    for event in [
        Event::Config(config()),
        Event::Read {
            state: None,
            revision: Revision::ABSENT,
        },
        Event::Write(WriteResult::Written(Revision::new(1))),
    ] {
        control.handle(event, Time(0), UnixMillis(0), &mut out);
    }
    control.state().expect("a state").clone()
}

/// Rollout control that took over a rollout at [`FIRST_SHARE`].
fn ramping_control() -> RolloutController {
    let phase = Phase::Ramping(Share::from_percent(FIRST_SHARE));
    let state = RolloutState {
        epoch: Epoch(2),
        phase,
        ..initial_state()
    };
    let mut control = control();
    let mut out = Vec::new();
    for event in [
        Event::Config(config()),
        Event::Read {
            state: Some(state),
            revision: Revision::new(2),
        },
        Event::Capacity(vec![capacity("v1"), capacity("v2")]),
    ] {
        control.handle(event, Time(0), UnixMillis(0), &mut out);
    }
    control
}

fn capacity(version: &str) -> ZoneCapacity {
    ZoneCapacity {
        zone: name("labasa-a"),
        version: name(version),
        slots: 12,
    }
}

/// A report without requests, with `trips` guards that tripped.
fn report(sequence: u64, trips: u32) -> Event {
    Event::Report(ZoneReport {
        zone: name("labasa-a"),
        relay: name("a1"),
        incarnation: 1,
        sequence,
        guard_trips: trips,
        counters: Counters::default(),
    })
}

/// The phases that rollout control writes while reports without further requests
/// arrive for `seconds`.
fn written_phases(control: &mut RolloutController, trips: u32, seconds: u64) -> Vec<Phase> {
    let mut phases = Vec::new();
    for second in 0..seconds {
        let ms = 2_200 + second * 1_000;
        let (now, wall) = (Time::from_millis(ms), UnixMillis(ms));
        let mut out = Vec::new();
        let trips = if second == 0 { trips } else { 0 };
        control.handle(report(second + 1, trips), now, wall, &mut out);
        for action in std::mem::take(&mut out) {
            if let Action::Write { state, condition } = action {
                phases.push(state.phase);
                let answer = WriteResult::Written(Revision::new(condition.number + 1));
                control.handle(Event::Write(answer), now, wall, &mut out);
            }
        }
    }
    phases
}

/// Guards against a rollout that steps forward although the guards refuse the new
/// version. Tripped guards hide the fault from the judge; this happened in the
/// demonstration with a version that failed half of its requests.
#[test]
fn a_tripped_guard_holds_the_rollout_for_a_recheck() {
    let phases = written_phases(&mut ramping_control(), 1, 6);
    let held = Phase::Holding(Share::from_percent(FIRST_SHARE));
    assert_eq!(phases, [held]);
}

/// Guards against a recheck without a tripped guard, which would delay every
/// rollout.
#[test]
fn a_report_without_trips_holds_nothing() {
    let phases = written_phases(&mut ramping_control(), 0, 6);
    assert!(
        phases.iter().all(|p| !matches!(p, Phase::Holding(_))),
        "{phases:?}"
    );
}
