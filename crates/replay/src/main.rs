//! Replays recorded traces and compares their outcomes.

fn main() {}
