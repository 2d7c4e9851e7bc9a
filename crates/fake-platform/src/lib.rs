//! Stand-in for the platform: the object API over HTTP around
//! [`knapweed_platform::memory::MemoryPlatform`], with fault switches.
//!
//! `PUT /faults` sets the faults ([`faults::FaultsDoc`]), `GET /faults` shows
//! them and `GET /calls` counts the calls so far.

pub mod faults;
mod objects;
mod respond;
pub mod server;
pub mod settings;
