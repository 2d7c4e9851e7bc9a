//! Rollout states known to this node, and their exchange with other nodes.

mod duty;
pub mod known;
mod reporting;
mod store;

use known::KnownStates;
pub(super) use store::{decode, key};

use super::reports::ReportAggregator;
use super::{Controller, Staleness};
use knapweed_observe::part;
use knapweed_rollout::{self as rollout, Holder, RolloutState, Tenure};
use knapweed_wire::StreamHead;
use knapweed_world::config::VersionShare;
use knapweed_world::{Name, StoreEra, Time};
use knapweed_zone::epidemic::Origin;
use knapweed_zone::{Incarnation, MemberRecord, MemberState, Role};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Interval of rollout control ticks.
const CONTROL_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which active states are pushed to one random member, which repairs
/// lost publications.
const REPAIR_INTERVAL: Duration = Duration::from_secs(1);

/// Rollout states, and the state of reporting and rollout control.
#[derive(Debug, Default)]
pub(super) struct Rollouts {
    pub(super) known: KnownStates,
    /// The newest known holder of the duty of rollout control.
    holder: Option<Holder>,
    /// Tenure of this node, while it holds the duty.
    tenure: Option<Tenure>,
    /// Controller of each service, while this node holds the duty.
    controllers: BTreeMap<Name, rollout::RolloutController>,
    /// Reports of hosts to this node, while it holds the duty.
    reports: ReportAggregator,
    /// Incarnations of other hosts that this node has seen alive.
    known_incarnations: BTreeMap<Name, Incarnation>,
    /// The holder that last got a report with all series, and when.
    reported_fully: Option<(Holder, Time)>,
    /// Sequence number of the last report.
    sequence: u64,
    last_report: Time,
    last_control: Time,
    last_repair: Time,
}

/// Periodic reports, control ticks and repairs of lost publications.
impl Controller {
    pub(super) fn rollout_tick(&mut self, now: Time) {
        let interval = self.report_interval();
        if now.since(self.rollouts.last_report) >= interval {
            self.rollouts.last_report = now;
            self.send_reports(now);
        }
        if now.since(self.rollouts.last_repair) >= REPAIR_INTERVAL {
            self.rollouts.last_repair = now;
            self.repair_states();
        }
        if now.since(self.rollouts.last_control) >= CONTROL_INTERVAL {
            self.rollouts.last_control = now;
            self.control_rollouts(now);
        }
    }

    /// Pushes the states of active rollouts to one random member.
    fn repair_states(&mut self) {
        let states = self.rollouts.known.states().values();
        let active: Vec<_> = states.filter(|s| !s.phase.is_final()).cloned().collect();
        if !active.is_empty() {
            let (directory, own) = (self.membership.directory(), self.membership.own());
            let receiver = self.rollout_peers.repair_receiver(directory, own);
            self.push_states(active, receiver);
        }
    }
}

/// Rollout states: the shares in force, and the exchange of states with other nodes.
impl Controller {
    /// The version shares in force of each configured service.
    pub(super) fn shares(&self) -> Vec<(Name, Vec<VersionShare>)> {
        let services = self.configs.config().services.iter();
        let in_force = services.map(|(name, config)| {
            let state = self.rollouts.known.states().get(name);
            let shares = match (state, config.versions.is_empty()) {
                (None, true) => self.established.shares(name),
                _ => rollout::shares::in_force(config, state),
            };
            (name.clone(), shares)
        });
        in_force.collect()
    }

    /// Joins states received from another node, and pushes on those that were newer, or all
    /// of them when the holder is new.
    pub(super) fn states_received(
        &mut self,
        now: Time,
        from: SocketAddr,
        states: Vec<RolloutState>,
        holder: Option<Holder>,
    ) {
        self.return_newer(from, &states, holder);
        let is_new_holder = self.learn_holder(holder);
        let mut changed = Vec::new();
        for state in &states {
            if self.join(state) {
                changed.push(state.clone());
                self.state_seen(now, state);
            }
        }
        if !changed.is_empty() {
            self.states_changed();
            self.read_contradicted_orders(&changed);
        }
        let news = match is_new_holder {
            true => states,
            false => changed,
        };
        if !news.is_empty() {
            self.publish_states(news, Origin::Peer);
        }
    }

    /// Sends newer states back to the sender and to the holder.
    fn return_newer(&self, from: SocketAddr, received: &[RolloutState], holder: Option<Holder>) {
        let may_be_lost = self.restores.era() > StoreEra(0);
        let newer = self.rollouts.known.newer_than(received, may_be_lost);
        let own = self.membership.own().address;
        let behind = BTreeSet::from([from, holder.map_or(from, |holder| holder.address)]);
        if !newer.is_empty() {
            self.push_states(newer, behind.into_iter().filter(|to| *to != own));
        }
    }

    /// Adopts a holder that is newer than the known one, which gets the next report at
    /// once; returns whether it is.
    fn learn_holder(&mut self, holder: Option<Holder>) -> bool {
        if holder <= self.rollouts.holder {
            return false;
        }
        self.rollouts.holder = holder;
        self.rollouts.last_report = Time(0);
        true
    }

    /// Joins a state with the known one; returns whether it was newer.
    pub(super) fn join(&mut self, state: &RolloutState) -> bool {
        let may_be_lost = self.restores.era() > StoreEra(0);
        let Some(joined) = self.rollouts.known.join(state, may_be_lost) else {
            return false;
        };
        log::info!(
            target: part::ROLLOUT,
            "service {}, ticket {}: {:?}", state.service, state.ticket, joined.phase
        );
        true
    }

    pub(super) fn states_changed(&mut self) {
        self.outdate_snapshot(Staleness::ConfigChanged);
        let zone = &self.membership.own().zone;
        let now = self.now();
        self.dependencies
            .trials
            .update(self.rollouts.known.states(), zone, now);
    }

    /// Sends all states to a node whose process is new, if this node has a duty. A
    /// node that has just started must not send requests to versions that were pulled
    /// back.
    pub(super) fn send_states_to_new_process(&mut self, record: &MemberRecord) {
        let is_alive = record.state == MemberState::Alive;
        if !is_alive || record.host == self.membership.own().host {
            return;
        }
        let new_incarnation = record.incarnation;
        let known = self
            .rollouts
            .known_incarnations
            .insert(record.host.clone(), new_incarnation);
        let has_duty = self.membership.role() != Role::default();
        if known == Some(new_incarnation) || !has_duty {
            return;
        }
        self.send_evacuations_to_new_process(record);
        if self.rollouts.known.states().is_empty() {
            return;
        }
        let head = StreamHead::Rollouts {
            states: self.rollouts.known.states().values().cloned().collect(),
            holder: self.rollouts.holder,
        };
        self.send_one_way(record.address, &head);
    }

    /// Pushes new states to members of the own availability zone, and, on the node that
    /// made them, to some of each other one.
    fn publish_states(&mut self, states: Vec<RolloutState>, origin: Origin) {
        let now = self.now();
        let (directory, own) = (self.membership.directory(), self.membership.own());
        let receivers = self.rollout_peers.receivers(now, directory, own, origin);
        self.push_states(states, receivers);
    }

    fn push_states(
        &self,
        states: Vec<RolloutState>,
        receivers: impl IntoIterator<Item = SocketAddr>,
    ) {
        let holder = self.rollouts.holder;
        let head = StreamHead::Rollouts { states, holder };
        for to in receivers {
            self.send_one_way(to, &head);
        }
    }
}
