//! Merging of records, tombstones, digests and bounds of encoded lengths.

mod sim;

use assert_matches::assert_matches;
use knapweed_world::backend_server::{Announcement, ServerState};
use knapweed_world::snapshot::HostEntry;
use knapweed_world::{ConfigVersion, StoreEra, Time, UnixMillis};
use knapweed_zone::directory::{Directory, TOMBSTONE_TTL};
use knapweed_zone::membership::{Action, Event};
use knapweed_zone::message::{
    Body, MAX_HEADER_LEN, MAX_MESSAGE_LEN, Message, Notice, Ping, PingReq, PingSequence,
    SEND_TIME_RANGE_MS, SendTime, Sender,
};
use knapweed_zone::record::{MAX_RECORD_LEN, Merge};
use knapweed_zone::{Confirmation, Incarnation, MemberRecord, MemberState, Membership, Sequence};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use sim::{announcement, name};
use std::net::SocketAddr;

fn record(host: &str, incarnation: u64, sequence: u64, state: MemberState) -> MemberRecord {
    let address = SocketAddr::from(([127, 0, 0, 1], 7_000));
    let entry = HostEntry {
        name: name(host),
        zone: name("labasa-a"),
        region: name("labasa"),
        address,
        announcements: vec![announcement(address, ServerState::Ready)],
    };
    let mut record = MemberRecord::new(entry, Incarnation(incarnation));
    record.sequence = Sequence(sequence);
    record.state = state;
    record
}

fn any_record() -> impl Strategy<Value = MemberRecord> {
    let state = prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Suspect),
        Just(MemberState::Leaving),
        Just(MemberState::Dead),
    ];
    (0..3u64, 0..4u64, state, 0..5u64, 0..5u64).prop_map(|(i, s, state, applied, served)| {
        let mut record = record("a1", i, s, state);
        record.applied = ConfigVersion(applied);
        record.served = ConfigVersion(served.max(applied));
        record
    })
}

proptest! {
    /// Guards against copies of a record that diverge between nodes because they were
    /// received in a different order or more than once (requirement F2).
    #[test]
    fn merges_do_not_depend_on_order_or_repetition(
        copies in prop::collection::vec(any_record(), 1..8),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..8),
    ) {
        let mut forward = copies[0].clone();
        for copy in &copies {
            forward.merge(copy);
        }
        let mut other = copies[copies.len() - 1].clone();
        for index in order {
            other.merge(index.get(&copies));
        }
        for copy in copies.iter().rev() {
            other.merge(copy);
        }
        prop_assert_eq!(forward, other);
    }
}

/// Guards against a version floor that falls when a host restarts (hazard H1).
#[test]
fn a_new_incarnation_keeps_the_served_version() {
    let mut known = record("a1", 1, 5, MemberState::Alive);
    known.record_version(Incarnation(1), ConfigVersion(7));
    let outcome = known.merge(&record("a1", 2, 1, MemberState::Alive));
    assert_eq!(outcome, Merge::Content);
    assert_eq!(known.served, ConfigVersion(7));
    assert_eq!(known.applied, ConfigVersion(0));
}

/// Guards against a delayed message of an earlier incarnation that confirms a version
/// on behalf of the current one.
#[test]
fn a_former_incarnation_confirms_nothing() {
    let mut known = record("a1", 2, 1, MemberState::Alive);
    let outcome = known.record_version(Incarnation(1), ConfigVersion(7));
    assert_eq!(outcome, Merge::Version);
    assert_eq!(known.served, ConfigVersion(7));
    assert_eq!(known.applied, ConfigVersion(0));
}

#[test]
fn an_incarnation_is_above_every_known_one() {
    let now = UnixMillis(1_000);
    assert_eq!(Incarnation::choose(None, now), Incarnation(1_000));
    assert_eq!(Incarnation::choose(Some(Incarnation(5)), now).0, 1_000);
    assert_eq!(Incarnation::choose(Some(Incarnation(5_000)), now).0, 5_001);
}

#[test]
fn host_entries_follow_the_state() {
    let entry = |state| record("a1", 1, 1, state).host_entry();
    insta::assert_debug_snapshot!([
        entry(MemberState::Alive),
        entry(MemberState::Leaving),
        entry(MemberState::Dead),
    ]);
}

/// Guards against a delayed copy that revives a host whose tombstone is still kept,
/// and against tombstones that two nodes renew for each other forever.
#[test]
fn a_tombstone_refuses_late_copies_and_expires() {
    let mut directory = Directory::default();
    let start = Time::from_millis(0);
    directory.merge(start, &record("a1", 1, 4, MemberState::Alive));
    directory.merge(start, &record("a1", 1, 5, MemberState::Dead));
    let late = record("a1", 1, 4, MemberState::Alive);
    assert_matches!(directory.merge(start, &late), (_, Merge::Unchanged));
    let half = start.after(TOMBSTONE_TTL / 2);
    let mut other = Directory::default();
    other.merge(half, &record("b1", 1, 1, MemberState::Alive));
    directory.merge(half, &record("c1", 1, 1, MemberState::Alive));
    for shared in directory.differing_records(half, &Directory::default().digest()) {
        other.merge_shared(half, &shared);
    }
    let end = start.after(TOMBSTONE_TTL);
    directory.expire(end);
    other.expire(end);
    assert!(directory.find(&name("a1")).is_none());
    assert!(other.find(&name("a1")).is_none());
}

#[test]
fn only_differing_records_answer_a_digest() {
    let now = Time::from_millis(0);
    let mut a = Directory::default();
    for host in 0..200 {
        let host = format!("h{host}");
        a.merge(now, &record(&host, 1, 1, MemberState::Alive));
    }
    assert!(a.differing_records(now, &a.digest()).is_empty());
    let before = a.digest();
    a.merge(now, &record("h17", 1, 2, MemberState::Alive));
    let differing = a.differing_records(now, &before);
    assert!(differing.iter().any(|s| s.record.host == name("h17")));
    assert!(differing.len() <= 20, "{} records", differing.len());
    let all = a.differing_records(now, &Directory::default().digest());
    assert_eq!(all.len(), 200);
}

/// Guards against length bounds that are too low, with which messages would not fit
/// into a datagram.
#[test]
fn length_bounds_hold_for_the_longest_fields() {
    let long = "x".repeat(63);
    let address = "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535";
    let address: SocketAddr = address.parse().expect("an address");
    let mut largest = record(&long, u64::MAX, u64::MAX, MemberState::Dead);
    largest.zone = name(&long);
    largest.region = name(&long);
    largest.address = address;
    largest.applied = ConfigVersion(u64::MAX);
    largest.served = ConfigVersion(u64::MAX);
    largest.last_error = Some(knapweed_zone::record::ErrorCode(u16::MAX));
    let server = Announcement {
        service: name(&long),
        version: name(&long),
        address,
        slots: u16::MAX,
        max_connections: u16::MAX,
        state: ServerState::Gone,
        instance: None,
        is_cold: false,
    };
    largest.announcements = vec![server; 4].into();
    let encoded = postcard::to_allocvec(&largest).expect("an encoded record");
    assert!(encoded.len() <= largest.encoded_len_bound());
    assert!(largest.encoded_len_bound() <= MAX_RECORD_LEN);
    let message = Message {
        sender: Sender {
            incarnation: Incarnation(u64::MAX),
            sent_at: SendTime(SEND_TIME_RANGE_MS - 1),
            version: ConfigVersion(u64::MAX),
            confirmation: Some(Confirmation {
                era: StoreEra(u64::MAX),
                age_ms: u16::MAX,
            }),
            is_neighbour: true,
            is_gateway: true,
        },
        body: Body::PingReq(PingReq {
            sequence: PingSequence(u32::MAX),
            target: address,
        }),
        records: Vec::new(),
    };
    let encoded = postcard::to_allocvec(&message).expect("an encoded message");
    assert!(encoded.len() <= MAX_HEADER_LEN, "{} bytes", encoded.len());
    const { assert!(MAX_RECORD_LEN + MAX_HEADER_LEN <= MAX_MESSAGE_LEN) };
}

fn member(host: &str) -> Membership {
    let record = record(host, 10, 1, MemberState::Alive);
    Membership::new(Time(0), record, Vec::new(), SmallRng::seed_from_u64(1))
}

/// Guards against a record that grows until it no longer fits into a datagram.
#[test]
fn too_many_announcements_are_refused() {
    let mut membership = member("a1");
    let refused = (0..40).find_map(|port| {
        let mut next = announcement(([127, 0, 0, 1], port).into(), ServerState::Ready);
        next.version = name(&"v".repeat(40));
        let actions = membership.handle(Time(1), Event::LocalAnnouncement(next));
        let mut actions = actions.into_iter();
        actions.find(|a| matches!(a, Action::AnnouncementRefused(_)))
    });
    assert!(refused.is_some());
    assert!(membership.own().encoded_len_bound() <= MAX_RECORD_LEN);
}

/// Guards against a host that cannot rejoin because its clock ran ahead during an
/// earlier incarnation, whose number is higher.
#[test]
fn a_higher_incarnation_of_an_earlier_life_is_exceeded() {
    let mut membership = member("a1");
    let message = Message {
        sender: Sender {
            incarnation: Incarnation(1),
            sent_at: SendTime::default(),
            version: ConfigVersion(0),
            confirmation: None,
            is_neighbour: false,
            is_gateway: false,
        },
        body: Body::Ping(Ping {
            sequence: PingSequence(1),
        }),
        records: vec![record("a1", 99, 7, MemberState::Dead)],
    };
    let from = ([127, 0, 0, 1], 7_001).into();
    membership.handle(Time(1), Event::Received { from, message });
    assert_eq!(membership.own().incarnation, Incarnation(100));
    assert_eq!(membership.own().state, MemberState::Alive);
}

/// Guards against pings to the old address of a host that was replaced by one of the
/// same name before its death was detected.
#[test]
fn a_replaced_host_is_pinged_at_its_new_address() {
    let mut membership = member("a1");
    let mut other = record("b1", 1, 1, MemberState::Alive);
    for port in [7_001, 7_002] {
        other.incarnation.0 += 1;
        other.address.set_port(port);
        let message = Message {
            sender: Sender {
                incarnation: other.incarnation,
                sent_at: SendTime::default(),
                version: ConfigVersion(0),
                confirmation: None,
                is_neighbour: true,
                is_gateway: false,
            },
            body: Body::Notice(Notice {}),
            records: vec![other.clone()],
        };
        let from = other.address;
        membership.handle(Time(1), Event::Received { from, message });
        membership.handle(Time(2), Event::Tick);
    }
    let neighbours: Vec<_> = membership.neighbours().collect();
    assert_eq!(neighbours, [other.address]);
}

/// Guards against reordered and duplicated announcements that revive a backend server
/// which has left.
#[test]
fn crossed_announcements_never_bring_back_a_server() {
    let mut owner = member("a1");
    let address = owner.own().announcements[0].address;
    let mut copies = vec![owner.own().clone()];
    let states = [ServerState::Draining, ServerState::Gone, ServerState::Gone];
    for state in states {
        let mut next = owner.own().announcements.first().cloned();
        next = next.or_else(|| Some(announcement(address, state)));
        let mut next = next.expect("an announcement");
        next.state = state;
        owner.handle(Time(1), Event::LocalAnnouncement(next));
        copies.push(owner.own().clone());
    }
    proptest!(|(order in prop::collection::vec(any::<prop::sample::Index>(), 1..20))| {
        let mut observer = Directory::default();
        let mut has_left = false;
        for index in order {
            let (key, _) = observer.merge(Time(2), index.get(&copies));
            let servers = &observer.get(key).expect("a record").announcements;
            prop_assert!(!has_left || servers.is_empty());
            has_left |= servers.is_empty();
        }
    });
}
