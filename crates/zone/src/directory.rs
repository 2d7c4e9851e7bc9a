//! In-memory table of the member records of all availability zones, with digests
//! for anti-entropy.

use crate::record::{MemberRecord, MemberState, Merge};
use crate::score::score;
use knapweed_world::{Name, Time};
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long the record of a dead member is kept as a tombstone, so that a late copy
/// cannot bring the member back.
pub const TOMBSTONE_TTL: Duration = Duration::from_secs(600);
/// Number of buckets in a [`Digest`]; hosts are assigned to buckets by hash.
pub const DIGEST_BUCKETS: usize = 64;

new_key_type! {
    /// Key of a member in a [`Directory`]; no longer resolves once the record is removed.
    pub struct MemberKey;
}

/// XOR of the checksums of all present members' records, per bucket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest(pub Vec<u64>);

/// A record sent in reply to a [`Digest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SharedRecord {
    /// The sender's copy of the record.
    pub record: MemberRecord,
    /// Age of the tombstone in milliseconds; 0 for a present member.
    ///
    /// Without the age, two nodes would renew a tombstone for each other forever.
    pub dead_for_ms: u32,
}

#[derive(Debug)]
struct Entry {
    record: MemberRecord,
    /// When the tombstone expires; `None` for a present member.
    expires: Option<Time>,
    bucket: usize,
    checksum: u64,
}

/// The records of all known members, indexed by host name and by node address.
#[derive(Debug, Default)]
pub struct Directory {
    members: SlotMap<MemberKey, Entry>,
    by_host: HashMap<Name, MemberKey>,
    by_address: HashMap<SocketAddr, MemberKey>,
}

/// Lookup and iteration.
impl Directory {
    /// The record of `key`; `None` once its tombstone has expired.
    pub fn get(&self, key: MemberKey) -> Option<&MemberRecord> {
        self.members.get(key).map(|e| &e.record)
    }

    /// Key of the member with this host name.
    pub fn find(&self, host: &Name) -> Option<MemberKey> {
        self.by_host.get(host).copied()
    }

    /// Key of the member with this node address.
    pub fn find_address(&self, address: SocketAddr) -> Option<MemberKey> {
        self.by_address.get(&address).copied()
    }

    /// All records, including tombstones.
    pub fn iter(&self) -> impl Iterator<Item = (MemberKey, &MemberRecord)> {
        self.members.iter().map(|(k, e)| (k, &e.record))
    }

    /// The records of members that are not dead.
    pub fn present(&self) -> impl Iterator<Item = (MemberKey, &MemberRecord)> {
        self.iter().filter(|(_, r)| r.is_present())
    }

    /// Number of records, including tombstones.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are no records, not even tombstones.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}

/// Merging, local changes and expiry.
impl Directory {
    /// Merges a copy of a record received from another node, or inserts it.
    pub fn merge(&mut self, now: Time, record: &MemberRecord) -> (MemberKey, Merge) {
        let Some(key) = self.find(&record.host) else {
            return (self.insert(now, record.clone()), Merge::Content);
        };
        let entry = &mut self.members[key];
        let address = entry.record.address;
        let outcome = entry.record.merge(record);
        if outcome == Merge::Content {
            entry.update(now);
        }
        let current = entry.record.address;
        if address != current {
            self.by_address.remove(&address);
            self.by_address.insert(current, key);
        }
        (key, outcome)
    }

    /// Merges a record together with the age of its tombstone, which can make
    /// the local tombstone expire earlier but not later.
    pub fn merge_shared(&mut self, now: Time, shared: &SharedRecord) -> (MemberKey, Merge) {
        let (key, outcome) = self.merge(now, &shared.record);
        let age = Duration::from_millis(u64::from(shared.dead_for_ms));
        let shared_expiry = now.after(TOMBSTONE_TTL.saturating_sub(age));
        if let Some(expires) = &mut self.members[key].expires {
            *expires = (*expires).min(shared_expiry);
        }
        (key, outcome)
    }

    /// Raises the state of a member without a new sequence number, as a suspicion or a
    /// timeout does; `false` when the state is at least that high already.
    pub fn raise_state(&mut self, now: Time, key: MemberKey, state: MemberState) -> bool {
        let Some(entry) = self.members.get_mut(key) else {
            return false;
        };
        if entry.record.state >= state {
            return false;
        }
        entry.record.state = state;
        entry.update(now);
        true
    }

    /// Applies `change` to the record of `key` and returns its result; `None` when
    /// there is no such record.
    pub(crate) fn change<T>(
        &mut self,
        now: Time,
        key: MemberKey,
        change: impl FnOnce(&mut MemberRecord) -> T,
    ) -> Option<T> {
        let entry = self.members.get_mut(key)?;
        let precedence = entry.record.precedence();
        let result = change(&mut entry.record);
        if entry.record.precedence() != precedence {
            entry.update(now);
        }
        Some(result)
    }

    /// Removes tombstones older than [`TOMBSTONE_TTL`].
    pub fn expire(&mut self, now: Time) {
        let expired: Vec<_> = self
            .members
            .iter()
            .filter(|(_, e)| e.is_expired(now))
            .map(|(k, _)| k)
            .collect();
        for key in expired {
            self.remove(key);
        }
    }

    fn insert(&mut self, now: Time, record: MemberRecord) -> MemberKey {
        let (host, address) = (record.host.clone(), record.address);
        let mut entry = Entry {
            record,
            expires: None,
            bucket: bucket(&host),
            checksum: 0,
        };
        entry.update(now);
        let key = self.members.insert(entry);
        self.by_host.insert(host, key);
        self.by_address.insert(address, key);
        key
    }

    fn remove(&mut self, key: MemberKey) {
        let Some(entry) = self.members.remove(key) else {
            return;
        };
        self.by_host.remove(&entry.record.host);
        if self.find_address(entry.record.address) == Some(key) {
            self.by_address.remove(&entry.record.address);
        }
    }
}

/// Anti-entropy: comparison of two directories by digest.
impl Directory {
    /// Digest of the records of present members.
    ///
    /// Tombstones are excluded, because nodes drop them at different times.
    pub fn digest(&self) -> Digest {
        let mut buckets = vec![0; DIGEST_BUCKETS];
        for entry in self.members.values().filter(|e| e.record.is_present()) {
            buckets[entry.bucket] ^= entry.checksum;
        }
        Digest(buckets)
    }

    /// The records, including tombstones, of all buckets whose checksum in `digest`
    /// differs from the local one.
    pub fn differing_records(&self, now: Time, digest: &Digest) -> Vec<SharedRecord> {
        let own = self.digest();
        let differs = |index: usize| digest.0.get(index) != own.0.get(index);
        let entries = self.members.values();
        let entries = entries.filter(|e| differs(e.bucket) && !e.is_expired(now));
        entries.map(|e| e.share(now)).collect()
    }
}

impl Entry {
    /// Recomputes the checksum and the expiry of the tombstone after a change of the record.
    fn update(&mut self, now: Time) {
        self.checksum = checksum(&self.record);
        match (self.record.state, self.expires) {
            (MemberState::Dead, None) => self.expires = Some(now.after(TOMBSTONE_TTL)),
            (MemberState::Dead, Some(_)) => {}
            _ => self.expires = None,
        }
    }

    fn is_expired(&self, now: Time) -> bool {
        self.expires.is_some_and(|expires| now >= expires)
    }

    fn share(&self, now: Time) -> SharedRecord {
        let age = self.expires.map_or(Duration::ZERO, |expires| {
            TOMBSTONE_TTL.saturating_sub(expires.since(now))
        });
        SharedRecord {
            record: self.record.clone(),
            dead_for_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

fn bucket(host: &Name) -> usize {
    (score(&[host.as_bytes()]) % DIGEST_BUCKETS as u64) as usize
}

fn checksum(record: &MemberRecord) -> u64 {
    score(&[
        record.host.as_bytes(),
        &record.incarnation.0.to_le_bytes(),
        &record.sequence.0.to_le_bytes(),
        &[record.state as u8],
    ])
}
