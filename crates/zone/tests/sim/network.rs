//! The fake network: seeded delays, loss, duplicates and partitions, and traffic counters.

use knapweed_zone::Message;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use std::time::Duration;

/// Range of the latency inside an availability zone, in microseconds.
const ZONE_DELAY_US: std::ops::Range<u64> = 100..600;
/// Range of the delay of a duplicate, in milliseconds.
const REPEAT_DELAY_MS: std::ops::Range<u64> = 1..5_000;
/// Additional latency between availability zones of one region.
const REGION_DELAY: Duration = Duration::from_millis(1);
/// Additional latency between regions.
const REMOTE_DELAY: Duration = Duration::from_millis(30);

/// Index of the first availability zone in region `east`; lower ones are in `west`.
pub const FIRST_EAST_ZONE: usize = 3;

pub struct Network {
    /// Index of the availability zone of each node.
    pub zones: Vec<usize>,
    /// Probability that a delivery is lost.
    pub loss: f64,
    /// Probability that a delivery is duplicated with a delay.
    pub repeated: f64,
    /// Time that each delivery waits in queues, in addition to the latency.
    pub queueing: Duration,
    /// Side of the partition that each node is on; empty without a partition.
    pub sides: Vec<u8>,
    /// Messages sent, per node.
    pub messages: Vec<u64>,
    /// Encoded bytes sent, per node.
    pub bytes: Vec<u64>,
    /// Encoded bytes of digests and their answers sent, per node.
    pub compare_bytes: Vec<u64>,
    /// Length of the longest encoded message.
    pub longest: usize,
    /// Configuration fetches.
    pub fetches: u64,
    /// Configuration fetches from the other region.
    pub remote_fetches: u64,
    /// Encoded bytes of messages, digests and their answers to the other region.
    pub remote_bytes: u64,
    /// Whether traffic is encoded and counted.
    pub measures: bool,
    rng: SmallRng,
}

impl Network {
    pub fn new(seed: u64) -> Self {
        Self {
            zones: Vec::new(),
            loss: 0.0,
            repeated: 0.0,
            queueing: Duration::ZERO,
            sides: Vec::new(),
            messages: Vec::new(),
            bytes: Vec::new(),
            compare_bytes: Vec::new(),
            longest: 0,
            fetches: 0,
            remote_fetches: 0,
            remote_bytes: 0,
            measures: false,
            rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
        }
    }

    /// Latency of a delivery between two nodes; `None` when it is lost.
    pub fn delay(&mut self, from: usize, to: usize) -> Option<Duration> {
        let is_cut = !self.sides.is_empty() && self.sides[from] != self.sides[to];
        if is_cut || self.rng.random_bool(self.loss) {
            return None;
        }
        let near = Duration::from_micros(self.rng.random_range(ZONE_DELAY_US)) + self.queueing;
        let (a, b) = (self.zones[from], self.zones[to]);
        Some(match a == b {
            true => near,
            false if !self.is_remote(from, to) => near + REGION_DELAY,
            false => near + REMOTE_DELAY,
        })
    }

    /// Delay of a duplicate of a delivery; `None` when there is no duplicate.
    pub fn repeat_delay(&mut self) -> Option<Duration> {
        if !self.rng.random_bool(self.repeated) {
            return None;
        }
        Some(Duration::from_millis(
            self.rng.random_range(REPEAT_DELAY_MS),
        ))
    }

    fn is_remote(&self, from: usize, to: usize) -> bool {
        (self.zones[from] < FIRST_EAST_ZONE) != (self.zones[to] < FIRST_EAST_ZONE)
    }

    /// Counts a configuration fetch.
    pub fn count_fetch(&mut self, from: usize, to: usize) {
        self.fetches += 1;
        if self.is_remote(from, to) {
            self.remote_fetches += 1;
        }
    }

    /// Counts a message and its encoded bytes while measuring.
    pub fn count(&mut self, from: usize, to: usize, message: &Message) {
        if !self.measures {
            return;
        }
        let length = encoded_len(message);
        self.messages.resize(self.zones.len(), 0);
        self.bytes.resize(self.zones.len(), 0);
        self.messages[from] += 1;
        self.bytes[from] += length as u64;
        self.longest = self.longest.max(length);
        self.count_remote(from, to, length);
    }

    /// Counts the encoded bytes of a digest or of the answer to one while measuring.
    pub fn count_comparison(&mut self, from: usize, to: usize, content: &impl Serialize) {
        if !self.measures {
            return;
        }
        self.compare_bytes.resize(self.zones.len(), 0);
        let length = encoded_len(content);
        self.compare_bytes[from] += length as u64;
        self.count_remote(from, to, length);
    }

    fn count_remote(&mut self, from: usize, to: usize, length: usize) {
        if self.is_remote(from, to) {
            self.remote_bytes += length as u64;
        }
    }
}

fn encoded_len(content: &impl Serialize) -> usize {
    let encoded = postcard::to_allocvec(content).expect("messages can be encoded");
    encoded.len()
}
