//! Open-loop load generator.
//!
//! Requests are sent at fixed times whether or not earlier ones are answered.
//! Latency counts from the moment a request is handed to the HTTP client; how
//! late that was after its planned time is reported apart.

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
