//! The timer service that parts subscribe to.
