//! Decisions about links: the delta that carries a configuration change to another
//! node, the rate limit of call traffic on the link between regions, and the pacing of a
//! host's own link.

pub mod budget;
pub mod delta;
pub mod pacer;
pub mod patch;

pub use budget::LinkBudget;
pub use delta::{Delta, Outgoing, Part, PartTag};
pub use pacer::{Backlog, LinkRate, Pacer};
pub use patch::Patch;
