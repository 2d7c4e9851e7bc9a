//! HTTP client of the platform's object API.
//!
//! [`protocol`] describes the API; [`HttpPlatform`] implements
//! [`knapweed_platform::Platform`] with it.

mod answer;
mod client;
pub mod protocol;

pub use client::{Builder, HttpPlatform};
