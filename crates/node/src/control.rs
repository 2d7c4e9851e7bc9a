//! The control thread. It is the only owner of membership, configuration and rollouts
//! of this node, and the only writer of snapshots.

pub mod config;
mod crashes;
pub mod deltas;
pub mod established;
mod evacuations;
pub mod event;
mod floor;
pub mod loads;
mod members;
mod messages;
mod orders;
pub mod part_history;
pub mod query;
mod quotas;
pub mod registry;
pub mod reports;
pub mod restored;
mod results;
pub mod rollouts;
mod streams;
mod verdicts;
pub mod versions;
pub mod view;
pub(crate) mod watch;

use crate::currency::RouteCurrency;
use crate::egress::Egress;
use crate::evacuations::EvacuationSource;
use crate::orders::RolloutOrders;
use crate::source::{ConfigSource, StoredConfig};
use crate::trial::Trials;
use arc_swap::ArcSwap;
use config::ConfigStore;
use established::EstablishedQueries;
use evacuations::EvacuationControl;
pub use event::ControlHandle;
pub(crate) use event::Event;
use knapweed_host::RetryPolicy;
use knapweed_host::quota::Tolerance;
use knapweed_observe::part;
use knapweed_store::ObjectStore;
use knapweed_timer::TimerService;
use knapweed_transport::Peers;
use knapweed_world::{Name, SnapshotCell, TicketNumber, Time};
use knapweed_zone::dissemination::transfers::Transfers;
use knapweed_zone::floor::{self as floor_decision, VersionFloor};
use knapweed_zone::{Epidemic, Membership, membership};
use loads::{LoadWaiter, Loads};
use orders::OrderWatch;
use quotas::Quotas;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use registry::Registry;
use restored::Restores;
use results::PendingResults;
use rollouts::Rollouts;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use tokio::sync::mpsc;
use verdicts::VerdictCalls;
use versions::EstablishedVersions;
pub use view::View;
use watch::Watch;

/// Dependencies of the control thread.
pub struct Dependencies {
    /// Name of the host.
    pub host: Name,
    /// Cell that receives new snapshots.
    pub snapshots: Arc<SnapshotCell>,
    /// Runs requests on the host's backend servers, and records crashes.
    pub egress: Arc<Egress>,
    /// Connections to other nodes.
    pub peers: Arc<Peers>,
    /// Object store for the tickets, the registry of hosts and the rollout states.
    pub store: Arc<dyn ObjectStore>,
    /// Source of configurations.
    pub configs: Arc<dyn ConfigSource>,
    /// Source of rollout orders; `None` when the configuration contains the rollouts.
    pub orders: Option<Arc<dyn RolloutOrders>>,
    /// Source of evacuations; `None` in a deployment without them.
    pub evacuations: Option<Arc<dyn EvacuationSource>>,
    /// Request counts of services whose traffic is being moved.
    pub trials: Arc<Trials>,
    /// Retry policy, whose burst is divided among all nodes.
    pub retries: Arc<RetryPolicy>,
    /// How far requests may exceed the quota of an organisation.
    pub quota_tolerance: Tolerance,
    /// Clock and timers of the node.
    pub timer: TimerService,
    /// Set once the node has reached its version floor and may serve callers.
    pub ready: Arc<AtomicBool>,
    /// Receives the time until which the configuration in force counts as the newest.
    pub currency: Arc<RouteCurrency>,
    /// Receives the state that operators can read.
    pub view: Arc<ArcSwap<View>>,
}

/// State machine of the control thread, which turns events into actions.
pub struct Controller {
    dependencies: Dependencies,
    handle: ControlHandle,
    membership: Membership,
    configs: ConfigStore,
    /// Long deltas that are being sent to other nodes.
    transfers: Transfers,
    registry: Registry,
    established: EstablishedVersions,
    established_queries: EstablishedQueries,
    floor: VersionFloor,
    watch: Watch,
    /// The load of the configuration that is under way.
    loads: Loads<LoadWaiter>,
    /// The configuration that the store had at the last read.
    stored_config: StoredConfig,
    rollouts: Rollouts,
    orders: OrderWatch,
    results: PendingResults,
    /// Chooses the members that get crash records.
    crash_peers: Epidemic,
    /// Receivers of rollout states.
    rollout_peers: Epidemic,
    evacuations: EvacuationControl,
    /// Receivers of the list of evacuated zones.
    evacuation_peers: Epidemic,
    verdicts: VerdictCalls,
    quotas: Quotas,
    /// Recent tickets that are known to have a final result.
    finished_tickets: BTreeSet<TicketNumber>,
    /// Eras of the object store.
    restores: Restores,
    /// Whether this node has left the gossip.
    is_stopped: bool,
    /// Entries that the source of the configuration in force could not use as written; 0
    /// when it came from another node.
    config_problems: usize,
    /// Whether the configuration in force was known to be the newest one.
    was_current: bool,
    /// Whether the last call to the store succeeded; `None` before the first call.
    store_was_reachable: Option<bool>,
    /// Whether the snapshot in force is older than what it is built from.
    staleness: Staleness,
    /// When the snapshot in force was built.
    refreshed_at: Time,
    /// How long that takes; grows to twice the last value at most.
    refresh_cost: Duration,
}

/// Time between two snapshots for changes of members only, as a multiple of the time that
/// one takes. While hundreds of hosts start or stop, one for each change would take most of
/// the processor time of a node; in a small mesh a change is in force at once.
const REFRESH_COST_FACTOR: u32 = 20;
/// Upper limit of that time. A host that has left meanwhile refuses requests itself.
const MAX_REFRESH_WAIT: Duration = Duration::from_millis(250);
/// Lower limit of the time that a snapshot is taken to need.
const MIN_REFRESH_COST: Duration = Duration::from_micros(50);

/// How far the snapshot in force is behind the state that it is built from.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Staleness {
    /// Nothing has changed since it was built.
    Current,
    /// Members have changed. The snapshot is replaced so seldom that building it takes a
    /// small share of the processor time, see [`REFRESH_COST_FACTOR`].
    MembersChanged,
    /// The configuration or the shares of a rollout have changed: the snapshot is replaced
    /// at once.
    ConfigChanged,
}

/// Construction of a controller before its first event.
impl Controller {
    /// The state of a control thread that starts with `membership`.
    pub fn new(dependencies: Dependencies, handle: ControlHandle, membership: Membership) -> Self {
        let now = dependencies.timer.now();
        let rng = SmallRng::seed_from_u64(rand::random());
        Self {
            registry: Registry::default(),
            established: EstablishedVersions::default(),
            established_queries: EstablishedQueries::new(now),
            floor: VersionFloor::new(now, rng),
            dependencies,
            handle,
            membership,
            configs: ConfigStore::default(),
            transfers: Transfers::default(),
            watch: Watch::default(),
            loads: Loads::default(),
            stored_config: StoredConfig::default(),
            rollouts: Rollouts::default(),
            orders: OrderWatch::default(),
            results: PendingResults::default(),
            verdicts: VerdictCalls::default(),
            quotas: Quotas::default(),
            crash_peers: Epidemic::new(now, SmallRng::seed_from_u64(rand::random())),
            rollout_peers: Epidemic::new(now, SmallRng::seed_from_u64(rand::random())),
            evacuations: EvacuationControl::default(),
            evacuation_peers: Epidemic::new(now, SmallRng::seed_from_u64(rand::random())),
            finished_tickets: BTreeSet::new(),
            restores: Restores::default(),
            is_stopped: false,
            config_problems: 0,
            was_current: false,
            store_was_reachable: None,
            staleness: Staleness::ConfigChanged,
            refreshed_at: now,
            refresh_cost: MIN_REFRESH_COST,
        }
    }
}

/// Event loop, and replacement of the snapshot after changes.
impl Controller {
    /// Handles events and ticks until the channel closes.
    pub(crate) async fn run(mut self, mut events: mpsc::Receiver<Event>) {
        let mut ticks = self.dependencies.timer.subscribe(membership::TICK_INTERVAL);
        loop {
            tokio::select! {
                now = ticks.tick() => self.tick(now),
                event = events.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
            }
            if self.is_refresh_due() {
                self.refresh();
            }
            self.publish_currency();
        }
    }

    /// Tells the request path until when the configuration in force counts as the newest.
    fn publish_currency(&mut self) {
        let freshness = self.membership.freshness();
        let currency = &self.dependencies.currency;
        currency.set_until(freshness.current_until());
        let is_current = currency.is_current(self.dependencies.timer.now());
        if std::mem::replace(&mut self.was_current, is_current) != is_current {
            let (applied, newest) = (self.membership.own().applied, freshness.newest());
            let state = match is_current {
                true => "is the newest one",
                false => "may not be the newest one",
            };
            log::info!(
                target: part::CONFIG,
                applied = applied.0, newest_known = newest.0, era = freshness.era().map(|era| era.0);
                "the configuration in force {state}"
            );
        }
    }

    fn outdate_snapshot(&mut self, staleness: Staleness) {
        self.staleness = self.staleness.max(staleness);
    }

    fn now(&self) -> Time {
        self.dependencies.timer.now()
    }

    fn tick(&mut self, now: Time) {
        self.member_event(now, membership::Event::Tick);
        self.floor_tick(now);
        self.restore_tick(now);
        self.registry_tick(now);
        self.established_tick(now);
        self.order_tick();
        self.evacuation_tick(now);
        self.rollout_tick(now);
        self.result_tick(now);
        self.spread_crashes(now);
        self.verdict_tick(now);
        self.quota_tick(now);
        for announcement in self.dependencies.egress.take_leaving() {
            self.announcement_received(now, announcement);
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Datagram { from, bytes } => self.datagram_received(now, from, &bytes),
            Event::Stream { head, incoming } => self.stream_opened(now, *head, incoming),
            Event::Announced(announcement) => self.announcement_received(now, announcement),
            Event::Delta { from, delta } => self.delta_received(from, delta),
            Event::UnreadableDelta { from } => self.unreadable_delta(from),
            Event::FetchProgressed { from } => {
                self.member_event(now, membership::Event::FetchProgressed { from });
            }
            Event::FetchBusy { from } => {
                self.member_event(now, membership::Event::FetchBusy { from });
            }
            Event::Members(records) => {
                self.member_event(now, membership::Event::Members(records));
            }
            Event::LoadedConfig(loaded) => self.config_loaded(loaded),
            Event::SourceUpdate { update, at } => self.source_updated(update, at),
            Event::LoadEnded { result, at } => self.load_ended(result, at),
            Event::SourceUnavailable => {
                self.record_store_reachable(now, false);
            }
            Event::SourceUnusable => self.record_store_reachable(now, true),
            Event::Rollout { service, event } => self.rollout_event(now, &service, *event),
            Event::EvacuationsRead(list) => self.evacuations_read(now, &list),
            Event::Ordered(orders) => self.orders_received(now, orders),
            Event::Reported { service, ticket } => self.order_reported(now, &service, ticket),
            Event::FinalResultWritten(ticket) => self.final_result_written(now, ticket),
            Event::QuotaReply(reply) => self.tokens_received(now, &reply),
            Event::Query(query) => self.answer_query(query),
            Event::Floor(event) => self.floor_event(now, event),
            Event::Established(reply) => self.established_received(&reply),
            Event::Registered(entries) => self.registry_read(entries),
            Event::Leave => self.member_event(now, membership::Event::Leave),
            Event::Stop(done) => {
                self.member_event(now, membership::Event::Stop);
                self.is_stopped = true;
                let _ = done.send(());
            }
        }
    }

    fn is_refresh_due(&self) -> bool {
        match self.staleness {
            Staleness::Current => false,
            Staleness::MembersChanged => {
                let interval = (self.refresh_cost * REFRESH_COST_FACTOR).min(MAX_REFRESH_WAIT);
                self.now().since(self.refreshed_at) >= interval
            }
            Staleness::ConfigChanged => true,
        }
    }

    /// Builds a new snapshot.
    fn refresh(&mut self) {
        self.staleness = Staleness::Current;
        // A stopped host is no longer a member, and a snapshot needs its own host.
        if self.is_stopped {
            return;
        }
        let start = self.now();
        self.rebuild();
        self.refreshed_at = self.now();
        // One that was interrupted says little about the next.
        let took = self.refreshed_at.since(start);
        self.refresh_cost = took.min(self.refresh_cost * 2).max(MIN_REFRESH_COST);
    }

    fn rebuild(&mut self) {
        match self.build_snapshot() {
            Ok(snapshot) => self.install_snapshot(snapshot),
            // The previous snapshot stays in force unchanged.
            Err(err) => {
                log::error!(target: part::CONFIG, "kept the old snapshot: {err}");
                let version = self.configs.head().version;
                self.member_event(self.now(), membership::Event::ConfigRefused(version));
            }
        }
    }

    fn install_snapshot(&mut self, snapshot: knapweed_world::Snapshot) {
        let limited = snapshot.services().filter_map(|(_, service)| {
            let rate = service.cold_limit?;
            Some((service.name.clone(), rate))
        });
        self.dependencies.egress.set_cold_limits(limited.collect());
        let version = snapshot.version();
        let before = self.dependencies.snapshots.load().version();
        self.dependencies
            .retries
            .share_among(snapshot.hosts().count());
        if let Err(err) = self.dependencies.snapshots.replace(snapshot) {
            log::error!(target: part::CONFIG, "kept the old snapshot: {err}");
            return;
        }
        if version > before {
            log::info!(target: part::CONFIG, "version {version} is in force on this node");
            let now = self.now();
            self.apply_quotas(now);
            self.member_event(now, membership::Event::ConfigApplied(version));
            self.floor_event(now, floor_decision::Event::Fetched(version));
        }
        // After the floor event, so that a version which operators see in force is served.
        self.publish_view();
    }
}
