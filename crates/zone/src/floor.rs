//! The version floor: the lowest configuration version that a starting node may serve.
//!
//! A host persists nothing, so a restarted node asks others for the highest
//! configuration version that its host has served, and serves no older one.

use crate::directory::Directory;
use crate::membership::FLOOR_PEERS;
use crate::record::MemberRecord;
use knapweed_world::{ConfigVersion, Name, Time};
use rand::Rng;
use rand::rngs::SmallRng;
use std::time::Duration;

/// Upper limit of the random wait before the second round of queries; it doubles
/// with each further round.
pub const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// Upper limit of the wait before any round. With 5 s, a restarted node exceeded the
/// 3 s within which it must serve the newest configuration again.
pub const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Rounds after which neither the backoff nor the number of queries doubles any more.
const MAX_DOUBLINGS: u32 = 10;
/// Time after which a round ends, with unanswered queries counted as failed.
pub const ROUND_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of nodes of an availability zone that query the platform in the first round; it
/// doubles with each round without a confirmation. The others learn from these. When
/// hundreds of nodes start together, each would otherwise read the whole configuration from
/// the store, half of them from another region.
pub const PLATFORM_QUERIES_PER_ZONE: usize = 8;
/// Longest wait of a starting node for other members, before the first round.
pub const MAX_PEER_WAIT: Duration = Duration::from_millis(100);
/// Longest wait for a reply of another member after the first answer of a platform that may
/// have lost versions. The registry may name hosts that are gone, and the node must serve
/// within 3 s after an outage of the platform.
pub const MAX_MEMBER_WAIT: Duration = Duration::from_secs(1);

/// Kind of node or service that is queried for the version floor.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Source {
    /// Other members of the node's availability zone.
    Peers,
    /// A relay of another availability zone.
    Relay,
    /// The store of the platform: its head object and the status of the node's
    /// availability zone.
    Platform,
}

/// All sources, with the number of queries that each gets in a round.
pub const QUERIES: [(Source, usize); 3] = [
    (Source::Peers, FLOOR_PEERS),
    (Source::Relay, 1),
    (Source::Platform, 1),
];

/// The reply of one source to a query about the starting node's host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FloorAnswer {
    /// Source that replied.
    pub source: Source,
    /// Highest version that the host may have served, as far as the source knows;
    /// for the platform, the version of the head.
    pub served: ConfigVersion,
    /// Whether the replying node serves callers itself; always true for the platform.
    pub is_serving: bool,
    /// Whether the source may have lost versions that nodes have served: true for a store
    /// that came back from an older copy, false for members.
    pub may_have_lost: bool,
}

impl FloorAnswer {
    /// The reply of the member `own` to a query about `host`.
    ///
    /// The version that `own` has applied counts too, because `host` may have served it
    /// without `own` having learned of it.
    pub fn of_member(
        source: Source,
        directory: &Directory,
        own: &MemberRecord,
        is_serving: bool,
        host: &Name,
    ) -> Self {
        let record = directory.find(host).and_then(|key| directory.get(key));
        let served = record.map(|r| r.served).unwrap_or_default();
        Self {
            source,
            served: served.max(own.applied),
            is_serving,
            may_have_lost: false,
        }
    }
}

/// An input of the [`VersionFloor`] state machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The node has started, or time has passed.
    Tick,
    /// The number of other members of the availability zone that the node knows.
    Peers(usize),
    /// The node has read the registry, and each host that it contacted has named the members
    /// that it knows or has failed.
    LookupEnded,
    /// A reply to a query arrived.
    Answer(FloorAnswer),
    /// One query to this source failed, or there was no node to send it to.
    Failed(Source),
    /// This configuration version is loaded and ready to be served.
    Fetched(ConfigVersion),
}

/// What the caller must do for the [`VersionFloor`] state machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Query this many nodes of a kind concurrently.
    Ask {
        /// Kind of node to query.
        source: Source,
        /// Number of queries.
        count: usize,
    },
    /// Fetch a configuration of at least this version.
    Fetch(ConfigVersion),
    /// Start to serve callers, with no configuration version below the floor.
    Serve {
        /// Lowest version that may be served.
        floor: ConfigVersion,
    },
    /// Keep refusing calls as not executed, and send [`Event::Tick`] again after this
    /// time at the latest.
    RetryLater {
        /// Time until the next round of queries.
        retry_after: Duration,
    },
}

/// State of the rounds of queries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// No round is running; the next one starts at this time.
    Waiting(Time),
    /// A round is running and ends at `deadline` at the latest.
    Asking {
        deadline: Time,
        /// Number of unanswered queries per source, in the order of [`QUERIES`].
        unanswered: [usize; QUERIES.len()],
    },
    /// The floor is established; final state.
    Serving,
}

/// State machine that establishes the version floor of one starting node.
#[derive(Debug)]
pub struct VersionFloor {
    phase: Phase,
    floor: ConfigVersion,
    /// Whether a serving peer, or a platform that has lost nothing, has replied. Members that
    /// restart together know no floor, so their replies confirm nothing.
    is_confirmed: bool,
    /// First answer of a platform that may have lost versions. It confirms the floor only
    /// together with replies of other members, or after [`MAX_MEMBER_WAIT`].
    unconfirmed_answer_at: Option<Time>,
    has_lookup_ended: bool,
    /// Whether a round has begun since the lookup ended.
    has_asked_members: bool,
    /// Whether a serving peer or a relay has replied since that round began.
    have_members_replied: bool,
    fetched: Option<ConfigVersion>,
    rounds: u32,
    /// Other members of the availability zone that the node knows.
    peers: usize,
    rng: SmallRng,
}

/// Construction.
impl VersionFloor {
    /// The state of a node that has just started. The first round is due as soon as the
    /// node knows another member of its availability zone, after [`MAX_PEER_WAIT`] at the
    /// latest.
    pub fn new(now: Time, rng: SmallRng) -> Self {
        Self {
            phase: Phase::Waiting(now.after(MAX_PEER_WAIT)),
            floor: ConfigVersion(0),
            is_confirmed: false,
            unconfirmed_answer_at: None,
            has_lookup_ended: false,
            has_asked_members: false,
            have_members_replied: false,
            fetched: None,
            rounds: 0,
            peers: 0,
            rng,
        }
    }
}

/// Current state.
impl VersionFloor {
    /// The highest version in any reply so far.
    pub fn floor(&self) -> ConfigVersion {
        self.floor
    }

    /// Whether the node may serve callers.
    pub fn is_serving(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Whether the highest version in any reply is the floor.
    fn is_floor_known(&self, now: Time) -> bool {
        let is_platform_enough = self
            .unconfirmed_answer_at
            .is_some_and(|at| self.have_members_replied || now.since(at) >= MAX_MEMBER_WAIT);
        self.is_confirmed || is_platform_enough
    }

    /// Whether only replies of other members are missing for the floor.
    fn waits_for_members(&self, now: Time) -> bool {
        self.unconfirmed_answer_at.is_some() && !self.is_floor_known(now)
    }
}

/// Event handling.
impl VersionFloor {
    /// Handles an event and returns the resulting actions, in order.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        if self.is_serving() {
            return Vec::new();
        }
        match event {
            Event::Tick => self.tick(now),
            Event::Peers(count) => {
                let is_first = self.peers == 0 && count > 0;
                self.peers = count;
                if count > 0 && self.rounds == 0 {
                    self.phase = Phase::Waiting(now);
                } else if is_first {
                    self.ask_members(now);
                }
                Vec::new()
            }
            Event::LookupEnded => {
                self.has_lookup_ended = true;
                self.ask_members(now);
                Vec::new()
            }
            Event::Answer(answer) => self.record_answer(now, answer),
            Event::Failed(source) => self.close_query(now, source),
            Event::Fetched(version) => {
                self.fetched = self.fetched.max(Some(version));
                self.serve_if_safe(now)
            }
        }
    }

    /// Makes a round due at once if only replies of other members are missing.
    fn ask_members(&mut self, now: Time) {
        if self.waits_for_members(now) && matches!(self.phase, Phase::Waiting(_)) {
            self.phase = Phase::Waiting(now);
        }
    }

    fn tick(&mut self, now: Time) -> Vec<Action> {
        // The wait for other members may have ended.
        let actions = self.serve_if_safe(now);
        if !actions.is_empty() {
            return actions;
        }
        match self.phase {
            Phase::Waiting(until) if now >= until => self.start_round(now),
            Phase::Asking { deadline, .. } if now >= deadline => self.end_round(now),
            _ => Vec::new(),
        }
    }

    fn record_answer(&mut self, now: Time, answer: FloorAnswer) -> Vec<Action> {
        self.floor = self.floor.max(answer.served);
        // Peers that restart together know nothing of the other availability zones.
        let is_member_heard = match answer.source {
            Source::Peers => answer.is_serving,
            Source::Relay => true,
            Source::Platform => false,
        };
        self.have_members_replied |= is_member_heard && self.has_asked_members;
        self.is_confirmed |= match answer.source {
            Source::Peers => answer.is_serving,
            Source::Relay => false,
            Source::Platform => !answer.may_have_lost,
        };
        if answer.may_have_lost {
            self.unconfirmed_answer_at.get_or_insert(now);
        }
        self.close_query(now, answer.source)
    }

    /// Closes one query of a source, and ends the round after the last one. An answer between
    /// two rounds counts too: a load may take longer than a round.
    fn close_query(&mut self, now: Time, source: Source) -> Vec<Action> {
        let Phase::Asking {
            deadline,
            mut unanswered,
        } = self.phase
        else {
            return self.serve_if_safe(now);
        };
        if let Some(index) = QUERIES.iter().position(|(s, _)| *s == source) {
            unanswered[index] = unanswered[index].saturating_sub(1);
        }
        self.phase = Phase::Asking {
            deadline,
            unanswered,
        };
        match unanswered.iter().sum() {
            0 => self.end_round(now),
            _ => Vec::new(),
        }
    }
}

/// Transitions between phases.
impl VersionFloor {
    fn start_round(&mut self, now: Time) -> Vec<Action> {
        self.rounds += 1;
        self.has_asked_members |= self.has_lookup_ended;
        let doublings = match self.is_floor_known(now) {
            true => 0,
            false => (self.rounds - 1).min(MAX_DOUBLINGS),
        };
        let queries_of_zone = PLATFORM_QUERIES_PER_ZONE << doublings;
        let is_chosen = self.rng.random_range(0..=self.peers) < queries_of_zone;
        let asks_platform = is_chosen && !self.waits_for_members(now);
        let queries = QUERIES.map(|(source, count)| match source {
            Source::Platform if !asks_platform => (source, 0),
            _ => (source, count),
        });
        self.phase = Phase::Asking {
            deadline: now.after(ROUND_TIMEOUT),
            unanswered: queries.map(|(_, count)| count),
        };
        let queries = queries.into_iter().filter(|(_, count)| *count > 0);
        queries
            .map(|(source, count)| Action::Ask { source, count })
            .collect()
    }

    /// Evaluates the replies of a round, and schedules the next round unless the
    /// node can serve.
    fn end_round(&mut self, now: Time) -> Vec<Action> {
        let retry_after = self.backoff();
        self.phase = Phase::Waiting(now.after(retry_after));
        if !self.is_floor_known(now) {
            return vec![Action::RetryLater { retry_after }];
        }
        let actions = self.serve_if_safe(now);
        if !actions.is_empty() {
            return actions;
        }
        // There is nothing to fetch before the first configuration; its version comes with
        // the messages of other members.
        let fetch = (self.floor > ConfigVersion(0)).then_some(Action::Fetch(self.floor));
        let retry = Action::RetryLater { retry_after };
        fetch.into_iter().chain([retry]).collect()
    }

    /// Starts to serve once a round has ended, the floor is confirmed and the loaded
    /// configuration is not below it.
    fn serve_if_safe(&mut self, now: Time) -> Vec<Action> {
        let has_round_ended = matches!(self.phase, Phase::Waiting(_));
        let has_config = self.fetched.is_some_and(|v| v >= self.floor);
        if !has_round_ended || !has_config || !self.is_floor_known(now) {
            return Vec::new();
        }
        self.phase = Phase::Serving;
        vec![Action::Serve { floor: self.floor }]
    }

    /// Exponential backoff with full jitter.
    fn backoff(&mut self) -> Duration {
        let doublings = self.rounds.saturating_sub(1).min(MAX_DOUBLINGS);
        let limit = (FIRST_BACKOFF * 2u32.pow(doublings)).min(MAX_BACKOFF);
        limit.mul_f64(self.rng.random_range(0.0..1.0))
    }
}
