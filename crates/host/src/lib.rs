//! Decisions about requests on one host: server choice, admission, retries and drain.
//!
//! This crate does no I/O and reads no clock: the current time and random numbers
//! are arguments. Threads share [`RetryPolicy`], [`Drain`], [`WaitEstimator`] and [`ByteBudget`], which
//! use atomics; a [`ServerChoice`] only reads; the other types are state machines that
//! take events and return actions for the node to perform.

pub mod access;
pub mod admission;
pub mod byte_budget;
pub mod caller_bounds;
pub mod choice;
pub mod connections;
pub mod crash;
pub mod drain;
pub mod inquiry;
pub mod outcome;
pub mod peer_health;
pub mod quota;
pub mod registration;
pub mod request;
pub mod retry;
pub mod wait_estimator;

pub use admission::Admission;
pub use byte_budget::ByteBudget;
pub use caller_bounds::{CallerBounds, HostResources};
pub use choice::{Choice, ServerChoice};
pub use connections::Connections;
pub use crash::CrashMemory;
pub use drain::Drain;
pub use inquiry::{ExchangeStore, Inquiry};
pub use outcome::{Answer, NotRun, Outcome, SendOutcomes, Unknown};
pub use request::{RequestId, SendId};
pub use retry::RetryPolicy;
pub use wait_estimator::WaitEstimator;
