//! The node process of a host: proxies the requests of callers, runs requests on
//! the backend servers of its host, takes part in the gossip of its availability
//! zone, and carries out the duties assigned to it.

pub mod announcer;
pub mod body;
pub mod callers;
pub mod carrier;
mod client;
pub mod control;
pub mod currency;
pub mod egress;
pub mod evacuations;
pub mod guarded;
pub mod headers;
pub mod health;
pub mod history;
pub mod ingress;
pub mod node;
pub mod operators;
pub mod orders;
pub mod protocol;
pub mod registrar;
pub mod request_log;
pub mod signals;
pub mod source;
mod streamed;
pub mod trial;
