//! INI settings with a checked schema.
//!
//! A program declares each key as a constant [`Key`] and lists them in a
//! [`Schema`]. [`Schema::load`] gives typed [`Settings`] or every error of the
//! file, each with its line.

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
