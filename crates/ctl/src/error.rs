//! Errors and exit codes.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code of the program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub(crate) enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The ticket was refused, pulled back or superseded.
    Refused = 1,
    /// The arguments, a document or a settings file are invalid.
    Usage = 2,
    /// No node could be reached, or no node could reach the object store.
    Unreachable = 3,
    /// A wait ended before the final result.
    TimedOut = 4,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Failure of a request to one node.
#[derive(Debug)]
pub(crate) struct Failure {
    pub(crate) node: SocketAddr,
    pub(crate) reason: String,
    /// Whether the node may have received the request.
    pub(crate) sent: bool,
}

impl Failure {
    /// Creates a failure of a request that the node cannot have received.
    pub(crate) fn before_sending(node: SocketAddr, reason: String) -> Self {
        let sent = false;
        Self { node, reason, sent }
    }

    /// Creates a failure of a request that the node may have received.
    pub(crate) fn after_sending(node: SocketAddr, reason: String) -> Self {
        let sent = true;
        Self { node, reason, sent }
    }
}

/// Reason why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The document of a ticket could not be read.
    #[error("cannot read {}: {source}", path.display())]
    Read { path: PathBuf, source: io::Error },
    /// Output or a generated file could not be written.
    #[error("cannot write: {0}")]
    Write(#[from] io::Error),
    /// No node returned a usable response; one failure for each node.
    #[error("could not reach a node: {}", join_failures(.0))]
    Unreachable(Vec<Failure>),
    /// No ticket was filed under this number.
    #[error("ticket {0} is not filed")]
    NotFiled(u64),
    /// The ticket had no final result when the wait timed out.
    #[error("ticket {number} has no final result after {seconds} s")]
    TimedOut { number: u64, seconds: u64 },
}

impl Error {
    /// Exit code for this error.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Self::Unreachable(_) => Exit::Unreachable,
            Self::TimedOut { .. } => Exit::TimedOut,
            Self::Read { .. } | Self::Write(_) | Self::NotFiled(_) => Exit::Usage,
        }
    }
}

fn join_failures(failures: &[Failure]) -> String {
    let texts = failures.iter().map(|f| format!("{}: {}", f.node, f.reason));
    texts.collect::<Vec<_>>().join("; ")
}
