//! Periodic steps: pings, suspicions, and detection of dead members that have returned.

use super::gossip::retransmit_limit;
use super::probe::{ACK_TIMEOUT, INDIRECT_TIMEOUT, Probe, Purpose};
use super::{
    Action, COMPARE_INTERVAL, FAST_COMPARE_INTERVAL, FAST_COMPARISONS, INDIRECT_PINGS, Membership,
    PAUSE_THRESHOLD, PING_INTERVAL, PUSHES_PER_TICK, REJOIN_INTERVAL, SWEEP_INTERVAL,
};
use crate::directory::MemberKey;
use crate::dissemination::View;
use crate::message::{Body, Notice, Ping, PingReq, RecordSpace};
use crate::record::{MemberState, Sequence};
use knapweed_world::Time;
use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};
use std::net::SocketAddr;
use std::time::Duration;

/// Length of a pause of this node after which other members may suspect it.
const MIN_SUSPECTED_PAUSE: Duration = ACK_TIMEOUT.saturating_add(INDIRECT_TIMEOUT);

impl Membership {
    /// Randomizes the times of the first periodic steps, so that nodes that start
    /// together do not send at the same times.
    pub(super) fn randomize_timers(&mut self, now: Time) {
        self.timers.ping = now.after(self.random_fraction(PING_INTERVAL));
        self.timers.rejoin = now.after(self.random_fraction(REJOIN_INTERVAL));
    }

    pub(super) fn tick(&mut self, now: Time) {
        self.compensate_pause(now);
        for probe in self.probes.expire(now) {
            self.probe_timed_out(now, probe);
        }
        for member in self.suspicions.expire(now) {
            self.raise_state(now, member, MemberState::Dead);
        }
        if is_due(&mut self.timers.sweep, now, SWEEP_INTERVAL) {
            self.directory.expire(now);
            let is_present = |key| self.directory.get(key).is_some_and(|r| r.is_present());
            self.transit.retain(is_present);
        }
        self.refresh_neighbours(now);
        if is_due(&mut self.timers.ping, now, PING_INTERVAL) {
            self.ping_next(now);
        }
        if is_due(&mut self.timers.rejoin, now, REJOIN_INTERVAL) {
            self.ping_dead_member();
        }
        if now >= self.timers.compare {
            self.compare(now);
        }
        self.refresh_role(now);
        let view = View::new(&self.directory, self.own);
        let mut requests = self.dissemination.tick(now, view);
        if self.freshness.expires_soon(now) {
            requests.extend(self.dissemination.renew_confirmation(now, view));
        }
        self.execute(requests);
        self.push_new(now);
    }

    /// Compensates for a pause of this node: extends its deadlines, because it could not
    /// receive answers, and refutes the suspicions that others may have raised.
    fn compensate_pause(&mut self, now: Time) {
        let gap = now.since(self.timers.last_tick);
        self.timers.last_tick = now;
        if gap <= PAUSE_THRESHOLD {
            return;
        }
        self.probes.extend(gap);
        self.suspicions.extend(gap);
        if gap > MIN_SUSPECTED_PAUSE && self.own().is_present() {
            self.edit_own(now, |own| own.sequence = Sequence(own.sequence.0 + 1));
            self.publish_own();
        }
    }

    fn probe_timed_out(&mut self, now: Time, probe: Probe) {
        match probe.purpose {
            Purpose::Check(member) => self.request_indirect_pings(now, member),
            Purpose::CheckIndirect(member) => self.suspect(now, member),
            Purpose::Relay { .. } => {}
        }
    }

    fn request_indirect_pings(&mut self, now: Time, member: MemberKey) {
        let Some(target) = self.directory.get(member).map(|r| r.address) else {
            return;
        };
        let sequence = self.probes.start(now, Purpose::CheckIndirect(member));
        let others = self.neighbours.iter().filter(|n| n.member != member);
        let others: Vec<SocketAddr> = others.map(|n| n.address).collect();
        let chosen: Vec<_> = others
            .choose_multiple(&mut self.rng, INDIRECT_PINGS)
            .copied()
            .collect();
        for other in chosen {
            self.send(other, Body::PingReq(PingReq { sequence, target }));
        }
    }

    /// Suspects a member that answered neither direct nor indirect pings.
    fn suspect(&mut self, now: Time, member: MemberKey) {
        let Some(record) = self.directory.get(member) else {
            return;
        };
        self.suspicions.start(now, member, record);
        if record.state == MemberState::Alive {
            self.raise_state(now, member, MemberState::Suspect);
        }
    }

    /// Raises the state of another member and gossips the record.
    pub(super) fn raise_state(&mut self, now: Time, member: MemberKey, state: MemberState) {
        if !self.directory.raise_state(now, member, state) {
            return;
        }
        self.disseminate(member);
        if let Some(record) = self.directory.get(member).cloned() {
            self.record_changed(record);
        }
        if state == MemberState::Dead {
            self.members_changed();
        }
    }

    pub(super) fn members_changed(&mut self) {
        self.neighbours.invalidate();
        self.dissemination.members_changed();
        self.members_changed = true;
    }

    fn refresh_neighbours(&mut self, now: Time) {
        if !self.neighbours.refresh(now, &self.directory, self.own) {
            return;
        }
        let zone = &self.own().zone;
        let members = self.directory.present().filter(|(_, r)| r.zone == *zone);
        self.retransmit_limit = retransmit_limit(members.count());
        if self.fast_comparisons > 0 {
            // The earlier neighbours may not have been connected to the other members.
            self.gossip.add(self.own);
        }
    }

    fn ping_next(&mut self, now: Time) {
        let Some(neighbour) = self.neighbours.next(now) else {
            return;
        };
        // The check in progress follows up with an indirect ping itself.
        if self.probes.checks(neighbour.member) {
            return;
        }
        let purpose = Purpose::Check(neighbour.member);
        let sequence = self.probes.start(now, purpose);
        self.send(neighbour.address, Body::Ping(Ping { sequence }));
    }

    /// Pings a random dead member of the availability zone, which refutes its death if
    /// it was only partitioned or paused.
    fn ping_dead_member(&mut self) {
        let zone = self.own().zone.clone();
        let dead = self.directory.iter();
        let dead = dead.filter(|(_, r)| !r.is_present() && r.zone == zone);
        let target = dead.map(|(_, r)| r.address).choose(&mut self.rng);
        if let Some(address) = target {
            self.ping_untracked(address);
        }
    }

    /// Compares the directory with that of a random member, which repairs lost gossip.
    fn compare(&mut self, now: Time) {
        let is_fast = self.fast_comparisons > 0 || self.neighbours.len() == 0;
        self.fast_comparisons = self.fast_comparisons.saturating_sub(1);
        let interval = match is_fast {
            true => FAST_COMPARE_INTERVAL,
            false => COMPARE_INTERVAL,
        };
        let jitter = self.random_fraction(interval / 2);
        self.timers.compare = now.after(interval - jitter);
        let zone = &self.own().zone;
        let members = self.directory.present();
        let members = members.filter(|(k, r)| *k != self.own && r.zone == *zone);
        let mut candidates: Vec<_> = members.map(|(_, r)| r.address).collect();
        if is_fast {
            candidates.extend(&self.seeds);
        }
        if let Some(from) = candidates.choose(&mut self.rng).copied() {
            self.actions.push(Action::FetchMembers { from });
        }
    }

    /// Restarts the series of comparisons at [`FAST_COMPARE_INTERVAL`].
    pub(super) fn compare_soon(&mut self, now: Time) {
        if self.fast_comparisons == 0 {
            let wait = self.random_fraction(FAST_COMPARE_INTERVAL);
            self.timers.compare = now.after(wait);
        }
        self.fast_comparisons = FAST_COMPARISONS;
    }

    /// Sends the records that were not pushed yet to all neighbours.
    pub(super) fn push_new(&mut self, now: Time) {
        self.refresh_neighbours(now);
        let receivers: Vec<_> = self.neighbours.iter().map(|n| n.address).collect();
        if receivers.is_empty() {
            return;
        }
        for _ in 0..PUSHES_PER_TICK {
            let mut space = RecordSpace::new();
            let copies = receivers.len() as u32;
            let records = self.gossip.take_new(&self.directory, &mut space, copies);
            if records.is_empty() {
                return;
            }
            for to in &receivers {
                self.send_records(*to, Body::Notice(Notice {}), records.clone());
            }
        }
    }

    fn random_fraction(&mut self, interval: Duration) -> Duration {
        interval.mul_f64(self.rng.random_range(0.0..1.0))
    }
}

/// Whether a periodic step is due; if so, schedules the next one, skipping missed ones.
fn is_due(next: &mut Time, now: Time, interval: Duration) -> bool {
    if now < *next {
        return false;
    }
    let regular = next.after(interval);
    *next = if regular > now {
        regular
    } else {
        now.after(interval)
    };
    true
}
