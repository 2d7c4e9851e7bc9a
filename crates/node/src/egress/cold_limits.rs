//! The limits of cold backend servers, which the configuration and the settings state.

use arc_swap::ArcSwap;
use knapweed_host::admission::ColdAllowance;
use knapweed_world::{Name, RequestRate};
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;

/// Limits of cold backend servers by service, shared by the dispatchers of an egress.
#[derive(Debug, Default)]
pub(super) struct ColdLimits {
    rates: ArcSwap<HashMap<Name, RequestRate>>,
    allowance: Mutex<ColdAllowance>,
}

impl ColdLimits {
    /// Replaces the limits; returns whether any has changed.
    pub(super) fn set_rates(&self, rates: HashMap<Name, RequestRate>) -> bool {
        if **self.rates.load() == rates {
            return false;
        }
        self.rates.store(Arc::new(rates));
        true
    }

    /// Replaces what cold backend servers may get beyond their limits.
    pub(super) fn set_allowance(&self, allowance: ColdAllowance) {
        *self.allowance.lock() = allowance;
    }

    /// What cold backend servers may get beyond their limits.
    pub(super) fn allowance(&self) -> ColdAllowance {
        *self.allowance.lock()
    }

    /// Limit of the cold backend servers of a service; `None` without one.
    pub(super) fn rate(&self, service: &Name) -> Option<RequestRate> {
        self.rates.load().get(service).copied()
    }
}
