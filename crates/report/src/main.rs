//! Service-level burn report.

fn main() {}
