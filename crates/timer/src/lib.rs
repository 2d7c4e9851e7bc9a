//! The timer service: the one source of time of a process.
//!
//! Parts subscribe to ticks of a period of their own and get the time with each
//! tick, so that decision code never reads a clock.

mod service;

pub use service::{Subscription, TimerService};
