//! Randomized fault injection: runs the real programs as processes on one machine, injects faults
//! from outside and checks the guarantees to callers, backend servers and operators.
//!
//! A seed determines the faults, their times and their targets, but not how the operating system
//! schedules the processes. A seed that failed once may therefore pass in another run.

pub mod invariants;
pub mod plan;
pub mod probes;
pub mod proxy;
pub mod run;
pub mod tickets;

pub use plan::{Kind, Plan};
pub use run::{Report, run};
