//! Simulates load patterns on a modelled mesh, and compares scheduling policies.
//!
//! The policy of the product runs the code of the node, through the traits that
//! the node uses. The baseline policies implement the same traits and get the
//! same load.

pub mod baseline;
pub mod client;
pub mod mesh;
pub mod pattern;
pub mod plot;
pub mod policy;
pub mod result;
pub mod sim;

pub use pattern::Pattern;
pub use policy::Policy;
pub use result::ReplayCounts;
pub use sim::run;
