//! Admission control of one backend server, at its egress.
//!
//! The egress keeps one state machine per backend server, behind a lock that is
//! held for the duration of one event.

pub mod cold_limit;
mod flows;
pub mod objective_queue;
mod preceding;
mod queue_position;
pub mod rate_limit;
mod shares;

pub use cold_limit::{ColdAllowance, ColdStart};
pub use objective_queue::{ObjectiveQueue, Options};
pub use rate_limit::{LimitChange, NamedLimit};
pub use shares::OrganisationShare;

use crate::NotRun;
use knapweed_world::{Flow, LoadReport, Rank, Time};
use slotmap::new_key_type;
use std::time::Duration;

new_key_type! {
    /// Key of a queued request.
    pub struct WaiterKey;
}

/// A request that arrives at the egress.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Route of the request, whose service times are similar.
    pub flow: Flow,
    /// Organisation that the request belongs to; `None` without organisations, or where the
    /// route requires none. Slots are shared fairly between the routes of each organisation.
    pub organisation: Option<OrganisationShare>,
    /// Its precedence: lower ranks run first.
    pub rank: Rank,
    /// Until when a response has its full value; `None` without an objective.
    pub objective: Option<Time>,
    /// When the caller gives up waiting.
    pub deadline: Time,
    /// Whether no other request may run beside it, because it is suspected of
    /// crashing backend servers.
    pub exclusive: bool,
}

/// Why a request is not admitted, and when a retry makes sense.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The reason that is reported to the ingress.
    pub reason: NotRun,
    /// Estimated time until there is capacity for the request; `None` when unknown.
    pub retry_after: Option<Duration>,
}

impl From<NotRun> for Refusal {
    fn from(reason: NotRun) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }
}

/// Decision about an arriving request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Send it to the backend server now; it holds a slot until [`Admission::finish`].
    Admit,
    /// Hold it until a later [`Released`] or [`Shed`] names its key.
    Queue {
        /// Key of the queued request.
        waiter: WaiterKey,
        /// Queued requests that it has displaced.
        displaced: Vec<Shed>,
    },
    /// Refuse it as not run.
    Shed(Refusal),
}

/// A queued request to be refused as not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shed {
    /// Key of the request, which is no longer valid in the queue.
    pub waiter: WaiterKey,
    /// Reason and time of a possible retry.
    pub refusal: Refusal,
}

/// Queued requests that an event releases from the queue.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Released {
    /// Requests to send now; each holds a slot.
    pub run: Vec<WaiterKey>,
    /// Requests to be refused as not run.
    pub shed: Vec<Shed>,
}

/// Admits, queues and sheds the requests of one backend server.
pub trait Admission: Send {
    /// Decides whether an arriving request is sent, queued or refused.
    fn arrive(&mut self, arrival: Arrival, now: Time) -> Verdict;

    /// A running request ended; `took` is its service time, or `None` when the backend
    /// server did not answer.
    fn finish(&mut self, flow: Flow, took: Option<Duration>, now: Time) -> Released;

    /// The caller of a queued request disconnected. Returns `None` when the request is no
    /// longer queued.
    fn cancel(&mut self, waiter: WaiterKey, now: Time) -> Option<Released>;

    /// Sheds requests that have waited too long, and releases those whose turn has come;
    /// must be called at [`Admission::next_expiry`].
    fn expire(&mut self, now: Time) -> Released;

    /// When to call [`Admission::expire`] next; `None` while no request is queued.
    fn next_expiry(&self) -> Option<Time>;

    /// The backend server is shutting down: sheds the queue and all later arrivals.
    fn drain(&mut self) -> Vec<Shed>;

    /// The backend server has changed the limit on the rate of its requests. Until then,
    /// and after its end, only the slots bound them.
    fn limit_rate(&mut self, change: LimitChange, now: Time) -> Released;

    /// Load as of the last event, as reported to ingresses, with the service time of `flow`.
    fn load(&self, flow: Flow) -> LoadReport;

    /// Number of requests that hold a slot.
    fn running(&self) -> u32;

    /// Number of requests in the queue.
    fn queued(&self) -> usize;
}
