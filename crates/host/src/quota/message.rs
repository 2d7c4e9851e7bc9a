//! The exchange of tokens between a host and the holder of a pool.

use super::purse::Batch;
use knapweed_world::{Time, Tokens};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Identifies the organisations with quotas of a configuration, and their quotas.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct TableTag(pub u64);

impl TableTag {
    pub(super) fn from_digest(digest: &blake3::Hash) -> Self {
        let mut first = [0; 8];
        first.copy_from_slice(&digest.as_bytes()[..8]);
        Self(u64::from_le_bytes(first))
    }
}

/// Position of an organisation in the table that a [`TableTag`] identifies.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct OrganisationIndex(pub u16);

impl OrganisationIndex {
    /// Index into the entries of the table.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// Identifies one reply of one holder. A holder accepts a deposit only with the stamp of
/// its last reply to the host, and each stamp once.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Stamp(pub u64);

/// Number of a request of one host process.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct RequestNumber(pub u64);

/// The last reply of the holder, returned to it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Echo {
    /// Stamp of that reply.
    pub stamp: Stamp,
    /// Time from the reply's arrival to this request on the host's clock, in microseconds.
    pub held_us: u64,
}

/// Tokens in a message, with their age when it was sent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Parcel {
    /// Age of the oldest token, in milliseconds, rounded up.
    pub age_ms: u32,
    /// Amount in millionths of a token.
    pub amount: u64,
}

impl Parcel {
    /// A parcel that is sent at `now`.
    pub fn pack(batch: Batch, now: Time) -> Self {
        let age = now.since(batch.minted_at).as_micros().div_ceil(1_000);
        Self {
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            amount: batch.amount.or_zero().0 as u64,
        }
    }

    /// Packs batches, oldest first, that are sent at `now` into at most two parcels: a message
    /// names one age for tokens of similar age.
    pub fn pack_all(batches: Vec<Batch>, now: Time) -> Vec<Self> {
        let middle = batches.len() / 2;
        let (older, younger) = batches.split_at(middle);
        let parcels = [older, younger].into_iter().filter_map(|batches| {
            let oldest = batches.first()?;
            let amount = batches.iter().map(|batch| batch.amount.0).sum();
            let amount = Tokens(amount);
            Some(Self::pack(Batch { amount, ..*oldest }, now))
        });
        parcels.collect()
    }

    /// The tokens of a parcel that arrived at `now` after at most `transit`. `None` when
    /// they were minted before this process started, whose clock cannot tell when.
    pub fn unpack(self, now: Time, transit: Duration) -> Option<Batch> {
        let age = Duration::from_millis(u64::from(self.age_ms)) + transit;
        let age_us = u64::try_from(age.as_micros()).ok()?;
        Some(Batch {
            minted_at: Time(now.0.checked_sub(age_us)?),
            amount: Tokens(i64::try_from(self.amount).ok()?),
        })
    }
}

/// The part of a request about one organisation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ask {
    /// The organisation.
    pub organisation: OrganisationIndex,
    /// Tokens that the host gives to the pool.
    pub deposits: Vec<Parcel>,
    /// Requests per second at the host, refused ones included, in thousandths.
    pub demand_milli: u32,
    /// Tokens that the host has overdrawn, in millionths.
    pub debt: u32,
    /// Tokens that it lacks beside these for the time until the next exchange, in
    /// millionths.
    pub shortage: u32,
}

/// Message of a host to the holder of the pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExchangeRequest {
    /// The quotas that the host follows. With others the holder does not exchange.
    pub table: TableTag,
    /// Number of the request, which the reply repeats.
    pub number: RequestNumber,
    /// The last reply; `None` when there is none that was not returned yet.
    pub echo: Option<Echo>,
    /// Organisations that the host has tokens or demand for.
    pub asks: Vec<Ask>,
}

/// How plentiful the tokens of an organisation are in the pool.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub enum Supply {
    /// The reserve is in use: hosts may not overdraw.
    Scarce,
    /// The reserve is there, or the host does not know.
    #[default]
    Tight,
    /// There is more than the reserve.
    Ample,
}

/// Tokens that a host gets.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// The organisation.
    pub organisation: OrganisationIndex,
    /// The tokens.
    pub parcels: Vec<Parcel>,
}

/// An organisation whose supply is not ample.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Shortage {
    /// The organisation.
    pub organisation: OrganisationIndex,
    /// Its supply.
    pub supply: Supply,
    /// Requests per second at all hosts, in thousandths.
    pub demand_milli: u32,
}

/// Reply of the holder.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExchangeReply {
    /// Number of the request.
    pub number: RequestNumber,
    /// Stamp to return with the next deposit.
    pub stamp: Stamp,
    /// Tokens for the host.
    pub grants: Vec<Grant>,
    /// Organisations whose supply is not ample.
    pub shortages: Vec<Shortage>,
}
