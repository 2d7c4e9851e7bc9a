//! Rollout states known to this node, and rollout control while it holds that duty.

use super::reports::ReportAggregator;
use super::{Controller, Event, Staleness};
use knapweed_observe::part;
use knapweed_rollout::control::WriteResult;
use knapweed_rollout::judge::{
    SequentialJudge, SequentialOptions, ShortRolloutJudge, short_rollout,
};
use knapweed_rollout::planner::{DeadlinePlanner, SHORT_ROLLOUT_LIMIT, ShortRolloutPlanner};
use knapweed_rollout::{self as rollout, Revision, RolloutState, ZoneCapacity, ZoneReport};
use knapweed_store::{Condition, Error as StoreError, Object, ObjectKey};
use knapweed_wire::StreamHead;
use knapweed_world::backend_server::ServerState;
use knapweed_world::config::{RolloutTerms, VersionShare};
use knapweed_world::{Name, Time};
use knapweed_zone::epidemic::Origin;
use knapweed_zone::{Incarnation, MemberRecord, MemberState, Role};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Object kind of the stored rollout states.
const KIND: &str = "mesh-rollouts";
/// Interval at which a host reports its request counts to rollout control.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Report interval while a short rollout is running, which lasts only seconds.
const SHORT_ROLLOUT_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of rollout control ticks.
const CONTROL_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which active states are pushed to one random member, which repairs
/// lost publications.
const REPAIR_INTERVAL: Duration = Duration::from_secs(1);

/// Rollout states, and the state of reporting and rollout control.
#[derive(Debug, Default)]
pub(super) struct Rollouts {
    /// The newest state of each service.
    states: BTreeMap<Name, RolloutState>,
    /// Address of the node that holds the duty of rollout control; `None` when unknown.
    holder: Option<SocketAddr>,
    /// Controller of each service, while this node holds the duty.
    controllers: BTreeMap<Name, rollout::RolloutController>,
    /// Reports of hosts to this node, while it holds the duty.
    reports: ReportAggregator,
    /// Incarnations of other hosts that this node has seen alive.
    known_incarnations: BTreeMap<Name, Incarnation>,
    /// Sequence number of the last report.
    sequence: u64,
    last_report: Time,
    last_control: Time,
    last_repair: Time,
}

impl Rollouts {
    pub(super) fn states(&self) -> &BTreeMap<Name, RolloutState> {
        &self.states
    }
}

/// Periodic reports, control ticks and repairs of lost publications.
impl Controller {
    pub(super) fn rollout_tick(&mut self, now: Time) {
        let interval = self.report_interval();
        if now.since(self.rollouts.last_report) >= interval {
            self.rollouts.last_report = now;
            self.send_reports();
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

    /// Report interval: short rollouts are judged on short windows.
    fn report_interval(&self) -> Duration {
        let states = self.rollouts.states.values();
        let mut active = states.filter(|s| !s.phase.is_final());
        match active.any(|s| planned_duration(&s.terms) < SHORT_ROLLOUT_LIMIT) {
            true => SHORT_ROLLOUT_REPORT_INTERVAL,
            false => REPORT_INTERVAL,
        }
    }

    /// Pushes the states of active rollouts to one random member.
    fn repair_states(&mut self) {
        let states = self.rollouts.states.values();
        let active: Vec<_> = states.filter(|s| !s.phase.is_final()).cloned().collect();
        if !active.is_empty() {
            let (directory, own) = (self.membership.directory(), self.membership.own());
            let receiver = self.rollout_peers.repair_receiver(directory, own);
            self.push_states(active, receiver);
        }
    }

    /// Sends the request counts of this host to the holder of the duty.
    fn send_reports(&mut self) {
        let Some(holder) = self.rollouts.holder else {
            return;
        };
        for (service, trial) in self.dependencies.trials.all() {
            if !self.serves(&service) {
                continue;
            }
            self.rollouts.sequence += 1;
            let own = self.membership.own();
            let report = ZoneReport {
                zone: own.zone.clone(),
                relay: own.host.clone(),
                incarnation: own.incarnation.0,
                sequence: self.rollouts.sequence,
                counters: trial.take_counters(),
                guard_trips: trial.take_trips(),
            };
            if holder == own.address {
                self.rollouts.reports.add(&service, &report);
            } else {
                let report = Box::new(report);
                self.send_one_way(holder, &StreamHead::Report { service, report });
            }
        }
    }

    fn serves(&self, service: &Name) -> bool {
        let announcements = &self.membership.own().announcements;
        announcements.iter().any(|a| a.service == *service)
    }
}

/// Rollout states: the shares in force, and the exchange of states with other nodes.
impl Controller {
    /// The version shares in force of each configured service.
    pub(super) fn shares(&self) -> Vec<(Name, Vec<VersionShare>)> {
        let services = self.configs.config().services.iter();
        let in_force = services.map(|(name, config)| {
            let state = self.rollouts.states.get(name);
            let shares = match (state, config.versions.is_empty()) {
                (None, true) => self.established.shares(name),
                _ => rollout::shares::in_force(config, state),
            };
            (name.clone(), shares)
        });
        in_force.collect()
    }

    /// Joins states received from another node, and pushes those that were newer.
    pub(super) fn states_received(
        &mut self,
        states: Vec<RolloutState>,
        holder: Option<SocketAddr>,
    ) {
        let changed: Vec<_> = states.into_iter().filter(|s| self.join(s)).collect();
        if holder.is_some() {
            self.rollouts.holder = holder;
        }
        if !changed.is_empty() {
            self.states_changed();
            self.publish_states(changed, Origin::Peer);
        }
    }

    /// Joins a state with the known one; returns whether it was newer.
    pub(super) fn join(&mut self, state: &RolloutState) -> bool {
        let known = self.rollouts.states.get(&state.service);
        if known.is_some_and(|known| known.cmp_precedence(state).is_ge()) {
            return false;
        }
        let joined = match known.cloned() {
            Some(known) => known.join(state.clone()),
            None => state.clone(),
        };
        log::info!(
            target: part::ROLLOUT,
            "service {}, ticket {}: {:?}", state.service, state.ticket, joined.phase
        );
        self.rollouts.states.insert(state.service.clone(), joined);
        true
    }

    pub(super) fn states_changed(&mut self) {
        self.outdate_snapshot(Staleness::ConfigChanged);
        let zone = &self.membership.own().zone;
        let now = self.now();
        self.dependencies
            .trials
            .update(&self.rollouts.states, zone, now);
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
        if known == Some(new_incarnation) || !has_duty || self.rollouts.states.is_empty() {
            return;
        }
        let head = StreamHead::Rollouts {
            states: self.rollouts.states.values().cloned().collect(),
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

/// Rollout control, while this node holds the duty.
impl Controller {
    pub(super) fn control_rollouts(&mut self, now: Time) {
        if !self.membership.role().controls_rollouts || !self.floor.is_serving() {
            // All decisions are stored, and the next holder continues from them.
            self.rollouts.controllers.clear();
            return;
        }
        self.rollouts.holder = Some(self.membership.own().address);
        self.start_controllers();
        self.flush_reports(now);
        let services: Vec<_> = self.rollouts.controllers.keys().cloned().collect();
        for service in services {
            let ordered = self.orders.config(&service);
            let config = ordered.or_else(|| self.configs.config().services.get(&service));
            let config = config.cloned();
            if let Some(config) = config {
                self.rollout_event(now, &service, rollout::Event::Config(config));
            }
            let capacity = self.capacity(&service);
            self.rollout_event(now, &service, rollout::Event::Capacity(capacity));
            self.rollout_event(now, &service, rollout::Event::Tick);
        }
    }

    /// Creates controllers for services with a rollout that has no final result or a
    /// state that is not final, and drops idle ones.
    fn start_controllers(&mut self) {
        let config = self.configs.config();
        let open: BTreeSet<_> = self.orders.open().collect();
        for (name, service) in &config.services {
            let service = self.orders.config(name).unwrap_or(service);
            let state = self.rollouts.states.get(name);
            let active = state.is_some_and(|s| !s.phase.is_final());
            let not_started =
                service.rollout.is_some() && state.is_none_or(|s| s.ticket < service.ticket);
            let unconfirmed = match self.dependencies.orders {
                Some(_) => open.contains(name),
                None => !self.finished_tickets.contains(&service.ticket),
            };
            let needed = active || not_started || (service.rollout.is_some() && unconfirmed);
            if needed && !self.rollouts.controllers.contains_key(name) {
                let time = service.rollout.as_ref().map(planned_duration);
                let controller = match time.is_some_and(|time| time < SHORT_ROLLOUT_LIMIT) {
                    true => short_rollout_controller(name),
                    false => standard_controller(name),
                };
                self.rollouts.controllers.insert(name.clone(), controller);
            }
        }
        self.rollouts
            .controllers
            .retain(|_, controller| !controller.is_idle() || controller.state().is_none());
    }

    fn capacity(&self, service: &Name) -> Vec<ZoneCapacity> {
        let mut slots: BTreeMap<(Name, Name), u32> = BTreeMap::new();
        for (_, record) in self.membership.directory().present() {
            let ready = record
                .announcements
                .iter()
                .filter(|a| a.state == ServerState::Ready);
            for server in ready.filter(|a| a.service == *service) {
                let key = (record.zone.clone(), server.version.clone());
                *slots.entry(key).or_default() += u32::from(server.slots);
            }
        }
        let list = slots.into_iter();
        list.map(|((zone, version), slots)| ZoneCapacity {
            zone,
            version,
            slots,
        })
        .collect()
    }

    /// Adds the request counts of a host.
    pub(super) fn report_received(&mut self, service: &Name, report: &ZoneReport) {
        self.rollouts.reports.add(service, report);
    }

    /// Passes the merged counts of each availability zone to rollout control.
    fn flush_reports(&mut self, now: Time) {
        let own = self.membership.own();
        let (host, incarnation) = (own.host.clone(), own.incarnation.0);
        let window = self.report_interval();
        let reports = self.rollouts.reports.flush(now, window, &host, incarnation);
        for (service, report) in reports {
            self.rollout_event(now, &service, rollout::Event::Report(report));
        }
    }

    pub(super) fn rollout_event(&mut self, now: Time, service: &Name, event: rollout::Event) {
        let Some(controller) = self.rollouts.controllers.get_mut(service) else {
            return;
        };
        let mut actions = Vec::new();
        controller.handle(
            event,
            now,
            self.dependencies.timer.wall_clock(),
            &mut actions,
        );
        for action in actions {
            self.rollout_action(service, action);
        }
    }

    fn rollout_action(&mut self, service: &Name, action: rollout::Action) {
        match action {
            rollout::Action::Read => self.read_state(service.clone()),
            rollout::Action::Write { state, condition } => self.write_state(*state, condition),
            rollout::Action::Publish(state) => {
                if self.join(&state) {
                    self.states_changed();
                }
                self.publish_states(vec![*state], Origin::Local);
            }
            rollout::Action::Finish(result) => {
                if !self.report_end(&result) {
                    self.rollout_ended(*result);
                }
            }
        }
    }
}

/// Reads and writes of stored states.
impl Controller {
    fn read_state(&self, service: Name) {
        let store = self.dependencies.store.clone();
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let outcome = store.read(&key(&service)).await;
            let event = match outcome.as_ref().map(|o| o.as_ref().map(decode).transpose()) {
                Ok(Ok(stored)) => rollout::Event::Read {
                    revision: stored.as_ref().map_or(Revision::ABSENT, |(r, _)| *r),
                    state: stored.map(|(_, state)| state),
                },
                Ok(Err(err)) => {
                    log::error!(target: part::ROLLOUT, "invalid stored state of {service}: {err}");
                    rollout::Event::ReadFailed
                }
                Err(_) => rollout::Event::ReadFailed,
            };
            handle
                .send(Event::Rollout {
                    service,
                    event: Box::new(event),
                })
                .await;
        });
    }

    fn write_state(&self, state: RolloutState, condition: Revision) {
        let store = self.dependencies.store.clone();
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let service = state.service.clone();
            let condition = match condition {
                Revision::ABSENT => Condition::Absent,
                Revision(revision) => Condition::Revision(knapweed_store::Revision(revision)),
            };
            let outcome = match serde_json::to_vec(&state) {
                Ok(value) => store.write(&key(&service), value.into(), condition).await,
                Err(err) => Err(StoreError::Malformed(err.to_string())),
            };
            let event = rollout::Event::Write(match outcome {
                Ok(revision) => WriteResult::Written(Revision(revision.0)),
                Err(StoreError::Conflict { .. }) => WriteResult::Conflict,
                Err(_) => WriteResult::Unknown,
            });
            handle
                .send(Event::Rollout {
                    service,
                    event: Box::new(event),
                })
                .await;
        });
    }
}

fn planned_duration(terms: &RolloutTerms) -> Duration {
    terms.deadline.since(terms.start)
}

fn standard_controller(service: &Name) -> rollout::RolloutController {
    let judge = SequentialJudge::new(SequentialOptions::default());
    rollout::RolloutController::new(service.clone(), Box::new(judge), Box::new(DeadlinePlanner))
}

fn short_rollout_controller(service: &Name) -> rollout::RolloutController {
    let judge = ShortRolloutJudge::new(short_rollout::Options::default());
    rollout::RolloutController::new(
        service.clone(),
        Box::new(judge),
        Box::new(ShortRolloutPlanner),
    )
}

pub(super) fn key(service: &Name) -> ObjectKey {
    ObjectKey::new(KIND, service.as_str())
}

pub(super) fn decode(object: &Object) -> Result<(Revision, RolloutState), serde_json::Error> {
    let state = serde_json::from_slice(&object.value)?;
    Ok((Revision(object.revision.0), state))
}
