//! Registry of hosts in the object store, for the discovery of other nodes.
//!
//! A node that starts reads the entries, and writes its own unless it is there from an
//! earlier process; which hosts are alive is found out by gossip. An outdated entry costs
//! one failed connection. After the store has come back from an older copy, the node that
//! keeps objects there writes the entries of the members that are missing.

use super::{Controller, Event};
use knapweed_observe::part;
use knapweed_store::{Condition, Error, Listing, ObjectKey, ObjectStore, Revision};
use knapweed_world::{Name, Time};
use knapweed_zone::{Incarnation, MemberRecord, MemberState, floor};
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
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

/// Time between two writes of lost entries, which leaves nine tenths of the platform's
/// rate limit to other writers.
const LOST_ENTRY_INTERVAL: Duration = Duration::from_millis(25);
/// Attempts to write lost entries while calls fail.
const MAX_LOST_ATTEMPTS: u32 = 20;

/// Registry entry of a host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Address at which its node accepts connections of other nodes.
    pub address: SocketAddr,
    /// Availability zone of the host.
    pub zone: Name,
    /// Region of the availability zone.
    pub region: Name,
    /// Incarnation of the node's process.
    pub incarnation: Incarnation,
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

    fn is_replaced_by(&self, other: &Self) -> bool {
        self.address != other.address && self.incarnation < other.incarnation
    }
}

/// Calls to the store for the registry.
#[derive(Debug, Default)]
pub(super) struct Registry {
    /// Time of the last lookup; `None` before the first.
    last_lookup: Option<Time>,
    /// Whether the store may have lost entries since this node has compared them.
    is_unchecked: bool,
}

impl Registry {
    /// Lets the node that keeps objects in the store compare the entries with the members,
    /// because the store may have lost some.
    pub(super) fn check_entries(&mut self) {
        self.is_unchecked = true;
    }
}

impl Controller {
    /// Registers this host once, and reads the registry while no other node is known.
    pub(super) fn registry_tick(&mut self, now: Time) {
        self.write_lost_entries();
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

    /// Writes the entries of members that the store has lost, if this node has the duty to
    /// keep objects there. A node that knows no other registers itself, see
    /// [`Self::registry_tick`].
    fn write_lost_entries(&mut self) {
        if !self.membership.role().keeps_tickets || !self.registry.is_unchecked {
            return;
        }
        self.registry.is_unchecked = false;
        let members = self.membership.directory().present().map(|(_, r)| r);
        let staying = members.filter(|r| r.state != MemberState::Leaving);
        let members: Vec<_> = staying.map(|r| (r.host.clone(), Entry::of(r))).collect();
        let store = Arc::clone(&self.dependencies.store);
        tokio::spawn(async move { write_lost(&*store, &members).await });
    }

    /// Exchanges membership records with some registered nodes of each availability zone. An
    /// empty registry is no lookup: the store may have lost its entries.
    pub(super) fn registry_read(&mut self, entries: Vec<(Name, Entry)>) {
        let now = self.now();
        self.registry.last_lookup = Some(now);
        let own = self.membership.own().address;
        let others = entries.into_iter().map(|(_, entry)| entry);
        let others: Vec<_> = others.filter(|entry| entry.address != own).collect();
        let own = self.membership.own();
        let (zone, region) = (own.zone.clone(), own.region.clone());
        let contacts = contacts(others, &zone, &region).into_iter();
        let fetches: Vec<_> = contacts
            .map(|address| self.fetch_members(address))
            .collect();
        if fetches.is_empty() {
            return;
        }
        let handle = self.handle.clone();
        tokio::spawn(async move {
            for fetch in fetches {
                // One that failed has ended too.
                let _ = fetch.await;
            }
            handle.send(Event::Floor(floor::Event::LookupEnded)).await;
        });
    }
}

/// Number of hosts of the own availability zone that a starting node contacts; more than
/// one, since entries may be outdated.
const ZONE_CONTACTS: usize = 3;

/// Addresses of some hosts of the own availability zone, of one host of each other one of
/// the region, and of one host of each other region.
pub fn contacts(mut entries: Vec<Entry>, zone: &Name, region: &Name) -> Vec<SocketAddr> {
    use rand::seq::SliceRandom;
    entries.shuffle(&mut rand::rng());
    let place = |entry: &Entry| match entry.region == *region {
        true => (entry.region.clone(), Some(entry.zone.clone())),
        false => (entry.region.clone(), None),
    };
    entries.sort_by_key(place);
    let places = entries.chunk_by(|a, b| place(a) == place(b));
    let chosen = places.flat_map(|place| match place[0].zone == *zone {
        true => place.iter().take(ZONE_CONTACTS),
        false => place.iter().take(1),
    });
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

/// Writes the entry of this host unless it is there already, and lists all entries.
///
/// # Errors
///
/// A call to the store failed.
pub async fn try_register(
    store: &dyn ObjectStore,
    host: &Name,
    entry: &Entry,
) -> Result<Listing, Error> {
    let listing = store.list_outdated(KIND).await?;
    let known = entries(&listing);
    let is_registered = known
        .iter()
        .any(|(name, known)| name == host && known.address == entry.address);
    let knows_others = known.iter().any(|(name, _)| name != host);
    if !is_registered {
        write_entry(store, host, entry).await?;
    }
    // Without others in the listing, this host cannot tell an outdated listing from an
    // empty mesh.
    match knows_others {
        true => Ok(listing),
        false => store.list(KIND).await,
    }
}

async fn write_entry(store: &dyn ObjectStore, host: &Name, entry: &Entry) -> Result<(), Error> {
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
    Ok(())
}

/// Compares the registry with the members, and writes what is missing, with retries.
async fn write_lost(store: &dyn ObjectStore, members: &[(Name, Entry)]) {
    let mut limit = INITIAL_BACKOFF;
    for _ in 0..MAX_LOST_ATTEMPTS {
        match try_write_lost(store, members).await {
            Ok(0) => return,
            Ok(count) => {
                log::info!(target: part::MEMBER, "wrote {count} lost entries of hosts");
                return;
            }
            Err(err) => log::info!(target: part::MEMBER, "could not write lost entries: {err}"),
        }
        let wait = rand::rng().random_range(Duration::ZERO..=limit);
        tokio::time::sleep(wait).await;
        limit = (limit * 2).min(MAX_BACKOFF);
    }
}

/// Writes the entries of `members` that are absent or of an earlier process at another
/// address; returns their number.
///
/// # Errors
///
/// A call to the store failed. Entries that other nodes write meanwhile are no failure.
async fn try_write_lost(
    store: &dyn ObjectStore,
    members: &[(Name, Entry)],
) -> Result<usize, Error> {
    let listing = store.list(KIND).await?;
    let lost = lost_entries(&listing, members);
    for (host, entry, condition) in &lost {
        let key = ObjectKey::new(KIND, host.as_str());
        let value = serde_json::to_vec(entry).map_err(|e| Error::Malformed(e.to_string()))?;
        match store.write(&key, value.into(), *condition).await {
            Ok(_) | Err(Error::Conflict { .. }) => {}
            Err(err) => return Err(err),
        }
        tokio::time::sleep(LOST_ENTRY_INTERVAL).await;
    }
    Ok(lost.len())
}

/// The members whose entry is absent or of an earlier process at another address, with the
/// condition of its write.
fn lost_entries<'a>(
    listing: &Listing,
    members: &'a [(Name, Entry)],
) -> Vec<(&'a Name, &'a Entry, Condition)> {
    let stored: BTreeMap<&str, (Revision, Option<Entry>)> = listing
        .objects
        .iter()
        .map(|(key, object)| {
            let entry = serde_json::from_slice(&object.value).ok();
            (key.name(), (object.revision, entry))
        })
        .collect();
    let lost = members.iter().filter_map(|(host, entry)| {
        let condition = match stored.get(host.as_str()) {
            None => Condition::Absent,
            Some((revision, Some(old))) if old.is_replaced_by(entry) => {
                Condition::Revision(*revision)
            }
            Some(_) => return None,
        };
        Some((host, entry, condition))
    });
    lost.collect()
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
