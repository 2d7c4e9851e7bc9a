//! The object store for data that must be durable.
//!
//! [`ObjectStore`] is the interface to the platform's store; [`MemoryStore`] is an
//! in-process implementation for tests.

pub mod api;
pub mod cursor;
pub mod memory;
pub mod object;

pub use api::{Change, Changes, Error, Listing, ObjectStore, StoreFuture};
pub use cursor::WatchCursor;
pub use knapweed_world::{Revision, StoreEra};
pub use memory::{Backup, MemoryStore};
pub use object::{Condition, Object, ObjectKey};
