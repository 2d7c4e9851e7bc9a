//! Requests through in-process nodes whose connections and backend servers fail.

mod common;
mod crashes;
mod lost_exchanges;
mod retries;
