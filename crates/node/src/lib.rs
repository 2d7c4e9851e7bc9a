//! The node: proxy for callers, egress for the backend servers of its host,
//! member of its availability zone and holder of duties.

pub mod announcer;
pub mod body;
pub mod callers;
pub mod carrier;
pub mod control;
pub mod egress;
pub mod guarded;
pub mod headers;
pub mod health;
pub mod history;
pub mod ingress;
pub mod node;
pub mod operators;
pub mod orders;
pub mod protocol;
pub mod request_log;
pub mod source;
pub mod trial;
