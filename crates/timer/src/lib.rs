//! The timer service: the only source of time in a process.
//!
//! Each component subscribes to ticks with its own period and receives the time
//! with each tick, so that decision code never reads a clock.

mod service;
mod suspension;

pub use service::{Subscription, TimerService};
pub use suspension::{Suspensions, SystemClocks};
