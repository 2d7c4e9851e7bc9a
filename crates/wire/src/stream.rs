//! What a stream between two nodes is for: the first message on it.

use crate::RequestHead;
use knapweed_host::SendId;
use knapweed_host::crash::CrashRecord;
use knapweed_link::PartTag;
use knapweed_rollout::{RolloutState, ZoneReport};
use knapweed_world::{ConfigVersion, Name};
use knapweed_zone::directory::Digest;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// First message on a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StreamHead {
    /// A request; its body follows. Answered by a [`crate::ResponseHead`] and a body.
    Request(Box<RequestHead>),
    /// Asks for the configuration. Answered by a compressed [`knapweed_link::Delta`].
    FetchConfig {
        /// Tags of the parts at hand.
        have: Vec<PartTag>,
    },
    /// Asks for member records that differ. Answered by a list of
    /// [`knapweed_zone::directory::SharedRecord`].
    FetchMembers(Digest),
    /// Asks which configuration version a host has served. Answered by a [`FloorReply`].
    Floor {
        /// The host.
        host: Name,
    },
    /// Rollout states, to be joined with those at hand. Not answered.
    Rollouts {
        /// The states.
        states: Vec<RolloutState>,
        /// Where the holder of the duty `rollout` takes reports.
        holder: Option<SocketAddr>,
    },
    /// Counts of one host for the holder of the duty `rollout`. Not answered.
    Report {
        /// The service.
        service: Name,
        /// The counts.
        report: Box<ZoneReport>,
    },
    /// What is known of requests that crashed backend servers. Not answered.
    Crashes(Vec<CrashRecord>),
    /// Asks what became of a send. Answered by a [`knapweed_host::inquiry::Finding`].
    Inquire {
        /// The send.
        send: SendId,
        /// Longest time since the send was made, in microseconds.
        age_us: u64,
    },
}

/// The answer to [`StreamHead::Floor`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FloorReply {
    /// Highest version that the host may have served.
    pub served: ConfigVersion,
    /// Whether the answering node serves callers.
    pub is_serving: bool,
}
