//! The owner of an address is tracked from heartbeats that arrive in any order.

use assert_matches::assert_matches;
use knapweed_host::registration::{
    HeartbeatOutcome, MAX_HEARTBEAT_DELAY, RETENTION, Registrations, ServerHeartbeat,
};
use knapweed_world::backend_server::{Announcement, Instance, ServerState};
use knapweed_world::{Name, Time, UnixMillis};
use std::time::Duration;

/// Start of the node, by the wall clock.
const NODE_START: UnixMillis = UnixMillis(1_000_000);

fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

fn s(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

/// A heartbeat of `instance`, which started `started_ms` after the node.
fn heartbeat(
    instance: &str,
    started_ms: i64,
    sequence: u64,
    state: ServerState,
) -> ServerHeartbeat {
    ServerHeartbeat {
        instance: name(instance),
        started_ms: NODE_START.0.saturating_add_signed(started_ms),
        sequence,
        announcement: Announcement {
            service: name("calendar"),
            version: name("v1"),
            address: ([10, 0, 0, 1], 8_000).into(),
            slots: 6,
            max_connections: 12,
            state,
            instance: Some(Instance {
                name: name(instance),
                started_ms: NODE_START.0.saturating_add_signed(started_ms),
            }),
            is_cold: false,
        },
        cold_left: Duration::ZERO,
    }
}

/// Logs one line for each event, for the snapshots.
struct EventLog {
    registrations: Registrations,
    lines: Vec<String>,
}

impl EventLog {
    fn new() -> Self {
        Self {
            registrations: Registrations::new(NODE_START),
            lines: Vec::new(),
        }
    }

    fn receive_logged(&mut self, heartbeat: &ServerHeartbeat, at: Time) -> HeartbeatOutcome {
        let outcome = self.registrations.receive(heartbeat.clone(), at);
        let announced = &heartbeat.announcement.state;
        let event = format!(
            "{} {:>2} {announced:?}",
            heartbeat.instance, heartbeat.sequence
        );
        self.log(at, &event, &outcome);
        outcome
    }

    fn confirm_logged(&mut self, heartbeat: &ServerHeartbeat, at: Time) -> HeartbeatOutcome {
        let outcome = self.registrations.confirm(&heartbeat.process(), at);
        self.log(at, &format!("{} confirmed", heartbeat.instance), &outcome);
        outcome
    }

    fn log(&mut self, at: Time, event: &str, outcome: &HeartbeatOutcome) {
        let result = match outcome {
            HeartbeatOutcome::Changed(announcement) => format!("is {:?}", announcement.state),
            other => format!("{other:?}"),
        };
        let at = at.since(Time(0)).as_secs_f64();
        self.lines.push(format!("{at:>4.1} s {event}: {result}"));
    }

    fn leave(&mut self, instance: &str, at: Time) {
        let wall = NODE_START.after(at.since(Time(0)));
        let left = self.registrations.left(&name(instance), at, wall);
        let result = match left {
            Some(announcement) => format!("is {:?}", announcement.state),
            None => "not known".to_owned(),
        };
        let at = at.since(Time(0)).as_secs_f64();
        self.lines
            .push(format!("{at:>4.1} s {instance} leaves: {result}"));
    }

    fn text(&self) -> String {
        self.lines.join("\n")
    }
}

#[test]
fn the_life_of_a_server() {
    let mut events = EventLog::new();
    events.receive_logged(&heartbeat("a", 500, 1, ServerState::Ready), s(1));
    events.receive_logged(&heartbeat("a", 500, 2, ServerState::Ready), s(2));
    events.receive_logged(&heartbeat("a", 500, 4, ServerState::Draining), s(4));
    // The third heartbeat arrives late.
    events.receive_logged(&heartbeat("a", 500, 3, ServerState::Ready), s(5));
    // A draining process does not become ready again.
    events.receive_logged(&heartbeat("a", 500, 5, ServerState::Ready), s(6));
    events.leave("a", s(7));
    events.receive_logged(&heartbeat("a", 500, 6, ServerState::Ready), s(8));
    // A new process starts under the same name.
    events.receive_logged(&heartbeat("a", 9_000, 1, ServerState::Ready), s(9));
    insta::assert_snapshot!(events.text());
}

/// Guards against a server that is registered again by a late heartbeat after it
/// left while this node had no registration of it.
#[test]
fn a_server_that_left_unknown_does_not_come_back() {
    let mut events = EventLog::new();
    events.leave("a", s(1));
    events.receive_logged(&heartbeat("a", -5_000, 7, ServerState::Ready), s(3));
    events.receive_logged(&heartbeat("a", -5_000, 8, ServerState::Ready), s(4));
    // A later process has the same name.
    events.receive_logged(&heartbeat("a", 4_500, 1, ServerState::Ready), s(5));
    insta::assert_snapshot!(events.text());
}

/// Guards against a server that is registered by late heartbeats, however many, although
/// it announced its exit to the previous process of the node (DRAIN).
#[test]
fn heartbeats_after_a_start_do_not_prove_that_an_older_server_has_not_left() {
    let mut events = EventLog::new();
    events.receive_logged(&heartbeat("a", -5_000, 7, ServerState::Ready), s(1));
    events.receive_logged(&heartbeat("a", -5_000, 7, ServerState::Ready), s(1));
    events.receive_logged(&heartbeat("a", -5_000, 8, ServerState::Ready), s(2));
    events.receive_logged(&heartbeat("a", -5_000, 9, ServerState::Ready), s(9));
    insta::assert_snapshot!(events.text());
}

/// Guards against a server that registers with a heartbeat from before its departure, for
/// all delays that a heartbeat may have.
#[test]
fn a_server_that_left_before_the_start_is_never_registered() {
    let departure_ages_ms = [0, 100, 4_000, 9_000];
    let delays_ms = (0..=MAX_HEARTBEAT_DELAY.as_millis() as u64).step_by(250);
    for delay in delays_ms {
        for age in departure_ages_ms {
            // Sent just before the departure; the node starts at 0 s.
            let Some(arrival) = delay.checked_sub(age).filter(|at| *at < 10_000) else {
                continue;
            };
            let mut events = EventLog::new();
            for sequence in 7..10 {
                let late = heartbeat("a", -20_000, sequence, ServerState::Ready);
                let outcome = events.receive_logged(&late, Time::from_millis(arrival));
                assert_eq!(
                    outcome,
                    HeartbeatOutcome::Unconfirmed,
                    "left {age} ms before the start, heartbeat {delay} ms late"
                );
            }
        }
    }
}

/// Guards against a sound server that stays out of use because its node was restarted and
/// its health query is not answered.
#[test]
fn a_heartbeat_that_was_sent_after_the_start_registers_an_older_server() {
    let mut events = EventLog::new();
    events.receive_logged(&heartbeat("a", -5_000, 7, ServerState::Ready), s(1));
    let outcome = events.receive_logged(&heartbeat("a", -5_000, 16, ServerState::Ready), s(10));
    assert_matches!(outcome, HeartbeatOutcome::Changed(_));
    // A server that started after the node cannot have left before.
    let mut events = EventLog::new();
    let outcome = events.receive_logged(&heartbeat("b", 200, 1, ServerState::Ready), s(1));
    assert_matches!(outcome, HeartbeatOutcome::Changed(_));
}

/// Guards against a server that announces that it drains before it is confirmed, and whose
/// earlier heartbeat then registers it as ready.
#[test]
fn an_unconfirmed_server_that_drains_stays_draining() {
    let mut events = EventLog::new();
    events.receive_logged(&heartbeat("a", -5_000, 7, ServerState::Ready), s(8));
    events.receive_logged(&heartbeat("a", -5_000, 9, ServerState::Draining), s(9));
    events.confirm_logged(&heartbeat("a", -5_000, 7, ServerState::Ready), s(9));
    events.receive_logged(&heartbeat("a", -5_000, 8, ServerState::Ready), s(11));
    events.leave("a", s(12));
    events.receive_logged(&heartbeat("a", -5_000, 10, ServerState::Ready), s(13));
    insta::assert_snapshot!(events.text());
}

/// Guards against a server that left and that takes the address from its successor with
/// late heartbeats, and against one whose clock is wrong and that can never register.
#[test]
fn a_server_that_seems_older_must_prove_that_it_owns_the_address() {
    let mut events = EventLog::new();
    let owner = heartbeat("a", 5_000, 1, ServerState::Ready);
    let older = |sequence| heartbeat("b", 2_000, sequence, ServerState::Ready);
    events.receive_logged(&owner, s(20));
    events.receive_logged(&older(1), s(21));
    events.receive_logged(&older(2), s(22));
    events.confirm_logged(&older(2), s(22));
    insta::assert_snapshot!(events.text());
    // Without a health response, a heartbeat that was sent after the registration of the
    // owner is the proof.
    let mut events = EventLog::new();
    events.receive_logged(&owner, s(20));
    let outcome = events.receive_logged(&older(1), s(29));
    assert_eq!(outcome, HeartbeatOutcome::Unconfirmed);
    let outcome = events.receive_logged(&older(2), s(30));
    assert_matches!(outcome, HeartbeatOutcome::Changed(_));
}

/// Guards against an earlier process that is taken for its successor, which has the same
/// name and thus gives the same health response.
#[test]
fn an_earlier_process_of_the_same_name_is_not_confirmed() {
    let mut events = EventLog::new();
    events.receive_logged(&heartbeat("a", 5_000, 1, ServerState::Ready), s(20));
    let earlier = heartbeat("a", 2_000, 9, ServerState::Ready);
    let outcome = events.receive_logged(&earlier, s(21));
    assert_eq!(outcome, HeartbeatOutcome::Outdated);
    let outcome = events.confirm_logged(&earlier, s(21));
    assert_eq!(outcome, HeartbeatOutcome::Outdated);
}

/// Guards against memory use that grows with every server that has left.
#[test]
fn departures_are_forgotten() {
    let mut events = EventLog::new();
    events.leave("a", s(20));
    let later = s(20).after(RETENTION + Duration::from_secs(1));
    let outcome = events.receive_logged(&heartbeat("a", -5_000, 8, ServerState::Ready), later);
    assert!(matches!(outcome, HeartbeatOutcome::Changed(_)));
}

/// Guards against a server that stays unregistered although it has confirmed that it is not
/// leaving, and against a confirmation that arrives after its departure.
#[test]
fn a_confirmed_server_is_registered_unless_it_has_left() {
    let first = heartbeat("a", -5_000, 7, ServerState::Ready);
    let mut events = EventLog::new();
    events.receive_logged(&first, s(1));
    let outcome = events.confirm_logged(&first, s(1));
    assert_matches!(outcome, HeartbeatOutcome::Changed(_));
    let mut events = EventLog::new();
    events.receive_logged(&first, s(1));
    events.leave("a", s(1));
    let outcome = events.confirm_logged(&first, s(1));
    assert_eq!(outcome, HeartbeatOutcome::Outdated);
    let again = heartbeat("a", -5_000, 8, ServerState::Ready);
    assert_eq!(
        events.receive_logged(&again, s(11)),
        HeartbeatOutcome::Outdated
    );
}

/// Guards against health queries that go on for a server that no longer sends heartbeats.
#[test]
fn an_unconfirmed_server_without_heartbeats_is_forgotten() {
    let mut events = EventLog::new();
    let first = heartbeat("a", -5_000, 7, ServerState::Ready);
    events.receive_logged(&first, s(1));
    let process = first.process();
    assert_matches!(events.registrations.unconfirmed(&process, s(10)), Some(_));
    assert_eq!(events.registrations.unconfirmed(&process, s(11)), None);
}
