//! Cluster logic of a node: SWIM-style membership, the version floor after a
//! restart, dissemination of configuration versions, and assignment of duties.
//!
//! The crate is sans-I/O: it reads no clock and takes no locks. Each component
//! handles typed events stamped with a [`knapweed_world::Time`] and returns the
//! typed actions that its caller carries out.

pub mod directory;
pub mod dissemination;
pub mod duty;
pub mod epidemic;
pub mod evacuation;
pub mod floor;
pub mod freshness;
pub mod membership;
pub mod message;
pub mod record;
pub mod score;

pub use directory::{Directory, MemberKey};
pub use dissemination::peers::Role;
pub use duty::Duty;
pub use epidemic::Epidemic;
pub use freshness::{Confirmation, Freshness};
pub use membership::Membership;
pub use message::Message;
pub use record::{Incarnation, MemberRecord, MemberState, Sequence};
