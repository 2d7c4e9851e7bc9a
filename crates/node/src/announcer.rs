//! Announcements of the backend servers of the host.

use crate::control::event::{ControlHandle, Event};
use crate::egress::Egress;
use crate::health;
use knapweed_observe::part;
use knapweed_timer::TimerService;
use knapweed_world::backend_server::Announcement;
use knapweed_world::{Name, SnapshotCell};
use std::sync::Arc;
use std::time::Duration;

/// Time between two looks whether a started node knows a service.
const CONFIG_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Looks before the backend server is left to its next announcement, which comes
/// about a second later.
const CONFIG_CHECKS: u32 = 20;

/// Takes announcements of the backend servers of the host.
#[derive(Clone)]
pub struct Announcer {
    egress: Arc<Egress>,
    control: ControlHandle,
    snapshots: Arc<SnapshotCell>,
    timer: TimerService,
}

impl Announcer {
    /// Takes announcements for these parts of a node.
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

    /// Takes an announcement. When this returns, a backend server that leaves
    /// gets no new request, and other nodes are being told.
    pub async fn announce(&self, announcement: Announcement) {
        self.egress.announce(&announcement);
        self.control.send(Event::Announced(announcement)).await;
    }

    /// Asks a backend server whether it is leaving; `None` when nobody can tell.
    pub async fn is_leaving(&self, server: &Announcement) -> Option<bool> {
        let path = self.health_path(&server.service).await?;
        match health::ask(server.address, &path).await {
            Ok(response) => self.egress.protocol().is_leaving(server, &response),
            Err(err) => {
                log::info!(
                    target: part::EGRESS,
                    "backend server at {} did not tell how it does: {err}", server.address
                );
                None
            }
        }
    }
}

impl Announcer {
    /// The path at which backend servers of a service tell how they do. A node
    /// that has just started waits for the configuration that names it.
    async fn health_path(&self, service: &Name) -> Option<Arc<str>> {
        for _ in 0..CONFIG_CHECKS {
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
