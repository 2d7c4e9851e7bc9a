//! Test harness that runs a mesh on loopback: a stand-in for the platform, nodes and backend
//! servers, each in a process of its own.
//!
//! The demonstration, the measurements and the end-to-end tests use it. Dropping the handle of a
//! process kills it.

pub mod client;
pub mod fleet;
pub mod load;
pub mod mesh;
pub mod open_loop;
pub mod ports;
pub mod process;
pub mod settings;
pub mod stand_in;
pub mod traffic;
pub mod versions;

pub use client::{Client, Reply};
pub use mesh::{Mesh, NodeSpec};
pub use process::Process;
pub use versions::VersionWatch;
