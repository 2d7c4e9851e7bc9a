//! Open-loop load program with latency histograms.

fn main() {}
