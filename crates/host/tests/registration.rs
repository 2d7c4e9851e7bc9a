//! The owner of an address is tracked from heartbeats that arrive in any order.

use knapweed_host::registration::{HeartbeatOutcome, RETENTION, Registrations, ServerHeartbeat};
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
        let result = match &outcome {
            HeartbeatOutcome::Changed(announcement) => format!("is {:?}", announcement.state),
            other => format!("{other:?}"),
        };
        let at = at.since(Time(0)).as_secs_f64();
        self.lines.push(format!(
            "{at:>4.1} s {} {:>2} {:?}: {result}",
            heartbeat.instance, heartbeat.sequence, heartbeat.announcement.state
        ));
        outcome
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

/// Guards against a server that is registered by a late heartbeat although it
/// announced its exit to the previous process of the node.
#[test]
fn after_a_start_one_heartbeat_of_an_older_server_is_not_enough() {
    let mut events = EventLog::new();
    events.receive_logged(&heartbeat("a", -5_000, 7, ServerState::Ready), s(1));
    events.receive_logged(&heartbeat("a", -5_000, 7, ServerState::Ready), s(1));
    events.receive_logged(&heartbeat("a", -5_000, 8, ServerState::Ready), s(2));
    insta::assert_snapshot!(events.text());
    // A server that started after the node cannot have left before.
    let mut events = EventLog::new();
    let outcome = events.receive_logged(&heartbeat("b", 200, 1, ServerState::Ready), s(1));
    assert!(matches!(outcome, HeartbeatOutcome::Changed(_)));
    // After the confirmation period, one heartbeat is enough.
    let mut events = EventLog::new();
    let outcome = events.receive_logged(&heartbeat("c", -5_000, 90, ServerState::Ready), s(60));
    assert!(matches!(outcome, HeartbeatOutcome::Changed(_)));
}

/// Guards against a server whose clock is wrong and that can never register its
/// address.
#[test]
fn a_server_that_seems_older_gets_the_address_with_its_second_heartbeat() {
    let mut events = EventLog::new();
    events.receive_logged(&heartbeat("a", 5_000, 1, ServerState::Ready), s(20));
    events.receive_logged(&heartbeat("b", 2_000, 1, ServerState::Ready), s(30));
    events.receive_logged(&heartbeat("b", 2_000, 2, ServerState::Ready), s(31));
    insta::assert_snapshot!(events.text());
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

/// Guards against a server that stays unregistered until its second heartbeat although
/// it has confirmed that it is not leaving, and against a confirmation of an outdated
/// heartbeat.
#[test]
fn a_server_that_says_that_it_stays_is_there_at_once() {
    let mut events = EventLog::new();
    let first = heartbeat("a", -5_000, 7, ServerState::Ready);
    assert_eq!(
        events.receive_logged(&first, s(1)),
        HeartbeatOutcome::Unconfirmed
    );
    let outcome = events.registrations.confirm(&first);
    assert!(matches!(outcome, HeartbeatOutcome::Changed(_)));
    let mut events = EventLog::new();
    events.receive_logged(&first, s(1));
    events.leave("a", s(1));
    assert_eq!(
        events.registrations.confirm(&first),
        HeartbeatOutcome::Outdated
    );
}
