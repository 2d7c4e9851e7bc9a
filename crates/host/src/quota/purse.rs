//! Tokens of one organisation, by the time at which they were minted.

use knapweed_world::{Time, Tokens};
use std::collections::VecDeque;

/// Number of batches that a purse tells apart. Beyond that, neighbours are merged, which
/// makes the younger tokens count as old as the older ones.
const MAX_BATCHES: usize = 16;

/// Tokens that count as minted at the same time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Batch {
    /// Lower bound of the time at which they were minted.
    pub minted_at: Time,
    /// Amount, at least zero.
    pub amount: Tokens,
}

/// Tokens in the order of their age.
#[derive(Clone, Debug, Default)]
pub struct Purse {
    /// Oldest first.
    batches: VecDeque<Batch>,
    total: i64,
}

/// Inspection.
impl Purse {
    /// All tokens.
    pub fn total(&self) -> Tokens {
        Tokens(self.total)
    }

    /// When the oldest was minted; `None` when the purse is empty.
    pub fn oldest(&self) -> Option<Time> {
        self.batches.front().map(|batch| batch.minted_at)
    }
}

/// Changes.
impl Purse {
    /// Adds a batch.
    pub fn add(&mut self, batch: Batch) {
        if batch.amount <= Tokens::ZERO {
            return;
        }
        self.total += batch.amount.0;
        let at = self
            .batches
            .partition_point(|b| b.minted_at <= batch.minted_at);
        self.batches.insert(at, batch);
        if self.batches.len() > MAX_BATCHES {
            self.merge_closest();
        }
    }

    /// Removes the tokens that were minted before `time`.
    pub fn expire(&mut self, time: Time) {
        while let Some(batch) = self.batches.front() {
            if batch.minted_at >= time {
                return;
            }
            self.total -= batch.amount.0;
            self.batches.pop_front();
        }
    }

    /// Removes the oldest tokens until `amount` is left.
    pub fn trim_to(&mut self, amount: Tokens) {
        let excess = Tokens(self.total - amount.or_zero().0);
        drop(self.take_oldest(excess));
    }

    /// Removes up to `amount` of the oldest tokens, and returns them.
    pub fn take_oldest(&mut self, amount: Tokens) -> Vec<Batch> {
        self.take_since(Time::default(), amount)
    }

    /// Removes up to `amount` of the oldest tokens that were minted at `since` or later, and
    /// returns them.
    pub fn take_since(&mut self, since: Time, amount: Tokens) -> Vec<Batch> {
        let start = self.batches.partition_point(|b| b.minted_at < since);
        let mut left = amount.or_zero().0;
        let mut taken = Vec::new();
        while left > 0 && start < self.batches.len() {
            let batch = self.batches[start];
            let part = batch.amount.0.min(left);
            if part < batch.amount.0 {
                self.batches[start].amount.0 -= part;
            } else {
                self.batches.remove(start);
            }
            left -= part;
            self.total -= part;
            taken.push(Batch {
                amount: Tokens(part),
                ..batch
            });
        }
        taken
    }

    /// Multiplies all amounts by `factor`, at most 1.
    pub fn scale(&mut self, factor: f64) {
        for batch in &mut self.batches {
            batch.amount = Tokens::from_f64(batch.amount.as_f64() * factor.clamp(0.0, 1.0));
        }
        self.total = self.batches.iter().map(|batch| batch.amount.0).sum();
    }

    /// Merges the two neighbours whose times are closest.
    fn merge_closest(&mut self) {
        let gap = |i: &usize| {
            self.batches[i + 1]
                .minted_at
                .since(self.batches[*i].minted_at)
        };
        let Some(at) = (0..self.batches.len() - 1).min_by_key(gap) else {
            return;
        };
        if let Some(younger) = self.batches.remove(at + 1) {
            self.batches[at].amount.0 += younger.amount.0;
        }
    }
}
