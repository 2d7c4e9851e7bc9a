//! Failure detection and gossip between the members of an availability zone.
//!
//! Each node pings the neighbours that a hash assigns to it, suspects those that
//! do not answer directly or through others, and declares them dead unless they
//! refute. Changed records are pushed to the neighbours once and piggybacked on
//! pings and acks after that.

pub mod gossip;
pub mod neighbours;
pub mod probe;
pub mod suspicion;

mod detect;
mod exchange;

use crate::directory::{Directory, MemberKey, SharedRecord};
use crate::dissemination::peers::Role;
use crate::dissemination::{Dissemination, Request, View, fork};
use crate::duty::{Duty, holders};
use crate::message::{Body, Message, Notice, Ping, PingSequence, Room, Sender};
use crate::record::{ErrorCode, MAX_RECORD_LEN, MemberRecord, MemberState, Sequence};
use gossip::Gossip;
use knapweed_world::backend_server::{Announcement, ServerState};
use knapweed_world::{ConfigVersion, Time};
use neighbours::Neighbours;
use probe::Probes;
use rand::rngs::SmallRng;
use std::net::SocketAddr;
use std::time::Duration;
use suspicion::Suspicions;

/// Time between ticks.
pub const TICK: Duration = Duration::from_millis(100);
/// Time between pings.
pub const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Number of members that are asked to ping a member without an answer.
pub const INDIRECT_PINGS: usize = 2;
/// A longer time between two ticks is a pause of this node.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(300);
/// Time between pings to members that are dead, to find the end of a partition.
pub const REJOIN_INTERVAL: Duration = Duration::from_secs(1);
/// Time between comparisons of the directory with that of another member.
pub const COMPARE_INTERVAL: Duration = Duration::from_secs(10);
/// Time between comparisons after the start and after the end of a partition.
pub const FAST_COMPARE_INTERVAL: Duration = Duration::from_millis(500);
/// Number of comparisons at the short interval. The first ones may meet nodes
/// that have just started themselves.
pub const FAST_COMPARISONS: u32 = 8;
/// Time after its start in which a node takes no duty. Until it has met the others
/// it ranks first for all of them, and a mesh that starts as a whole would make as
/// many calls to the store as it has nodes.
const SETTLE_TIME: Duration = Duration::from_millis(800);
/// Time between sweeps for expired tombstones.
pub const SWEEP_INTERVAL: Duration = Duration::from_secs(10);
/// Number of neighbours that are told each version this node applies, and that
/// it asks for its version floor after a restart.
pub const FLOOR_PEERS: usize = 3;
/// Sequence of pings whose ack nobody waits for.
const UNTRACKED: PingSequence = PingSequence(0);
/// Most messages with new records to each neighbour per tick.
pub const PUSHES_PER_TICK: usize = 2;

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// [`TICK`] has passed.
    Tick,
    /// A message of another node arrived.
    Received {
        /// Address of the sender's node.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The answer to [`Action::FetchMembers`] arrived.
    Members(Vec<SharedRecord>),
    /// A backend server of this host announced itself.
    LocalAnnouncement(Announcement),
    /// Whether calls of this node to the store are answered.
    StoreReached(bool),
    /// The last error of this node changed.
    LocalError(Option<ErrorCode>),
    /// This node has applied a configuration version.
    ConfigApplied(ConfigVersion),
    /// This node has received a configuration version that it cannot apply.
    ConfigRefused(ConfigVersion),
    /// [`Action::FetchConfig`] has failed.
    FetchFailed {
        /// Address of the node that was asked.
        from: SocketAddr,
    },
    /// Entry addresses of other availability zones, from their status.
    Entries(Vec<SocketAddr>),
    /// This node will stop soon and takes no new work.
    Leave,
    /// This node stops now.
    Stop,
}

/// What the node must do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a message to another node, without waiting for an answer.
    Send {
        /// Address of the receiver's node.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The content of a record has changed.
    RecordChanged(MemberRecord),
    /// Members have come or gone.
    MembersChanged,
    /// The duties of this node have changed.
    RoleChanged(Role),
    /// Fetch the configuration from a node that has a newer one.
    FetchConfig {
        /// Address of that node.
        from: SocketAddr,
    },
    /// Send the digest to a node and report its answer as [`Event::Members`].
    FetchMembers {
        /// Address of that node.
        from: SocketAddr,
    },
    /// Start or stop to watch the platform's head.
    WatchHead(bool),
    /// Tell the backend server that its announcement does not fit into the record.
    AnnouncementRefused(Announcement),
}

/// Membership of one node.
#[derive(Debug)]
pub struct Membership {
    own: MemberKey,
    directory: Directory,
    neighbours: Neighbours,
    probes: Probes,
    suspicions: Suspicions,
    gossip: Gossip,
    dissemination: Dissemination,
    retransmit_limit: u32,
    seeds: Vec<SocketAddr>,
    /// Comparisons left at the short interval.
    fast_comparisons: u32,
    timers: Timers,
    rng: SmallRng,
    actions: Vec<Action>,
    members_changed: bool,
    /// Whether the duties must be computed again.
    roles_stale: bool,
    /// The node takes no duty before this time.
    duties_from: Time,
}

/// Times of the next periodic steps.
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
    /// Membership of the node that `record` describes.
    ///
    /// `seeds` are addresses of other nodes of the availability zone, used at
    /// the start and while no member is known.
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
            dissemination: Dissemination::new(now, fork(&mut rng)),
            retransmit_limit: gossip::retransmit_limit(1),
            seeds,
            fast_comparisons: FAST_COMPARISONS,
            timers: Timers::new(now),
            rng,
            actions: Vec::new(),
            members_changed: false,
            roles_stale: true,
            duties_from: now.after(SETTLE_TIME),
        };
        membership.gossip.add(own);
        membership.spread_timers(now);
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

/// Access.
impl Membership {
    /// All known records.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// The record of this node.
    pub fn own(&self) -> &MemberRecord {
        self.directory.get(self.own).expect("own record is kept")
    }

    /// The duties of this node.
    pub fn role(&self) -> Role {
        self.dissemination.role()
    }

    /// The duties that this node holds.
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

    /// Addresses of the neighbours.
    pub fn neighbours(&self) -> impl Iterator<Item = SocketAddr> {
        self.neighbours.iter().map(|n| n.address)
    }
}

/// Events.
impl Membership {
    /// Handles an event and returns what the node must do, in order.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Received { from, message } => self.receive(now, from, message),
            Event::Members(records) => self.absorb_shared(now, &records),
            Event::LocalAnnouncement(announcement) => self.announce(now, announcement),
            Event::StoreReached(reached) => self.store_reached(now, reached),
            Event::LocalError(error) => self.change_own(now, |own| own.last_error = error),
            Event::ConfigApplied(version) => self.apply(now, version),
            Event::ConfigRefused(version) => {
                let requests = self.dissemination.refused(now, version);
                self.carry_out(requests);
            }
            Event::FetchFailed { from } => {
                let requests = self.dissemination.failed(now, from);
                self.carry_out(requests);
            }
            Event::Entries(entries) => self.dissemination.set_entries(entries),
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

    fn apply(&mut self, now: Time, version: ConfigVersion) {
        self.edit_own(now, |own| own.learn_version(own.incarnation, version));
        let neighbours = self.neighbours.iter().map(|n| n.address);
        let floor_peers: Vec<_> = neighbours.take(FLOOR_PEERS).collect();
        let view = View::new(&self.directory, self.own);
        let version = self.own().applied.max(version);
        let requests = self.dissemination.applied(now, view, version, &floor_peers);
        self.carry_out(requests);
    }
}

/// The own record.
impl Membership {
    /// Changes the own record under a new sequence and pushes it at once.
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
        self.spread(self.own);
        let record = self.own().clone();
        self.record_changed(record);
    }

    /// Reports a record whose content has changed.
    fn record_changed(&mut self, record: MemberRecord) {
        self.roles_stale = true;
        self.actions.push(Action::RecordChanged(record));
    }

    /// Computes the duties of this node after records have changed.
    fn refresh_role(&mut self, now: Time) {
        if now < self.duties_from || !std::mem::take(&mut self.roles_stale) {
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

/// Sending.
impl Membership {
    /// Gossips a changed record, and sends it on to other availability zones.
    fn spread(&mut self, member: MemberKey) {
        self.gossip.add(member);
        self.dissemination.record_changed(member);
    }

    fn carry_out(&mut self, requests: Vec<Request>) {
        for request in requests {
            match request {
                Request::Notice(to, records) => {
                    self.send_records(to, Body::Notice(Notice {}), records);
                }
                Request::Ping(to) => {
                    let sequence = UNTRACKED;
                    self.send(to, Body::Ping(Ping { sequence }));
                }
                Request::FetchConfig(from) => self.actions.push(Action::FetchConfig { from }),
                Request::FetchMembers(from) => self.actions.push(Action::FetchMembers { from }),
                Request::WatchHead(watch) => self.actions.push(Action::WatchHead(watch)),
            }
        }
    }

    /// Sends a message with the records that are due.
    fn send(&mut self, to: SocketAddr, body: Body) {
        let mut room = Room::new();
        let mut records = Vec::new();
        let target = self.directory.find_address(to);
        let target = target.and_then(|key| self.directory.get(key));
        // A member that is not alive here needs its record to refute it.
        if let Some(record) = target.filter(|r| r.state != MemberState::Alive)
            && room.reserve(record)
        {
            records.push(record.clone());
        }
        // Relays send records to other availability zones once, without gossip.
        let is_near = target.is_none_or(|r| r.zone == self.own().zone);
        if is_near {
            let limit = self.retransmit_limit;
            records.extend(self.gossip.take(&self.directory, &mut room, limit));
        }
        self.send_records(to, body, records);
    }

    fn send_records(&mut self, to: SocketAddr, body: Body, records: Vec<MemberRecord>) {
        let own = self.own();
        let sender = Sender {
            incarnation: own.incarnation,
            version: own.applied,
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
