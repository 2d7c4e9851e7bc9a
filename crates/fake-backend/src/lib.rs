//! Test double of a backend server, which injects faults on demand and records the requests it ran.
//!
//! | request | response |
//! |---|---|
//! | any other path | a JSON document that describes the request |
//! | `POST /echo` | the request body, streamed back |
//! | `/bytes/<n>` | `n` bytes, streamed |
//! | `GET /health` | the lifecycle state; the probe occupies a slot for a set time |
//! | `GET`, `PUT /faults` | the injected faults ([`faults::Faults`]) |
//! | `GET`, `DELETE /ledger` | the requests that ran ([`ledger::Entry`]) |
//! | `GET /stats` | counters ([`backend::Stats`]) |
//!
//! A request whose path contains `/crash`, or that has the header `x-crash`,
//! ends the process with exit code 70.

mod active_request;
pub mod announce;
pub mod backend;
mod body;
pub mod connections;
mod control;
mod drain;
pub mod faults;
mod handler;
pub mod ledger;
pub mod server;
pub mod settings;
mod slots;

pub use drain::drain;
