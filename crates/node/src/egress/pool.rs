//! Pool of the HTTP connections to one backend server.

use crate::body::Body;
use crate::client::{self, Client, ReadAllowance};
use hyper::client::conn::http1::SendRequest;
use knapweed_host::NotRun;
use knapweed_host::connections::{
    Acquired, Action, ClaimKey, ConnectionKey, Connections, Exchange,
};
use knapweed_observe::part;
use parking_lot::Mutex;
use slotmap::SecondaryMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

/// Timeout for opening a connection over loopback.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The sending half of an open connection.
struct Handle {
    client: Client,
    /// Whether a response has arrived on the connection.
    is_used: bool,
}

struct State {
    connections: Connections,
    idle: SecondaryMap<ConnectionKey, Handle>,
    waiting: SecondaryMap<ClaimKey, oneshot::Sender<PooledConnection>>,
    /// Senders that learn whether the connection that is being opened was accepted.
    probes: Vec<oneshot::Sender<Probe>>,
}

/// Whether the backend server accepts connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Probe {
    /// A new connection was opened.
    Accepted,
    /// The attempt to open a connection failed.
    Refused,
    /// There was no result in time, or no connection may be opened.
    Unknown,
}

/// Connections to one backend server; [`Connections`] decides about their use.
pub(super) struct Pool {
    address: SocketAddr,
    state: Mutex<State>,
}

/// Construction and address.
impl Pool {
    pub(super) fn new(address: SocketAddr, limit: u16) -> Self {
        let state = State {
            connections: Connections::new(limit),
            idle: SecondaryMap::new(),
            waiting: SecondaryMap::new(),
            probes: Vec::new(),
        };
        Self {
            address,
            state: Mutex::new(state),
        }
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Acquisition and release by requests.
impl Pool {
    /// Takes an idle connection, or waits until one is free or opened.
    ///
    /// # Errors
    ///
    /// No connection could be opened; nothing was sent.
    pub(super) async fn acquire(self: &Arc<Self>) -> Result<PooledConnection, NotRun> {
        let receiver = match self.claim() {
            Claim::Taken(pooled) => return Ok(pooled),
            Claim::Waiting(receiver) => receiver,
        };
        receiver.await.map_err(|_| NotRun::ConnectFailed)
    }

    /// Finds out within `wait` whether the backend server accepts connections.
    ///
    /// An idle connection tells nothing, since its end may not have arrived. The new
    /// connection counts against the limit of connections (requirement B8) and stays in
    /// the pool.
    pub(super) async fn probe(self: &Arc<Self>, wait: Duration) -> Probe {
        let rx = {
            let mut state = self.state.lock();
            let open = state.connections.open_spare();
            if !open && !state.connections.is_opening() {
                return Probe::Unknown;
            }
            let (tx, rx) = oneshot::channel();
            state.probes.push(tx);
            self.open_if(open);
            rx
        };
        match tokio::time::timeout(wait, rx).await {
            Ok(Ok(probe)) => probe,
            Ok(Err(_)) | Err(_) => Probe::Unknown,
        }
    }

    /// Closes the idle connections: the process of the backend server has ended.
    pub(super) fn discard_idle(self: &Arc<Self>) {
        let mut state = self.state.lock();
        let discarded = state.connections.discard_idle();
        let handles: Vec<_> = discarded
            .into_iter()
            .filter_map(|key| state.idle.remove(key))
            .collect();
        drop(state);
        drop(handles);
    }

    fn claim(self: &Arc<Self>) -> Claim {
        let mut state = self.state.lock();
        match state.connections.acquire() {
            Acquired::Reuse(key) => {
                let handle = state
                    .idle
                    .remove(key)
                    .expect("an idle connection has a handle");
                Claim::Taken(self.pooled(key, handle))
            }
            Acquired::Wait { claim, open } => {
                let (tx, rx) = oneshot::channel();
                state.waiting.insert(claim, tx);
                self.open_if(open);
                Claim::Waiting(rx)
            }
        }
    }

    fn pooled(self: &Arc<Self>, key: ConnectionKey, handle: Handle) -> PooledConnection {
        PooledConnection {
            pool: Arc::clone(self),
            key,
            handle: Some(handle),
        }
    }

    fn release(self: &Arc<Self>, key: ConnectionKey, handle: Handle, exchange: Exchange) {
        let mut state = self.state.lock();
        let action = state.connections.release(key, exchange);
        self.apply(&mut state, action, Some(handle));
    }
}

enum Claim {
    Taken(PooledConnection),
    Waiting(oneshot::Receiver<PooledConnection>),
}

/// Opening and closing of connections.
impl Pool {
    fn open_if(self: &Arc<Self>, open: bool) {
        if open {
            tokio::spawn(open_connection(Arc::clone(self)));
        }
    }

    fn opened(self: &Arc<Self>, handle: Handle) -> Option<ConnectionKey> {
        let mut state = self.state.lock();
        notify(&mut state.probes, Probe::Accepted);
        let action = state.connections.opened();
        let key = action.keep.or(action.assigned.map(|(_, key)| key));
        self.apply(&mut state, action, Some(handle));
        key
    }

    fn open_failed(self: &Arc<Self>) {
        let mut state = self.state.lock();
        notify(&mut state.probes, Probe::Refused);
        let action = state.connections.open_failed();
        self.apply(&mut state, action, None);
    }

    fn closed(self: &Arc<Self>, key: ConnectionKey) {
        let mut state = self.state.lock();
        state.idle.remove(key);
        let action = state.connections.closed(key);
        self.apply(&mut state, action, None);
    }

    /// Carries out `action`; `handle` is the connection that it concerns.
    fn apply(self: &Arc<Self>, state: &mut State, action: Action, handle: Option<Handle>) {
        self.open_if(action.open);
        if let Some(claim) = action.fail {
            // Dropping the sender makes `acquire` return an error.
            drop(state.waiting.remove(claim));
        }
        // When the action neither assigns nor keeps the connection, dropping its
        // handle closes it.
        let Some(handle) = handle else { return };
        match (action.assigned, action.keep) {
            (Some((claim, key)), _) => self.assign(state, claim, key, handle),
            (None, Some(key)) => drop(state.idle.insert(key, handle)),
            (None, None) => {}
        }
    }

    fn assign(
        self: &Arc<Self>,
        state: &mut State,
        claim: ClaimKey,
        key: ConnectionKey,
        handle: Handle,
    ) {
        let tx = state.waiting.remove(claim).expect("a claim has a sender");
        if let Err(mut pooled) = tx.send(self.pooled(key, handle)) {
            // The request was cancelled. The lock is held here, so the drop of
            // `pooled`, which would take it again, must find no handle.
            let handle = pooled.handle.take();
            let action = state.connections.release(key, Exchange::Complete);
            self.apply(state, action, handle);
        }
    }
}

fn notify(probes: &mut Vec<oneshot::Sender<Probe>>, probe: Probe) {
    for tx in probes.drain(..) {
        // The request that waited for the result may have been cancelled.
        let _ = tx.send(probe);
    }
}

async fn open_connection(pool: Arc<Pool>) {
    match connect(pool.address).await {
        Ok((handle, connection_driver)) => {
            if let Some(key) = pool.opened(handle) {
                // An error is reported to the request that uses the connection.
                let _ = connection_driver.await;
                pool.closed(key);
            }
        }
        Err(err) => {
            log::debug!(target: part::EGRESS, "failed to connect to {}: {err}", pool.address);
            pool.open_failed();
        }
    }
}

async fn connect(address: SocketAddr) -> io::Result<(Handle, client::Driver)> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await??;
    stream.set_nodelay(true)?;
    let (client, driver) = client::handshake(stream).await?;
    let is_used = false;
    Ok((Handle { client, is_used }, driver))
}

/// A connection in use by one request; dropping it closes the connection.
pub(super) struct PooledConnection {
    pool: Arc<Pool>,
    key: ConnectionKey,
    handle: Option<Handle>,
}

impl PooledConnection {
    /// The sender of requests.
    pub(super) fn sender(&mut self) -> &mut SendRequest<Body> {
        let handle = self.handle.as_mut();
        &mut handle
            .expect("a connection in use has a handle")
            .client
            .sender
    }

    /// The limit of what is read from the connection.
    pub(super) fn allowance(&self) -> Arc<ReadAllowance> {
        let handle = self.handle.as_ref();
        let handle = handle.expect("a connection in use has a handle");
        Arc::clone(&handle.client.allowance)
    }

    /// Whether a response to an earlier request has arrived on the connection.
    pub(super) fn is_used(&self) -> bool {
        self.handle.as_ref().is_some_and(|handle| handle.is_used)
    }

    /// Returns the connection to the pool after a complete exchange.
    pub(super) fn complete(mut self) {
        if let Some(handle) = self.handle.take() {
            let handle = Handle {
                is_used: true,
                ..handle
            };
            self.pool.release(self.key, handle, Exchange::Complete);
        }
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if let Some(handle) = self.handle.take() {
            self.pool.release(self.key, handle, Exchange::Aborted);
        }
    }
}
