//! How much of the slots goes to requests of preceding ranks that arrive later.
//!
//! Load pattern: most requests are of a low rank, and some of a higher one arrive all
//! the time. A queued request of the low rank waits for those that are ahead of it, and for
//! those of the higher rank that arrive meanwhile. An estimate that leaves them out queues
//! requests that are refused only after their caller has waited in vain.
//!
//! Source: Cobham, "Priority Assignment in Waiting Line Problems", Operations Research 2(1),
//! 1954: work ahead of a request takes `1 / (1 - u)` times as long, where preceding ranks
//! use the fraction `u` of the server.

use knapweed_world::Rank;
use knapweed_world::load::RANKS;
use std::time::Duration;

/// The latest start has a weight of 1 in this many.
const SMOOTHING: u64 = 32;
/// Upper limit of the fraction, in percent. A rank that is refused for its wait has to be
/// queued again when the load of the preceding ranks ends.
const MAX_PERCENT: u64 = 75;

/// Work that was started while other requests waited, by rank.
#[derive(Debug, Default)]
pub(super) struct PrecedingWork {
    total_us: u64,
    /// Of it, the work of the ranks that precede each rank.
    preceding_us: [u64; RANKS],
}

impl PrecedingWork {
    /// A queued request of `rank` got a slot; it is expected to take `work_us`.
    pub(super) fn record_start(&mut self, rank: Rank, work_us: u64) {
        self.total_us = smoothed(self.total_us, work_us);
        for (index, preceding) in self.preceding_us.iter_mut().enumerate() {
            let counts = rank.index() < index;
            *preceding = smoothed(*preceding, if counts { work_us } else { 0 });
        }
    }

    /// How long `wait` takes for a request of `rank`, with the requests of preceding
    /// ranks that arrive meanwhile.
    pub(super) fn stretch(&self, wait: Duration, rank: Rank) -> Duration {
        let percent = self.preceding_us[rank.index()] * 100 / self.total_us.max(1);
        wait * 100 / (100 - percent.min(MAX_PERCENT)) as u32
    }
}

fn smoothed(old: u64, new: u64) -> u64 {
    old - old / SMOOTHING + new / SMOOTHING
}
