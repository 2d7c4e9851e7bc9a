//! Handling of received messages and merging of the records in them.

use super::Membership;
use super::probe::{Probe, Purpose};
use crate::directory::{MemberKey, SharedRecord};
use crate::dissemination::View;
use crate::message::{Ack, Body, Message, Ping, PingReq};
use crate::record::{Incarnation, MemberRecord, MemberState, Merge, Sequence};
use knapweed_world::Time;
use std::cmp::Ordering;
use std::net::SocketAddr;

impl Membership {
    pub(super) fn receive(&mut self, now: Time, from: SocketAddr, message: Message) {
        self.neighbours.received(now, from);
        self.record_sender_version(now, from, &message);
        for record in &message.records {
            let shared = SharedRecord {
                record: record.clone(),
                dead_for_ms: 0,
            };
            if let Some(member) = self.merge_record(now, &shared) {
                self.disseminate(member);
            }
        }
        if let Some(member) = self.directory.find_address(from) {
            self.probes.finish_checks(member);
            self.clear_suspicion_of_leaving(member);
            if message.sender.is_neighbour {
                self.neighbours.chosen_by(now, member, from);
            }
        }
        match message.body {
            Body::Ping(Ping { sequence }) => self.send(from, Body::Ack(Ack { sequence })),
            Body::Ack(ack) => self.handle_ack(ack),
            Body::PingReq(request) => self.ping_on_behalf(now, from, request),
            Body::Notice(_) => {}
        }
    }

    fn record_sender_version(&mut self, now: Time, from: SocketAddr, message: &Message) {
        let sender = message.sender;
        let member = self.directory.find_address(from);
        let sent_at = member.and_then(|member| self.transit.received(now, member, message));
        self.freshness
            .reported(now, sent_at, sender.version, sender.confirmation);
        if let Some(member) = member
            && sender.confirmation.is_some()
            && sent_at.is_none()
            && self.transit.may_measure(now, member)
        {
            self.ping_untracked(from);
        }
        if let Some(member) = member.filter(|m| *m != self.own) {
            let record_reported =
                |r: &mut MemberRecord| r.record_version(sender.incarnation, sender.version);
            self.directory.change(now, member, record_reported);
        }
        let view = View::new(&self.directory, self.own);
        let requests = self.dissemination.received(now, view, from, message);
        self.execute(requests);
    }

    /// Drops the suspicion of a leaving member that has sent a message. The suspicion of
    /// a leaving member is local, not gossiped, so the member cannot refute it.
    fn clear_suspicion_of_leaving(&mut self, member: MemberKey) {
        let record = self.directory.get(member);
        if record.is_some_and(|r| r.state == MemberState::Leaving) {
            self.suspicions.clear(member);
        }
    }

    fn handle_ack(&mut self, ack: Ack) {
        let Some(probe) = self.probes.finish(ack.sequence) else {
            return;
        };
        let Probe { purpose, .. } = probe;
        match purpose {
            Purpose::Check(member) | Purpose::CheckIndirect(member) => {
                self.probes.finish_checks(member);
            }
            Purpose::Relay {
                requester,
                sequence,
            } => self.send(requester, Body::Ack(Ack { sequence })),
        }
    }

    fn ping_on_behalf(&mut self, now: Time, requester: SocketAddr, request: PingReq) {
        let purpose = Purpose::Relay {
            requester,
            sequence: request.sequence,
        };
        let sequence = self.probes.start(now, purpose);
        self.send(request.target, Body::Ping(Ping { sequence }));
    }
}

/// Merging of received records.
impl Membership {
    /// Merges the records with which a peer answered the digest.
    ///
    /// Only relays and gateways gossip them, because theirs come from other availability
    /// zones. Those of other nodes come from the same zone, which knows them already.
    pub(super) fn merge_shared_records(&mut self, now: Time, records: &[SharedRecord]) {
        let role = self.dissemination.role();
        for shared in records {
            let changed = self.merge_record(now, shared);
            if let Some(member) = changed.filter(|_| role.is_relay || role.is_gateway) {
                self.disseminate(member);
            }
        }
    }

    /// Merges a record; returns its member when the local content has changed.
    fn merge_record(&mut self, now: Time, shared: &SharedRecord) -> Option<MemberKey> {
        let record = &shared.record;
        if record.host == self.own().host {
            self.refute(now, record);
            return None;
        }
        let known = self.directory.find(&record.host);
        let current = known.and_then(|key| self.directory.get(key));
        let former_address = present_address(current);
        let has_returned =
            current.is_some_and(|c| !c.is_present() && c.incarnation == record.incarnation);
        let accepted = match current.is_some_and(|c| is_refutable_death(c, record)) {
            true => as_suspicion(shared),
            false => shared.clone(),
        };
        let (member, merge) = self.directory.merge_shared(now, &accepted);
        let merged = self.directory.get(member)?;
        self.suspicions.refute(member, merged);
        if merged.state == MemberState::Suspect {
            self.suspicions.start(now, member, merged);
        }
        if merge != Merge::Content {
            return None;
        }
        let address = present_address(Some(merged));
        let merged = merged.clone();
        self.record_changed(merged);
        if former_address != address {
            self.members_changed();
        }
        if has_returned && address.is_some() {
            self.compare_soon(now);
        }
        Some(member)
    }

    /// Refutes a copy of the own record whose state another node has raised or that is
    /// left over from an earlier incarnation, by publishing a newer one.
    fn refute(&mut self, now: Time, copy: &MemberRecord) {
        let is_refuted = self.edit_own(now, |own| {
            own.served = own.served.max(copy.served);
            if own.state == MemberState::Dead || copy.precedence() <= own.precedence() {
                return false;
            }
            match copy.incarnation.cmp(&own.incarnation) {
                Ordering::Greater => own.incarnation = Incarnation(copy.incarnation.0 + 1),
                _ => own.sequence = Sequence(copy.sequence.0 + 1),
            }
            true
        });
        if is_refuted {
            self.publish_own();
        }
    }
}

/// Address of a member; `None` when it is unknown or dead.
fn present_address(record: Option<&MemberRecord>) -> Option<SocketAddr> {
    record.filter(|r| r.is_present()).map(|r| r.address)
}

/// Whether a copy reports the death of a member that may be reachable on this side of
/// a partition. Such a report is merged as a suspicion first, which the member can refute.
///
/// The death of a leaving member is accepted as it is: the member gets no new work
/// anyway, and usually it has published its death itself.
fn is_refutable_death(current: &MemberRecord, copy: &MemberRecord) -> bool {
    let is_newer = copy.precedence() > current.precedence();
    let may_refute = matches!(current.state, MemberState::Alive | MemberState::Suspect);
    is_newer && copy.state == MemberState::Dead && may_refute
}

fn as_suspicion(shared: &SharedRecord) -> SharedRecord {
    let mut shared = shared.clone();
    shared.record.state = MemberState::Suspect;
    shared.dead_for_ms = 0;
    shared
}
