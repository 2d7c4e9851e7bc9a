//! Carries out rollout orders that come from a source other than the configuration,
//! and reports their progress.

use super::{Controller, Event};
use crate::control::event::ControlHandle;
use crate::orders::{Order, Progress, RolloutOrders};
use knapweed_observe::part;
use knapweed_rollout::{self as rollout, RolloutState, TicketResult};
use knapweed_store::{Error, ObjectStore, Revision};
use knapweed_world::config::{Caution, RolloutTerms, ServiceConfig, VersionShare};
use knapweed_world::{ConfigVersion, Name, Share, TicketNumber, Time};
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Longest wait of one watch call; its response shows that the store is reachable.
const WATCH_WAIT: Duration = Duration::from_secs(1);
/// Longest wait before the first retry of a failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Longest wait before any retry. A completed move must be reported before its
/// deadline, about a second later.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// An order that this node carries out while it holds the duty of rollout control.
#[derive(Clone, Debug)]
struct TrackedOrder {
    /// Configuration of the service as a ticket with this order would set it.
    config: ServiceConfig,
    reported: Option<Progress>,
}

/// The newest order of each service.
#[derive(Debug, Default)]
pub(super) struct OrderBook {
    tracked: BTreeMap<Name, TrackedOrder>,
    /// Whether the source has been read since this node holds the duty.
    is_loaded: bool,
    /// Whether an order was not started because it may be older than the known state.
    has_held_orders: bool,
    /// Services whose final progress is being reported.
    reporting: BTreeSet<Name>,
    watch: Option<Watch>,
}

/// The task of a running watch, aborted on drop.
#[derive(Debug)]
struct Watch(JoinHandle<()>);

impl Drop for Watch {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl OrderBook {
    /// Configuration of a service according to its newest order.
    pub(super) fn config(&self, service: &Name) -> Option<&ServiceConfig> {
        self.tracked.get(service).map(|tracked| &tracked.config)
    }

    /// Whether all orders are known that the source had when this node took the duty.
    pub(super) fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Services with an order whose end has not been reported.
    pub(super) fn open(&self) -> impl Iterator<Item = &Name> {
        let is_open = |tracked: &TrackedOrder| {
            let ends = [Some(Progress::Completed), Some(Progress::PulledBack)];
            !ends.contains(&tracked.reported)
        };
        let open = self.tracked.iter().filter(move |(_, p)| is_open(p));
        open.map(|(service, _)| service)
    }
}

/// Watching for orders, and starting their rollouts.
impl Controller {
    /// Starts or stops the watch of orders with the duty of rollout control.
    pub(super) fn order_tick(&mut self) {
        let Some(source) = &self.dependencies.orders else {
            return;
        };
        let watches = self.membership.role().controls_rollouts && self.floor.is_serving();
        if watches == self.orders.watch.is_some() {
            return;
        }
        self.orders = OrderBook::default();
        if watches {
            let (source, store) = (Arc::clone(source), Arc::clone(&self.dependencies.store));
            let task = tokio::spawn(watch(source, store, self.handle.clone()));
            self.orders.watch = Some(Watch(task));
        }
    }

    /// Starts orders that are new or have changed.
    pub(super) fn orders_received(
        &mut self,
        now: Time,
        orders: Vec<(Order, Option<RolloutState>)>,
    ) {
        self.record_store_reachable(now, true);
        // Before the orders, which may be older than the known states.
        self.store_restored(now, self.dependencies.store.era());
        // The update of a watch that has been stopped may not contain all orders.
        if self.orders.watch.is_none() {
            return;
        }
        self.orders.is_loaded = true;
        for (order, stored) in orders {
            if let Some(stored) = stored
                && self.join(&stored)
            {
                self.states_changed();
                self.state_seen(now, &stored);
            }
            self.start_order(now, order);
        }
    }

    fn start_order(&mut self, now: Time, order: Order) {
        if self.is_outdated(&order) {
            log::warn!(
                target: part::ROLLOUT,
                "did not start the order of service {} to version {}, reported {:?}: \
                 a newer one is known",
                order.service, order.target, order.reported
            );
            self.orders.has_held_orders = true;
            return;
        }
        let config = self.config_for_order(&order);
        let known = self.orders.tracked.get(&order.service);
        let is_new = known.is_none_or(|tracked| tracked.config.ticket != config.ticket);
        let tracked = TrackedOrder {
            config,
            reported: order.reported,
        };
        let ticket = tracked.config.ticket;
        self.orders.tracked.insert(order.service.clone(), tracked);
        self.report_unreported(now, &order, ticket);
        if !is_new {
            return;
        }
        log::info!(
            target: part::ROLLOUT,
            "order {ticket}: service {} to version {} within {:?}, reported {:?}",
            order.service, order.target, order.time, order.reported
        );
        // Starts the move without waiting for the next tick of rollout control.
        self.control_rollouts(now);
    }

    /// Whether an order is older than the known state, from a store that has lost a later one.
    ///
    /// An order to another target than that of the state is new, and nothing is reported for
    /// its target. A holder that ended before it stored the state may have reported it as
    /// running, so such an order is held for a while only.
    fn is_outdated(&self, order: &Order) -> bool {
        let state = self.rollouts.states().get(&order.service);
        let is_other = |s: &RolloutState| s.target.iter().any(|v| v.version != order.target);
        state.is_some_and(is_other)
            && match order.reported {
                Some(Progress::Completed | Progress::PulledBack) => true,
                Some(Progress::Running) => self.restores.is_recent(),
                None => false,
            }
    }

    /// Reads all orders again if one was held.
    pub(super) fn read_held_orders(&mut self) {
        if self.orders.has_held_orders {
            self.orders = OrderBook::default();
        }
    }

    /// Reports the progress of an order whose source has none, or no end: it is new, or the
    /// store has lost what was reported.
    fn report_unreported(&mut self, now: Time, order: &Order, ticket: TicketNumber) {
        let state = self.rollouts.states().get(&order.service);
        let has_ended = state.is_some_and(|s| s.ticket == ticket && s.phase.is_final());
        match (has_ended, order.reported) {
            (true, None | Some(Progress::Running)) => {
                let missing = rollout::Event::ResultMissing(ticket);
                self.rollout_event(now, &order.service, missing);
            }
            (false, None) => {
                self.report_order(&order.service, &order.target, ticket, Progress::Running);
            }
            _ => {}
        }
    }

    /// Configuration of the service as a ticket with this order would set it.
    ///
    /// Orders are numbered per service. An order to another target than that of the
    /// known rollout state gets the number after that of the state. An order that is read
    /// again before its state is stored keeps its number and terms.
    fn config_for_order(&self, order: &Order) -> ServiceConfig {
        let target = vec![VersionShare {
            version: order.target.clone(),
            share: Share::ALL,
        }];
        let state = self.rollouts.states().get(&order.service);
        let known = state.filter(|state| state.target == target);
        let (ticket, terms) = match known {
            Some(state) => (state.ticket, state.terms.clone()),
            None => {
                let last = state.map_or(TicketNumber(0), |state| state.ticket);
                let ticket = TicketNumber(last.0 + 1);
                let tracked = self.orders.config(&order.service);
                let same = tracked.filter(|c| c.ticket == ticket && c.versions == target);
                let terms = same.and_then(|config| config.rollout.clone());
                let terms = terms.filter(|t| t.deadline.since(t.start) == order.time);
                (ticket, terms.unwrap_or_else(|| self.terms(order, state)))
            }
        };
        ServiceConfig {
            versions: target,
            rollout: Some(terms),
            ticket,
            changed_at: ConfigVersion(ticket.0),
            max_connections: None,
            health_path: None,
        }
    }

    fn terms(&self, order: &Order, state: Option<&RolloutState>) -> RolloutTerms {
        let start = self.dependencies.timer.wall_clock();
        let in_force = match state {
            Some(state) => state.shares(),
            None => self.established.shares_before(
                &order.service,
                &order.target,
                self.membership.directory(),
            ),
        };
        let old = in_force.into_iter();
        let old = old.filter(|s| s.version != order.target && s.share > Share::NONE);
        RolloutTerms {
            start,
            deadline: start.after(order.time),
            min_old_capacity: 0,
            caution: Caution::Careful,
            from: old.collect(),
        }
    }
}

/// Reporting the progress of orders to their source.
impl Controller {
    /// Reports the end of a rollout; returns whether it belongs to an order.
    ///
    /// With a source of orders all rollouts do. An order that the source does not have, such
    /// as one that the store has lost, needs no report until it is there again.
    pub(super) fn report_end(&mut self, now: Time, result: &TicketResult) -> bool {
        if self.dependencies.orders.is_none() {
            return false;
        }
        let service = &result.service;
        let confirmed = rollout::Event::ResultWritten(result.ticket);
        let Some(config) = self.orders.config(service) else {
            if self.orders.is_loaded() {
                self.rollout_event(now, service, confirmed);
            }
            return true;
        };
        // Only the progress of the newest order is reported.
        if result.ticket < config.ticket {
            self.rollout_event(now, service, confirmed);
            return true;
        }
        let progress = match result.outcome {
            rollout::Outcome::Completed { .. } => Progress::Completed,
            rollout::Outcome::PulledBack { .. } => Progress::PulledBack,
            // The order that has replaced this one has not been read yet.
            rollout::Outcome::Superseded { .. } => return true,
        };
        if config.ticket == result.ticket {
            let target = config.versions[0].version.clone();
            self.report_order(service, &target, result.ticket, progress);
        }
        true
    }

    fn report_order(
        &mut self,
        service: &Name,
        target: &Name,
        ticket: TicketNumber,
        progress: Progress,
    ) {
        let Some(source) = &self.dependencies.orders else {
            return;
        };
        let is_end = progress != Progress::Running;
        if is_end && !self.orders.reporting.insert(service.clone()) {
            return;
        }
        let (source, handle) = (Arc::clone(source), self.handle.clone());
        let (service, target) = (service.clone(), target.clone());
        tokio::spawn(async move {
            let mut limit = INITIAL_BACKOFF;
            while let Err(err) = source.report(&service, &target, progress).await {
                log::warn!(
                    target: part::ROLLOUT,
                    "could not report {progress:?} of service {service} to {target}: {err}"
                );
                back_off(&mut limit).await;
            }
            log::info!(
                target: part::ROLLOUT,
                "reported {progress:?} of service {service} to {target}"
            );
            if is_end {
                handle.send(Event::Reported { service, ticket }).await;
            }
        });
    }

    /// Handles the confirmation that the end of an order was reported.
    pub(super) fn order_reported(&mut self, now: Time, service: &Name, ticket: TicketNumber) {
        self.orders.reporting.remove(service);
        self.rollout_event(now, service, rollout::Event::ResultWritten(ticket));
    }
}

async fn back_off(limit: &mut Duration) {
    // Full jitter spreads the retries of many nodes after an outage.
    let wait = rand::rng().random_range(Duration::ZERO..=*limit);
    tokio::time::sleep(wait).await;
    *limit = (*limit * 2).min(MAX_BACKOFF);
}

async fn watch(source: Arc<dyn RolloutOrders>, store: Arc<dyn ObjectStore>, handle: ControlHandle) {
    let mut limit = INITIAL_BACKOFF;
    let mut after: Option<Revision> = None;
    loop {
        let update = match after {
            Some(revision) => source.watch(revision, WATCH_WAIT).await,
            None => source.load().await,
        };
        let update = match update {
            Ok(update) => with_states(&*store, update.orders)
                .await
                .map(|orders| (orders, update.revision)),
            Err(err) => Err(err),
        };
        match update {
            Ok((orders, revision)) => {
                limit = INITIAL_BACKOFF;
                after = Some(revision);
                handle.send(Event::Ordered(orders)).await;
            }
            Err(Error::HistoryCompacted(_)) => after = None,
            Err(err) => {
                log::warn!(target: part::ROLLOUT, "the watch of orders failed: {err}");
                handle
                    .send(match err {
                        Error::Malformed(_) => Event::SourceUnusable,
                        _ => Event::SourceUnavailable,
                    })
                    .await;
                back_off(&mut limit).await;
            }
        }
    }
}

/// Adds the stored rollout state of each service, which distinguishes an order that
/// is already being carried out from a new one.
async fn with_states(
    store: &dyn ObjectStore,
    orders: Vec<Order>,
) -> Result<Vec<(Order, Option<RolloutState>)>, Error> {
    let mut found = Vec::with_capacity(orders.len());
    for order in orders {
        let object = store.read(&super::rollouts::key(&order.service)).await?;
        let state = object.as_ref().map(super::rollouts::decode).transpose();
        let state = state.map_err(|err| Error::Malformed(err.to_string()))?;
        found.push((order, state.map(|(_, state)| state)));
    }
    Ok(found)
}
