//! The control thread: the one owner of membership, configuration and rollouts
//! on this node, and the only writer of snapshots.

pub mod config;
mod duties;
pub mod event;
mod floor;
mod members;
pub mod query;
pub mod reports;
mod results;
mod rollouts;
mod status;
mod streams;
pub mod view;
pub(crate) mod watch;

use crate::egress::Egress;
use crate::trial::Trials;
use arc_swap::ArcSwap;
use config::ConfigStore;
use duties::Duties;
pub use event::{ControlHandle, Event};
use knapweed_observe::part;
use knapweed_platform::Platform;
use knapweed_timer::TimerService;
use knapweed_transport::Peers;
use knapweed_world::{Name, SnapshotCell, TicketNumber, Time};
use knapweed_zone::floor::{self as floor_decision, Floor};
use knapweed_zone::{Membership, membership};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use results::Results;
use rollouts::Rollouts;
use status::StatusTimes;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use tokio::sync::mpsc;
pub use view::View;
use watch::Watch;

/// What the control thread uses.
pub struct Parts {
    /// Name of the host.
    pub host: Name,
    /// Where snapshots go.
    pub snapshots: Arc<SnapshotCell>,
    /// The egress of the host.
    pub egress: Arc<Egress>,
    /// Connections to other nodes.
    pub peers: Arc<Peers>,
    /// The platform.
    pub platform: Arc<dyn Platform>,
    /// Counts of services whose traffic is being moved.
    pub trials: Arc<Trials>,
    /// The time.
    pub timer: TimerService,
    /// Whether the node may serve callers.
    pub ready: Arc<AtomicBool>,
    /// What operators see.
    pub view: Arc<ArcSwap<View>>,
}

/// State of the control thread.
pub struct Control {
    parts: Parts,
    handle: ControlHandle,
    membership: Membership,
    configs: ConfigStore,
    duties: Duties,
    floor: Floor,
    status: StatusTimes,
    watch: Watch,
    rollouts: Rollouts,
    results: Results,
    /// Recent tickets that are known to have a final result.
    concluded: BTreeSet<TicketNumber>,
    /// Whether the snapshot no longer fits the members or the configuration.
    stale: bool,
}

/// Construction.
impl Control {
    /// The control thread's state, with `membership` of this node.
    pub fn new(parts: Parts, handle: ControlHandle, membership: Membership) -> Self {
        let now = parts.timer.now();
        let rng = SmallRng::seed_from_u64(rand::random());
        Self {
            duties: Duties::new(now, membership.own()),
            floor: Floor::new(now, rng),
            parts,
            handle,
            membership,
            configs: ConfigStore::default(),
            status: StatusTimes::default(),
            watch: Watch::default(),
            rollouts: Rollouts::default(),
            results: Results::default(),
            concluded: BTreeSet::new(),
            stale: true,
        }
    }
}

/// The loop.
impl Control {
    /// Takes events until the channel closes.
    pub async fn run(mut self, mut events: mpsc::Receiver<Event>) {
        let mut ticks = self.parts.timer.subscribe(membership::TICK);
        loop {
            tokio::select! {
                now = ticks.tick() => self.tick(now),
                event = events.recv() => match event {
                    Some(event) => self.take(event),
                    None => return,
                },
            }
            self.refresh();
        }
    }

    fn now(&self) -> Time {
        self.parts.timer.now()
    }

    fn tick(&mut self, now: Time) {
        self.member_event(now, membership::Event::Tick);
        self.floor_event(now, floor_decision::Event::Tick);
        self.duty_tick(now);
        self.status_tick(now);
        self.rollout_tick(now);
        self.result_tick(now);
        self.push_crashes();
    }

    fn take(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Datagram { from, bytes } => self.datagram(now, from, &bytes),
            Event::Stream { head, incoming } => self.stream(now, *head, incoming),
            Event::Announced(announcement) => self.announced(now, announcement),
            Event::Delta { from, delta } => self.delta(from, delta),
            Event::Members(records) => {
                self.member_event(now, membership::Event::Members(records));
            }
            Event::Loaded { head, cache } => self.loaded(&head, cache),
            Event::Rollout { service, event } => self.rollout_event(now, &service, *event),
            Event::Concluded(ticket) => self.ticket_concluded(now, ticket),
            Event::Query(query) => self.answer(query),
            Event::Membership(event) => self.member_event(now, *event),
            Event::Lease { key, event } => self.lease_event(now, key, event),
            Event::Floor(event) => self.floor_event(now, event),
            Event::Entries(entries) => self.meet(&entries),
            Event::Leave => {
                self.release_duties(now);
                self.member_event(now, membership::Event::Leave);
            }
            Event::Stop(done) => {
                self.member_event(now, membership::Event::Stop);
                // A stopped host has no place in a snapshot.
                self.stale = false;
                let _ = done.send(());
            }
        }
    }

    /// Builds a new snapshot when anything it depends on has changed.
    fn refresh(&mut self) {
        if !std::mem::take(&mut self.stale) {
            return;
        }
        match self.build_snapshot() {
            Ok(snapshot) => self.swap(snapshot),
            // The old snapshot stays in force as a whole.
            Err(err) => log::error!(target: part::CONFIG, "kept the old snapshot: {err}"),
        }
    }

    fn swap(&mut self, snapshot: knapweed_world::Snapshot) {
        let version = snapshot.version();
        let before = self.parts.snapshots.load().version();
        if let Err(err) = self.parts.snapshots.replace(snapshot) {
            log::error!(target: part::CONFIG, "kept the old snapshot: {err}");
            return;
        }
        self.publish_view();
        if version > before {
            log::info!(target: part::CONFIG, "version {version} is in force on this node");
            let now = self.now();
            self.member_event(now, membership::Event::ConfigApplied(version));
            self.floor_event(now, floor_decision::Event::Fetched(version));
        }
    }
}
