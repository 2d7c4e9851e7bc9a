//! Request paths and response bodies of the operators' HTTP API, shared by the
//! node and its clients.

use crate::result::{Ending, Record};
use crate::{Outcome, sentence};
use knapweed_world::backend_server::Announcement;
use knapweed_world::{Config, ConfigVersion, Name, Share, TicketNumber};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Path of the tickets; `/v1/tickets/<n>` is the record of ticket `n`.
pub const TICKETS: &str = "/v1/tickets";
/// Path of the accepted configuration.
pub const CONFIG: &str = "/v1/config";
/// Path of the list of nodes and their states.
pub const NODES: &str = "/v1/nodes";
/// Path of the list of rollouts and their phases.
pub const ROLLOUTS: &str = "/v1/rollouts";

/// Response to `POST /v1/tickets`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FileResponse {
    /// The ticket number; `None` if the document could not be parsed.
    pub ticket: Option<TicketNumber>,
    /// The outcome; its fields are part of the same JSON object.
    #[serde(flatten)]
    pub outcome: Outcome,
    /// The outcome as one English sentence for operators.
    pub sentence: String,
}

impl FileResponse {
    /// Creates the response for an outcome.
    pub fn new(ticket: Option<TicketNumber>, outcome: Outcome) -> Self {
        Self {
            sentence: sentence::of_outcome(ticket, &outcome),
            ticket,
            outcome,
        }
    }

    /// The HTTP status code of the response.
    pub fn status(&self) -> u16 {
        match self.outcome {
            Outcome::Accepted { .. } => 200,
            Outcome::Malformed { .. }
            | Outcome::NumberTaken { .. }
            | Outcome::Refused { .. }
            | Outcome::Superseded { .. } => 409,
            Outcome::Unavailable { .. } | Outcome::Unknown { .. } => 503,
        }
    }
}

/// Response to `GET /v1/tickets/<n>`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TicketResponse {
    /// The stored record of the ticket.
    pub record: Record,
    /// The state of the ticket as one English sentence for operators.
    pub sentence: String,
}

impl TicketResponse {
    /// Creates the response for a record.
    pub fn new(record: Record) -> Self {
        let sentence = sentence::of_record(&record);
        Self { record, sentence }
    }
}

/// State of a ticket in a list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TicketState {
    /// Filed and not yet decided.
    Open,
    /// Accepted, without a final result.
    Accepted,
    /// All rollouts of the ticket are complete.
    Completed,
    /// A rollout of the ticket was pulled back.
    PulledBack,
    /// The whole ticket was refused.
    Refused,
    /// Superseded by a ticket with a higher number.
    Superseded,
    /// In force; the ticket started no rollout.
    InForce,
}

impl TicketState {
    /// Derives the state from a record.
    pub fn of(record: &Record) -> Self {
        let Some(result) = &record.result else {
            return match record.progress {
                Some(_) => Self::Accepted,
                None => Self::Open,
            };
        };
        match result.ending {
            Ending::Completed => Self::Completed,
            Ending::InForce => Self::InForce,
            Ending::PulledBack { .. } => Self::PulledBack,
            Ending::Refused { .. } => Self::Refused,
            Ending::Superseded { .. } => Self::Superseded,
        }
    }
}

/// One ticket in [`TicketsResponse`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TicketSummary {
    /// The ticket number.
    pub ticket: TicketNumber,
    /// The state of the ticket; `None` if the node has not read the record.
    pub state: Option<TicketState>,
    /// The configuration version that the ticket created, if it was accepted.
    pub version: Option<ConfigVersion>,
}

/// Response to `GET /v1/tickets`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TicketsResponse {
    /// The tickets, ordered by number.
    pub tickets: Vec<TicketSummary>,
}

/// Response to `GET /v1/config`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigResponse {
    /// The configuration that the responding node serves.
    pub config: Config,
}

/// State of a node according to the membership of its availability zone.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum NodeState {
    /// The node responds to probes.
    Alive,
    /// The node has not responded recently.
    Suspect,
    /// The node is shutting down.
    Leaving,
    /// The node has failed or has left.
    Dead,
}

/// One node in [`NodesResponse`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeSummary {
    /// Name of the host on which the node runs.
    pub host: Name,
    /// Availability zone of the node.
    pub zone: Name,
    /// UDP address at which other nodes reach it.
    pub address: SocketAddr,
    /// Membership state of the node.
    pub state: NodeState,
    /// The configuration version that the node serves.
    pub version: ConfigVersion,
    /// The error that prevents it from serving a newer version, if any.
    pub error: Option<String>,
    /// Announcements of the backend servers on its host.
    pub backend_servers: Vec<Announcement>,
}

/// Response to `GET /v1/nodes`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodesResponse {
    /// The nodes, ordered by host name.
    pub nodes: Vec<NodeSummary>,
    /// Names of the duties that the responding node holds.
    #[serde(default)]
    pub duties: Vec<String>,
}

/// Phase of a rollout, from warm-up to completion or the return of all traffic.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "phase")]
pub enum RolloutPhase {
    /// Waiting for backend servers of the new versions.
    Warming,
    /// Shifting traffic to the new versions.
    Ramping {
        /// Current traffic share of the new versions.
        share: Share,
    },
    /// Pausing at a traffic share.
    Holding {
        /// Current traffic share of the new versions.
        share: Share,
    },
    /// All traffic goes to the new versions.
    Completed,
    /// All traffic was returned to the old versions.
    PulledBack {
        /// Why the rollout was pulled back.
        reason: String,
    },
}

/// One rollout in [`RolloutsResponse`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutSummary {
    /// The service whose versions change.
    pub service: Name,
    /// The ticket that started the rollout.
    pub ticket: TicketNumber,
    /// The current phase; its fields are part of the same JSON object.
    #[serde(flatten)]
    pub phase: RolloutPhase,
}

/// Response to `GET /v1/rollouts`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutsResponse {
    /// The rollouts, ordered by service.
    pub rollouts: Vec<RolloutSummary>,
}

/// Body of a response with an error status, except those of [`FileResponse`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorResponse {
    /// Message that describes the error.
    pub error: String,
}
