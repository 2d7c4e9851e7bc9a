//! The node daemon with the project's own interfaces: tickets, INI settings and
//! its own request headers.

pub mod run;
pub mod settings;
