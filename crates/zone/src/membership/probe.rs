//! Pings that wait for their ack.

use crate::directory::MemberKey;
use crate::message::PingSequence;
use knapweed_world::Time;
use std::net::SocketAddr;
use std::time::Duration;

/// Wait for the ack of a ping before other members are asked to ping.
pub const ACK_TIMEOUT: Duration = Duration::from_millis(500);
/// Wait for the ack of an indirect ping before the member is suspected.
pub const INDIRECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a ping was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Purpose {
    /// To check a member.
    Check(MemberKey),
    /// To check a member through others, after it did not answer.
    CheckIndirect(MemberKey),
    /// For another member, which gets an ack with its own sequence.
    Relay {
        requester: SocketAddr,
        sequence: PingSequence,
    },
}

/// A ping without an ack so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Probe {
    pub(crate) sequence: PingSequence,
    pub(crate) deadline: Time,
    pub(crate) purpose: Purpose,
}

/// All pings without an ack so far.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    pending: Vec<Probe>,
    last: PingSequence,
}

/// Mutation.
impl Probes {
    /// Starts a ping and returns its sequence.
    pub(crate) fn start(&mut self, now: Time, purpose: Purpose) -> PingSequence {
        self.last = PingSequence(self.last.0.wrapping_add(1));
        let timeout = match purpose {
            Purpose::CheckIndirect(_) => INDIRECT_TIMEOUT,
            Purpose::Check(_) | Purpose::Relay { .. } => ACK_TIMEOUT,
        };
        self.pending.push(Probe {
            sequence: self.last,
            deadline: now.after(timeout),
            purpose,
        });
        self.last
    }

    /// Ends the ping that an ack answers.
    pub(crate) fn finish(&mut self, sequence: PingSequence) -> Option<Probe> {
        let index = self.pending.iter().position(|p| p.sequence == sequence)?;
        Some(self.pending.swap_remove(index))
    }

    /// Ends all checks of a member that was heard from.
    pub(crate) fn finish_checks(&mut self, member: MemberKey) {
        self.pending.retain(|p| match p.purpose {
            Purpose::Check(m) | Purpose::CheckIndirect(m) => m != member,
            Purpose::Relay { .. } => true,
        });
    }

    /// Whether a check of the member is running.
    pub(crate) fn checks(&self, member: MemberKey) -> bool {
        let checks = |p: &Probe| match p.purpose {
            Purpose::Check(m) | Purpose::CheckIndirect(m) => m == member,
            Purpose::Relay { .. } => false,
        };
        self.pending.iter().any(checks)
    }

    /// Ends the pings whose time is over and returns them.
    pub(crate) fn expire(&mut self, now: Time) -> Vec<Probe> {
        self.pending.extract_if(.., |p| p.deadline <= now).collect()
    }

    /// Extends all deadlines by a pause of this node.
    pub(crate) fn extend(&mut self, pause: Duration) {
        for probe in &mut self.pending {
            probe.deadline = probe.deadline.after(pause);
        }
    }
}
