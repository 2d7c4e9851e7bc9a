//! Which backend server stands at an address, from heartbeats in any order.

use knapweed_host::registration::{RETENTION, Registrations, Sign, Taken};
use knapweed_world::backend_server::{Announcement, ServerState};
use knapweed_world::{Name, Time, UnixMillis};
use std::time::Duration;

/// When the node started, by the wall clock.
const NODE_START: UnixMillis = UnixMillis(1_000_000);

fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

fn s(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

/// A heartbeat of `instance`, started `started_ms` after the node.
fn sign(instance: &str, started_ms: i64, sequence: u64, state: ServerState) -> Sign {
    Sign {
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
            instance: Some(name(instance)),
            is_cold: false,
        },
    }
}

/// One line for each sign that arrives.
struct Story {
    registrations: Registrations,
    lines: Vec<String>,
}

impl Story {
    fn new() -> Self {
        Self {
            registrations: Registrations::new(NODE_START),
            lines: Vec::new(),
        }
    }

    fn beat(&mut self, sign: &Sign, at: Time) -> Taken {
        let taken = self.registrations.heartbeat(sign.clone(), at);
        let what = match &taken {
            Taken::Changed(announcement) => format!("is {:?}", announcement.state),
            other => format!("{other:?}"),
        };
        let at = at.since(Time(0)).as_secs_f64();
        self.lines.push(format!(
            "{at:>4.1} s {} {:>2} {:?}: {what}",
            sign.instance, sign.sequence, sign.announcement.state
        ));
        taken
    }

    fn leave(&mut self, instance: &str, at: Time) {
        let wall = NODE_START.after(at.since(Time(0)));
        let left = self.registrations.left(&name(instance), at, wall);
        let what = match left {
            Some(announcement) => format!("is {:?}", announcement.state),
            None => "not known".to_owned(),
        };
        let at = at.since(Time(0)).as_secs_f64();
        self.lines
            .push(format!("{at:>4.1} s {instance} leaves: {what}"));
    }

    fn text(&self) -> String {
        self.lines.join("\n")
    }
}

#[test]
fn the_life_of_a_server() {
    let mut story = Story::new();
    story.beat(&sign("a", 500, 1, ServerState::Ready), s(1));
    story.beat(&sign("a", 500, 2, ServerState::Ready), s(2));
    story.beat(&sign("a", 500, 4, ServerState::Draining), s(4));
    // The third one is late.
    story.beat(&sign("a", 500, 3, ServerState::Ready), s(5));
    // A process that leaves does not come back.
    story.beat(&sign("a", 500, 5, ServerState::Ready), s(6));
    story.leave("a", s(7));
    story.beat(&sign("a", 500, 6, ServerState::Ready), s(8));
    // It starts again under the same name.
    story.beat(&sign("a", 9_000, 1, ServerState::Ready), s(9));
    insta::assert_snapshot!(story.text());
}

/// Guards against a late heartbeat of a server whose leaving this process of the
/// node acknowledged without knowing it, which brought the server back.
#[test]
fn a_server_that_left_unknown_does_not_come_back() {
    let mut story = Story::new();
    story.leave("a", s(1));
    story.beat(&sign("a", -5_000, 7, ServerState::Ready), s(3));
    story.beat(&sign("a", -5_000, 8, ServerState::Ready), s(4));
    // A later process has the name.
    story.beat(&sign("a", 4_500, 1, ServerState::Ready), s(5));
    insta::assert_snapshot!(story.text());
}

/// Guards against a late heartbeat of a server whose leaving an earlier process of
/// the node acknowledged.
#[test]
fn after_a_start_one_heartbeat_of_an_older_server_is_not_enough() {
    let mut story = Story::new();
    story.beat(&sign("a", -5_000, 7, ServerState::Ready), s(1));
    story.beat(&sign("a", -5_000, 7, ServerState::Ready), s(1));
    story.beat(&sign("a", -5_000, 8, ServerState::Ready), s(2));
    insta::assert_snapshot!(story.text());
    // One that started after the node is known to be new.
    let mut story = Story::new();
    let taken = story.beat(&sign("b", 200, 1, ServerState::Ready), s(1));
    assert!(matches!(taken, Taken::Changed(_)));
    // Later no earlier process of the node can have acknowledged anything.
    let mut story = Story::new();
    let taken = story.beat(&sign("c", -5_000, 90, ServerState::Ready), s(60));
    assert!(matches!(taken, Taken::Changed(_)));
}

/// Guards against a server with a wrong clock that never gets an address back.
#[test]
fn a_server_that_seems_older_gets_the_address_with_its_second_heartbeat() {
    let mut story = Story::new();
    story.beat(&sign("a", 5_000, 1, ServerState::Ready), s(20));
    story.beat(&sign("b", 2_000, 1, ServerState::Ready), s(30));
    story.beat(&sign("b", 2_000, 2, ServerState::Ready), s(31));
    insta::assert_snapshot!(story.text());
}

/// Guards against memory that grows with each server that ever left.
#[test]
fn departures_are_forgotten() {
    let mut story = Story::new();
    story.leave("a", s(20));
    let later = s(20).after(RETENTION + Duration::from_secs(1));
    let taken = story.beat(&sign("a", -5_000, 8, ServerState::Ready), later);
    assert!(matches!(taken, Taken::Changed(_)));
}

/// Guards against a server that gets no work until its second heartbeat although
/// it said itself that it stays, and against such a word about an older sign.
#[test]
fn a_server_that_says_that_it_stays_is_there_at_once() {
    let mut story = Story::new();
    let first = sign("a", -5_000, 7, ServerState::Ready);
    assert_eq!(story.beat(&first, s(1)), Taken::Unconfirmed);
    let taken = story.registrations.confirm(&first);
    assert!(matches!(taken, Taken::Changed(_)));
    let mut story = Story::new();
    story.beat(&first, s(1));
    story.leave("a", s(1));
    assert_eq!(story.registrations.confirm(&first), Taken::Outdated);
}
