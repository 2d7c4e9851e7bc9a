//! Requests through in-process nodes whose connections and backend servers fail.

mod common;
mod crashes;
mod cut_answers;
mod endless;
mod foreign_answers;
mod limits;
mod lost_exchanges;
mod restored;
mod retries;
