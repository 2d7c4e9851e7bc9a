//! Configurations that pass from node to node as deltas.

mod cache;
mod configs;
mod history;
mod lengths;
mod passing;
