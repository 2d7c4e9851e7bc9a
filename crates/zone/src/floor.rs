//! The version floor of a starting node.
//!
//! A host persists nothing, so a restarted node asks others for the highest
//! configuration version that its address has served, and serves no older one.

use crate::directory::Directory;
use crate::membership::FLOOR_PEERS;
use crate::record::MemberRecord;
use knapweed_world::{ConfigVersion, Name, Time};
use rand::Rng;
use rand::rngs::SmallRng;
use std::time::Duration;

/// Longest wait before the first repetition.
pub const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// Longest wait before any repetition. With 5 s a node served only after more
/// than the 3 s in which it must have the newest configuration again.
pub const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Time after which a question without an answer counts as failed.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Whom the floor is asked from.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Source {
    /// Peers of the own availability zone.
    Peers,
    /// A relay of another availability zone.
    Relay,
    /// The platform's head and the status of the own availability zone.
    Platform,
}

/// All sources, and the number of questions to each.
pub const QUESTIONS: [(Source, usize); 3] = [
    (Source::Peers, FLOOR_PEERS),
    (Source::Relay, 1),
    (Source::Platform, 1),
];

/// What one node answers about the address of the starting node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FloorAnswer {
    /// Who answered.
    pub source: Source,
    /// Highest version that the address has served, as far as the answer knows;
    /// the version of the head for the platform.
    pub served: ConfigVersion,
    /// Whether the answering node is serving; always true for the platform.
    pub is_serving: bool,
}

impl FloorAnswer {
    /// The answer of the member `own` about `host`.
    ///
    /// The own version counts too: a peer cannot exclude that `host` has had it.
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
        }
    }
}

/// What happened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The node has started, or time has passed.
    Tick,
    /// An answer arrived.
    Answer(FloorAnswer),
    /// One question to this source has failed, or there is nobody to ask.
    Failed(Source),
    /// This version of the configuration is ready to be served.
    Fetched(ConfigVersion),
}

/// What the node must do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Ask so many nodes of this kind concurrently.
    Ask {
        /// Whom to ask.
        source: Source,
        /// Number of questions.
        count: usize,
    },
    /// Fetch a configuration at or above this version.
    Fetch(ConfigVersion),
    /// Serve, and never a version below this one.
    Serve {
        /// The floor.
        floor: ConfigVersion,
    },
    /// Answer callers that requests are not run, and tick at the latest after this time.
    NotYet {
        /// Time until the questions are repeated.
        retry_after: Duration,
    },
}

/// Progress of one round of questions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// Nothing was asked yet, or the next round waits for this time.
    Waiting(Time),
    /// Questions are out until this time.
    Asking {
        deadline: Time,
        /// Open questions, in the order of [`QUESTIONS`].
        open: [usize; QUESTIONS.len()],
    },
    Serving,
}

/// The floor of one starting node.
#[derive(Debug)]
pub struct Floor {
    phase: Phase,
    floor: ConfigVersion,
    /// Whether a serving peer or the platform has answered.
    is_confirmed: bool,
    fetched: Option<ConfigVersion>,
    rounds: u32,
    rng: SmallRng,
}

/// Construction.
impl Floor {
    /// A node that has just started.
    pub fn new(now: Time, rng: SmallRng) -> Self {
        Self {
            phase: Phase::Waiting(now),
            floor: ConfigVersion(0),
            is_confirmed: false,
            fetched: None,
            rounds: 0,
            rng,
        }
    }
}

/// Access.
impl Floor {
    /// The highest version that an answer has named.
    pub fn floor(&self) -> ConfigVersion {
        self.floor
    }

    /// Whether the node may serve.
    pub fn is_serving(&self) -> bool {
        self.phase == Phase::Serving
    }
}

/// Events.
impl Floor {
    /// Handles an event and returns what the node must do, in order.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        if self.is_serving() {
            return Vec::new();
        }
        match event {
            Event::Tick => self.tick(now),
            Event::Answer(answer) => self.answered(now, answer),
            Event::Failed(source) => self.close(now, source),
            Event::Fetched(version) => {
                self.fetched = self.fetched.max(Some(version));
                self.serve_if_safe()
            }
        }
    }

    fn tick(&mut self, now: Time) -> Vec<Action> {
        match self.phase {
            Phase::Waiting(until) if now >= until => self.ask(now),
            Phase::Asking { deadline, .. } if now >= deadline => self.end_round(now),
            _ => Vec::new(),
        }
    }

    fn answered(&mut self, now: Time, answer: FloorAnswer) -> Vec<Action> {
        self.floor = self.floor.max(answer.served);
        self.is_confirmed |= match answer.source {
            Source::Peers => answer.is_serving,
            Source::Relay => false,
            Source::Platform => true,
        };
        self.close(now, answer.source)
    }

    /// Ends one question, and the round with the last one.
    fn close(&mut self, now: Time, source: Source) -> Vec<Action> {
        let Phase::Asking { deadline, mut open } = self.phase else {
            return Vec::new();
        };
        if let Some(index) = QUESTIONS.iter().position(|(s, _)| *s == source) {
            open[index] = open[index].saturating_sub(1);
        }
        self.phase = Phase::Asking { deadline, open };
        match open.iter().sum() {
            0 => self.end_round(now),
            _ => Vec::new(),
        }
    }
}

/// Steps.
impl Floor {
    fn ask(&mut self, now: Time) -> Vec<Action> {
        self.rounds += 1;
        self.phase = Phase::Asking {
            deadline: now.after(ANSWER_TIMEOUT),
            open: QUESTIONS.map(|(_, count)| count),
        };
        let asks = QUESTIONS.into_iter();
        asks.map(|(source, count)| Action::Ask { source, count })
            .collect()
    }

    /// Decides on the answers of a round.
    fn end_round(&mut self, now: Time) -> Vec<Action> {
        let retry_after = self.backoff();
        self.phase = Phase::Waiting(now.after(retry_after));
        if !self.is_confirmed {
            return vec![Action::NotYet { retry_after }];
        }
        let actions = self.serve_if_safe();
        if !actions.is_empty() {
            return actions;
        }
        vec![Action::Fetch(self.floor), Action::NotYet { retry_after }]
    }

    /// Serves when a round has ended with a confirmed floor and the
    /// configuration is at or above it.
    fn serve_if_safe(&mut self) -> Vec<Action> {
        let has_round_ended = matches!(self.phase, Phase::Waiting(_));
        let has_config = self.fetched.is_some_and(|v| v >= self.floor);
        if !has_round_ended || !has_config || !self.is_confirmed {
            return Vec::new();
        }
        self.phase = Phase::Serving;
        vec![Action::Serve { floor: self.floor }]
    }

    /// Full jitter below a limit that doubles with each round.
    fn backoff(&mut self) -> Duration {
        let doublings = self.rounds.saturating_sub(1).min(10);
        let limit = (FIRST_BACKOFF * 2u32.pow(doublings)).min(MAX_BACKOFF);
        limit.mul_f64(self.rng.random_range(0.0..1.0))
    }
}
