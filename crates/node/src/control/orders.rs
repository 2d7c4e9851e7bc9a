//! Carries out rollout orders that come from a source other than the configuration,
//! and reports their progress.

use super::{Controller, Event};
use crate::control::event::ControlHandle;
use crate::orders::book::{Decision, EndDecision, Known, MayWait, Missing, OrderBook};
use crate::orders::{Order, Progress, RolloutOrders};
use knapweed_observe::part;
use knapweed_rollout::{self as rollout, RolloutState, TicketResult};
use knapweed_store::cursor::{NextCall, Retry, WatchCursor};
use knapweed_store::{Error, ObjectStore};
use knapweed_world::{Name, TicketNumber, Time};
use rand::Rng;
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

/// The newest order of each service, and the watch for further ones.
#[derive(Debug, Default)]
pub(super) struct OrderWatch {
    pub(super) book: OrderBook,
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
        self.orders = OrderWatch::default();
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
        self.restore_tick(now);
        // The update of a watch that has been stopped may not contain all orders.
        if self.orders.watch.is_none() {
            return;
        }
        self.orders.book.loaded();
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

    /// Starts orders that have waited until the versions in force are known.
    pub(super) fn start_waiting_orders(&mut self, now: Time) {
        for order in self.orders.book.waiting() {
            self.start_order(now, order);
        }
    }

    fn start_order(&mut self, now: Time, order: Order) {
        self.refresh_established();
        let known = Known {
            state: self.rollouts.known.states().get(&order.service),
            may_be_lost: self.restores.is_recent(),
            wall: self.dependencies.timer.wall_clock(),
        };
        let are_known =
            self.established_queries.is_over() && self.established.are_known(&order.service);
        let established = |may_wait| {
            let has_shares = are_known || may_wait == MayWait::No;
            has_shares.then(|| {
                let versions = &self.established;
                versions.shares_before(&order.service, &order.target)
            })
        };
        let decision = self.orders.book.read(&order, known, established);
        let Decision::Tracked {
            ticket,
            is_new,
            missing,
        } = decision
        else {
            return log_not_started(&order, decision);
        };
        match missing {
            Some(Missing::End) => {
                let missing = rollout::Event::ResultMissing(ticket);
                self.rollout_event(now, &order.service, missing);
            }
            Some(Missing::Start) => {
                self.report_order(&order.service, &order.target, ticket, Progress::Running);
            }
            None => {}
        }
        if !is_new {
            return;
        }
        log::info!(
            target: part::ROLLOUT,
            "order {ticket}: service {} to version {} within {:?}, reported {:?}, from {}",
            order.service, order.target, order.time, order.reported,
            self.start_shares(&order.service)
        );
        // Starts the move without waiting for the next tick of rollout control.
        self.control_rollouts(now);
    }

    /// The shares at the start of the newest order of a service, for the log.
    fn start_shares(&self, service: &Name) -> String {
        let config = self.orders.book.config(service);
        let terms = config.and_then(|config| config.rollout.as_ref());
        let from = terms.into_iter().flat_map(|terms| &terms.from);
        let shares: Vec<_> = from.map(|s| format!("{} {}", s.version, s.share)).collect();
        match shares.is_empty() {
            true => "no version".to_owned(),
            false => shares.join(", "),
        }
    }

    /// Reads all orders again if one has a number that does not fit to these newer states.
    pub(super) fn read_contradicted_orders(&mut self, states: &[RolloutState]) {
        let book = &self.orders.book;
        if states.iter().any(|state| book.is_contradicted_by(state)) {
            self.orders = OrderWatch::default();
        }
    }

    /// Reads all orders again if one was held.
    pub(super) fn read_held_orders(&mut self) {
        if self.orders.book.has_held_orders() {
            self.orders = OrderWatch::default();
        }
    }
}

/// Reporting the progress of orders to their source.
impl Controller {
    /// Reports the end of a rollout; returns whether it belongs to an order.
    pub(super) fn report_end(&mut self, now: Time, result: &TicketResult) -> bool {
        if self.dependencies.orders.is_none() {
            return false;
        }
        let service = &result.service;
        match self.orders.book.ended(result) {
            EndDecision::Wait => {}
            EndDecision::Unneeded => {
                let confirmed = rollout::Event::ResultWritten(result.ticket);
                self.rollout_event(now, service, confirmed);
            }
            EndDecision::Report { target, progress } => {
                self.report_order(service, &target, result.ticket, progress);
            }
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
        if is_end && !self.orders.book.begin_report(service) {
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
        self.orders.book.end_reported(service);
        self.rollout_event(now, service, rollout::Event::ResultWritten(ticket));
    }
}

/// Logs why an order was not started; one that waits is logged once.
fn log_not_started(order: &Order, decision: Decision) {
    let Order {
        service, target, ..
    } = order;
    match decision {
        Decision::Held => log::warn!(
            target: part::ROLLOUT,
            "did not start the order of service {service} to version {target}, reported {:?}: \
             a newer one is known",
            order.reported
        ),
        Decision::Waiting { is_new: true } => log::info!(
            target: part::ROLLOUT,
            "the order of service {service} to version {target} waits: it is not known yet \
             which versions have the traffic"
        ),
        Decision::Waiting { is_new: false } | Decision::Tracked { .. } => {}
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
    let mut cursor = WatchCursor::default();
    loop {
        let update = match cursor.next_call() {
            NextCall::Watch(revision) => source.watch(revision, WATCH_WAIT).await,
            NextCall::Load => source.load().await,
        };
        let update = match update {
            Ok(update) => with_states(&*store, &update.orders)
                .await
                .map(|orders| (orders, update)),
            Err(err) => Err(err),
        };
        match update {
            Ok((orders, update)) => {
                limit = INITIAL_BACKOFF;
                match update.is_partial {
                    true => cursor.advanced_partially(update.revision),
                    false => cursor.advanced(update.revision),
                }
                handle.send(Event::Ordered(orders)).await;
            }
            Err(err) => {
                if cursor.failed(&err) == Retry::AtOnce {
                    continue;
                }
                log::warn!(target: part::ROLLOUT, "the watch of orders failed: {err}");
                handle
                    .send(match err {
                        Error::HistoryCompacted(_) | Error::Malformed(_) => Event::SourceUnusable,
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
    orders: &[Order],
) -> Result<Vec<(Order, Option<RolloutState>)>, Error> {
    let mut found = Vec::with_capacity(orders.len());
    for order in orders {
        let object = store.read(&super::rollouts::key(&order.service)).await?;
        let state = object.as_ref().map(super::rollouts::decode).transpose();
        let state = state.map_err(|err| Error::Malformed(err.to_string()))?;
        found.push((order.clone(), state.map(|(_, state)| state)));
    }
    Ok(found)
}
