//! The fake network: seeded delays, loss, partitions and counters.

use knapweed_zone::Message;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Latency inside an availability zone, in microseconds.
const ZONE_DELAY_US: std::ops::Range<u64> = 100..600;
/// Added latency to another availability zone of the region.
const REGION_DELAY: Duration = Duration::from_millis(1);
/// Added latency to the other region.
const REMOTE_DELAY: Duration = Duration::from_millis(30);

pub struct Network {
    /// Availability zone of each node.
    pub zones: Vec<usize>,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Side of a partition of each node; empty when there is none.
    pub sides: Vec<u8>,
    /// Messages sent, per node.
    pub messages: Vec<u64>,
    /// Encoded bytes sent, per node.
    pub bytes: Vec<u64>,
    /// Longest encoded message.
    pub longest: usize,
    /// Configuration fetches.
    pub fetches: u64,
    /// Whether messages are encoded to count their bytes.
    pub measures: bool,
    rng: SmallRng,
}

impl Network {
    pub fn new(seed: u64) -> Self {
        Self {
            zones: Vec::new(),
            loss: 0.0,
            sides: Vec::new(),
            messages: Vec::new(),
            bytes: Vec::new(),
            longest: 0,
            fetches: 0,
            measures: false,
            rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
        }
    }

    /// Time for something from one node to another; `None` when it is lost.
    pub fn delay(&mut self, from: usize, to: usize) -> Option<Duration> {
        let is_cut = !self.sides.is_empty() && self.sides[from] != self.sides[to];
        if is_cut || self.rng.random_bool(self.loss) {
            return None;
        }
        let near = Duration::from_micros(self.rng.random_range(ZONE_DELAY_US));
        let (a, b) = (self.zones[from], self.zones[to]);
        Some(match a == b {
            true => near,
            false if (a < 3) == (b < 3) => near + REGION_DELAY,
            false => near + REMOTE_DELAY,
        })
    }

    /// Counts a message.
    pub fn count(&mut self, from: usize, message: &Message) {
        if !self.measures {
            return;
        }
        let encoded = postcard::to_allocvec(message).expect("a message can be encoded");
        self.messages.resize(self.zones.len(), 0);
        self.bytes.resize(self.zones.len(), 0);
        self.messages[from] += 1;
        self.bytes[from] += encoded.len() as u64;
        self.longest = self.longest.max(encoded.len());
    }
}
