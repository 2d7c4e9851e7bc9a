//! Quotas over all hosts: the limit holds, and what is inside it is not refused.

mod account;
mod properties;
mod replays;
mod sim;
