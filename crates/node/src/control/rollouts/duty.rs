//! Rollout control, while this node holds the duty.

use crate::control::Controller;
use crate::control::reports::ReportAggregator;
use crate::control::rollouts::known::Moved;
use knapweed_observe::part;
use knapweed_rollout::{self as rollout, Holder, RolloutState, Tenure, ZoneCapacity};
use knapweed_world::backend_server::ServerState;
use knapweed_world::config::ServiceConfig;
use knapweed_world::{Name, StoreEra, Time};
use knapweed_zone::epidemic::Origin;
use std::collections::{BTreeMap, BTreeSet};

/// What a holder of the duty does after the object store has come back from an older copy.
impl Controller {
    /// Compares all known states with the stored ones, also those of ended rollouts.
    pub(in crate::control) fn rollouts_restored(&mut self, now: Time) {
        self.rollouts.known.restored();
        let services: Vec<_> = self.rollouts.controllers.keys().cloned().collect();
        for service in services {
            self.announce_era(now, &service);
        }
    }

    fn announce_era(&mut self, now: Time, service: &Name) {
        let era = self.restores.era();
        if era > StoreEra(0) {
            self.rollout_event(now, service, rollout::Event::StoreRestored(era));
        }
    }
}

impl Controller {
    pub(in crate::control) fn control_rollouts(&mut self, now: Time) {
        if !self.membership.role().controls_rollouts || !self.floor.is_serving() {
            self.end_tenure();
            return;
        }
        self.take_duty();
        self.start_waiting_orders(now);
        self.start_controllers(now);
        self.flush_reports(now);
        let services: Vec<_> = self.rollouts.controllers.keys().cloned().collect();
        for service in services {
            if let Some(config) = self.known_config(&service).cloned() {
                self.rollout_event(now, &service, rollout::Event::Config(config));
            }
            let capacity = self.capacity(&service);
            self.rollout_event(now, &service, rollout::Event::Capacity(capacity));
            let event = match self.has_all_reports(&service) {
                true => rollout::Event::AllReported,
                false => rollout::Event::Tick,
            };
            self.rollout_event(now, &service, event);
        }
    }

    /// Drops what belongs to the duty. All decisions are stored, and hosts report their
    /// totals, so the next holder continues from there.
    fn end_tenure(&mut self) {
        if self.rollouts.tenure.take().is_some() {
            log::info!(target: part::ROLLOUT, "this node no longer controls rollouts");
        }
        self.rollouts.controllers.clear();
        self.rollouts.reports = ReportAggregator::default();
    }

    /// Starts a tenure that is newer than all known ones, unless that of this node is.
    fn take_duty(&mut self) {
        let known = self.rollouts.holder;
        let address = self.membership.own().address;
        let own = self.rollouts.tenure;
        if own.is_some_and(|tenure| known == Some(Holder { tenure, address })) {
            return;
        }
        let next = known.map_or(0, |holder| holder.tenure.0 + 1);
        // A process that has just started may not know the newest tenure.
        let tenure = Tenure(next.max(self.dependencies.timer.wall_clock().0));
        log::info!(target: part::ROLLOUT, "this node controls rollouts, tenure {}", tenure.0);
        self.rollouts.tenure = Some(tenure);
        self.rollouts.holder = Some(Holder { tenure, address });
    }

    /// Configuration of a service with its newest order; `None` while the orders are not
    /// known.
    fn known_config(&self, service: &Name) -> Option<&ServiceConfig> {
        if self.dependencies.orders.is_some() && !self.orders.book.is_loaded() {
            return None;
        }
        let ordered = self.orders.book.config(service);
        ordered.or_else(|| self.configs.config().services.get(service))
    }

    /// Creates controllers for services with a rollout that has no final result or a
    /// state that is not final, and drops idle ones.
    fn start_controllers(&mut self, now: Time) {
        let open: BTreeSet<_> = self.orders.book.open().cloned().collect();
        let has_orders = self.dependencies.orders.is_some();
        let services = self.configs.config().services.iter();
        let services = services.map(|(name, service)| {
            let config = self.orders.book.config(name).unwrap_or(service);
            let has_open_result = match has_orders {
                true => open.contains(name),
                false => !self.finished_tickets.contains(&config.ticket),
            };
            Moved {
                name,
                config,
                has_open_result,
            }
        });
        let controllers = &self.rollouts.controllers;
        let needed = self.rollouts.known.needed(services, controllers);
        for service in needed {
            let strategies = Box::new(rollout::ByDuration);
            let controller = rollout::RolloutController::new(service.clone(), strategies);
            self.rollouts
                .controllers
                .insert(service.clone(), controller);
            if let Some(state) = self.rollouts.known.states().get(&service).cloned() {
                self.rollout_event(now, &service, rollout::Event::Seen(state));
            }
            self.announce_era(now, &service);
        }
        self.rollouts
            .known
            .drop_done(&mut self.rollouts.controllers);
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

    /// Whether all hosts with ready servers of a service have reported their totals for its
    /// rollout, and the controller has received them.
    fn has_all_reports(&self, service: &Name) -> bool {
        let Some(state) = self.rollouts.known.states().get(service) else {
            return false;
        };
        let reports = &self.rollouts.reports;
        let mut hosts = self
            .membership
            .directory()
            .present()
            .map(|(_, record)| record)
            .filter(|record| {
                let mut servers = record.announcements.iter();
                servers.any(|a| a.service == *service && a.state == ServerState::Ready)
            });
        hosts.all(|record| reports.has_reported(service, state.ticket, &record.host))
            && !reports.is_pending(service)
    }

    /// Passes the merged counts of each availability zone to rollout control.
    fn flush_reports(&mut self, now: Time) {
        let ended = self
            .rollouts
            .known
            .states()
            .values()
            .filter(|s| s.phase.is_final());
        for state in ended {
            self.rollouts.reports.remove(&state.service);
        }
        let own = self.membership.own();
        let (host, incarnation) = (own.host.clone(), own.incarnation.0);
        let window = self.report_interval();
        let controllers = &self.rollouts.controllers;
        let ticket = |service: &Name| Some(controllers.get(service)?.state()?.ticket);
        let reports = self
            .rollouts
            .reports
            .flush(now, window, &host, incarnation, ticket);
        for (service, report) in reports {
            self.rollout_event(now, &service, rollout::Event::Report(report));
        }
    }
}

/// Events and actions of the controllers.
impl Controller {
    /// Passes a state that another process has made to the controller of its service.
    pub(in crate::control) fn state_seen(&mut self, now: Time, state: &RolloutState) {
        let event = rollout::Event::Seen(state.clone());
        self.rollout_event(now, &state.service, event);
    }

    pub(in crate::control) fn rollout_event(
        &mut self,
        now: Time,
        service: &Name,
        event: rollout::Event,
    ) {
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
            self.rollout_action(now, service, action);
        }
    }

    fn rollout_action(&mut self, now: Time, service: &Name, action: rollout::Action) {
        match action {
            rollout::Action::Read => self.read_state(service.clone()),
            rollout::Action::Write { state, condition } => self.write_state(*state, condition),
            rollout::Action::Publish(state) => {
                let states = vec![*state];
                if self.join(&states[0]) {
                    self.states_changed();
                    // A late write of the previous holder may have taken the number.
                    self.read_contradicted_orders(&states);
                }
                self.publish_states(states, Origin::Local);
            }
            rollout::Action::Finish(result) => {
                if !self.report_end(now, &result) {
                    self.rollout_ended(*result);
                }
            }
        }
    }
}
