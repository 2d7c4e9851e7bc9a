//! Precedence of requests by organisation and route.

use crate::Rank;
use std::collections::BTreeSet;

/// Ranks of the pairs of an organisation's and a route's priority.
///
/// An organisation's priority goes before the route's. The ranks are dense, so that a
/// [`LoadReport`](crate::LoadReport) tells apart as many of them as it has entries.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RankTable {
    /// Pairs of priorities in their order; empty without organisations.
    precedences: Vec<(u8, u8)>,
}

impl RankTable {
    /// Builds the table for the priorities of all organisations and routes.
    pub fn new(
        organisations: impl IntoIterator<Item = u8>,
        routes: impl IntoIterator<Item = u8>,
    ) -> Self {
        let organisations: BTreeSet<_> = organisations.into_iter().collect();
        let routes: BTreeSet<_> = routes.into_iter().collect();
        let pairs = organisations
            .into_iter()
            .flat_map(|organisation| routes.iter().map(move |route| (organisation, *route)));
        Self {
            precedences: pairs.collect(),
        }
    }

    /// The rank of a request that is not nested. `organisation` is the priority of its
    /// organisation, and `route` that of its route.
    pub fn rank(&self, organisation: u8, route: u8) -> Rank {
        let place = self
            .precedences
            .partition_point(|p| *p < (organisation, route));
        match self.precedences.is_empty() {
            true => Rank::of(route, false),
            false => Rank::of(u8::try_from(place).unwrap_or(u8::MAX), false),
        }
    }
}
