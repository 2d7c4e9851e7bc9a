//! Evacuations: the watch of their source, and their exchange with other nodes.
//!
//! The nodes that watch the configuration watch the evacuations too. What they read spreads
//! as one list with the revision of the store.

use super::event::ControlHandle;
use super::{Controller, Event, Staleness};
use crate::evacuations::{EvacuatedZones, EvacuationSource};
use knapweed_observe::part;
use knapweed_store::cursor::{NextCall, Retry, WatchCursor};
use knapweed_store::{Error, Revision};
use knapweed_wire::StreamHead;
use knapweed_world::{Name, Time};
use knapweed_zone::MemberRecord;
use knapweed_zone::epidemic::Origin;
use knapweed_zone::evacuation::{EvacuationList, Evacuations, Learned};
use rand::Rng;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Longest wait of one watch call. Several nodes watch, so a silent loss of one connection
/// delays an evacuation only for as long as it takes a list to spread.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Longest wait before the first retry of a failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest wait before any retry.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Interval at which a node that knows an evacuation sends its list to a random member.
const REPAIR_INTERVAL: Duration = Duration::from_secs(1);

/// The evacuations that this node knows, and its watch.
#[derive(Debug, Default)]
pub(super) struct EvacuationControl {
    known: Evacuations,
    in_force: BTreeSet<Name>,
    watch: Option<Watch>,
    last_repair: Time,
}

/// The task of a running watch, aborted on drop.
#[derive(Debug)]
struct Watch(JoinHandle<()>);

impl Drop for Watch {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl EvacuationControl {
    /// The zones whose backend servers get no requests.
    pub(super) fn in_force(&self) -> &BTreeSet<Name> {
        &self.in_force
    }
}

impl Controller {
    /// Starts or stops the watch of evacuations.
    pub(super) fn watch_evacuations(&mut self, on: bool) {
        self.evacuations.watch = None;
        if let Some(source) = self.dependencies.evacuations.as_ref().filter(|_| on) {
            let task = tokio::spawn(watch(Arc::clone(source), self.handle.clone()));
            self.evacuations.watch = Some(Watch(task));
        }
    }

    /// Handles the list of the store as this node has read it.
    pub(super) fn evacuations_read(&mut self, now: Time, list: &EvacuationList) {
        self.record_store_reachable(now, true);
        if self.learn_evacuations(now, list) == Learned::Changed {
            self.publish_evacuations(now, Origin::Local);
        }
    }

    /// Handles the list of another node. The sender of an outdated one gets the newer.
    pub(super) fn evacuations_received(
        &mut self,
        now: Time,
        from: SocketAddr,
        list: &EvacuationList,
    ) {
        match self.learn_evacuations(now, list) {
            Learned::Changed => self.publish_evacuations(now, Origin::Peer),
            Learned::Unchanged => {}
            Learned::Outdated => self.send_one_way(from, &self.evacuation_message()),
        }
    }

    /// Sends the list to a node whose process is new: it must send nothing to an evacuated
    /// zone.
    pub(super) fn send_evacuations_to_new_process(&self, record: &MemberRecord) {
        // An empty list too: it keeps out an earlier one of a node that was cut off.
        if self.evacuations.known.list().revision() > Revision::ABSENT {
            self.send_one_way(record.address, &self.evacuation_message());
        }
    }

    /// Ends the evacuations that the store has lost, and repairs lost messages. A node that
    /// was cut off while an evacuation was withdrawn sends its list and gets the newer one.
    pub(super) fn evacuation_tick(&mut self, now: Time) {
        if self.evacuations.known.expire(now) {
            self.enforce_evacuations();
        }
        let is_due = now.since(self.evacuations.last_repair) >= REPAIR_INTERVAL;
        if !is_due || self.evacuations.known.list().zones.is_empty() {
            return;
        }
        self.evacuations.last_repair = now;
        let (directory, own) = (self.membership.directory(), self.membership.own());
        if let Some(to) = self.evacuation_peers.repair_receiver(directory, own) {
            self.send_one_way(to, &self.evacuation_message());
        }
    }

    fn learn_evacuations(&mut self, now: Time, list: &EvacuationList) -> Learned {
        let learned = self.evacuations.known.learn(now, list);
        if learned == Learned::Changed {
            self.enforce_evacuations();
        }
        learned
    }

    /// Applies the zones in force: to the backend servers of this host at once, and to the
    /// choices of this node by a new snapshot.
    fn enforce_evacuations(&mut self) {
        let zones = self.evacuations.known.in_force();
        let revision = self.evacuations.known.list().revision();
        for zone in zones.difference(&self.evacuations.in_force) {
            log::info!(target: part::CONFIG, "zone {zone} is evacuated, by revision {revision}");
        }
        for zone in self.evacuations.in_force.difference(&zones) {
            log::info!(target: part::CONFIG, "zone {zone} is in use again, by revision {revision}");
        }
        let is_own = zones.contains(&self.membership.own().zone);
        self.dependencies.egress.set_evacuated(is_own);
        self.evacuations.in_force = zones;
        self.outdate_snapshot(Staleness::ConfigChanged);
    }

    fn publish_evacuations(&mut self, now: Time, origin: Origin) {
        let (directory, own) = (self.membership.directory(), self.membership.own());
        let receivers = self.evacuation_peers.receivers(now, directory, own, origin);
        let message = self.evacuation_message();
        for to in receivers {
            self.send_one_way(to, &message);
        }
    }

    fn evacuation_message(&self) -> StreamHead {
        StreamHead::Evacuations(self.evacuations.known.list().clone())
    }
}

async fn watch(source: Arc<dyn EvacuationSource>, handle: ControlHandle) {
    let mut limit = INITIAL_BACKOFF;
    let mut cursor = WatchCursor::default();
    let mut known = EvacuatedZones::default();
    loop {
        match read(&*source, &mut cursor, &mut known).await {
            Ok(list) => {
                limit = INITIAL_BACKOFF;
                if let Some(list) = list {
                    handle.send(Event::EvacuationsRead(list)).await;
                }
            }
            Err(err) => {
                if cursor.failed(&err) == Retry::AtOnce {
                    continue;
                }
                log::warn!(target: part::CONFIG, "the watch of evacuations failed: {err}");
                // Full jitter spreads the retries of many nodes after an outage.
                let wait = rand::rng().random_range(Duration::ZERO..=limit);
                tokio::time::sleep(wait).await;
                limit = (limit * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Reads the list of the store; `None` if it may lack changes. Such a list would keep out the
/// complete one of the same revision.
async fn read(
    source: &dyn EvacuationSource,
    cursor: &mut WatchCursor,
    known: &mut EvacuatedZones,
) -> Result<Option<EvacuationList>, Error> {
    match cursor.next_call() {
        NextCall::Load => {
            *known = source.load().await?;
            cursor.advanced(known.revision);
        }
        NextCall::Watch(revision) => {
            let changes = source.watch(revision, WATCH_WAIT).await?;
            if changes.is_partial {
                cursor.advanced_partially(changes.revision);
                return Ok(None);
            }
            known.apply(&changes);
            cursor.advanced(changes.revision);
        }
    }
    Ok(Some(EvacuationList::new(
        known.revision,
        known.zones.clone(),
    )))
}
