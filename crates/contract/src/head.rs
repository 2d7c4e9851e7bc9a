//! The head object. Writing it commits a new version of the configuration.

use crate::parts::PartId;
use crate::{Digest, Item};
use bytes::Bytes;
use knapweed_store::{Object, ObjectKey, Revision};
use knapweed_world::config::CallerLimits;
use knapweed_world::organisation::CredentialPolicy;
use knapweed_world::{ConfigVersion, Name, TicketNumber, UnixMillis};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of tickets in [`Head::recent`].
pub const MAX_RECENT: usize = 64;
/// Maximum number of entries in [`Head::removed`].
pub const MAX_REMOVED: usize = 1_000;

/// Object kind of the head, which is the only object of this kind.
pub const KIND: &str = "mesh-config";

/// Returns the key of the head object.
pub fn key() -> ObjectKey {
    ObjectKey::new(KIND, "head")
}

/// The acceptance of a ticket.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Accepted {
    /// Number of the accepted ticket.
    pub ticket: TicketNumber,
    /// The configuration version that the ticket created.
    pub version: ConfigVersion,
    /// Time of acceptance.
    pub at: UnixMillis,
}

/// The removal of a service or route by a ticket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Removed {
    /// The removed service or route.
    pub item: Item,
    /// The ticket that removed it.
    pub ticket: TicketNumber,
    /// The first configuration version without the object.
    pub version: ConfigVersion,
}

/// The root of the configuration: version, digests of all parts, recently accepted
/// tickets and recent removals.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// The configuration version.
    pub version: ConfigVersion,
    /// Digest of the part of each service, by service name.
    pub services: BTreeMap<Name, Digest>,
    /// Digest of the part of each hash group of routes; groups without routes are
    /// absent.
    pub routes: BTreeMap<u8, Digest>,
    /// Digest of the part of each hash group of organisations; groups without
    /// organisations are absent.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub organisations: BTreeMap<u8, Digest>,
    /// The most recently accepted tickets, oldest first, at most [`MAX_RECENT`].
    pub recent: VecDeque<Accepted>,
    /// The most recent removals, oldest first, at most [`MAX_REMOVED`].
    pub removed: VecDeque<Removed>,
    /// Removals up to and including this version may be missing from `removed`.
    pub removals_forgotten_to: ConfigVersion,
    /// Limits that nodes apply to requests of callers.
    #[serde(default, skip_serializing_if = "CallerLimits::is_default")]
    pub limits: CallerLimits,
    /// Whether callers must present a credential of an organisation.
    #[serde(default, skip_serializing_if = "CredentialPolicy::is_not_required")]
    pub credentials: CredentialPolicy,
    /// Number of writes of the head without a new version. It makes the value
    /// differ, because the store assigns no new revision to an unchanged value.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub rewrites: u64,
}

fn is_zero(count: &u64) -> bool {
    *count == 0
}

/// Error for a head object that this release cannot decode.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the head object cannot be read: {0}")]
pub struct Error(pub String);

/// Conversion from and to the stored object.
impl Head {
    /// Decodes the head and its revision. An absent object is an empty head of
    /// version 0 with revision 0.
    pub fn decode(object: Option<&Object>) -> Result<(Revision, Self), Error> {
        let Some(object) = object else {
            return Ok((Revision::ABSENT, Self::default()));
        };
        let head = serde_json::from_slice(&object.value).map_err(|e| Error(e.to_string()))?;
        Ok((object.revision, head))
    }

    /// Encodes the value of the head object.
    pub fn encode(&self) -> Bytes {
        let json = serde_json::to_vec(self).expect("a head has only text keys");
        json.into()
    }
}

/// Lookups of parts, acceptances and removals.
impl Head {
    /// Iterates over the digests of all parts of the configuration.
    pub fn digests(&self) -> impl Iterator<Item = &Digest> {
        let services = self.services.values();
        services
            .chain(self.routes.values())
            .chain(self.organisations.values())
    }

    /// Iterates over the identities and digests of all parts of the configuration.
    pub fn parts(&self) -> impl Iterator<Item = (PartId, &Digest)> {
        let services = self.services.iter();
        let services = services.map(|(name, digest)| (PartId::Service(name.clone()), digest));
        let routes = self.routes.iter();
        let routes = routes.map(|(group, digest)| (PartId::Routes(*group), digest));
        let organisations = self.organisations.iter();
        let organisations =
            organisations.map(|(group, digest)| (PartId::Organisations(*group), digest));
        services.chain(routes).chain(organisations)
    }

    /// Returns the acceptance of a ticket if it is among the recent ones.
    pub fn accepted(&self, ticket: TicketNumber) -> Option<Accepted> {
        self.recent.iter().find(|a| a.ticket == ticket).copied()
    }

    /// Returns the recent ticket that the next acceptance evicts, if the list is full.
    pub fn next_evicted(&self) -> Option<Accepted> {
        let full = self.recent.len() >= MAX_RECENT;
        self.recent.front().copied().filter(|_| full)
    }

    /// Returns the latest known removal of an object.
    pub fn removal(&self, item: &Item) -> Option<&Removed> {
        self.removed.iter().rev().find(|r| r.item == *item)
    }
}

/// Construction of succeeding heads.
impl Head {
    /// Returns the head of the next configuration, whose parts are `parts` and whose
    /// newest ticket is `accepted`.
    pub fn successor(&self, parts: &crate::parts::ConfigParts, accepted: Accepted) -> Self {
        let mut next = self.clone();
        next.version = accepted.version;
        next.services = parts.services.clone();
        next.routes = parts.routes.clone();
        next.organisations = parts.organisations.clone();
        next.recent.push_back(accepted);
        while next.recent.len() > MAX_RECENT {
            next.recent.pop_front();
        }
        next
    }

    /// Returns the same head with a different encoded value, so that writing it
    /// assigns a new revision.
    pub fn rewritten(&self) -> Self {
        let mut next = self.clone();
        next.rewrites += 1;
        next
    }

    /// Records the objects that a ticket removes.
    ///
    /// `touched` contains all objects that the ticket changes or removes; their
    /// earlier removals are dropped.
    pub fn record_removals(&mut self, touched: &BTreeSet<Item>, removed: Vec<Removed>) {
        self.removed.retain(|r| !touched.contains(&r.item));
        self.removed.extend(removed);
        while self.removed.len() > MAX_REMOVED {
            if let Some(oldest) = self.removed.pop_front() {
                self.removals_forgotten_to = oldest.version;
            }
        }
    }
}
