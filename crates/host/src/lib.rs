//! Request decisions of one host: server choice, admission, retries, at-most-once, drain.
//!
//! This crate does no I/O and reads no clock: the time and random draws are
//! inputs. [`retry::RetryPolicy`] is shared by threads and uses atomics; a
//! [`choice::ServerChoice`] only reads; the other parts are state machines
//! that take typed events and return typed actions.

pub mod choice;
pub mod outcome;
pub mod request;
pub mod retry;

pub use choice::{Choice, ServerChoice};
pub use outcome::{Answer, NotRun, Outcome, Unknown};
pub use request::{Identity, RequestId, SendId};
pub use retry::RetryPolicy;
