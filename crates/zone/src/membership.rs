//! SWIM-style failure detection and gossip between the members of an availability zone.
//!
//! Each node pings the neighbours that a hash assigns to it. It suspects a neighbour
//! that answers neither a direct nor an indirect ping, and declares it dead unless
//! it refutes the suspicion in time. Changed records are pushed to all neighbours
//! once and are then piggybacked on pings and acks.

pub mod gossip;
pub mod neighbours;
pub mod probe;
pub mod suspicion;

mod detect;
mod exchange;
mod transit;

use crate::directory::{Directory, MemberKey, SharedRecord};
use crate::dissemination::peers::Role;
use crate::dissemination::{Dissemination, Request, View, derive_rng};
use crate::duty::{Duty, holders};
use crate::freshness::Freshness;
use crate::message::{Body, Message, Notice, Ping, RecordSpace, SendTime, Sender};
use crate::record::{ErrorCode, Incarnation, MAX_RECORD_LEN, MemberRecord, MemberState, Sequence};
use gossip::Gossip;
use knapweed_world::backend_server::{Announcement, ServerState};
use knapweed_world::{ConfigVersion, StoreEra, Time};
use neighbours::Neighbours;
use probe::Probes;
use rand::rngs::SmallRng;
use slotmap::SecondaryMap;
use std::net::SocketAddr;
use std::time::Duration;
use suspicion::Suspicions;
use transit::Transit;

/// Interval at which the caller sends [`Event::Tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of the pings that check neighbours.
pub const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Number of neighbours that are asked to ping a member that did not answer.
pub const INDIRECT_PINGS: usize = 2;
/// Time between two ticks above which this node is taken to have been paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(300);
/// Interval of the pings to dead members, which detect the end of a partition.
pub const REJOIN_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the directory is compared with that of another member.
pub const COMPARE_INTERVAL: Duration = Duration::from_secs(10);
/// Interval of the comparisons after the start and after the end of a partition.
pub const FAST_COMPARE_INTERVAL: Duration = Duration::from_millis(500);
/// Number of comparisons at [`FAST_COMPARE_INTERVAL`]. More than one is needed, because
/// the first ones may reach nodes that have just started themselves.
pub const FAST_COMPARISONS: u32 = 8;
/// Time after its start during which a node takes no duty. Until it has learned of
/// other members it ranks first for every duty, so when all nodes start together,
/// each of them would call the store.
const DUTY_DELAY: Duration = Duration::from_millis(800);
/// Interval at which expired tombstones are removed.
pub const SWEEP_INTERVAL: Duration = Duration::from_secs(10);
/// Number of neighbours that this node notifies of each version it applies, and that
/// it queries for its version floor after a restart.
pub const FLOOR_PEERS: usize = 3;
/// Maximum number of notices with new records to each neighbour per tick.
pub const PUSHES_PER_TICK: usize = 2;

/// An input of the membership protocol.
#[derive(Clone, Debug)]
pub enum Event {
    /// Another [`TICK_INTERVAL`] has passed.
    Tick,
    /// A message of another node arrived.
    Received {
        /// Address of the sending node.
        from: SocketAddr,
        /// The decoded message.
        message: Message,
    },
    /// The reply to [`Action::FetchMembers`] arrived.
    Members(Vec<SharedRecord>),
    /// A backend server of this host announced itself.
    LocalAnnouncement(Announcement),
    /// The store has answered this node's calls (`true`) or failed to (`false`).
    StoreReached(bool),
    /// The error that this node reports about itself has changed.
    LocalError(Option<ErrorCode>),
    /// The store has answered a read of the configuration by this node.
    ConfigConfirmed {
        /// Era of the store.
        era: StoreEra,
        /// Version of the configuration in the store.
        version: ConfigVersion,
        /// Time at which the store had that version.
        at: Time,
    },
    /// This node has applied a configuration version.
    ConfigApplied(ConfigVersion),
    /// This node holds a configuration version that it cannot apply.
    ConfigRefused(ConfigVersion),
    /// The answer to [`Action::FetchConfig`] cannot be applied.
    AnswerRefused {
        /// Address of the node that the configuration was fetched from.
        from: SocketAddr,
    },
    /// [`Action::FetchConfig`] has failed.
    FetchFailed {
        /// Address of the node that the configuration was fetched from.
        from: SocketAddr,
    },
    /// A part of the answer to [`Action::FetchConfig`] has arrived. Sent at most every
    /// [`TICK_INTERVAL`], and before [`crate::dissemination::fetch::FETCH_TIMEOUT`].
    FetchProgressed {
        /// Address of the node that the configuration is fetched from.
        from: SocketAddr,
    },
    /// The node asked by [`Action::FetchConfig`] serves enough others already.
    FetchBusy {
        /// Address of that node.
        from: SocketAddr,
    },
    /// Contact addresses in other availability zones, from their status objects.
    Contacts(Vec<SocketAddr>),
    /// This node will stop soon and accepts no new work.
    Leave,
    /// This node is stopping now.
    Stop,
}

/// What the node must do for the membership protocol.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a message to another node, without waiting for a reply.
    Send {
        /// Address of the receiving node.
        to: SocketAddr,
        /// The message to encode and send.
        message: Message,
    },
    /// Report the new content of a record that has changed.
    RecordChanged(MemberRecord),
    /// Report that members have joined, died or moved to another address.
    MembersChanged,
    /// Report the duties that this node holds from now on.
    RoleChanged(Role),
    /// Fetch the configuration from a node that has a newer version.
    FetchConfig {
        /// Address of the node to fetch from.
        from: SocketAddr,
    },
    /// Send the digest of the directory to a node, and report its reply as
    /// [`Event::Members`].
    FetchMembers {
        /// Address of the node to compare with.
        from: SocketAddr,
    },
    /// Start (`true`) or stop to watch the head object in the store.
    WatchHead(bool),
    /// Report to a backend server that its announcement was refused, because it does not fit
    /// into the member record.
    AnnouncementRefused(Announcement),
}

/// The membership protocol at one node.
#[derive(Debug)]
pub struct Membership {
    own: MemberKey,
    directory: Directory,
    neighbours: Neighbours,
    probes: Probes,
    suspicions: Suspicions,
    gossip: Gossip,
    dissemination: Dissemination,
    freshness: Freshness,
    retransmit_limit: u32,
    seeds: Vec<SocketAddr>,
    /// Number of comparisons left at [`FAST_COMPARE_INTERVAL`].
    fast_comparisons: u32,
    timers: Timers,
    /// Time of the event that is being handled.
    last_event: Time,
    transit: Transit,
    rng: SmallRng,
    actions: Vec<Action>,
    members_changed: bool,
    /// Whether records have changed since the duties were computed, in what duties
    /// depend on.
    roles_stale: bool,
    /// What the duties last depended on for each member.
    duty_inputs: SecondaryMap<MemberKey, DutyInputs>,
    /// Time before which this node takes no duty.
    earliest_duty: Time,
}

/// The part of a member record that the assignment of duties depends on. The place of a
/// host changes with its incarnation only.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct DutyInputs {
    incarnation: Incarnation,
    is_alive: bool,
    reaches_store: bool,
}

impl DutyInputs {
    fn of(record: &MemberRecord) -> Self {
        Self {
            incarnation: record.incarnation,
            is_alive: record.state == MemberState::Alive,
            reaches_store: record.reaches_store,
        }
    }
}

/// Times of the last tick and of the next periodic steps.
#[derive(Debug)]
struct Timers {
    last_tick: Time,
    ping: Time,
    rejoin: Time,
    compare: Time,
    sweep: Time,
}

/// Construction.
impl Membership {
    /// Starts the protocol for the node that `record` describes.
    ///
    /// `seeds` are addresses of other nodes of the availability zone, which are
    /// contacted after the start and while no other member is known.
    pub fn new(now: Time, record: MemberRecord, seeds: Vec<SocketAddr>, mut rng: SmallRng) -> Self {
        let mut directory = Directory::default();
        let (own, _) = directory.merge(now, &record);
        let mut membership = Self {
            own,
            directory,
            neighbours: Neighbours::default(),
            probes: Probes::default(),
            suspicions: Suspicions::default(),
            gossip: Gossip::default(),
            dissemination: Dissemination::new(now, derive_rng(&mut rng)),
            freshness: Freshness::default(),
            last_event: now,
            transit: Transit::default(),
            retransmit_limit: gossip::retransmit_limit(1),
            seeds,
            fast_comparisons: FAST_COMPARISONS,
            timers: Timers::new(now),
            rng,
            actions: Vec::new(),
            members_changed: false,
            roles_stale: true,
            duty_inputs: SecondaryMap::new(),
            earliest_duty: now.after(DUTY_DELAY),
        };
        membership.gossip.add(own);
        membership.randomize_timers(now);
        membership
    }
}

impl Timers {
    fn new(now: Time) -> Self {
        Self {
            last_tick: now,
            ping: now,
            rejoin: now,
            compare: now,
            sweep: now.after(SWEEP_INTERVAL),
        }
    }
}

/// Settings.
impl Membership {
    /// Sets the time for which a configuration counts as the newest after the store has
    /// confirmed it; [`CONFIRMED_FOR`](crate::freshness::CONFIRMED_FOR) by default.
    pub fn confirmed_for(mut self, time: Duration) -> Self {
        self.freshness = Freshness::new(time);
        self
    }
}

/// Current state.
impl Membership {
    /// All member records that this node knows.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// This node's own record.
    pub fn own(&self) -> &MemberRecord {
        self.directory.get(self.own).expect("own record is kept")
    }

    /// What this node knows about the newest configuration.
    pub fn freshness(&self) -> &Freshness {
        &self.freshness
    }

    /// The duties that this node last took, as [`Action::RoleChanged`] reported them.
    pub fn role(&self) -> Role {
        self.dissemination.role()
    }

    /// The duties that this node holds according to its current directory.
    pub fn duties(&self) -> impl Iterator<Item = Duty> + use<'_> {
        let own = self.own();
        let duties = [
            Duty::Relay {
                zone: own.zone.clone(),
            },
            Duty::Gateway {
                region: own.region.clone(),
            },
            Duty::Rollout,
            Duty::Tickets,
        ];
        let holds = |duty: &Duty| holders(&self.directory, duty).contains(&self.own);
        duties.into_iter().filter(holds)
    }

    /// Addresses of the members that this node pings.
    pub fn neighbours(&self) -> impl Iterator<Item = SocketAddr> {
        self.neighbours.iter().map(|n| n.address)
    }
}

/// Event handling.
impl Membership {
    /// Handles an event and returns the resulting actions, in order.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        self.last_event = now;
        match event {
            Event::Tick => self.tick(now),
            Event::Received { from, message } => self.receive(now, from, message),
            Event::Members(records) => self.merge_shared_records(now, &records),
            Event::LocalAnnouncement(announcement) => self.announce(now, announcement),
            Event::StoreReached(reached) => self.store_reached(now, reached),
            Event::LocalError(error) => self.change_own(now, |own| own.last_error = error),
            Event::ConfigConfirmed { era, version, at } => {
                self.freshness.store_answered(now, at, era, version);
            }
            Event::ConfigApplied(version) => self.config_applied(now, version),
            Event::ConfigRefused(version) => {
                let requests = self.dissemination.config_refused(now, version);
                self.execute(requests);
            }
            Event::AnswerRefused { from } => {
                let requests = self.dissemination.answer_refused(now, from);
                self.execute(requests);
            }
            Event::FetchFailed { from } => {
                let requests = self.dissemination.fetch_failed(now, from);
                self.execute(requests);
            }
            Event::FetchProgressed { from } => self.dissemination.fetch_progressed(now, from),
            Event::FetchBusy { from } => {
                let requests = self.dissemination.fetch_busy(now, from);
                self.execute(requests);
            }
            Event::Contacts(contacts) => self.dissemination.set_contacts(contacts),
            Event::Leave => self.change_own(now, |own| own.state = MemberState::Leaving),
            Event::Stop => self.change_own(now, |own| own.state = MemberState::Dead),
        }
        if std::mem::take(&mut self.members_changed) {
            self.actions.push(Action::MembersChanged);
        }
        std::mem::take(&mut self.actions)
    }

    fn announce(&mut self, now: Time, announcement: Announcement) {
        let mut next = self.own().clone();
        let mut list = next.announcements.to_vec();
        list.retain(|a| !is_same_server(a, &announcement));
        if announcement.state != ServerState::Gone {
            list.push(announcement.clone());
        }
        if *next.announcements == *list {
            return;
        }
        next.announcements = list.into();
        if next.encoded_len_bound() > MAX_RECORD_LEN {
            let refused = Action::AnnouncementRefused(announcement);
            return self.actions.push(refused);
        }
        self.change_own(now, |own| own.announcements = next.announcements);
    }

    fn store_reached(&mut self, now: Time, reached: bool) {
        if self.own().reaches_store != reached {
            self.change_own(now, |own| own.reaches_store = reached);
        }
    }

    fn config_applied(&mut self, now: Time, version: ConfigVersion) {
        self.freshness.applied(version);
        self.edit_own(now, |own| own.record_version(own.incarnation, version));
        let neighbours = self.neighbours.iter().map(|n| n.address);
        let floor_peers: Vec<_> = neighbours.take(FLOOR_PEERS).collect();
        let view = View::new(&self.directory, self.own);
        let version = self.own().applied.max(version);
        let requests = self.dissemination.applied(now, view, version, &floor_peers);
        self.execute(requests);
    }
}

/// Changes of this node's own record, and of its duties.
impl Membership {
    /// Changes the own record under a new sequence and pushes it to the neighbours at once.
    fn change_own(&mut self, now: Time, change: impl FnOnce(&mut MemberRecord)) {
        if self.own().state == MemberState::Dead {
            return;
        }
        self.edit_own(now, |own| {
            change(own);
            own.sequence = Sequence(own.sequence.0 + 1);
        });
        self.publish_own();
        self.push_new(now);
    }

    fn publish_own(&mut self) {
        self.disseminate(self.own);
        let record = self.own().clone();
        self.record_changed(record);
    }

    /// Reports a record whose content has changed, which may change the duties too.
    ///
    /// Most changes concern backend servers. They leave the duties as they are, whose
    /// computation takes a hash of each member.
    fn record_changed(&mut self, record: MemberRecord) {
        let inputs = DutyInputs::of(&record);
        self.roles_stale |= match self.directory.find(&record.host) {
            Some(key) => self.duty_inputs.insert(key, inputs) != Some(inputs),
            None => true,
        };
        self.actions.push(Action::RecordChanged(record));
    }

    /// Recomputes the duties of this node if records have changed.
    fn refresh_role(&mut self, now: Time) {
        if now < self.earliest_duty || !std::mem::take(&mut self.roles_stale) {
            return;
        }
        let role = Role::of(&self.directory, self.own);
        if role != self.role() {
            let view = View::new(&self.directory, self.own);
            self.dissemination.set_role(now, view, role);
            self.actions.push(Action::RoleChanged(role));
        }
    }

    fn edit_own<T>(&mut self, now: Time, edit: impl FnOnce(&mut MemberRecord) -> T) -> T {
        let result = self.directory.change(now, self.own, edit);
        result.expect("own record is kept")
    }
}

/// Sending of messages and gossip.
impl Membership {
    /// Queues a changed record for gossip and for other availability zones.
    fn disseminate(&mut self, member: MemberKey) {
        self.gossip.add(member);
        self.dissemination.record_changed(member);
    }

    fn execute(&mut self, requests: Vec<Request>) {
        for request in requests {
            match request {
                Request::Notice(to, records) => {
                    self.send_records(to, Body::Notice(Notice {}), records);
                }
                Request::Ping(to) => self.ping_untracked(to),
                Request::FetchConfig(from) => self.actions.push(Action::FetchConfig { from }),
                Request::FetchMembers(from) => self.actions.push(Action::FetchMembers { from }),
                Request::WatchHead(watch) => self.actions.push(Action::WatchHead(watch)),
            }
        }
    }

    /// Sends a ping whose ack is not waited for.
    fn ping_untracked(&mut self, to: SocketAddr) {
        let sequence = self.probes.next_sequence();
        self.send(to, Body::Ping(Ping { sequence }));
    }

    /// Sends a message with the queued records that fit into it.
    fn send(&mut self, to: SocketAddr, body: Body) {
        let mut space = RecordSpace::new();
        let mut records = Vec::new();
        let member = self.directory.find_address(to);
        if let (Some(member), Body::Ping(ping)) = (member, body) {
            let now = self.last_event;
            self.transit.ping_sent(now, member, ping.sequence);
        }
        let target = member.and_then(|key| self.directory.get(key));
        // A member that is not alive in this directory can refute its state only if it
        // receives that record.
        if let Some(record) = target.filter(|r| r.state != MemberState::Alive)
            && space.reserve(record)
        {
            records.push(record.clone());
        }
        // Gossip stays inside the availability zone: relays send each record to other
        // zones once.
        let is_in_own_zone = target.is_none_or(|r| r.zone == self.own().zone);
        if is_in_own_zone {
            let limit = self.retransmit_limit;
            records.extend(self.gossip.take(&self.directory, &mut space, limit));
        }
        self.send_records(to, body, records);
    }

    fn send_records(&mut self, to: SocketAddr, body: Body, records: Vec<MemberRecord>) {
        let own = self.own();
        let sender = Sender {
            incarnation: own.incarnation,
            sent_at: SendTime::at(self.last_event),
            version: own.applied,
            confirmation: self.freshness.confirmation(self.last_event),
            is_neighbour: self.neighbours.has_chosen(to),
            is_gateway: self.dissemination.role().is_gateway,
        };
        let message = Message {
            sender,
            body,
            records,
        };
        self.actions.push(Action::Send { to, message });
    }
}

fn is_same_server(a: &Announcement, b: &Announcement) -> bool {
    a.service == b.service && a.version == b.version && a.address == b.address
}
