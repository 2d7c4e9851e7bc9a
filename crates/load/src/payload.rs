//! Generates unique request bodies and idempotency keys.

use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, RngCore, SeedableRng};
use std::time::Duration;

/// Returns a body of `len` pseudorandom bytes for request `index`.
///
/// Its first 8 bytes are the index, so that bodies of at least this length are unique in a run.
pub fn body(seed: u64, index: u64, len: u64) -> Bytes {
    let mut buf = vec![0; len as usize];
    let mixed = seed.wrapping_add(index.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    SmallRng::seed_from_u64(mixed).fill_bytes(&mut buf);
    for (to, from) in buf.iter_mut().zip(index.to_be_bytes()) {
        *to = from;
    }
    buf.into()
}

/// Returns a UUIDv7 for request `index`, with the time `now` since the Unix epoch.
pub fn key(seed: u64, index: u64, now: Duration) -> String {
    let mut rng = SmallRng::seed_from_u64(seed ^ index.rotate_left(32));
    let ms = now.as_millis() as u64;
    let version = 0x7000 | rng.random_range(0..0x1000_u16);
    let variant = 0x8000 | rng.random_range(0..0x4000_u16);
    let node = rng.random_range(0..1_u64 << 48);
    let (high, low) = (ms >> 16, ms & 0xffff);
    format!("{high:08x}-{low:04x}-{version:04x}-{variant:04x}-{node:012x}")
}
