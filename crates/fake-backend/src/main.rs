//! Stand-in for a backend server, with fault switches.

fn main() {}
