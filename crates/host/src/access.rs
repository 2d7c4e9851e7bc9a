//! Decides whether the caller of a request may use its route, and for which organisation.

use crate::NotRun;
use knapweed_world::organisation::CredentialPolicy;
use knapweed_world::{CredentialDigest, OrganisationKey, Route, Snapshot};

/// Why a request is not authorized.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// No organisation of the newest configuration holds the credential, or there is none.
    #[error("no organisation holds the credential of the request")]
    UnknownCredential,
    /// The credential was not found, and may belong to an organisation that the node does not
    /// know.
    #[error("the credential of the request may be that of an organisation that is not known")]
    UnverifiedCredential,
}

impl Error {
    /// The outcome that is reported to the caller.
    pub fn reason(self) -> NotRun {
        match self {
            Self::UnknownCredential => NotRun::UnknownCredential,
            Self::UnverifiedCredential => NotRun::UnverifiedCredential,
        }
    }
}

/// Determines the organisation of a request; `None` for a request that needs no credential and
/// has none that is known.
///
/// `is_current` tells whether the configuration of `snapshot` is known to be the newest one.
/// A credential that is not found is refused for good only by such a configuration, and only
/// if all of its organisations could be read. Nested calls have no credential and go to open
/// routes; a call is not admitted for being nested, which any caller could claim.
///
/// # Errors
///
/// The request needs a credential, and that of the caller is not found.
pub fn authorize(
    snapshot: &Snapshot,
    route: &Route,
    credential: Option<CredentialDigest>,
    is_current: bool,
) -> Result<Option<OrganisationKey>, Error> {
    let found = credential.and_then(|digest| snapshot.find_organisation(&digest));
    let policy = snapshot.credential_policy();
    if found.is_some() || policy.is_not_required() || route.is_open {
        return Ok(found);
    }
    match policy == CredentialPolicy::Required && is_current {
        true => Err(Error::UnknownCredential),
        false => Err(Error::UnverifiedCredential),
    }
}
