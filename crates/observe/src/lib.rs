//! Logs, metrics and the request history of a node.
//!
//! A log line names the component that wrote it in the target of the `log` macros:
//! `log::info!(target: part::INGRESS, "listening on {address}")` gives
//! `ingress: listening on 127.0.0.1:80`.

pub mod format;
pub mod history;
pub mod limit;
pub mod logs;
pub mod metrics;
pub mod part;
pub mod settings;
pub mod sink;

pub use history::History;
pub use limit::{RateLimit, Suppressed};
pub use logs::{Error, LogFormat, Logs};
pub use metrics::Metrics;
