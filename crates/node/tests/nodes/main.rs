//! Requests through nodes in this process, with connections and backend servers that fail.

mod common;
mod crashes;
mod lost_exchanges;
mod retries;
