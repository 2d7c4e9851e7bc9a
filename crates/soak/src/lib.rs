//! Randomized fault soak: runs the real programs as processes on one machine,
//! injects faults from outside them, and checks what callers, backend servers and
//! operators were promised.
//!
//! A seed decides the faults, their times and their targets. The order in which
//! processes meet them is that of the machine, so a seed that failed may pass again.

pub mod plan;
pub mod promises;
pub mod proxy;
pub mod run;

pub use plan::Plan;
pub use run::{Report, run};
