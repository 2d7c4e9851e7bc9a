//! Messages between members, without their encoding.

use crate::record::{Incarnation, MemberRecord};
use knapweed_world::ConfigVersion;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Most records in one message.
pub const MAX_RECORDS: usize = 8;
/// Longest encoded message, in bytes; leaves room for the framing of a
/// datagram of 1,200 bytes.
pub const MAX_MESSAGE_LEN: usize = 1_100;
/// Bound of the encoded length of a message without records, in bytes.
pub const MAX_HEADER_LEN: usize = 50;

/// Number of a ping, to match its ack.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct PingSequence(pub u32);

/// What every message says about its sender.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sender {
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The configuration version that the sender has applied.
    pub version: ConfigVersion,
    /// Whether the sender has chosen the receiver as a neighbour.
    pub is_neighbour: bool,
    /// Whether the sender is a gateway of its region.
    pub is_gateway: bool,
}

/// Asks for an [`Ack`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ping {
    /// To be repeated in the ack.
    pub sequence: PingSequence,
}

/// Answers a [`Ping`] or, once the target has answered, a [`PingReq`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ack {
    /// The sequence of the ping or ping request.
    pub sequence: PingSequence,
}

/// Asks another member to ping the target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PingReq {
    /// To be repeated in the ack.
    pub sequence: PingSequence,
    /// Address of the node to ping.
    pub target: SocketAddr,
}

/// Reports the sender's version and new records without asking for an answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Notice {}

/// Kind of a message.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// See [`Ping`].
    Ping(Ping),
    /// See [`Ack`].
    Ack(Ack),
    /// See [`PingReq`].
    PingReq(PingReq),
    /// See [`Notice`].
    Notice(Notice),
}

/// A message that fits into one datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// About the sender.
    pub sender: Sender,
    /// What the sender wants.
    pub body: Body,
    /// At most [`MAX_RECORDS`] records.
    pub records: Vec<MemberRecord>,
}

/// Space left for records in a message.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    records: usize,
    bytes: usize,
}

impl Room {
    /// The space in a message without records.
    pub fn new() -> Self {
        Self {
            records: MAX_RECORDS,
            bytes: MAX_MESSAGE_LEN - MAX_HEADER_LEN,
        }
    }

    /// Reserves the space for `record`; `false` when it does not fit.
    pub fn reserve(&mut self, record: &MemberRecord) -> bool {
        let len = record.encoded_len_bound();
        if self.records == 0 || len > self.bytes {
            return false;
        }
        self.records -= 1;
        self.bytes -= len;
        true
    }

    /// Whether no further record can fit.
    pub fn is_full(&self) -> bool {
        self.records == 0
    }
}

impl Default for Room {
    fn default() -> Self {
        Self::new()
    }
}
