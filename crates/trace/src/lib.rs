//! Recorded inputs of the rollout controller and the guard, and their replay
//! against expected outcomes.
//!
//! A trace is a file of JSON lines, described in `docs/traces.md`.

pub mod header;
pub mod outcome;
pub mod read;
pub mod record;
pub mod replay;
pub mod run;
pub mod write;

pub use header::{Header, Settings};
pub use outcome::{Check, ExpectedOutcome};
pub use read::Trace;
pub use replay::replay;
pub use write::Writer;
