//! Tracks which process of a backend server owns an address, from heartbeats.
//!
//! Heartbeats may arrive late and out of order, even after their sender has
//! exited and another process has taken its address.

use knapweed_world::backend_server::{Announcement, Instance, ServerState};
use knapweed_world::{Name, Time, UnixMillis};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A process that has left is remembered for this long, so that a late heartbeat
/// does not register it again.
pub const RETENTION: Duration = Duration::from_secs(60);

/// For this long after the node has started, a process that is older than the node
/// must send two heartbeats: it may have announced its exit to the previous
/// process of the node, and heartbeats can arrive up to 4 s late.
const CONFIRMATION_PERIOD: Duration = Duration::from_secs(10);

/// A heartbeat of a backend server process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerHeartbeat {
    /// Name of the process; a later process may have the same one.
    pub instance: Name,
    /// Start of the process, in Unix milliseconds of its own clock.
    pub started_ms: u64,
    /// Sequence number among the heartbeats of the process.
    pub sequence: u64,
    /// Service, address and state that the process announces.
    pub announcement: Announcement,
}

impl ServerHeartbeat {
    fn process(&self) -> Instance {
        Instance {
            name: self.instance.clone(),
            started_ms: self.started_ms,
        }
    }
}

/// Effect of a heartbeat on the registrations.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HeartbeatOutcome {
    /// The backend server at the address has changed to this announcement.
    Changed(Announcement),
    /// The announcement is already known.
    Unchanged,
    /// A later heartbeat or process is known; this one is ignored.
    Outdated,
    /// The process may have left before this node started; its next heartbeat, or
    /// [`Registrations::confirm`], registers it.
    Unconfirmed,
}

#[derive(Clone, Debug)]
struct Registered {
    process: Instance,
    sequence: u64,
    announcement: Announcement,
    /// A process that announces the same address with an earlier start, and the
    /// sequence number of its last heartbeat.
    challenger: Option<(Instance, u64)>,
}

/// The processes of the backend servers of one host.
#[derive(Debug)]
pub struct Registrations {
    /// Start of the node, by the wall clock.
    started: UnixMillis,
    by_address: HashMap<SocketAddr, Registered>,
    /// Registered processes that have left, and when.
    departed: HashMap<Instance, Time>,
    /// Names of processes that left unregistered, and when by both clocks.
    departed_unregistered: HashMap<Name, (UnixMillis, Time)>,
    /// Processes that need a second heartbeat, and the sequence number of the first.
    unconfirmed: HashMap<Instance, u64>,
}

impl Registrations {
    /// Creates an empty registry on a node that started at `started`, the wall-clock
    /// time of `Time(0)`.
    pub fn new(started: UnixMillis) -> Self {
        Self {
            started,
            by_address: HashMap::new(),
            departed: HashMap::new(),
            departed_unregistered: HashMap::new(),
            unconfirmed: HashMap::new(),
        }
    }
}

/// Events that the node reports.
impl Registrations {
    /// Handles a heartbeat of a backend server.
    pub fn receive(&mut self, heartbeat: ServerHeartbeat, now: Time) -> HeartbeatOutcome {
        self.drop_expired(now);
        let process = heartbeat.process();
        if self.has_left(&process) {
            return HeartbeatOutcome::Outdated;
        }
        let address = heartbeat.announcement.address;
        let Some(known) = self.by_address.get_mut(&address) else {
            return match self.is_confirmed(&process, heartbeat.sequence, now) {
                true => self.register(heartbeat, process),
                false => HeartbeatOutcome::Unconfirmed,
            };
        };
        if known.process == process {
            if heartbeat.sequence <= known.sequence {
                return HeartbeatOutcome::Outdated;
            }
            known.sequence = heartbeat.sequence;
            known.challenger = None;
            return known.update(heartbeat.announcement);
        }
        if process.started_ms <= known.process.started_ms
            && !known.is_challenged(&process, heartbeat.sequence)
        {
            return HeartbeatOutcome::Outdated;
        }
        self.register(heartbeat, process)
    }

    /// The process of an [`Unconfirmed`](HeartbeatOutcome::Unconfirmed) heartbeat has
    /// stated that it is not leaving.
    pub fn confirm(&mut self, heartbeat: &ServerHeartbeat) -> HeartbeatOutcome {
        let process = heartbeat.process();
        // A later heartbeat supersedes this one.
        let is_latest = self.unconfirmed.get(&process) == Some(&heartbeat.sequence);
        let is_address_taken = self
            .by_address
            .contains_key(&heartbeat.announcement.address);
        if !is_latest || is_address_taken || self.has_left(&process) {
            return HeartbeatOutcome::Outdated;
        }
        self.unconfirmed.remove(&process);
        self.register(heartbeat.clone(), process)
    }

    /// The process named `instance` has left.
    ///
    /// Returns its last announcement with the state `Gone`, or `None` when it is
    /// not registered.
    pub fn left(&mut self, instance: &Name, now: Time, wall: UnixMillis) -> Option<Announcement> {
        let mut all = self.by_address.iter();
        let found = all.find(|(_, r)| r.process.name == *instance);
        let Some(address) = found.map(|(address, _)| *address) else {
            self.departed_unregistered
                .insert(instance.clone(), (wall, now));
            return None;
        };
        let registered = self.by_address.remove(&address)?;
        self.departed.insert(registered.process, now);
        Some(Announcement {
            state: ServerState::Gone,
            ..registered.announcement
        })
    }
}

impl Registrations {
    fn drop_expired(&mut self, now: Time) {
        self.departed.retain(|_, at| now.since(*at) < RETENTION);
        let is_recent = |_: &Name, (_, at): &mut (UnixMillis, Time)| now.since(*at) < RETENTION;
        self.departed_unregistered.retain(is_recent);
        if now.since(Time(0)) >= CONFIRMATION_PERIOD {
            self.unconfirmed.clear();
        }
    }

    fn has_left(&self, process: &Instance) -> bool {
        let unknown = self.departed_unregistered.get(&process.name);
        self.departed.contains_key(process)
            || unknown.is_some_and(|(left_at, _)| process.started_ms <= left_at.0)
    }

    /// Whether it is certain that an unregistered process has not left already.
    fn is_confirmed(&mut self, process: &Instance, sequence: u64, now: Time) -> bool {
        let is_newer = process.started_ms >= self.started.0;
        if is_newer || now.since(Time(0)) >= CONFIRMATION_PERIOD {
            return true;
        }
        let before = self.unconfirmed.insert(process.clone(), sequence);
        before.is_some_and(|before| before < sequence)
    }

    fn register(&mut self, heartbeat: ServerHeartbeat, process: Instance) -> HeartbeatOutcome {
        let announcement = heartbeat.announcement;
        let registered = Registered {
            process,
            sequence: heartbeat.sequence,
            announcement: announcement.clone(),
            challenger: None,
        };
        self.by_address.insert(announcement.address, registered);
        HeartbeatOutcome::Changed(announcement)
    }
}

impl Registered {
    /// Applies a later announcement of the same process.
    fn update(&mut self, mut next: Announcement) -> HeartbeatOutcome {
        // Draining is final: the process does not become ready again.
        if self.announcement.state == ServerState::Draining {
            next.state = ServerState::Draining;
        }
        if next == self.announcement {
            return HeartbeatOutcome::Unchanged;
        }
        self.announcement = next.clone();
        HeartbeatOutcome::Changed(next)
    }

    /// Whether a process that seems to have started earlier owns the address.
    ///
    /// Its clock may be wrong. Two heartbeats in a row prove that it is running;
    /// a single one may just be late.
    fn is_challenged(&mut self, process: &Instance, sequence: u64) -> bool {
        let before = self.challenger.replace((process.clone(), sequence));
        before.is_some_and(|(run, s)| run == *process && s < sequence)
    }
}
