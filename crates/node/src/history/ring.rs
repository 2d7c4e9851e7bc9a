//! A bounded queue of buckets of equal length.

use knapweed_observe::history::Bucket;
use std::collections::VecDeque;

/// Initial capacity of a ring, in buckets.
const INITIAL_CAPACITY: usize = 16;

/// The newest buckets of one service; periods without a request have no bucket.
#[derive(Debug)]
pub(super) struct Ring {
    period_s: u32,
    max_len: usize,
    buckets: VecDeque<Bucket>,
}

impl Ring {
    /// An empty ring that covers `max_len` periods of `period_s` seconds.
    pub(super) fn new(period_s: u32, max_len: usize) -> Self {
        Self {
            period_s,
            max_len,
            buckets: VecDeque::new(),
        }
    }

    /// Adds the counts of a bucket to the period that contains it.
    ///
    /// After the clock is set back they go to the newest period, so that periods
    /// stay in order.
    pub(super) fn add(&mut self, bucket: &Bucket) {
        let start_s = bucket.start_s - bucket.start_s % self.period_s;
        match self.buckets.back_mut() {
            Some(last) if last.start_s >= start_s => last.add(bucket),
            _ => self.push(Bucket { start_s, ..*bucket }),
        }
    }

    fn push(&mut self, bucket: Bucket) {
        self.drop_before(bucket.start_s);
        let len = self.buckets.len();
        if len == self.buckets.capacity() {
            // Doubles the capacity up to `max_len`; the default growth could exceed it.
            let additional = len.max(INITIAL_CAPACITY).min(self.max_len - len);
            self.buckets.reserve_exact(additional);
        }
        self.buckets.push_back(bucket);
    }

    /// Drops the periods that are older than the ring covers at `now_s`.
    pub(super) fn drop_before(&mut self, now_s: u32) {
        let span_s = self.period_s * self.max_len as u32;
        let oldest = now_s.saturating_sub(span_s);
        while self.buckets.front().is_some_and(|b| b.start_s <= oldest) {
            self.buckets.pop_front();
        }
    }

    /// Whether the ring holds no bucket.
    pub(super) fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// The buckets, oldest first.
    pub(super) fn to_vec(&self) -> Vec<Bucket> {
        self.buckets.iter().copied().collect()
    }
}
