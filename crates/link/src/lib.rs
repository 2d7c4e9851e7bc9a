//! Link decisions: what a configuration change costs on a link, and how much of
//! the region link calls may use.

pub mod budget;
pub mod delta;

pub use budget::Budget;
pub use delta::{Delta, PartTag};
