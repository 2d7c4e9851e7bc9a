//! Registry of hosts in the object store, for the discovery of other nodes.
//!
//! A node writes its entry when it starts and reads the entries of the others; which
//! hosts are alive is found out by gossip. An outdated entry costs one failed
//! connection.

use super::{Controller, Event};
use knapweed_observe::part;
use knapweed_store::{Condition, Error, Listing, ObjectKey, ObjectStore};
use knapweed_world::{Name, Time};
use knapweed_zone::{Incarnation, MemberRecord};
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Object kind of the registry entries.
const KIND: &str = "mesh-hosts";
/// Longest wait before the first retry of a failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest wait before any retry: a host must be found again within two seconds
/// after the store is back.
const MAX_BACKOFF: Duration = Duration::from_millis(1_500);
/// Interval at which a node that knows no other node reads the registry.
const LOOKUP_INTERVAL: Duration = Duration::from_secs(2);

/// Registry entry of a host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Entry {
    /// Address at which its node accepts connections of other nodes.
    pub(crate) address: SocketAddr,
    /// Availability zone of the host.
    pub(crate) zone: Name,
    /// Region of the availability zone.
    pub(crate) region: Name,
    /// Incarnation of the node's process.
    pub(crate) incarnation: Incarnation,
}

impl Entry {
    fn of(record: &MemberRecord) -> Self {
        Self {
            address: record.address,
            zone: record.zone.clone(),
            region: record.region.clone(),
            incarnation: record.incarnation,
        }
    }
}

/// Time of the last registry lookup; `None` before the first.
#[derive(Debug, Default)]
pub(super) struct Registry {
    last_lookup: Option<Time>,
}

impl Controller {
    /// Registers this host once, and reads the registry while no other node is known.
    pub(super) fn registry_tick(&mut self, now: Time) {
        let knows_no_other_node = self.membership.directory().present().count() == 1;
        let last_lookup = self.registry.last_lookup;
        let is_due = last_lookup.is_none_or(|at| now.since(at) >= LOOKUP_INTERVAL);
        if !is_due || !(knows_no_other_node || last_lookup.is_none()) {
            return;
        }
        self.registry.last_lookup = Some(now);
        let own = self.membership.own();
        let (host, entry) = (own.host.clone(), Entry::of(own));
        let (store, handle) = (Arc::clone(&self.dependencies.store), self.handle.clone());
        tokio::spawn(async move {
            let listing = register(&*store, &host, &entry).await;
            handle.send(Event::Registered(entries(&listing))).await;
        });
    }

    /// Exchanges membership records with some registered nodes of each availability zone.
    pub(super) fn registry_read(&mut self, entries: Vec<(Name, Entry)>) {
        let now = self.now();
        self.registry.last_lookup = Some(now);
        let own = self.membership.own().address;
        let others = entries.into_iter().map(|(_, entry)| entry);
        let others: Vec<_> = others.filter(|entry| entry.address != own).collect();
        for address in some_of_each_zone(others) {
            self.fetch_members(address);
        }
    }
}

/// Addresses of a few hosts of each availability zone.
fn some_of_each_zone(mut entries: Vec<Entry>) -> Vec<SocketAddr> {
    /// Number of hosts contacted per availability zone; more than one, since entries
    /// may be outdated.
    const HOSTS_PER_ZONE: usize = 3;
    use rand::seq::SliceRandom;
    entries.shuffle(&mut rand::rng());
    entries.sort_by(|a, b| a.zone.cmp(&b.zone));
    let zones = entries.chunk_by(|a, b| a.zone == b.zone);
    let chosen = zones.flat_map(|zone| zone.iter().take(HOSTS_PER_ZONE));
    chosen.map(|entry| entry.address).collect()
}

/// Writes the entry of this host and lists all entries, retrying until both succeed.
async fn register(store: &dyn ObjectStore, host: &Name, entry: &Entry) -> Listing {
    let mut limit = INITIAL_BACKOFF;
    loop {
        match try_register(store, host, entry).await {
            Ok(listing) => return listing,
            Err(err) => {
                log::info!(target: part::MEMBER, "could not register this host: {err}");
                let wait = rand::rng().random_range(Duration::ZERO..=limit);
                tokio::time::sleep(wait).await;
                limit = (limit * 2).min(MAX_BACKOFF);
            }
        }
    }
}

async fn try_register(
    store: &dyn ObjectStore,
    host: &Name,
    entry: &Entry,
) -> Result<Listing, Error> {
    let key = ObjectKey::new(KIND, host.as_str());
    let value = serde_json::to_vec(entry).map_err(|e| Error::Malformed(e.to_string()))?;
    let written = store
        .write(&key, value.clone().into(), Condition::Absent)
        .await;
    if let Err(Error::Conflict { current, .. }) = written {
        let condition = current.map_or(Condition::Absent, Condition::Revision);
        store.write(&key, value.into(), condition).await?;
    } else {
        written?;
    }
    store.list(KIND).await
}

/// The entries of a listing, without those that cannot be decoded.
fn entries(listing: &Listing) -> Vec<(Name, Entry)> {
    let entries = listing.objects.iter().filter_map(|(key, object)| {
        let entry = serde_json::from_slice(&object.value);
        let entry = entry.inspect_err(|err| {
            log::warn!(target: part::MEMBER, "the entry {key} cannot be read: {err}");
        });
        Some((key.name().parse().ok()?, entry.ok()?))
    });
    entries.collect()
}
