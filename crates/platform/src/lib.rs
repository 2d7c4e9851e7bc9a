//! The boundary to the platform's object API: objects, the trait [`Platform`],
//! the call budget and an in-memory fake with fault switches.

pub mod api;
pub mod memory;
pub mod object;

pub use api::{Answer, Error, Platform};
pub use object::{Condition, Object, ObjectKey, Revision};
