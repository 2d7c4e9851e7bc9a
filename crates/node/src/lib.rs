//! The node daemon.
