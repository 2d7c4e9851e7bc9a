//! Policies that the model compares.

use crate::baseline::{FifoQueue, RandomChoice};
use knapweed_host::admission::{Admission, ObjectiveQueue, Options};
use knapweed_host::choice::{ExpectedTime, ServerChoice};

/// Length limit of a fixed queue, per slot.
const LIMIT_PER_SLOT: usize = 2;

/// A choice of backend servers, combined with an admission of requests.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Policy {
    /// Server choice and admission of the product.
    Product,
    /// Server choice of the product, and queues with a fixed limit.
    FixedLimit,
    /// Random server choice, and queues with a fixed limit.
    RandomFixedLimit,
    /// Random server choice, and queues without a limit.
    RandomUnlimited,
}

impl Policy {
    /// All policies: the product first, then the baselines.
    pub const ALL: [Self; 4] = [
        Self::Product,
        Self::FixedLimit,
        Self::RandomFixedLimit,
        Self::RandomUnlimited,
    ];

    /// Name in tables and plots.
    pub fn name(self) -> &'static str {
        match self {
            Self::Product => "product",
            Self::FixedLimit => "fixed limit",
            Self::RandomFixedLimit => "random, fixed limit",
            Self::RandomUnlimited => "random, first come",
        }
    }

    /// Creates the server choice of the ingresses.
    pub fn choice(self) -> Box<dyn ServerChoice> {
        match self {
            Self::Product | Self::FixedLimit => Box::new(ExpectedTime::default()),
            Self::RandomFixedLimit | Self::RandomUnlimited => Box::new(RandomChoice),
        }
    }

    /// Creates the admission of the egress of a backend server with `slots` slots.
    pub fn admission(self, slots: u16) -> Box<dyn Admission> {
        let limit = LIMIT_PER_SLOT * usize::from(slots);
        match self {
            Self::Product => Box::new(ObjectiveQueue::new(Options::new(slots))),
            Self::FixedLimit | Self::RandomFixedLimit => {
                Box::new(FifoQueue::new(slots, Some(limit)))
            }
            Self::RandomUnlimited => Box::new(FifoQueue::new(slots, None)),
        }
    }
}
