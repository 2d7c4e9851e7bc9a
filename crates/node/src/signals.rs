//! Signals that stop the process or make it reload.

use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Handlers of SIGTERM, SIGINT and SIGHUP.
///
/// The default action of these signals ends the process, so a program installs the handlers
/// before it opens its addresses. A signal that arrives while the node starts is handled
/// by [`Node::run`](crate::node::Node::run).
#[derive(Debug)]
pub struct Signals {
    pub(crate) terminate: Signal,
    pub(crate) interrupt: Signal,
    pub(crate) hangup: Signal,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// The operating system refuses them.
    pub fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}
