//! What a stream between two nodes is for: the first message on it.

use crate::RequestHead;
use serde::{Deserialize, Serialize};

/// First message on a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StreamHead {
    /// A request; its body follows.
    Request(RequestHead),
}
