//! INI settings with a checked schema.
//!
//! A program declares each key as a constant [`Key`] and lists its keys in a
//! [`Schema`]. [`Schema::load`] returns typed [`Settings`], or all errors of the
//! file with their line numbers.

pub mod error;
pub mod key;
mod markdown;
pub mod report;
pub mod schema;
mod value;

pub use error::{Cause, Error, Errors};
pub use key::{Key, Kind, Presence, Spec};
pub use report::{EXIT_BAD_SETTINGS, print_errors};
pub use schema::{Schema, Section, Settings, section_names};
pub use value::FromValue;
