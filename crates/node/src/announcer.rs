//! Receives the announcements of the host's backend servers.

use crate::control::event::{ControlHandle, Event};
use crate::egress::Egress;
use crate::health;
use crate::registrar::LocalServers;
use futures_util::future::BoxFuture;
use knapweed_host::admission::ColdStart;
use knapweed_observe::part;
use knapweed_timer::TimerService;
use knapweed_world::backend_server::Announcement;
use knapweed_world::{Name, SnapshotCell};
use std::sync::Arc;
use std::time::Duration;

/// Interval at which a node that has just started checks whether its
/// configuration contains a service.
const CONFIG_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Checks before the query is given up. The backend server announces itself again
/// about a second later.
const MAX_CONFIG_CHECKS: u32 = 20;

/// Passes announcements of the host's backend servers on to the egress and the
/// control thread.
#[derive(Clone)]
pub struct Announcer {
    egress: Arc<Egress>,
    control: ControlHandle,
    snapshots: Arc<SnapshotCell>,
    timer: TimerService,
}

impl Announcer {
    /// An announcer that passes announcements on to `egress` and `control`.
    pub(crate) fn new(
        egress: Arc<Egress>,
        control: ControlHandle,
        snapshots: Arc<SnapshotCell>,
        timer: TimerService,
    ) -> Self {
        Self {
            egress,
            control,
            snapshots,
            timer,
        }
    }

    /// Applies an announcement. When this returns, a backend server that is leaving
    /// gets no new request from this node, and the control thread has been sent the
    /// announcement to gossip it.
    pub async fn announce(&self, announcement: Announcement) {
        self.egress.announce(&announcement);
        self.control.send(Event::Announced(announcement)).await;
    }
}

impl LocalServers for Announcer {
    fn announce(&self, announcement: Announcement) -> BoxFuture<'_, ()> {
        Box::pin(Self::announce(self, announcement))
    }

    fn state_cold_start(&self, server: &Announcement, cold_start: ColdStart) {
        self.egress.state_cold_start(server, cold_start);
    }

    fn is_leaving<'a>(&'a self, server: &'a Announcement) -> BoxFuture<'a, Option<bool>> {
        Box::pin(self.query_leaving(server))
    }
}

/// Health queries.
impl Announcer {
    /// Asks a backend server whether it is leaving; `None` when its service has no
    /// health path or it gives no usable response.
    async fn query_leaving(&self, server: &Announcement) -> Option<bool> {
        let path = self.health_path(&server.service).await?;
        match health::probe(server.address, &path).await {
            Ok(response) => {
                if let Some(left) = self.egress.protocol().cold_left(server, &response) {
                    let cold_start = ColdStart::stated(left, self.timer.now());
                    self.egress.state_cold_start(server, cold_start);
                }
                self.egress.protocol().is_leaving(server, &response)
            }
            Err(err) => {
                log::info!(
                    target: part::EGRESS,
                    "backend server at {} did not answer a health query: {err}", server.address
                );
                None
            }
        }
    }

    /// The health path of a service. A node that has just started waits for the
    /// configuration that contains the service.
    async fn health_path(&self, service: &Name) -> Option<Arc<str>> {
        for _ in 0..MAX_CONFIG_CHECKS {
            {
                let snapshot = self.snapshots.load();
                let mut services = snapshot.services();
                if let Some((_, service)) = services.find(|(_, s)| s.name == *service) {
                    return service.health_path.clone();
                }
            }
            self.timer.sleep(CONFIG_CHECK_INTERVAL).await;
        }
        None
    }
}
