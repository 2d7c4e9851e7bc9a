//! Rollout decisions: the state of a rollout that moves traffic to new versions,
//! the request counters it is judged by, and the guard, judge, planner and control
//! state machine.
//!
//! This crate does no I/O, reads no clock and holds no locks.

pub mod capacity;
pub mod control;
pub mod counters;
pub mod evidence;
pub mod guard;
pub mod histogram;
pub mod judge;
mod likelihood;
pub mod planner;
pub mod report;
pub mod result;
pub mod shares;
pub mod state;
pub mod strategy;

pub use capacity::ZoneCapacity;
pub use control::{Action, Event, RolloutController};
pub use counters::Counters;
pub use evidence::Evidence;
pub use guard::Guard;
pub use histogram::Histogram;
pub use judge::{Judge, Verdict};
pub use knapweed_world::{Revision, StoreEra};
pub use planner::{Plan, Planner};
pub use report::{Holder, HostReport, Tenure, ZoneReport};
pub use result::{Outcome, TicketResult};
pub use state::{Epoch, Phase, RolloutState};
pub use strategy::{ByDuration, ChooseStrategy, Strategy};
