//! A rollout that is pulled back while a newer ticket replaces it.

mod common;

use common::{START, capacity, config, name, state, terms};
use knapweed_rollout::control::WriteResult;
use knapweed_rollout::counters::{LoadLevel, Sample, SeriesId, Warmth};
use knapweed_rollout::{
    Action, ByDuration, Counters, Event, Phase, Revision, RolloutController, RolloutState,
    ZoneReport,
};
use knapweed_world::{Name, Share, Time, UnixMillis};

/// Duration of the rollouts in seconds.
const SHORT_S: u64 = 16;
const NOW_MS: u64 = 5_000;

fn handle(control: &mut RolloutController, event: Event) -> Vec<Action> {
    let (now, wall) = (Time::from_millis(NOW_MS), UnixMillis(START.0 + NOW_MS));
    let mut actions = Vec::new();
    control.handle(event, now, wall, &mut actions);
    actions
}

fn written(actions: &[Action]) -> Option<&RolloutState> {
    actions.iter().find_map(|action| match action {
        Action::Write { state, .. } => Some(&**state),
        _ => None,
    })
}

/// Counts of requests in which v2 fails.
fn failures() -> Counters {
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
        for _ in 0..40 {
            counters.record(
                key,
                match version {
                    "v2" => Sample::Failed,
                    _ => Sample::Succeeded { latency_us: 10_000 },
                },
            );
        }
    }
    counters
}

/// Versions with a share of the traffic.
fn used(state: &RolloutState) -> Vec<Name> {
    let shares = state.shares().into_iter();
    let used = shares.filter(|share| share.share > Share::NONE);
    used.map(|share| share.version).collect()
}

/// A controller of a rollout to v2, which has 5%, that is writing the first state of a ticket
/// to v3.
fn superseding() -> RolloutController {
    let mut control = RolloutController::new(name("calendar"), Box::new(ByDuration));
    let ready = ["v1", "v2", "v3"].map(|v| capacity("labasa-a", v, 12));
    handle(&mut control, Event::Capacity(ready.to_vec()));
    let mut running = state(1, 2, Phase::Ramping(Share(500)));
    running.terms = terms(SHORT_S);
    handle(
        &mut control,
        Event::Read {
            state: Some(running),
            revision: Revision::new(2),
        },
    );
    handle(&mut control, Event::AllReported);
    let actions = handle(&mut control, Event::Config(config(2, "v3", SHORT_S)));
    let proposed = written(&actions).expect("the state of the second ticket");
    assert_eq!(used(proposed), ["v1", "v2"].map(name));
    control
}

/// Guards against a version that gets its share again although it was pulled back: the first
/// state of the next ticket was being written, with the shares from before.
#[test]
fn a_version_that_is_pulled_back_while_it_is_superseded_stays_without_traffic() {
    let mut control = superseding();
    handle(
        &mut control,
        Event::Report(ZoneReport {
            zone: name("labasa-a"),
            relay: name("a1"),
            incarnation: 1,
            sequence: 1,
            guard_trips: 0,
            counters: failures(),
        }),
    );
    let pulled_back = control.state().expect("a state");
    assert_eq!(used(pulled_back), [name("v1")]);
    let answer = WriteResult::Written(Revision::new(3));
    let actions = handle(&mut control, Event::Write(answer));
    let current = control.state().expect("a state");
    assert_eq!(current.ticket.0, 2);
    assert_eq!(used(current), [name("v1")]);
    let stored = written(&actions).expect("the state with the shares in force");
    assert_eq!(stored, current);
}

/// Guards against the same for a copy of the next ticket's state from another holder, which did
/// not know of the pull-back.
#[test]
fn a_ticket_of_another_holder_gives_a_version_no_traffic_that_is_pulled_back() {
    let mut other = superseding();
    let answer = WriteResult::Written(Revision::new(3));
    handle(&mut other, Event::Write(answer));
    let copy = other.state().expect("a state").clone();
    assert_eq!(used(&copy), ["v1", "v2"].map(name));
    let mut control = superseding();
    let mut pulled_back = state(
        1,
        3,
        Phase::PulledBack(knapweed_rollout::result::PullBackReason::NoServers),
    );
    pulled_back.terms = terms(SHORT_S);
    handle(&mut control, Event::Seen(pulled_back));
    handle(&mut control, Event::Seen(copy));
    assert_eq!(used(control.state().expect("a state")), [name("v1")]);
}

/// Guards against a new holder that reads an older state from a restored store, and starts the
/// next ticket from its shares before a node has told it that the rollout has completed: traffic
/// went back to a version whose servers had been stopped.
#[test]
fn a_new_holder_supersedes_no_running_rollout_before_it_has_taken_over() {
    let mut control = RolloutController::new(name("calendar"), Box::new(ByDuration));
    let ready = ["v1", "v2", "v3"].map(|v| capacity("labasa-a", v, 12));
    handle(&mut control, Event::Capacity(ready.to_vec()));
    handle(&mut control, Event::Config(config(2, "v3", SHORT_S)));
    let mut older = state(1, 2, Phase::Ramping(Share(500)));
    older.terms = terms(SHORT_S);
    let mut completed = state(1, 4, Phase::Completed);
    completed.terms = terms(SHORT_S);
    let read = Event::Read {
        state: Some(older),
        revision: Revision::new(2),
    };
    let actions = handle(&mut control, read);
    assert_eq!(written(&actions).map(used), None);
    let actions = handle(&mut control, Event::Seen(completed.clone()));
    assert_eq!(written(&actions), Some(&completed));
    let answer = WriteResult::Written(Revision::new(3));
    let actions = handle(&mut control, Event::Write(answer));
    let proposed = written(&actions).expect("the state of the second ticket");
    assert_eq!(proposed.ticket.0, 2);
    assert_eq!(used(proposed), [name("v2")]);
}
