//! Tracks which process of a backend server owns an address, from heartbeats.
//!
//! Heartbeats may arrive late and out of order, even after their sender has
//! exited and another process has taken its address. A host keeps no state on disk, so a
//! node that has just started knows no departure that its previous process acknowledged.
//! Only the backend server itself can prove that it is not leaving: by its health response,
//! or by a heartbeat that arrives so late that it must have been sent after that.

use crate::admission::ColdStart;
use knapweed_world::backend_server::{Announcement, Instance, ServerState};
use knapweed_world::{Name, Time, UnixMillis};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A process that has left is remembered for this long, so that a late heartbeat
/// does not register it again.
pub const RETENTION: Duration = Duration::from_secs(60);

/// Longest time that a heartbeat takes to arrive. A heartbeat proves that its sender was
/// running this long before it arrived, and no later: it may have left since.
pub const MAX_HEARTBEAT_DELAY: Duration = Duration::from_secs(10);

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
    /// Time that is left of its cold start.
    pub cold_left: Duration,
}

impl ServerHeartbeat {
    /// The process that sent it.
    pub fn process(&self) -> Instance {
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
    /// The process may have left already; [`Registrations::confirm`] registers it, or a
    /// heartbeat that is too late to have been sent before.
    Unconfirmed,
}

#[derive(Clone, Debug)]
struct Registered {
    process: Instance,
    sequence: u64,
    announcement: Announcement,
    /// When the process was registered.
    since: Time,
    /// What its latest heartbeat states about its cold start.
    cold_start: ColdStart,
}

/// The latest heartbeat of a process that may have left already.
#[derive(Clone, Debug)]
struct Unconfirmed {
    heartbeat: ServerHeartbeat,
    received: Time,
}

/// The processes of the backend servers of one host.
#[derive(Debug)]
pub struct Registrations {
    /// Start of the node, by the wall clock.
    started: UnixMillis,
    by_address: HashMap<SocketAddr, Registered>,
    /// Processes that have left, and when.
    departed: HashMap<Instance, Time>,
    /// Names of processes that left unregistered, and when by both clocks.
    departed_unregistered: HashMap<Name, (UnixMillis, Time)>,
    unconfirmed: HashMap<Instance, Unconfirmed>,
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
        if let Some(known) = self.by_address.get_mut(&address)
            && known.process == process
        {
            return known.receive(heartbeat, now);
        }
        // A draining process gets no request, so it needs no proof. Unless it is recorded
        // as draining, an earlier heartbeat that is late could register it as ready.
        let is_free = !self.by_address.contains_key(&address);
        let is_draining = heartbeat.announcement.state == ServerState::Draining;
        if (is_free && is_draining) || self.is_running(&process, address, now) {
            return self.register(heartbeat, now, now);
        }
        // Two processes with one name cannot be told apart by their health responses.
        let owner = self.by_address.get(&address);
        if owner.is_some_and(|owner| owner.process.name == process.name) {
            return HeartbeatOutcome::Outdated;
        }
        self.await_confirmation(heartbeat, now)
    }

    /// An [`Unconfirmed`](HeartbeatOutcome::Unconfirmed) process has stated that it is not
    /// leaving. Registers it with its latest heartbeat.
    pub fn confirm(&mut self, process: &Instance, now: Time) -> HeartbeatOutcome {
        let Some(unconfirmed) = self.unconfirmed.remove(process) else {
            return HeartbeatOutcome::Outdated;
        };
        self.register(unconfirmed.heartbeat, unconfirmed.received, now)
    }

    /// The process named `instance` has left.
    ///
    /// Returns its last announcement with the state `Gone`, or `None` when it is
    /// not registered.
    pub fn left(&mut self, instance: &Name, now: Time, wall: UnixMillis) -> Option<Announcement> {
        let unconfirmed = self.unconfirmed.extract_if(|p, _| p.name == *instance);
        self.departed
            .extend(unconfirmed.map(|(process, _)| (process, now)));
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

/// Queries.
impl Registrations {
    /// What a registered process last stated about its cold start, with its announcement.
    pub fn cold_start(&self, process: &Instance) -> Option<(&Announcement, ColdStart)> {
        let mut all = self.by_address.values();
        let found = all.find(|registered| registered.process == *process)?;
        Some((&found.announcement, found.cold_start))
    }

    /// The announcement of a process that must be [confirmed](Self::confirm); `None` once it
    /// is registered or has left, or when its last heartbeat is
    /// [`MAX_HEARTBEAT_DELAY`] old.
    pub fn unconfirmed(&mut self, process: &Instance, now: Time) -> Option<&Announcement> {
        self.drop_expired(now);
        let unconfirmed = self.unconfirmed.get(process)?;
        Some(&unconfirmed.heartbeat.announcement)
    }
}

impl Registrations {
    fn drop_expired(&mut self, now: Time) {
        self.departed.retain(|_, at| now.since(*at) < RETENTION);
        let is_recent = |_: &Name, (_, at): &mut (UnixMillis, Time)| now.since(*at) < RETENTION;
        self.departed_unregistered.retain(is_recent);
        self.unconfirmed
            .retain(|_, u| now.since(u.received) < MAX_HEARTBEAT_DELAY);
    }

    fn has_left(&self, process: &Instance) -> bool {
        let unknown = self.departed_unregistered.get(&process.name);
        self.departed.contains_key(process)
            || unknown.is_some_and(|(left_at, _)| process.started_ms <= left_at.0)
    }

    /// Whether a heartbeat that arrives now proves that its sender has not left `address`
    /// already.
    ///
    /// A process may have announced its exit to the previous process of the node. If the
    /// address has an owner that started later, the owner's clock may be wrong, or the
    /// process may have left before the owner was registered.
    fn is_running(&self, process: &Instance, address: SocketAddr, now: Time) -> bool {
        let owner = self.by_address.get(&address);
        let may_have_left = match owner {
            Some(owner) if process.started_ms <= owner.process.started_ms => owner.since,
            _ if process.started_ms >= self.started.0 => return true,
            _ => Time(0),
        };
        now.since(may_have_left) >= MAX_HEARTBEAT_DELAY
    }

    fn await_confirmation(&mut self, heartbeat: ServerHeartbeat, now: Time) -> HeartbeatOutcome {
        let process = heartbeat.process();
        let known = self.unconfirmed.get(&process);
        if known.is_some_and(|known| known.heartbeat.sequence >= heartbeat.sequence) {
            return HeartbeatOutcome::Outdated;
        }
        let received = now;
        let unconfirmed = Unconfirmed {
            heartbeat,
            received,
        };
        self.unconfirmed.insert(process, unconfirmed);
        HeartbeatOutcome::Unconfirmed
    }

    /// Registers the sender of a heartbeat that was received at `received`.
    fn register(
        &mut self,
        heartbeat: ServerHeartbeat,
        received: Time,
        now: Time,
    ) -> HeartbeatOutcome {
        let process = heartbeat.process();
        self.unconfirmed.remove(&process);
        let announcement = heartbeat.announcement;
        let registered = Registered {
            process,
            sequence: heartbeat.sequence,
            announcement: announcement.clone(),
            since: now,
            cold_start: ColdStart::stated(heartbeat.cold_left, received),
        };
        self.by_address.insert(announcement.address, registered);
        HeartbeatOutcome::Changed(announcement)
    }
}

impl Registered {
    /// Handles a heartbeat of the same process.
    fn receive(&mut self, heartbeat: ServerHeartbeat, now: Time) -> HeartbeatOutcome {
        if heartbeat.sequence <= self.sequence {
            return HeartbeatOutcome::Outdated;
        }
        self.sequence = heartbeat.sequence;
        self.cold_start = ColdStart::stated(heartbeat.cold_left, now);
        let mut next = heartbeat.announcement;
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
}
