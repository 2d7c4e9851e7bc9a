//! Detects connections to another host that stop delivering data while new ones work.

use knapweed_world::Time;
use slotmap::{SlotMap, new_key_type};
use std::time::Duration;

/// A connection with waiting requests is probed after this time without a received byte.
pub const PROBE_AFTER: Duration = Duration::from_millis(100);
/// A connection is retired when no byte arrives within this time after its probe.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Minimum interval between two new connections to one host.
pub const OPEN_INTERVAL: Duration = Duration::from_millis(200);

new_key_type! {
    /// Key of a connection to another host.
    pub struct PeerConnectionKey;
}

/// Instruction to the node about the connections to one host.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Action {
    /// Send a ping on the connection.
    Probe(PeerConnectionKey),
    /// Send no further requests on the connection, inquire about those that
    /// wait on it, and close it.
    Retire(PeerConnectionKey),
    /// Open a new connection and report it with [`PeerHealth::opened`].
    Open,
}

#[derive(Debug)]
struct Connection {
    opened_at: Time,
    /// Requests without a complete response.
    waiting: u32,
    /// When the last byte was received or the first waiting request was sent,
    /// whichever is later.
    active_at: Time,
    probed_at: Option<Time>,
    has_answered: bool,
}

impl Connection {
    fn is_silent(&self, now: Time) -> bool {
        let unanswered = self.probed_at.filter(|_| self.waiting > 0);
        unanswered.is_some_and(|at| now.since(at) >= PROBE_TIMEOUT)
    }

    fn needs_probe(&self, now: Time) -> bool {
        let is_idle = self.waiting == 0 || self.probed_at.is_some();
        !is_idle && now.since(self.active_at) >= PROBE_AFTER
    }
}

/// Health of all connections to one host.
///
/// A silent connection is first retired by itself, since it may be the only
/// faulty one. Once a connection that was opened later works, all connections
/// as old as the silent one are retired too: the same event has probably cut
/// them off.
#[derive(Debug, Default)]
pub struct PeerHealth {
    connections: SlotMap<PeerConnectionKey, Connection>,
    /// Opening time of the youngest connection that was retired as silent;
    /// `None` as soon as a newer connection works.
    silent_since: Option<Time>,
    is_opening: bool,
    last_open: Option<Time>,
}

/// Events that the node reports.
impl PeerHealth {
    /// A connection was opened. It counts as working once it has received a byte.
    pub fn opened(&mut self, now: Time) -> PeerConnectionKey {
        self.is_opening = false;
        self.connections.insert(Connection {
            opened_at: now,
            waiting: 0,
            active_at: now,
            probed_at: None,
            has_answered: false,
        })
    }

    /// A connection could not be opened.
    pub fn open_failed(&mut self) {
        self.is_opening = false;
    }

    /// A connection was closed by the other side or after [`Action::Retire`].
    pub fn closed(&mut self, key: PeerConnectionKey) {
        self.connections.remove(key);
    }

    /// A request was sent on a connection.
    pub fn sent(&mut self, key: PeerConnectionKey, now: Time) {
        if let Some(connection) = self.connections.get_mut(key) {
            if connection.waiting == 0 {
                connection.active_at = now;
            }
            connection.waiting += 1;
        }
    }

    /// A request on a connection ended, with or without a response.
    pub fn ended(&mut self, key: PeerConnectionKey) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.waiting = connection.waiting.saturating_sub(1);
            if connection.waiting == 0 {
                connection.probed_at = None;
            }
        }
    }

    /// Bytes were received on a connection.
    pub fn received(&mut self, key: PeerConnectionKey, now: Time) -> Vec<Action> {
        let Some(connection) = self.connections.get_mut(key) else {
            return Vec::new();
        };
        connection.active_at = now;
        connection.probed_at = None;
        connection.has_answered = true;
        let opened_at = connection.opened_at;
        match self.silent_since {
            Some(silent) if opened_at > silent => self.retire_opened_until(silent),
            _ => Vec::new(),
        }
    }

    /// Checks for silent connections; must be called every 20 ms while requests wait.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = self.retire_silent(now);
        for (key, connection) in &mut self.connections {
            if connection.needs_probe(now) {
                connection.probed_at = Some(now);
                actions.push(Action::Probe(key));
            }
        }
        if self.should_open(now) {
            self.is_opening = true;
            self.last_open = Some(now);
            actions.push(Action::Open);
        }
        actions
    }
}

/// Selection of a connection, and their number.
impl PeerHealth {
    /// The connection for the next request: of those without a pending probe, the
    /// youngest that has received bytes, or else the youngest.
    pub fn best(&self) -> Option<PeerConnectionKey> {
        let usable = self
            .connections
            .iter()
            .filter(|(_, c)| c.probed_at.is_none());
        let best = usable.max_by_key(|(_, c)| (c.has_answered, c.opened_at));
        best.map(|(key, _)| key)
    }

    /// Number of connections that are neither closed nor retired.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }
}

/// Retirement and replacement of connections.
impl PeerHealth {
    fn retire_silent(&mut self, now: Time) -> Vec<Action> {
        let silent = self.connections.iter().filter(|(_, c)| c.is_silent(now));
        let silent: Vec<PeerConnectionKey> = silent.map(|(key, _)| key).collect();
        for key in &silent {
            if let Some(connection) = self.connections.remove(*key) {
                self.silent_since = self.silent_since.max(Some(connection.opened_at));
            }
        }
        silent.into_iter().map(Action::Retire).collect()
    }

    fn retire_opened_until(&mut self, opened_at: Time) -> Vec<Action> {
        self.silent_since = None;
        let old = self
            .connections
            .iter()
            .filter(|(_, c)| c.opened_at <= opened_at);
        let old: Vec<PeerConnectionKey> = old.map(|(key, _)| key).collect();
        for key in &old {
            self.connections.remove(*key);
        }
        old.into_iter().map(Action::Retire).collect()
    }

    /// Whether to open a connection: after a silent one was retired, and as soon
    /// as every connection has a pending probe.
    fn should_open(&self, now: Time) -> bool {
        let may_open = !self.is_opening
            && self
                .last_open
                .is_none_or(|at| now.since(at) >= OPEN_INTERVAL);
        let has_newer = self.silent_since.is_some_and(|silent| {
            let mut later = self.connections.values();
            later.any(|c| c.opened_at > silent && c.probed_at.is_none())
        });
        let is_needed = self.silent_since.is_some() && !has_newer;
        let lacks_usable = !self.connections.is_empty() && self.best().is_none();
        may_open && (is_needed || lacks_usable)
    }
}
