//! Admission of requests by the quota of their organisation.

use knapweed_world::quota_tokens::Admitted;
use knapweed_world::{OrganisationKey, QuotaTokens, Snapshot, Time};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Decides whether a request is inside the quota of its organisation.
///
/// The decision reads published state only, and waits for nothing.
pub trait QuotaGate: Send + Sync {
    /// Admits a request of `organisation`.
    ///
    /// # Errors
    ///
    /// The quota is used up. The error is the time after which the caller should come back.
    fn admit(
        &self,
        snapshot: &Snapshot,
        organisation: OrganisationKey,
        now: Time,
    ) -> Result<Permit, Duration>;
}

/// A request that a [`QuotaGate`] has admitted.
#[derive(Debug, Default)]
pub struct Permit {
    /// `None` when the organisation has no quota.
    taken: Option<(Arc<QuotaTokens>, Admitted)>,
}

impl Permit {
    /// Returns what the request has taken: it has not run.
    pub fn give_back(self) {
        if let Some((tokens, admitted)) = self.taken {
            tokens.give_back(admitted);
        }
    }
}

/// Admits a request by a token of its organisation.
#[derive(Clone, Copy, Debug)]
pub struct TokenGate;

impl QuotaGate for TokenGate {
    fn admit(
        &self,
        snapshot: &Snapshot,
        organisation: OrganisationKey,
        now: Time,
    ) -> Result<Permit, Duration> {
        let organisation = snapshot.organisation(organisation);
        if organisation.quota.is_none() {
            return Ok(Permit::default());
        }
        let admitted = organisation.tokens.try_take(now)?;
        Ok(Permit {
            taken: Some((Arc::clone(&organisation.tokens), admitted)),
        })
    }
}

impl fmt::Debug for dyn QuotaGate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("QuotaGate")
    }
}
