//! Messages that members exchange, independent of their encoding.

use crate::freshness::Confirmation;
use crate::record::{Incarnation, MemberRecord};
use knapweed_world::{ConfigVersion, Time};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum number of records in one message.
pub const MAX_RECORDS: usize = 8;
/// Maximum length of an encoded message, in bytes; leaves space for framing in a
/// datagram of 1,200 bytes.
pub const MAX_MESSAGE_LEN: usize = 1_116;
/// Upper bound of the encoded length of a message without records, in bytes.
pub const MAX_HEADER_LEN: usize = 66;

/// Range of a [`SendTime`], in milliseconds: 35 minutes, so that it is encoded in 3 bytes at most.
pub const SEND_TIME_RANGE_MS: u32 = 1 << 21;

/// Time at which a message was sent, on the steady clock of the sending process, in
/// milliseconds modulo [`SEND_TIME_RANGE_MS`].
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SendTime(pub u32);

impl SendTime {
    /// The time `now` of this process.
    pub fn at(now: Time) -> Self {
        let ms = now.since(Time::default()).as_millis();
        Self((ms % u128::from(SEND_TIME_RANGE_MS)) as u32)
    }

    /// The time from `earlier` to this one, in milliseconds modulo [`SEND_TIME_RANGE_MS`].
    pub fn since_ms(self, earlier: Self) -> u32 {
        self.0.wrapping_sub(earlier.0) % SEND_TIME_RANGE_MS
    }
}

/// Number that matches an ack to its ping.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct PingSequence(pub u32);

/// The part of every message that describes its sender.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sender {
    /// Incarnation of the sending process, so that a late message is not attributed
    /// to its successor.
    pub incarnation: Incarnation,
    /// When the message was sent, for its age at the receiver.
    pub sent_at: SendTime,
    /// The configuration version that the sender has applied.
    pub version: ConfigVersion,
    /// When that version was last known to be the newest; `None` when it is not.
    pub confirmation: Option<Confirmation>,
    /// Whether the sender has chosen the receiver as a neighbour, which makes the
    /// receiver ping the sender too.
    pub is_neighbour: bool,
    /// Whether the sender is a gateway of its region; the relays of the region rely
    /// on messages from one.
    pub is_gateway: bool,
}

/// Requests an [`Ack`] from the receiver.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ping {
    /// Echoed in the ack.
    pub sequence: PingSequence,
}

/// Answers a [`Ping`] or, once the target has answered, a [`PingReq`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ack {
    /// Sequence of the ping or ping request that is answered.
    pub sequence: PingSequence,
}

/// Indirect probe: asks another member to ping the target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PingReq {
    /// Echoed in the ack once the target has answered.
    pub sequence: PingSequence,
    /// Address of the node to ping.
    pub target: SocketAddr,
}

/// Reports the sender's version and records; expects no answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Notice {}

/// The kind of a message, with the fields of that kind.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// Checks whether the receiver is alive.
    Ping(Ping),
    /// Confirms that a member is alive.
    Ack(Ack),
    /// Checks a member through the receiver.
    PingReq(PingReq),
    /// Carries versions and records only.
    Notice(Notice),
}

/// A message between two nodes that fits into one datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// Describes the sender.
    pub sender: Sender,
    /// Kind of the message.
    pub body: Body,
    /// Piggybacked records, at most [`MAX_RECORDS`].
    pub records: Vec<MemberRecord>,
}

/// Space that is left for records in a message under construction.
#[derive(Clone, Copy, Debug)]
pub struct RecordSpace {
    records: usize,
    bytes: usize,
}

impl RecordSpace {
    /// The space of a message that has no records yet.
    pub fn new() -> Self {
        Self {
            records: MAX_RECORDS,
            bytes: MAX_MESSAGE_LEN - MAX_HEADER_LEN,
        }
    }

    /// Reserves space for `record`; `false`, with nothing reserved, when it does not fit.
    pub fn reserve(&mut self, record: &MemberRecord) -> bool {
        let len = record.encoded_len_bound();
        if self.records == 0 || len > self.bytes {
            return false;
        }
        self.records -= 1;
        self.bytes -= len;
        true
    }

    /// Whether the message already has [`MAX_RECORDS`] records.
    pub fn is_full(&self) -> bool {
        self.records == 0
    }
}

impl Default for RecordSpace {
    fn default() -> Self {
        Self::new()
    }
}
