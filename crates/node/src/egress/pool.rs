//! The connections to one backend server.

use crate::body::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
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

/// Longest time to open a connection over loopback.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

type Handle = SendRequest<Body>;
type Driver = http1::Connection<TokioIo<TcpStream>, Body>;

struct State {
    connections: Connections,
    idle: SecondaryMap<ConnectionKey, Handle>,
    waiting: SecondaryMap<ClaimKey, oneshot::Sender<Pooled>>,
}

/// The pool of connections to one backend server.
pub(super) struct Pool {
    address: SocketAddr,
    state: Mutex<State>,
}

/// Construction.
impl Pool {
    pub(super) fn new(address: SocketAddr, limit: u16) -> Self {
        let state = State {
            connections: Connections::new(limit),
            idle: SecondaryMap::new(),
            waiting: SecondaryMap::new(),
        };
        Self {
            address,
            state: Mutex::new(state),
        }
    }

    /// Address of the backend server.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Use by requests.
impl Pool {
    /// Takes a connection, and waits for one where none is idle.
    ///
    /// # Errors
    ///
    /// No connection could be opened; nothing was sent.
    pub(super) async fn acquire(self: &Arc<Self>) -> Result<Pooled, NotRun> {
        let woken = match self.claim() {
            Claim::Taken(pooled) => return Ok(pooled),
            Claim::Waiting(woken) => woken,
        };
        woken.await.map_err(|_| NotRun::ConnectFailed)
    }

    /// Whether the backend server refuses connections, as told within `wait`.
    ///
    /// Looks through the pool, so that the limit of connections holds (B8).
    pub(super) async fn is_refused(self: &Arc<Self>, wait: Duration) -> bool {
        match tokio::time::timeout(wait, self.acquire()).await {
            Ok(Ok(mut pooled)) => {
                if pooled.handle().ready().await.is_ok() {
                    pooled.complete();
                }
                false
            }
            Ok(Err(_)) => true,
            // All connections are in use, or the backend server is slow.
            Err(_) => false,
        }
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

    fn pooled(self: &Arc<Self>, key: ConnectionKey, handle: Handle) -> Pooled {
        Pooled {
            pool: Arc::clone(self),
            key,
            handle: Some(handle),
        }
    }

    fn release(self: &Arc<Self>, key: ConnectionKey, handle: Handle, exchange: Exchange) {
        let mut state = self.state.lock();
        let action = state.connections.release(key, exchange);
        self.follow(&mut state, action, Some(handle));
    }
}

enum Claim {
    Taken(Pooled),
    Waiting(oneshot::Receiver<Pooled>),
}

/// Life of connections.
impl Pool {
    fn open_if(self: &Arc<Self>, open: bool) {
        if open {
            tokio::spawn(open_connection(Arc::clone(self)));
        }
    }

    fn opened(self: &Arc<Self>, handle: Handle) -> Option<ConnectionKey> {
        let mut state = self.state.lock();
        let action = state.connections.opened();
        let key = action.keep.or(action.assigned.map(|(_, key)| key));
        self.follow(&mut state, action, Some(handle));
        key
    }

    fn open_failed(self: &Arc<Self>) {
        let mut state = self.state.lock();
        let action = state.connections.open_failed();
        self.follow(&mut state, action, None);
    }

    fn closed(self: &Arc<Self>, key: ConnectionKey) {
        let mut state = self.state.lock();
        state.idle.remove(key);
        let action = state.connections.closed(key);
        self.follow(&mut state, action, None);
    }

    /// Does what the decision says with the connection of `handle`.
    fn follow(self: &Arc<Self>, state: &mut State, action: Action, handle: Option<Handle>) {
        self.open_if(action.open);
        if let Some(claim) = action.fail {
            // Dropping the sender tells the request that there is no connection.
            drop(state.waiting.remove(claim));
        }
        // Without a claim and without a place, dropping the handle closes the connection.
        let Some(handle) = handle else { return };
        match (action.assigned, action.keep) {
            (Some((claim, key)), _) => self.hand_over(state, claim, key, handle),
            (None, Some(key)) => drop(state.idle.insert(key, handle)),
            (None, None) => {}
        }
    }

    fn hand_over(
        self: &Arc<Self>,
        state: &mut State,
        claim: ClaimKey,
        key: ConnectionKey,
        handle: Handle,
    ) {
        let tx = state.waiting.remove(claim).expect("a claim has a sender");
        if let Err(mut pooled) = tx.send(self.pooled(key, handle)) {
            // The request left; its drop must not lock the pool again.
            let handle = pooled.handle.take();
            let action = state.connections.release(key, Exchange::Complete);
            self.follow(state, action, handle);
        }
    }
}

async fn open_connection(pool: Arc<Pool>) {
    match connect(pool.address).await {
        Ok((handle, driver)) => {
            if let Some(key) = pool.opened(handle) {
                // An error of the connection reaches the request that uses it.
                let _ = driver.await;
                pool.closed(key);
            }
        }
        Err(err) => {
            log::debug!(target: part::EGRESS, "no connection to {}: {err}", pool.address);
            pool.open_failed();
        }
    }
}

async fn connect(address: SocketAddr) -> io::Result<(Handle, Driver)> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await??;
    stream.set_nodelay(true)?;
    http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)
}

/// A connection in use by one request; dropping it closes it.
pub(super) struct Pooled {
    pool: Arc<Pool>,
    key: ConnectionKey,
    handle: Option<Handle>,
}

impl Pooled {
    /// For sending.
    pub(super) fn handle(&mut self) -> &mut Handle {
        self.handle
            .as_mut()
            .expect("a connection in use has a handle")
    }

    /// Returns the connection after a whole exchange, for the next request.
    pub(super) fn complete(mut self) {
        if let Some(handle) = self.handle.take() {
            self.pool.release(self.key, handle, Exchange::Complete);
        }
    }
}

impl Drop for Pooled {
    fn drop(&mut self) {
        if let Some(handle) = self.handle.take() {
            self.pool.release(self.key, handle, Exchange::Aborted);
        }
    }
}
