//! What a stream between two nodes is for: the first message on it.

use crate::RequestHead;
use knapweed_link::PartTag;
use knapweed_zone::directory::Digest;
use serde::{Deserialize, Serialize};

/// First message on a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StreamHead {
    /// A request; its body follows. Answered by a [`crate::ResponseHead`] and a body.
    Request(Box<RequestHead>),
    /// Asks for the configuration. Answered by a compressed [`knapweed_link::Delta`].
    FetchConfig {
        /// Tags of the parts at hand.
        have: Vec<PartTag>,
    },
    /// Asks for member records that differ. Answered by a list of
    /// [`knapweed_zone::directory::SharedRecord`].
    FetchMembers(Digest),
}
