//! Decisions about links: the delta that carries a configuration change to another
//! node, and the rate limit of call traffic on the link between regions.

pub mod budget;
pub mod delta;

pub use budget::LinkBudget;
pub use delta::{Delta, PartTag};
