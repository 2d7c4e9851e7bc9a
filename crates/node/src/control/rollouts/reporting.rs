//! Reports of the request counts of this host to the holder of the duty.

use crate::control::Controller;
use crate::trial::Scope;
use knapweed_rollout::HostReport;
use knapweed_wire::StreamHead;
use knapweed_world::{Name, Time};
use std::time::Duration;

/// Interval at which a host reports its request counts to rollout control.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Report interval while a short rollout is running, which lasts only seconds.
const SHORT_ROLLOUT_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which a report contains all series, also those that have not changed. It
/// makes up for reports that were lost.
const FULL_REPORT_INTERVAL: Duration = Duration::from_secs(5);

impl Controller {
    /// Report interval: short rollouts are judged on short windows.
    pub(super) fn report_interval(&self) -> Duration {
        let states = self.rollouts.known.states().values();
        let mut active = states.filter(|s| !s.phase.is_final());
        match active.any(|s| knapweed_rollout::strategy::is_short(&s.terms)) {
            true => SHORT_ROLLOUT_REPORT_INTERVAL,
            false => REPORT_INTERVAL,
        }
    }

    /// Sends the totals of this host to the holder of the duty.
    pub(super) fn send_reports(&mut self, now: Time) {
        let Some(holder) = self.rollouts.holder else {
            return;
        };
        let reported = self.rollouts.reported_fully;
        let is_full =
            reported.is_none_or(|(to, at)| to != holder || now.since(at) >= FULL_REPORT_INTERVAL);
        let scope = match is_full {
            true => Scope::All,
            false => Scope::Changed,
        };
        if is_full {
            self.rollouts.reported_fully = Some((holder, now));
        }
        for (service, trial) in self.dependencies.trials.all() {
            if !self.serves(&service) {
                continue;
            }
            self.rollouts.sequence += 1;
            let own = self.membership.own();
            let totals = trial.report(scope);
            let report = HostReport {
                ticket: trial.ticket(),
                zone: own.zone.clone(),
                host: own.host.clone(),
                incarnation: own.incarnation.0,
                sequence: self.rollouts.sequence,
                guard_trips: totals.guard_trips,
                totals: totals.counters,
            };
            if holder.address == own.address {
                self.rollouts.reports.add(&service, &report);
            } else {
                let report = Box::new(report);
                self.send_one_way(holder.address, &StreamHead::Report { service, report });
            }
        }
    }

    fn serves(&self, service: &Name) -> bool {
        let announcements = &self.membership.own().announcements;
        announcements.iter().any(|a| a.service == *service)
    }

    /// Adds the totals of a host.
    pub(in crate::control) fn report_received(&mut self, service: &Name, report: &HostReport) {
        self.rollouts.reports.add(service, report);
    }
}
