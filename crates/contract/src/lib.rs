//! Change tickets, with which operators change the configuration: the document
//! format, validation against the accepted configuration, acceptance, the final
//! result, and the objects in the object store that hold them. To file a ticket is
//! to submit its document for acceptance.
//!
//! Only [`drive`] does I/O and reads the clock.

pub mod accept;
pub mod api;
pub mod check;
pub mod digest;
pub mod drive;
pub mod gc;
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
