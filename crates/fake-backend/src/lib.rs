//! Stand-in for a backend server, with fault switches and a ledger of what it ran.
//!
//! | call | answer |
//! |---|---|
//! | any path | a JSON document about the request |
//! | `POST /echo` | the body, streamed back |
//! | `GET /bytes/<n>` | `n` bytes, streamed |
//! | `GET /health` | the state, at the cost of a probe |
//! | `GET`, `PUT /faults` | the faults ([`faults::Faults`]) |
//! | `GET`, `DELETE /ledger` | the requests that ran ([`ledger::Entry`]) |
//! | `GET /stats` | counters ([`backend::Stats`]) |
//!
//! A request whose path contains `/crash`, or that has the header `x-crash`,
//! ends the process with exit code 70.

pub mod announce;
pub mod backend;
mod body;
pub mod connections;
mod control;
mod drain;
pub mod faults;
mod handler;
pub mod ledger;
mod run;
pub mod server;
pub mod settings;
mod slots;

pub use drain::drain;
