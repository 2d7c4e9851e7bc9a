//! Messages between nodes and their encoding.
//!
//! Decision crates define what a message means; this crate only serializes and
//! deserializes messages. An encoded message is a version byte and a postcard value.

pub mod codec;
pub mod request;
pub mod stream;

pub use codec::{Error, decode, encode};
pub use request::{Header, RequestHead, ResponseHead};
pub use stream::{FetchReply, StreamHead};
