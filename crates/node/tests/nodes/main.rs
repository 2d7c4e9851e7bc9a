//! Requests through in-process nodes whose connections and backend servers fail.

mod common;
mod crashes;
mod cut_answers;
mod deltas;
mod endless;
mod evacuations;
mod foreign_answers;
mod late_answers;
mod limits;
mod loads;
mod long_heads;
mod lost_exchanges;
mod outdated_store;
mod restored;
mod retries;
mod unreachable_hosts;
