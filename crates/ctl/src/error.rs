//! Errors and exit codes.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit codes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub(crate) enum Exit {
    /// Done.
    Done = 0,
    /// The ticket is refused, pulled back or superseded.
    Refused = 1,
    /// Bad usage or settings.
    Usage = 2,
    /// Could not reach a node, or the node not the platform.
    Unreachable = 3,
    /// Timed out waiting.
    TimedOut = 4,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// A request that failed at one node.
#[derive(Debug)]
pub(crate) struct Failure {
    pub(crate) node: SocketAddr,
    pub(crate) reason: String,
    /// Whether the node may have taken the request.
    pub(crate) sent: bool,
}

impl Failure {
    /// A failure of a request that the node cannot have taken.
    pub(crate) fn before_sending(node: SocketAddr, reason: String) -> Self {
        let sent = false;
        Self { node, reason, sent }
    }

    /// A failure of a request that the node may have taken.
    pub(crate) fn after_sending(node: SocketAddr, reason: String) -> Self {
        let sent = true;
        Self { node, reason, sent }
    }
}

/// The reason why a command did not do its work.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// A file could not be read.
    #[error("cannot read {}: {source}", path.display())]
    Read { path: PathBuf, source: io::Error },
    /// Output could not be written.
    #[error("cannot write: {0}")]
    Write(#[from] io::Error),
    /// No node answered.
    #[error("could not reach a node: {}", list(.0))]
    Unreachable(Vec<Failure>),
    /// Nobody has filed the ticket.
    #[error("ticket {0} is not filed")]
    NotFiled(u64),
    /// The time to wait is over.
    #[error("ticket {number} has no final result after {seconds} s")]
    TimedOut { number: u64, seconds: u64 },
}

impl Error {
    /// The exit code.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Self::Unreachable(_) => Exit::Unreachable,
            Self::TimedOut { .. } => Exit::TimedOut,
            Self::Read { .. } | Self::Write(_) | Self::NotFiled(_) => Exit::Usage,
        }
    }
}

fn list(failures: &[Failure]) -> String {
    let texts = failures.iter().map(|f| format!("{}: {}", f.node, f.reason));
    texts.collect::<Vec<_>>().join("; ")
}
