//! Registers the backend servers of the host from their heartbeats, and confirms with
//! those that may have left already that they are not leaving.

use futures_util::future::BoxFuture;
use knapweed_host::admission::ColdStart;
use knapweed_host::registration::{HeartbeatOutcome, Registrations, ServerHeartbeat};
use knapweed_observe::part;
use knapweed_timer::TimerService;
use knapweed_world::Name;
use knapweed_world::backend_server::{Announcement, Instance};
use parking_lot::Mutex as SyncMutex;
use std::collections::HashSet;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;

/// Wait after the first health query of a backend server that did not confirm that it is
/// not leaving; it doubles with each further one.
const FIRST_QUERY_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait between two health queries of one backend server.
const MAX_QUERY_INTERVAL: Duration = Duration::from_millis(1_600);

/// Access of a [`Registrar`] to the backend servers of its host.
pub trait LocalServers: Send + Sync {
    /// Applies an announcement. When this returns, a backend server that is leaving gets
    /// no new request from this node.
    fn announce(&self, announcement: Announcement) -> BoxFuture<'_, ()>;

    /// Applies what a backend server that was announced states about its cold start.
    fn state_cold_start(&self, server: &Announcement, cold_start: ColdStart);

    /// Asks a backend server whether it is leaving; `None` when it gives no usable
    /// response.
    fn is_leaving<'a>(&'a self, server: &'a Announcement) -> BoxFuture<'a, Option<bool>>;
}

/// Turns heartbeats of the host's backend servers into announcements.
pub struct Registrar {
    servers: Arc<dyn LocalServers>,
    timer: TimerService,
    /// Locked until the outcome of a heartbeat is announced, so that announcements keep
    /// the order of the heartbeats.
    registrations: Mutex<Registrations>,
    /// Processes that are being queried.
    queried: SyncMutex<HashSet<Instance>>,
}

impl fmt::Debug for Registrar {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Registrar").finish_non_exhaustive()
    }
}

/// Construction.
impl Registrar {
    /// A registrar without registrations, on a node that has just started.
    pub fn new(servers: Arc<dyn LocalServers>, timer: TimerService) -> Arc<Self> {
        let registrations = Registrations::new(timer.wall_clock());
        Arc::new(Self {
            servers,
            timer,
            registrations: Mutex::new(registrations),
            queried: SyncMutex::default(),
        })
    }
}

/// Messages of backend servers.
impl Registrar {
    /// Handles a heartbeat. It does not wait for a health query, because its sender waits
    /// for the acknowledgement.
    pub async fn heartbeat(self: &Arc<Self>, heartbeat: ServerHeartbeat) {
        let process = heartbeat.process();
        let evidence = Evidence::Heartbeat(heartbeat.sequence);
        let outcome = {
            let mut registrations = self.registrations.lock().await;
            let outcome = registrations.receive(heartbeat, self.timer.now());
            self.apply(&process, evidence, &outcome).await;
            self.state_cold_start(&registrations, &process, &outcome);
            outcome
        };
        let is_unconfirmed = outcome == HeartbeatOutcome::Unconfirmed;
        if is_unconfirmed && self.queried.lock().insert(process.clone()) {
            tokio::spawn(Arc::clone(self).confirm(process));
        }
    }

    /// The process named `instance` is leaving and sends no further heartbeat.
    pub async fn deregister(&self, instance: &Name) {
        let mut registrations = self.registrations.lock().await;
        let (now, wall) = (self.timer.now(), self.timer.wall_clock());
        match registrations.left(instance, now, wall) {
            Some(announcement) => {
                log::info!(target: part::MEMBER, "backend server {instance} has left");
                self.servers.announce(announcement).await;
            }
            None => {
                log::info!(target: part::MEMBER, "backend server {instance} has left unregistered");
            }
        }
    }
}

/// Confirmation of processes that may have left.
impl Registrar {
    /// Queries the health of an unconfirmed process until it is registered, has left or
    /// sends no more heartbeats.
    ///
    /// A backend server that is busy or failing is queried again, since it is in use again
    /// only after its answer.
    async fn confirm(self: Arc<Self>, process: Instance) {
        let mut wait = FIRST_QUERY_INTERVAL;
        while let Some(announcement) = self.unconfirmed(&process).await {
            let is_leaving = self.servers.is_leaving(&announcement).await;
            if is_leaving == Some(false) {
                let mut registrations = self.registrations.lock().await;
                let outcome = registrations.confirm(&process, self.timer.now());
                self.apply(&process, Evidence::Health, &outcome).await;
                self.state_cold_start(&registrations, &process, &outcome);
                break;
            }
            log::info!(
                target: part::MEMBER,
                "backend server {} is not confirmed: leaving {is_leaving:?}; next query in {wait:?}",
                process.name
            );
            self.timer.sleep(wait).await;
            wait = (wait * 2).min(MAX_QUERY_INTERVAL);
        }
        self.queried.lock().remove(&process);
    }

    async fn unconfirmed(&self, process: &Instance) -> Option<Announcement> {
        let mut registrations = self.registrations.lock().await;
        registrations
            .unconfirmed(process, self.timer.now())
            .cloned()
    }

    /// Passes on what an accepted heartbeat states about the cold start of its sender.
    fn state_cold_start(
        &self,
        registrations: &Registrations,
        process: &Instance,
        outcome: &HeartbeatOutcome,
    ) {
        let is_accepted = matches!(
            outcome,
            HeartbeatOutcome::Changed(_) | HeartbeatOutcome::Unchanged
        );
        if is_accepted && let Some((server, cold_start)) = registrations.cold_start(process) {
            self.servers.state_cold_start(server, cold_start);
        }
    }

    /// Announces a changed state and logs the outcome of a heartbeat or a health query.
    ///
    /// The caller holds the lock on the registrations, so that announcements keep their
    /// order.
    async fn apply(&self, process: &Instance, evidence: Evidence, outcome: &HeartbeatOutcome) {
        let id = &process.name;
        match outcome {
            HeartbeatOutcome::Changed(announcement) => {
                let Announcement {
                    service, version, ..
                } = announcement;
                log::info!(
                    target: part::MEMBER,
                    "backend server {id} of {service} {version} is {:?}, by {evidence}",
                    announcement.state
                );
                self.servers.announce(announcement.clone()).await;
            }
            HeartbeatOutcome::Unchanged => {}
            HeartbeatOutcome::Unconfirmed => log::info!(
                target: part::MEMBER,
                "backend server {id} may have left before {evidence} arrived; querying its health"
            ),
            HeartbeatOutcome::Outdated => {
                log::info!(target: part::MEMBER, "{evidence} of {id} is outdated");
            }
        }
    }
}

/// What a change of a registration is based on.
#[derive(Clone, Copy, Debug)]
enum Evidence {
    /// The heartbeat with this sequence number.
    Heartbeat(u64),
    /// A health response.
    Health,
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Heartbeat(sequence) => write!(f, "heartbeat {sequence}"),
            Self::Health => f.write_str("its health response"),
        }
    }
}
