//! Measures the processor time of the transfer of a configuration between two nodes.
//!
//! Run with `cargo run --release -p knapweed-node --example delta_cost`. Each step is that of
//! one fetch after a growth by routes; the figures are medians.

#[path = "../tests/config_deltas/configs.rs"]
mod configs;

use configs::{config_of, store_of};
use knapweed_link::Delta;
use std::time::{Duration, Instant};

/// Number of measurements of each step.
const RUNS: usize = 51;
/// Number of routes that one growth adds.
const GROWTH: usize = 1_400;

fn main() {
    for routes in [1_400, 2_800, 5_000] {
        measure(routes);
    }
}

fn measure(routes: usize) {
    let (before, grown) = (config_of(1, routes), config_of(2, routes + GROWTH));
    let mut times = [const { Vec::new() }; 4];
    let mut len = 0;
    for _ in 0..RUNS {
        let mut sender = store_of([&before, &grown]);
        let mut receiver = store_of([&before]);
        let (have, asked) = timed(|| receiver.tags());
        let (packed, built) = timed(|| sender.delta_for(have).expect("a delta"));
        let (delta, unpacked) = timed(|| Delta::decompress(&packed).expect("a delta"));
        let (applied, took) = timed(|| receiver.apply_delta(delta));
        assert_eq!(applied, Ok(true));
        len = packed.len();
        for (times, time) in times.iter_mut().zip([asked, built, unpacked, took]) {
            times.push(time);
        }
    }
    let [asked, built, unpacked, took] = times.map(median);
    println!(
        "{routes} + {GROWTH} routes, {len} bytes: tags {asked:?}, delta {built:?}, \
         decompression (not on the control thread) {unpacked:?}, application {took:?}"
    );
}

fn timed<T>(step: impl FnOnce() -> T) -> (T, Duration) {
    let started = Instant::now();
    let value = step();
    (value, started.elapsed())
}

fn median(mut times: Vec<Duration>) -> Duration {
    times.sort_unstable();
    times[times.len() / 2]
}
