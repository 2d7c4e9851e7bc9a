//! The pool of connections to one backend server.

use slotmap::{SlotMap, new_key_type};
use std::collections::VecDeque;

new_key_type! {
    /// Key of a connection to the backend server.
    pub struct ConnectionKey;
    /// Key of a waiting request's claim to a connection.
    pub struct ClaimKey;
}

/// What a request that needs a connection gets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Acquired {
    /// The request now owns this connection, which was idle.
    Reuse(ConnectionKey),
    /// The request must wait until an [`Action`] names its claim.
    Wait {
        /// Identifies the request in later actions.
        claim: ClaimKey,
        /// Whether to start opening a connection now.
        open: bool,
    },
}

/// How an exchange on a connection ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exchange {
    /// Both bodies were transferred completely, and the server keeps the connection open.
    Complete,
    /// The exchange was aborted by a timeout, a cancellation or an error, or the
    /// server closes the connection.
    ///
    /// A late response could be mistaken for that of the next request, so the
    /// connection is never reused.
    Aborted,
}

/// What the node must do after an event.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Action {
    /// A waiting request and the connection that it now owns.
    pub assigned: Option<(ClaimKey, ConnectionKey)>,
    /// A waiting request that fails because no connection could be opened.
    pub fail: Option<ClaimKey>,
    /// A connection that is now idle; its handle must be kept for a later request.
    pub keep: Option<ConnectionKey>,
    /// A connection to close; it counts against the limit until [`Connections::closed`].
    pub close: Option<ConnectionKey>,
    /// Whether to start opening a connection now.
    pub open: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Idle,
    Busy,
    Closing,
}

/// Decides which connection a request uses and when one is opened or closed.
///
/// At most `limit` connections exist at a time, and at most one is being opened.
#[derive(Debug)]
pub struct Connections {
    limit: usize,
    opening: bool,
    connections: SlotMap<ConnectionKey, State>,
    /// Idle connections, most recently used last.
    idle: Vec<ConnectionKey>,
    claims: SlotMap<ClaimKey, ()>,
    /// Claims in order of arrival; may include cancelled ones.
    waiting: VecDeque<ClaimKey>,
}

/// Construction and size.
impl Connections {
    /// Creates an empty pool for at most `limit` connections.
    pub fn new(limit: u16) -> Self {
        Self {
            limit: usize::from(limit),
            opening: false,
            connections: SlotMap::with_key(),
            idle: Vec::new(),
            claims: SlotMap::with_key(),
            waiting: VecDeque::new(),
        }
    }

    /// Number of connections that exist or are being opened; the backend server may
    /// count all of them against its own limit.
    pub fn count(&self) -> usize {
        self.connections.len() + usize::from(self.opening)
    }

    /// Whether a connection is being opened.
    pub fn is_opening(&self) -> bool {
        self.opening
    }
}

/// Events that the node reports.
impl Connections {
    /// A request needs a connection.
    pub fn acquire(&mut self) -> Acquired {
        if let Some(key) = self.idle.pop() {
            self.connections[key] = State::Busy;
            return Acquired::Reuse(key);
        }
        let claim = self.claims.insert(());
        self.waiting.push_back(claim);
        let open = self.start_opening();
        Acquired::Wait { claim, open }
    }

    /// A request no longer waits for a connection. Returns `false` when an action has
    /// already named its claim.
    pub fn cancel(&mut self, claim: ClaimKey) -> bool {
        self.claims.remove(claim).is_some()
    }

    /// Whether the server accepts connections is to be found out by opening one that no
    /// request waits for. Returns `false` when one is being opened already, or when the
    /// limit is reached.
    pub fn open_spare(&mut self) -> bool {
        let start = !self.opening && self.count() < self.limit;
        self.opening |= start;
        start
    }

    /// The process of the server has ended: no idle connection is used again. Their
    /// handles must be dropped.
    pub fn discard_idle(&mut self) -> Vec<ConnectionKey> {
        for key in &self.idle {
            self.connections[*key] = State::Closing;
        }
        std::mem::take(&mut self.idle)
    }

    /// The connection that was being opened is ready.
    pub fn opened(&mut self) -> Action {
        self.opening = false;
        let key = self.connections.insert(State::Busy);
        self.assign_or_keep(key)
    }

    /// The connection could not be opened.
    pub fn open_failed(&mut self) -> Action {
        self.opening = false;
        Action {
            fail: self.next_claim(),
            open: self.start_opening(),
            ..Action::default()
        }
    }

    /// A request is done with its connection.
    pub fn release(&mut self, key: ConnectionKey, exchange: Exchange) -> Action {
        if self.connections.get(key) != Some(&State::Busy) {
            return Action::default();
        }
        match exchange {
            Exchange::Complete => self.assign_or_keep(key),
            Exchange::Aborted => {
                self.connections[key] = State::Closing;
                Action {
                    close: Some(key),
                    ..Action::default()
                }
            }
        }
    }

    /// A connection was closed by either side.
    pub fn closed(&mut self, key: ConnectionKey) -> Action {
        if self.connections.remove(key) == Some(State::Idle) {
            self.idle.retain(|k| *k != key);
        }
        Action {
            open: self.start_opening(),
            ..Action::default()
        }
    }
}

/// Assignment of connections to claims.
impl Connections {
    /// Assigns a usable connection to the oldest claim, or keeps it idle.
    fn assign_or_keep(&mut self, key: ConnectionKey) -> Action {
        let claim = self.next_claim();
        if claim.is_none() {
            self.connections[key] = State::Idle;
            self.idle.push(key);
        }
        Action {
            assigned: claim.map(|claim| (claim, key)),
            keep: claim.is_none().then_some(key),
            open: self.start_opening(),
            ..Action::default()
        }
    }

    fn next_claim(&mut self) -> Option<ClaimKey> {
        while let Some(claim) = self.waiting.pop_front() {
            if self.claims.remove(claim).is_some() {
                return Some(claim);
            }
        }
        None
    }

    fn start_opening(&mut self) -> bool {
        let start = !self.opening && !self.claims.is_empty() && self.count() < self.limit;
        self.opening |= start;
        start
    }
}
