//! Which backend server stands at an address, from what its processes say.
//!
//! Heartbeats may arrive late and out of order, also after their sender has
//! ended and another process has taken its address.

use knapweed_world::backend_server::{Announcement, ServerState};
use knapweed_world::{Name, Time, UnixMillis};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which a process that has left is remembered, so that a late
/// heartbeat does not bring it back.
pub const RETENTION: Duration = Duration::from_secs(60);

/// Time after the start of the node in which a process that is older needs two
/// heartbeats: an earlier process of the node may have acknowledged that it
/// leaves, and heartbeats were seen to arrive up to four seconds late.
const CONFIRMATION_PERIOD: Duration = Duration::from_secs(10);

/// What a process says of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sign {
    /// Its name, which a later process may have too.
    pub instance: Name,
    /// When it started, in Unix milliseconds of its own clock.
    pub started_ms: u64,
    /// Number of the heartbeat among those of the process.
    pub sequence: u64,
    /// What it announces.
    pub announcement: Announcement,
}

impl Sign {
    fn life(&self) -> Life {
        Life {
            instance: self.instance.clone(),
            started_ms: self.started_ms,
        }
    }
}

/// One process of a backend server.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Life {
    instance: Name,
    started_ms: u64,
}

/// What follows from a sign.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Taken {
    /// The backend server is this from now on.
    Changed(Announcement),
    /// It says what is known.
    Unchanged,
    /// It is older than what is known.
    Outdated,
    /// It may have left before this node started; its next heartbeat tells.
    Unconfirmed,
}

#[derive(Clone, Debug)]
struct Registered {
    life: Life,
    sequence: u64,
    announcement: Announcement,
    /// A process that claims the address although it seems to have started
    /// earlier, and the number of its heartbeat.
    challenger: Option<(Life, u64)>,
}

/// The processes of the backend servers of one host.
#[derive(Debug)]
pub struct Registrations {
    /// When the node started, by the wall clock.
    started: UnixMillis,
    by_address: HashMap<SocketAddr, Registered>,
    /// Processes that have left, and when.
    gone: HashMap<Life, Time>,
    /// Names of processes that left without being known, and when by both clocks.
    gone_unknown: HashMap<Name, (UnixMillis, Time)>,
    /// Processes that need a second heartbeat, and the number of the first.
    unconfirmed: HashMap<Life, u64>,
}

/// Construction.
impl Registrations {
    /// No process is known on a node that started at `started`, which is zero of
    /// the other times.
    pub fn new(started: UnixMillis) -> Self {
        Self {
            started,
            by_address: HashMap::new(),
            gone: HashMap::new(),
            gone_unknown: HashMap::new(),
            unconfirmed: HashMap::new(),
        }
    }
}

/// Events.
impl Registrations {
    /// A heartbeat has arrived.
    pub fn heartbeat(&mut self, sign: Sign, now: Time) -> Taken {
        self.forget(now);
        let life = sign.life();
        if self.has_left(&life) {
            return Taken::Outdated;
        }
        let address = sign.announcement.address;
        let Some(known) = self.by_address.get_mut(&address) else {
            return match self.is_confirmed(&life, sign.sequence, now) {
                true => self.register(sign, life),
                false => Taken::Unconfirmed,
            };
        };
        if known.life == life {
            if sign.sequence <= known.sequence {
                return Taken::Outdated;
            }
            known.sequence = sign.sequence;
            known.challenger = None;
            return known.update(sign.announcement);
        }
        if life.started_ms <= known.life.started_ms && !known.is_challenged(&life, sign.sequence) {
            return Taken::Outdated;
        }
        self.register(sign, life)
    }

    /// The process of a sign that was [`Taken::Unconfirmed`] is there to stay.
    pub fn confirm(&mut self, sign: &Sign) -> Taken {
        let life = sign.life();
        // A sign that has come since may have more to say.
        let is_latest = self.unconfirmed.get(&life) == Some(&sign.sequence);
        let is_taken = self.by_address.contains_key(&sign.announcement.address);
        if !is_latest || is_taken || self.has_left(&life) {
            return Taken::Outdated;
        }
        self.unconfirmed.remove(&life);
        self.register(sign.clone(), life)
    }

    /// The process named `instance` has left; returns its last announcement.
    pub fn left(&mut self, instance: &Name, now: Time, wall: UnixMillis) -> Option<Announcement> {
        let mut all = self.by_address.iter();
        let found = all.find(|(_, r)| r.life.instance == *instance);
        let Some(address) = found.map(|(address, _)| *address) else {
            self.gone_unknown.insert(instance.clone(), (wall, now));
            return None;
        };
        let registered = self.by_address.remove(&address)?;
        self.gone.insert(registered.life, now);
        Some(Announcement {
            state: ServerState::Gone,
            ..registered.announcement
        })
    }
}

impl Registrations {
    fn forget(&mut self, now: Time) {
        self.gone.retain(|_, at| now.since(*at) < RETENTION);
        let is_recent = |_: &Name, (_, at): &mut (UnixMillis, Time)| now.since(*at) < RETENTION;
        self.gone_unknown.retain(is_recent);
        if now.since(Time(0)) >= CONFIRMATION_PERIOD {
            self.unconfirmed.clear();
        }
    }

    fn has_left(&self, life: &Life) -> bool {
        let unknown = self.gone_unknown.get(&life.instance);
        self.gone.contains_key(life)
            || unknown.is_some_and(|(left_at, _)| life.started_ms <= left_at.0)
    }

    /// Whether a process that is not known cannot have left already.
    fn is_confirmed(&mut self, life: &Life, sequence: u64, now: Time) -> bool {
        let is_newer = life.started_ms >= self.started.0;
        if is_newer || now.since(Time(0)) >= CONFIRMATION_PERIOD {
            return true;
        }
        let before = self.unconfirmed.insert(life.clone(), sequence);
        before.is_some_and(|before| before < sequence)
    }

    fn register(&mut self, sign: Sign, life: Life) -> Taken {
        let announcement = sign.announcement;
        let registered = Registered {
            life,
            sequence: sign.sequence,
            announcement: announcement.clone(),
            challenger: None,
        };
        self.by_address.insert(announcement.address, registered);
        Taken::Changed(announcement)
    }
}

impl Registered {
    /// Takes a later announcement of the same process.
    fn update(&mut self, mut next: Announcement) -> Taken {
        // A process that leaves does not come back.
        if self.announcement.state == ServerState::Draining {
            next.state = ServerState::Draining;
        }
        if next == self.announcement {
            return Taken::Unchanged;
        }
        self.announcement = next.clone();
        Taken::Changed(next)
    }

    /// Whether a process that seems to have started earlier stands at the
    /// address: its clock may be wrong, which its second heartbeat in a row
    /// shows. One that arrives late does not come again.
    fn is_challenged(&mut self, life: &Life, sequence: u64) -> bool {
        let before = self.challenger.replace((life.clone(), sequence));
        before.is_some_and(|(l, s)| l == *life && s < sequence)
    }
}
