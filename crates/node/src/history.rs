//! In-memory request counts of the last 24 hours, for the error budget burn report.

pub mod recorder;
mod ring;

use knapweed_observe::History;
use knapweed_timer::{Subscription, TimerService};
use knapweed_world::service_counters::LATENCY_BOUNDS_US;
use knapweed_world::{Name, SnapshotCell};
use parking_lot::Mutex;
pub use recorder::Recorder;
use std::sync::Arc;
use std::time::Duration;

/// Interval at which the counters are recorded.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// The node that a history belongs to.
#[derive(Clone, Debug)]
pub struct HistoryOwner {
    /// Name of the node's host.
    pub host: Name,
    /// Availability zone of the host.
    pub zone: Name,
}

/// Records the request history of a node in a background task, off the request path.
#[derive(Debug)]
pub struct HistoryKeeper {
    owner: HistoryOwner,
    recorder: Mutex<Recorder>,
}

impl HistoryKeeper {
    /// Starts a task that records the counters of the services in `snapshots` each second.
    pub fn start(
        owner: HistoryOwner,
        snapshots: Arc<SnapshotCell>,
        timer: &TimerService,
    ) -> Arc<Self> {
        let keeper = Arc::new(Self {
            owner,
            recorder: Mutex::new(Recorder::new(timer.wall_clock())),
        });
        let ticks = timer.subscribe(RECORD_INTERVAL);
        let task = record(Arc::clone(&keeper), snapshots, timer.clone(), ticks);
        tokio::spawn(task);
        keeper
    }

    /// The history up to the last record, as served to operators.
    pub fn document(&self) -> History {
        let recorder = self.recorder.lock();
        History {
            host: self.owner.host.clone(),
            zone: self.owner.zone.clone(),
            since: recorder.since(),
            until: recorder.until(),
            latency_bounds_us: LATENCY_BOUNDS_US.to_vec(),
            services: recorder.services(),
            services_left_out: recorder.left_out(),
            changes: recorder.changes().cloned().collect(),
        }
    }
}

async fn record(
    keeper: Arc<HistoryKeeper>,
    snapshots: Arc<SnapshotCell>,
    timer: TimerService,
    mut ticks: Subscription,
) {
    loop {
        ticks.tick().await;
        let snapshot = snapshots.load_full();
        keeper.recorder.lock().record(timer.wall_clock(), &snapshot);
    }
}
