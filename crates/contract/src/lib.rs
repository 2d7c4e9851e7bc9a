//! Change tickets: the document, its check against the accepted configuration,
//! its acceptance, its result, and the objects of the platform that hold them.
//!
//! Everything but [`drive`] does no I/O and reads no clock.

pub mod accept;
pub mod api;
pub mod check;
pub mod collect;
pub mod digest;
pub mod drive;
pub mod head;
pub mod parts;
pub mod problem;
pub mod result;
pub mod sentence;
pub mod ticket;
pub mod timestamp;

pub use accept::{Acceptance, Outcome};
pub use digest::Digest;
pub use drive::Driver;
pub use head::Head;
pub use parts::PartCache;
pub use problem::{Item, Problem, Reason};
pub use result::{FinalResult, Record};
pub use ticket::Ticket;
