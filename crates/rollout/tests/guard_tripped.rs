//! A tripped guard ends the rollout, although its host then has no more
//! evidence for the judge.

use knapweed_rollout::control::WriteAnswer;
use knapweed_rollout::judge::{Fault, FaultKind, SequentialJudge, SequentialOptions, Tally};
use knapweed_rollout::planner::DeadlinePlanner;
use knapweed_rollout::shares::share_of;
use knapweed_rollout::{Action, Control, Event, Phase, Revision, RolloutState};
use knapweed_world::config::{Caution, RolloutTerms, ServiceConfig, VersionShare};
use knapweed_world::{ConfigVersion, Name, Share, TicketNumber, Time, UnixMillis};

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
    }
}

/// Control of a rollout that has started and is stored.
fn started() -> Control {
    let judge = SequentialJudge::new(SequentialOptions::default());
    let mut control = Control::new(name("calendar"), Box::new(judge), Box::new(DeadlinePlanner));
    let mut out = Vec::new();
    let mut take = |event| control.handle(event, Time(0), UnixMillis(0), &mut out);
    take(Event::Config(config()));
    take(Event::Read {
        state: None,
        revision: Revision::ABSENT,
    });
    take(Event::Write(WriteAnswer::Written(Revision(1))));
    control
}

fn published(control: &mut Control, event: Event) -> Option<RolloutState> {
    let mut out = Vec::new();
    control.handle(event, Time::from_millis(1_000), UnixMillis(1_000), &mut out);
    out.into_iter().find_map(|action| match action {
        Action::Publish(state) => Some(*state),
        _ => None,
    })
}

fn tripped(ticket: u64) -> Event {
    let fault = Fault {
        kind: FaultKind::Failures,
        route: name("calendar"),
        new: Tally {
            requests: 10,
            affected: 4,
        },
        old: Tally::default(),
    };
    Event::GuardTripped {
        ticket: TicketNumber(ticket),
        fault,
    }
}

/// Guards against a rollout that goes on to full share after its guards have
/// tripped, seen in a run of the demonstration with a version that failed half
/// of its requests.
#[test]
fn a_tripped_guard_pulls_back_at_once() {
    let state = published(&mut started(), tripped(7)).expect("a published state");
    let Phase::PulledBack(reason) = &state.phase else {
        panic!("{:?}", state.phase)
    };
    insta::assert_snapshot!(reason);
    assert_eq!(share_of(&state.shares(), &name("v1")), Share::ALL);
    assert_eq!(share_of(&state.shares(), &name("v2")), Share::NONE);
}

/// Guards against a late report of an earlier ticket ending the rollout of the next.
#[test]
fn the_guard_of_another_ticket_changes_nothing() {
    let mut control = started();
    published(&mut control, tripped(6));
    let state = control.state().expect("a state");
    assert_eq!(state.phase, Phase::Warming);
}
