//! Organisations: the customers whose callers share the mesh, with their credentials
//! and quotas.

use crate::{Name, QuotaTokens, RegionKey, RequestRate};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Length of a [`CredentialDigest`], in bytes.
const DIGEST_LEN: usize = 16;

/// Truncated BLAKE3 digest of a credential. Nodes hold and exchange credentials in this
/// form only. Its serialized form is 32 hexadecimal digits.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CredentialDigest([u8; DIGEST_LEN]);

/// Error for a text that is not the serialized form of a digest.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the digest of a credential has 32 hexadecimal digits")]
pub struct DigestError;

impl CredentialDigest {
    /// Computes the digest of `credential`.
    pub fn of(credential: &[u8]) -> Self {
        let mut digest = [0; DIGEST_LEN];
        digest.copy_from_slice(&blake3::hash(credential).as_bytes()[..DIGEST_LEN]);
        Self(digest)
    }
}

impl FromStr for CredentialDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        let is_digest = text.len() == 2 * DIGEST_LEN && text.is_ascii();
        let number = is_digest.then(|| u128::from_str_radix(text, 16).ok());
        let number = number.flatten().ok_or(DigestError)?;
        Ok(Self(number.to_be_bytes()))
    }
}

impl fmt::Display for CredentialDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

/// Hides the digest, so that it does not appear in logs.
impl fmt::Debug for CredentialDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CredentialDigest(..)")
    }
}

impl Serialize for CredentialDigest {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for CredentialDigest {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = String::deserialize(d)?;
        text.parse().map_err(de::Error::custom)
    }
}

/// Limit on the requests of an organisation, over all nodes together.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Quota {
    /// Requests per second in the long run.
    pub rate: RequestRate,
    /// Requests that may run beyond the rate, once.
    pub burst: u32,
}

/// Whether callers must present a credential.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum CredentialPolicy {
    /// The configuration has no organisations.
    #[default]
    NotRequired,
    /// The credential of a caller must be that of an organisation.
    Required,
    /// As [`CredentialPolicy::Required`], but some entries cannot be read: a credential that
    /// is not found may belong to one of them.
    Incomplete,
}

impl CredentialPolicy {
    /// Whether the configuration has no organisations.
    pub fn is_not_required(&self) -> bool {
        *self == Self::NotRequired
    }
}

/// An organisation in the accepted configuration.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrganisationConfig {
    /// Digests of the credentials of its callers.
    pub credentials: Vec<CredentialDigest>,
    /// Admission priority under overload, which precedes that of routes; 0 is the highest.
    #[serde(default)]
    pub priority: u8,
    /// Limit on its requests; `None` without one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<Quota>,
    /// Regions in which its requests may run and its bodies may be held; empty for all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub home_regions: Vec<Name>,
}

/// An organisation as an object of a snapshot.
#[derive(Clone, Debug)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: Name,
    /// Admission priority under overload, which precedes that of routes; 0 is the highest.
    pub priority: u8,
    /// Limit on its requests; `None` without one.
    pub quota: Option<Quota>,
    /// Tokens of its quota on the local host, shared between snapshots.
    pub tokens: Arc<QuotaTokens>,
    /// Regions in which its requests may run; `None` for all.
    pub homes: Option<Homes>,
}

/// Home regions of a route or an organisation, those of them that have hosts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Homes(pub Vec<RegionKey>);

impl Homes {
    /// Whether requests may run in `region`.
    pub fn contain(&self, region: RegionKey) -> bool {
        self.0.contains(&region)
    }
}
