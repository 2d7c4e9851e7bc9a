//! Tracking of pings that wait for their ack.

use crate::directory::MemberKey;
use crate::message::PingSequence;
use knapweed_world::Time;
use std::net::SocketAddr;
use std::time::Duration;

/// Time to wait for an ack before other members are asked to ping.
pub const ACK_TIMEOUT: Duration = Duration::from_millis(500);
/// Time to wait for the ack of an indirect ping before the member is suspected.
pub const INDIRECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a ping was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Purpose {
    /// Checks whether a member is alive.
    Check(MemberKey),
    /// Checks a member through others, after it did not answer directly.
    CheckIndirect(MemberKey),
    /// Serves the ping request of another member, which gets an ack with the sequence of
    /// its request.
    Relay {
        requester: SocketAddr,
        sequence: PingSequence,
    },
}

/// A ping that has no ack yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Probe {
    pub(crate) sequence: PingSequence,
    pub(crate) deadline: Time,
    pub(crate) purpose: Purpose,
}

/// All pings that have no ack yet.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    pending: Vec<Probe>,
    last: PingSequence,
}

/// Start, end and expiry of pings.
impl Probes {
    /// The sequence of a ping that is not tracked: its ack ends no check.
    pub(crate) fn next_sequence(&mut self) -> PingSequence {
        self.last = PingSequence(self.last.0.wrapping_add(1));
        self.last
    }

    /// Starts to track a ping and returns its sequence.
    pub(crate) fn start(&mut self, now: Time, purpose: Purpose) -> PingSequence {
        let sequence = self.next_sequence();
        let timeout = match purpose {
            Purpose::CheckIndirect(_) => INDIRECT_TIMEOUT,
            Purpose::Check(_) | Purpose::Relay { .. } => ACK_TIMEOUT,
        };
        self.pending.push(Probe {
            sequence,
            deadline: now.after(timeout),
            purpose,
        });
        sequence
    }

    /// Ends and returns the ping that an ack answers; `None` when it is not tracked.
    pub(crate) fn finish(&mut self, sequence: PingSequence) -> Option<Probe> {
        let index = self.pending.iter().position(|p| p.sequence == sequence)?;
        Some(self.pending.swap_remove(index))
    }

    /// Ends all checks of a member, after a message from it has arrived.
    pub(crate) fn finish_checks(&mut self, member: MemberKey) {
        self.pending.retain(|p| match p.purpose {
            Purpose::Check(m) | Purpose::CheckIndirect(m) => m != member,
            Purpose::Relay { .. } => true,
        });
    }

    /// Whether a check of the member is in progress.
    pub(crate) fn checks(&self, member: MemberKey) -> bool {
        let checks = |p: &Probe| match p.purpose {
            Purpose::Check(m) | Purpose::CheckIndirect(m) => m == member,
            Purpose::Relay { .. } => false,
        };
        self.pending.iter().any(checks)
    }

    /// Ends and returns the pings whose deadline has passed.
    pub(crate) fn expire(&mut self, now: Time) -> Vec<Probe> {
        self.pending.extract_if(.., |p| p.deadline <= now).collect()
    }

    /// Extends all deadlines by the length of a pause of this node.
    pub(crate) fn extend(&mut self, pause: Duration) {
        for probe in &mut self.pending {
            probe.deadline = probe.deadline.after(pause);
        }
    }
}
