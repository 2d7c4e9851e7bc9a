//! Content-addressed parts into which the configuration is split for storage.

use crate::{Digest, Head};
use bytes::Bytes;
use knapweed_store::{Object, ObjectKey, Revision};
use knapweed_world::config::{RouteConfig, ServiceConfig};
use knapweed_world::{Config, Name, OrganisationConfig, TicketNumber};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::fmt;

/// Number of hash groups into which routes are divided; each is stored as one part.
pub const ROUTE_GROUPS: u8 = 16;
/// Number of hash groups into which organisations are divided; each is stored as one part.
pub const ORGANISATION_GROUPS: u8 = 16;
/// Maximum length of a part, in bytes; the object store accepts at most 1,000,000.
pub const MAX_PART_LEN: usize = 900_000;
/// Object kind of parts.
pub const KIND: &str = "mesh-parts";

/// Returns the key of the object that holds the part with this digest.
pub fn key(digest: &Digest) -> ObjectKey {
    ObjectKey::new(KIND, digest.to_string())
}

/// Parses the digest from the key of a part object; `None` for any other key.
pub fn digest_from_key(key: &ObjectKey) -> Option<Digest> {
    let is_part = key.kind() == KIND;
    is_part.then(|| key.name().parse().ok()).flatten()
}

/// The filing that wrote a part object.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WrittenFor {
    /// The filed ticket.
    pub ticket: TicketNumber,
    /// Revision of the head that its head write requires.
    pub head: Revision,
}

/// The value of a part object.
///
/// The content is a string, because the store may reformat JSON, which would
/// change the digest. `written_for` makes the value differ from the one that an
/// earlier filing wrote, because the store assigns no new revision to an
/// unchanged value.
#[derive(Deserialize, Serialize)]
struct PartObject<'a> {
    content: Cow<'a, str>,
    written_for: WrittenFor,
}

/// Encodes the value of the object that holds a part.
pub fn encode_object(content: &Bytes, written_for: WrittenFor) -> Bytes {
    let object = PartObject {
        content: String::from_utf8_lossy(content),
        written_for,
    };
    encode(&object)
}

/// Decodes the content of a part from its object. Does not verify the digest.
///
/// # Errors
///
/// Fails if the value is not that of a part object.
pub fn decode_object(object: &Object) -> Result<Bytes, serde_json::Error> {
    let part: PartObject<'_> = serde_json::from_slice(&object.value)?;
    Ok(Bytes::from(part.content.into_owned()))
}

/// Returns the hash group of a route, below [`ROUTE_GROUPS`].
pub fn route_group(route: &Name) -> u8 {
    Digest::of(route.as_bytes()).as_bytes()[0] % ROUTE_GROUPS
}

/// Returns the hash group of an organisation, below [`ORGANISATION_GROUPS`].
pub fn organisation_group(organisation: &Name) -> u8 {
    Digest::of(organisation.as_bytes()).as_bytes()[0] % ORGANISATION_GROUPS
}

/// Identifies the objects that a part holds.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum PartId {
    /// The service with this name.
    Service(Name),
    /// The routes of the hash group with this number; see [`route_group`].
    Routes(u8),
    /// The organisations of the hash group with this number; see [`organisation_group`].
    Organisations(u8),
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Service(name) => write!(f, "service {name}"),
            Self::Routes(group) => write!(f, "route group {group}"),
            Self::Organisations(group) => write!(f, "organisation group {group}"),
        }
    }
}

/// Error of assembling a configuration from its parts.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The cache lacks a part.
    #[error("the part of {id} with digest {digest} is missing")]
    Missing {
        /// Identity of the missing part.
        id: PartId,
        /// Digest of the missing part.
        digest: Digest,
    },
    /// The content of a part does not have its digest.
    #[error("the content of the part of {id} does not have the digest {digest}")]
    WrongDigest {
        /// Identity of the part according to the head.
        id: PartId,
        /// The expected digest.
        digest: Digest,
    },
    /// The content of a part cannot be decoded.
    #[error("the part of {id} cannot be read: {message}")]
    Malformed {
        /// Identity of the part according to the head.
        id: PartId,
        /// Message of the decoder.
        message: String,
    },
    /// A part holds an object that belongs to another part.
    #[error("the part of {id} holds {name}, which belongs to another part")]
    Misplaced {
        /// Identity of the part according to the head.
        id: PartId,
        /// Name of the unexpected object.
        name: Name,
    },
}

#[derive(Deserialize, Serialize)]
struct ServicePart {
    name: Name,
    config: ServiceConfig,
}

type RoutePart = BTreeMap<Name, RouteConfig>;
type OrganisationPart = BTreeMap<Name, OrganisationConfig>;

/// A configuration that is split into parts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ConfigParts {
    /// Digest of the part of each service, by service name.
    pub services: BTreeMap<Name, Digest>,
    /// Digest of the part of each hash group of routes.
    pub routes: BTreeMap<u8, Digest>,
    /// Digest of the part of each hash group of organisations.
    pub organisations: BTreeMap<u8, Digest>,
    /// Content of each part, by digest.
    pub contents: BTreeMap<Digest, Bytes>,
}

/// Splits a configuration into parts.
pub fn split(config: &Config) -> ConfigParts {
    let mut parts = ConfigParts::default();
    for (name, content) in service_contents(config) {
        let digest = parts.add(content);
        parts.services.insert(name, digest);
    }
    for (group, content) in route_contents(config) {
        let digest = parts.add(content);
        parts.routes.insert(group, digest);
    }
    for (group, content) in organisation_contents(config) {
        let digest = parts.add(content);
        parts.organisations.insert(group, digest);
    }
    parts
}

/// Returns the length of a part of routes or organisations that exceeds [`MAX_PART_LEN`], if any.
pub fn oversized_part_len(config: &Config) -> Option<usize> {
    let contents = route_contents(config).chain(organisation_contents(config));
    let mut lens = contents.map(|(_, content)| content.len());
    lens.find(|len| *len > MAX_PART_LEN)
}

fn service_contents(config: &Config) -> impl Iterator<Item = (Name, Bytes)> + '_ {
    config.services.iter().map(|(name, service)| {
        let part = ServicePart {
            name: name.clone(),
            config: service.clone(),
        };
        (name.clone(), encode(&part))
    })
}

fn route_contents(config: &Config) -> impl Iterator<Item = (u8, Bytes)> + '_ {
    group_contents(&config.routes, route_group)
}

fn organisation_contents(config: &Config) -> impl Iterator<Item = (u8, Bytes)> + '_ {
    group_contents(&config.organisations, organisation_group)
}

/// The encoded parts of objects that are divided into hash groups by their names.
fn group_contents<T: Serialize>(
    objects: &BTreeMap<Name, T>,
    group_of: fn(&Name) -> u8,
) -> impl Iterator<Item = (u8, Bytes)> + use<'_, T> {
    let mut groups: BTreeMap<u8, BTreeMap<&Name, &T>> = BTreeMap::new();
    for (name, object) in objects {
        let group = groups.entry(group_of(name)).or_default();
        group.insert(name, object);
    }
    let contents = groups.into_iter();
    contents.map(|(group, part)| (group, encode(&part)))
}

fn encode(part: &impl Serialize) -> Bytes {
    let json = serde_json::to_vec(part).expect("a part has only text keys");
    json.into()
}

impl ConfigParts {
    fn add(&mut self, content: Bytes) -> Digest {
        let digest = Digest::of(&content);
        self.contents.insert(digest, content);
        digest
    }
}

/// In-memory cache of part contents by digest.
#[derive(Clone, Debug, Default)]
pub struct PartCache(HashMap<Digest, Bytes>);

/// Lookups of cached and missing parts.
impl PartCache {
    /// Returns the content of a cached part.
    pub fn get(&self, digest: &Digest) -> Option<&Bytes> {
        self.0.get(digest)
    }

    /// Returns the digests of the parts of `head` that are not cached, sorted.
    pub fn missing(&self, head: &Head) -> Vec<Digest> {
        let missing = head.digests().filter(|d| !self.0.contains_key(*d));
        let unique: BTreeSet<_> = missing.copied().collect();
        unique.into_iter().collect()
    }
}

/// Insertion and removal of parts.
impl PartCache {
    /// Adds a part under the digest of its content, and returns the digest.
    pub fn insert(&mut self, content: Bytes) -> Digest {
        let digest = Digest::of(&content);
        self.0.insert(digest, content);
        digest
    }

    /// Removes every part that `head` does not refer to.
    pub fn retain(&mut self, head: &Head) {
        let used: HashSet<_> = head.digests().collect();
        self.0.retain(|digest, _| used.contains(digest));
    }
}

/// Assembles the configuration of a head from cached parts and verifies every
/// digest.
pub fn join(head: &Head, cache: &PartCache) -> Result<Config, Error> {
    let mut config = Config {
        version: head.version,
        limits: head.limits,
        credentials: head.credentials,
        ..Config::default()
    };
    for (name, digest) in &head.services {
        let id = PartId::Service(name.clone());
        let part: ServicePart = decode(&id, digest, cache)?;
        if part.name != *name {
            let name = part.name;
            return Err(Error::Misplaced { id, name });
        }
        config.services.insert(part.name, part.config);
    }
    for (group, digest) in &head.routes {
        let id = PartId::Routes(*group);
        let part: RoutePart = decode(&id, digest, cache)?;
        check_group(&id, part.keys(), |name| route_group(name) == *group)?;
        config.routes.extend(part);
    }
    for (group, digest) in &head.organisations {
        let id = PartId::Organisations(*group);
        let part: OrganisationPart = decode(&id, digest, cache)?;
        check_group(&id, part.keys(), |name| organisation_group(name) == *group)?;
        config.organisations.extend(part);
    }
    Ok(config)
}

/// Fails if a part of a hash group holds an object of another one.
fn check_group<'a>(
    id: &PartId,
    mut names: impl Iterator<Item = &'a Name>,
    is_member: impl Fn(&Name) -> bool,
) -> Result<(), Error> {
    match names.find(|name| !is_member(name)) {
        Some(name) => Err(Error::Misplaced {
            id: id.clone(),
            name: name.clone(),
        }),
        None => Ok(()),
    }
}

fn decode<T: for<'de> Deserialize<'de>>(
    id: &PartId,
    digest: &Digest,
    cache: &PartCache,
) -> Result<T, Error> {
    let id = || id.clone();
    let digest = *digest;
    let content = cache
        .get(&digest)
        .ok_or_else(|| Error::Missing { id: id(), digest })?;
    if Digest::of(content) != digest {
        return Err(Error::WrongDigest { id: id(), digest });
    }
    serde_json::from_slice(content).map_err(|e| Error::Malformed {
        id: id(),
        message: e.to_string(),
    })
}
