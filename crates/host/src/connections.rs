//! The pooled connections of one backend server.

use slotmap::{SlotMap, new_key_type};
use std::collections::VecDeque;

new_key_type! {
    /// Key of a connection to the backend server.
    pub struct ConnectionKey;
    /// Key of a request that waits for a connection.
    pub struct ClaimKey;
}

/// What a request gets that needs a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Acquired {
    /// An idle connection, now its own.
    Reuse(ConnectionKey),
    /// None yet; a later action names the claim.
    Wait {
        /// The claim.
        claim: ClaimKey,
        /// Whether to start opening a connection now.
        open: bool,
    },
}

/// How an exchange on a connection ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exchange {
    /// Both bodies were transferred completely, and the server keeps the connection.
    Complete,
    /// It was cut short: timeout, cancellation, error, or the server closes.
    ///
    /// A late response could be taken for that of the next request, so the
    /// connection is never used again.
    CutShort,
}

/// What follows from an event.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Action {
    /// A request that gets a connection, now its own.
    pub hand_over: Option<(ClaimKey, ConnectionKey)>,
    /// A request that cannot be sent because no connection could be opened.
    pub fail: Option<ClaimKey>,
    /// A connection that is idle now; its handle is kept for a later request.
    pub keep: Option<ConnectionKey>,
    /// A connection to close; it counts until [`Connections::closed`].
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
    /// Most recently used last.
    idle: Vec<ConnectionKey>,
    claims: SlotMap<ClaimKey, ()>,
    /// Oldest first; may contain cancelled claims.
    waiting: VecDeque<ClaimKey>,
}

/// Construction and access.
impl Connections {
    /// No connections, and at most `limit` later.
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

    /// Connections that exist or are being opened, as the backend server may count them.
    pub fn count(&self) -> usize {
        self.connections.len() + usize::from(self.opening)
    }
}

/// Events.
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

    /// A request no longer needs the connection that it waits for; `false`
    /// when it was named by an action before.
    pub fn cancel(&mut self, claim: ClaimKey) -> bool {
        self.claims.remove(claim).is_some()
    }

    /// The connection being opened is open.
    pub fn opened(&mut self) -> Action {
        self.opening = false;
        let key = self.connections.insert(State::Busy);
        self.offer(key)
    }

    /// The connection being opened failed.
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
            Exchange::Complete => self.offer(key),
            Exchange::CutShort => {
                self.connections[key] = State::Closing;
                Action {
                    close: Some(key),
                    ..Action::default()
                }
            }
        }
    }

    /// A connection is closed, by either side.
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

/// Steps.
impl Connections {
    /// Hands a usable connection to the oldest claim, or keeps it idle.
    fn offer(&mut self, key: ConnectionKey) -> Action {
        let claim = self.next_claim();
        if claim.is_none() {
            self.connections[key] = State::Idle;
            self.idle.push(key);
        }
        Action {
            hand_over: claim.map(|claim| (claim, key)),
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
