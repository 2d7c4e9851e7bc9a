//! Open-loop load generator.
//!
//! Requests are sent at planned times, whether or not earlier ones have been answered. Latency is
//! measured from the time at which a request is passed to the HTTP client. The delay between the
//! planned time and that one is reported separately.

pub mod client;
pub mod options;
pub mod payload;
pub mod recorder;
pub mod report;
pub mod run;
pub mod schedule;
pub mod settings;

pub use options::Options;
pub use report::Report;
pub use run::run;
