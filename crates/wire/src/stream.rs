//! The first message on a stream between two nodes, which states its purpose.

use crate::RequestHead;
use knapweed_host::SendId;
use knapweed_host::crash::{CrashDigest, CrashRecord};
use knapweed_host::quota::ExchangeRequest;
use knapweed_link::PartTag;
use knapweed_rollout::{Holder, HostReport, RolloutState};
use knapweed_world::{ConfigVersion, Name, UnixMillis};
use knapweed_zone::directory::Digest;
use knapweed_zone::evacuation::EvacuationList;
use serde::{Deserialize, Serialize};

/// First message on a stream. It selects the protocol of the rest of the stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StreamHead {
    /// Sends a request; its body follows. The response is a [`crate::ResponseHead`]
    /// and a body.
    Request(Box<RequestHead>),
    /// Asks for the configuration. The reply is a [`FetchReply`] and the rest
    /// that it announces.
    FetchConfig {
        /// Tags of the configuration parts that the sender has already.
        have: Vec<PartTag>,
    },
    /// Asks for member records that differ from those in the digest. The reply is a
    /// list of [`knapweed_zone::directory::SharedRecord`].
    FetchMembers(Digest),
    /// Asks for the highest configuration version that a host may have served. The reply
    /// is a [`FloorReply`].
    Floor {
        /// Name of the host.
        host: Name,
    },
    /// Distributes rollout states, which the receiver merges with its own. There is
    /// no reply.
    Rollouts {
        /// States of the rollouts that are known to the sender.
        states: Vec<RolloutState>,
        /// The newest holder of the duty `rollout` that the sender knows; `None` when it
        /// knows none.
        holder: Option<Holder>,
    },
    /// Sends a report of one host to the holder of the duty `rollout`. There is no
    /// reply.
    Report {
        /// Service that the report is about.
        service: Name,
        /// Totals of the host.
        report: Box<HostReport>,
    },
    /// Distributes records of requests that crashed backend servers. There is no
    /// reply.
    Crashes(Vec<CrashRecord>),
    /// Compares the records of crashes with those of the receiver. The reply is a
    /// [`CrashReply`].
    CompareCrashes(CrashDigest),
    /// Asks for the outcome of an earlier send. The reply is a
    /// [`knapweed_host::inquiry::SendStatus`].
    Inquire {
        /// Identity of the send.
        send: SendId,
        /// Upper bound of the time since the send, in microseconds.
        age_us: u64,
    },
    /// Distributes the evacuated availability zones. A receiver that knows a later list sends
    /// it back; otherwise there is no reply.
    Evacuations(EvacuationList),
    /// Exchanges tokens of organisations with quotas with the holder of the pool. The reply
    /// is an optional [`knapweed_host::quota::ExchangeReply`].
    Quotas {
        /// Host that sends the request.
        host: Name,
        /// What the host gives and needs.
        request: Box<ExchangeRequest>,
    },
    /// Asks which versions have the traffic of services before their first rollout. The reply
    /// is an [`EstablishedReply`].
    Established,
}

/// First message of the reply to [`StreamHead::FetchConfig`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FetchReply {
    /// A compressed [`knapweed_link::Delta`] follows.
    Delta,
    /// The node sends enough long deltas to others already; nothing follows.
    Busy,
}

/// Reply to [`StreamHead::CompareCrashes`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReply {
    /// Digest of the replying node's records.
    pub digest: CrashDigest,
    /// All of its records; empty when the digests are equal.
    pub records: Vec<CrashRecord>,
}

/// The versions that have the traffic of a service before its first rollout.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EstablishedService {
    /// Name of the service.
    pub service: Name,
    /// The versions.
    pub versions: Vec<Name>,
    /// Earliest start of their servers, in Unix milliseconds.
    pub started: UnixMillis,
    /// When a node found them, by its wall clock.
    pub since: UnixMillis,
}

/// Reply to [`StreamHead::Established`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EstablishedReply {
    /// What the replying node knows.
    pub services: Vec<EstablishedService>,
    /// Whether the replying node knows what other nodes knew before it started.
    pub is_informed: bool,
}

/// Reply to [`StreamHead::Floor`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FloorReply {
    /// Highest configuration version that the host may have served.
    pub served: ConfigVersion,
    /// Whether the replying node serves callers.
    pub is_serving: bool,
}
