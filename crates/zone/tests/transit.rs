//! What a confirmation counts for that was on its way for some time, between nodes with
//! different clocks.

use knapweed_world::snapshot::HostEntry;
use knapweed_world::{ConfigVersion, Name, StoreEra, Time};
use knapweed_zone::directory::SharedRecord;
use knapweed_zone::freshness::CONFIRMED_FOR;
use knapweed_zone::membership::{Action, Event, TICK_INTERVAL};
use knapweed_zone::message::{
    Ack, Body, Message, Notice, Ping, PingSequence, SEND_TIME_RANGE_MS, SendTime, Sender,
};
use knapweed_zone::{Confirmation, Incarnation, MemberRecord, Membership};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;

const VERSION: ConfigVersion = ConfigVersion(1);
/// Time on the clock of the node at the start of a case.
const START: Time = Time::from_millis(3_600_000);
/// Age of each confirmation when it is sent.
const AGE_MS: u16 = 100;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn record(host: &str, port: u16) -> MemberRecord {
    let name = |text: &str| text.parse::<Name>().expect("a valid name");
    let entry = HostEntry {
        name: name(host),
        zone: name("zone"),
        region: name("west"),
        address: ([127, 0, 0, 1], port).into(),
        announcements: Vec::new(),
    };
    MemberRecord::new(entry, Incarnation(1))
}

/// A node, and another one that sends it messages.
struct Pair {
    node: Membership,
    now: Time,
    other: MemberRecord,
    /// Time of the other node at the time [`START`] of this one.
    other_start: Time,
    /// Time by which the clock of the other node has gained on that of this one since.
    gained: Duration,
    /// Sequence of the last ping to the other node.
    pinged: PingSequence,
}

impl Pair {
    fn new(other_start: Time) -> Self {
        let rng = SmallRng::seed_from_u64(1);
        let other = record("other", 7_002);
        let node = Membership::new(START, record("node", 7_001), Vec::new(), rng);
        let mut pair = Self {
            node,
            now: START,
            other: other.clone(),
            other_start,
            gained: Duration::ZERO,
            pinged: PingSequence(0),
        };
        pair.handle(Event::ConfigApplied(VERSION));
        let record = other;
        pair.handle(Event::Members(vec![SharedRecord {
            record,
            dead_for_ms: 0,
        }]));
        pair
    }

    fn handle(&mut self, event: Event) {
        for action in self.node.handle(self.now, event) {
            if let Action::Send { message, .. } = action
                && let Body::Ping(Ping { sequence }) = message.body
            {
                self.pinged = sequence;
            }
        }
    }

    fn run(&mut self, length: Duration) {
        let end = self.now.after(length);
        while self.now < end {
            self.now = self.now.after(TICK_INTERVAL).min(end);
            self.handle(Event::Tick);
        }
    }

    /// Runs while the other node sends messages without confirmations.
    fn run_in_contact(&mut self, length: Duration) {
        let end = self.now.after(length);
        while self.now < end {
            self.run(TICK_INTERVAL);
            self.handle_message(ms(1), Body::Notice(Notice {}), None);
        }
    }

    /// Handles a message that was sent `ago`, and returns the time for which its confirmation
    /// still holds.
    fn receive(&mut self, ago: Duration, body: Body) -> Duration {
        let confirmation = Confirmation {
            era: StoreEra(0),
            age_ms: AGE_MS,
        };
        self.handle_message(ago, body, Some(confirmation));
        self.node.freshness().current_until().since(self.now)
    }

    fn handle_message(&mut self, ago: Duration, body: Body, confirmation: Option<Confirmation>) {
        let elapsed = self.now.since(START) + self.gained;
        let message = Message {
            sender: Sender {
                incarnation: self.other.incarnation,
                sent_at: SendTime::at(self.other_start.after(elapsed).before(ago)),
                version: VERSION,
                confirmation,
                is_neighbour: false,
                is_gateway: false,
            },
            body,
            records: Vec::new(),
        };
        let from = self.other.address;
        self.handle(Event::Received { from, message });
    }

    fn receive_notice(&mut self, ago: Duration) -> Duration {
        self.receive(ago, Body::Notice(Notice {}))
    }

    /// Handles the ack of the next ping, whose round trip took this time.
    fn receive_ack(&mut self, round_trip: Duration) -> Duration {
        let last = self.pinged;
        while self.pinged == last {
            self.run(TICK_INTERVAL);
        }
        self.now = self.now.after(round_trip);
        let sequence = self.pinged;
        self.receive(round_trip / 2, Body::Ack(Ack { sequence }))
    }

    /// Lets the confirmations that have arrived so far expire.
    fn expire(&mut self) {
        self.run(CONFIRMED_FOR);
    }
}

/// Guards against a confirmation that counts as recent although it was on its way for long, or
/// for an unknown time (issue 35).
#[test]
fn a_confirmation_ages_on_its_way() {
    type Case = fn(&mut Pair) -> Duration;
    let cases: [(&str, Case); 14] = [
        ("a notice before any ack", |p| p.receive_notice(ms(1))),
        ("a second notice before any ack, less late", |p| {
            p.receive_notice(ms(2_700));
            p.receive_notice(ms(2_200))
        }),
        ("an ack after 20 ms", |p| p.receive_ack(ms(20))),
        ("an ack after 2 s", |p| p.receive_ack(ms(2_000))),
        ("a notice 1 ms late, after an ack", |p| {
            p.receive_ack(ms(20));
            p.expire();
            p.receive_notice(ms(1))
        }),
        ("a notice 2 s late, after an ack", |p| {
            p.receive_ack(ms(20));
            p.expire();
            p.receive_notice(ms(2_000))
        }),
        ("a notice 4 s late, after an ack", |p| {
            p.receive_ack(ms(20));
            p.expire();
            p.receive_notice(ms(4_000))
        }),
        ("a notice 1 ms late, after a slow ack and a fast one", |p| {
            p.receive_ack(ms(400));
            p.receive_ack(ms(10));
            p.expire();
            p.receive_notice(ms(1))
        }),
        ("a notice 1 ms late, after a fast ack and a slow one", |p| {
            p.receive_ack(ms(10));
            p.receive_ack(ms(400));
            p.expire();
            p.receive_notice(ms(1))
        }),
        ("a notice of another process at the address", |p| {
            p.receive_ack(ms(20));
            p.expire();
            p.other.incarnation = Incarnation(2);
            p.receive_notice(ms(1))
        }),
        ("a notice 1 ms late, 5 min after an ack", |p| {
            p.receive_ack(ms(20));
            p.run_in_contact(ms(300_000));
            p.gained = ms(150);
            p.receive_notice(ms(1))
        }),
        ("a notice 1 ms late, 10 min after an ack", |p| {
            p.receive_ack(ms(20));
            p.run_in_contact(ms(600_000));
            p.receive_notice(ms(1))
        }),
        (
            "a notice after the clock of the receiver stood still",
            |p| {
                p.receive_ack(ms(20));
                p.expire();
                p.gained = ms(2_000);
                p.receive_notice(ms(1))
            },
        ),
        ("an ack after the clock of the sender stood still", |p| {
            p.receive_ack(ms(20));
            p.other_start = p.other_start.before(ms(60_000));
            p.expire();
            p.receive_ack(ms(20))
        }),
    ];
    let range_ms = u64::from(SEND_TIME_RANGE_MS);
    let starts = [5_000, 7 * range_ms - 2_500, 90 * 24 * 3_600_000].map(Time::from_millis);
    let lines = cases.map(|(name, case)| {
        let [left, others @ ..] = starts.map(|start| case(&mut Pair::new(start)));
        assert!(others.iter().all(|other| *other == left), "{name}");
        format!("{name}: holds for {} ms", left.as_millis())
    });
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against messages between nodes that grow with the time for which a process runs.
#[test]
fn the_time_of_sending_takes_three_bytes_at_most() {
    let uptimes = [
        ("0.1 s", 100),
        ("10 s", 10_000),
        ("1 min", 60_000),
        ("30 min", 1_800_000),
        ("1 day", 86_400_000),
        ("1 year", 31_536_000_000),
    ];
    let lines = uptimes.map(|(name, uptime_ms)| {
        let sent_at = SendTime::at(Time::from_millis(uptime_ms));
        let encoded = postcard::to_allocvec(&sent_at).expect("an encoded time");
        format!("{name}: {} bytes", encoded.len())
    });
    insta::assert_snapshot!(lines.join("\n"));
}
