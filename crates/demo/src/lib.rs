//! A small mesh of real processes on loopback: the platform's stand-in, nodes
//! and backend servers, each a process of its own.
//!
//! Used by the demonstration and by the tests of whole programs. Every process
//! is stopped when its handle is dropped.

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
pub use mesh::{Mesh, NodePlace};
pub use process::Process;
pub use versions::VersionWatch;
