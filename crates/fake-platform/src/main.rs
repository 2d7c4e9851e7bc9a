//! Stand-in for the platform's object API, with fault switches.

fn main() {}
