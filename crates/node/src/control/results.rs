//! Final results of tickets. A result is written once, and only from stored state.

use super::{Controller, Event};
use knapweed_contract::Driver;
use knapweed_contract::drive::SystemClock;
use knapweed_contract::head::Accepted;
use knapweed_contract::result::{Ending, Evidence, FinalResult, Record, Tally};
use knapweed_observe::part;
use knapweed_rollout::judge::{Fault, FaultKind};
use knapweed_rollout::result::PullBackReason;
use knapweed_rollout::{self as rollout, TicketResult};
use knapweed_store::ObjectStore;
use knapweed_world::{Config, ConfigVersion, Name, TicketNumber, Time};
use knapweed_zone::MemberState;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Interval at which tickets without a final result are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for all nodes to confirm a version: the time within which a version
/// must reach all nodes.
const CONFIRM_WAIT: Duration = Duration::from_secs(3);
/// Wait before the write of a result is retried.
const RETRY_WAIT: Duration = Duration::from_secs(2);

/// Tickets whose final result is pending.
#[derive(Debug, Default)]
pub(super) struct PendingResults {
    /// Results of ended rollouts by ticket and service.
    ended_rollouts: BTreeMap<TicketNumber, BTreeMap<Name, TicketResult>>,
    /// Tickets whose result is being written, with the start of the write.
    writing: BTreeMap<TicketNumber, Time>,
    last_check: Time,
}

/// Endings of tickets that have rollouts.
impl Controller {
    /// Handles the end of the rollout of one service of a ticket.
    pub(super) fn rollout_ended(&mut self, result: TicketResult) {
        let ticket = result.ticket;
        let ended_rollouts = self.results.ended_rollouts.entry(ticket).or_default();
        ended_rollouts.insert(result.service.clone(), result);
        let ended_rollouts = ended_rollouts.clone();
        if let Some(ending) = ending(&ended_rollouts, &self.services_with_rollout(ticket)) {
            self.start_writing(ticket, ending);
        }
    }

    /// Services whose newest ticket is `ticket` and that have a rollout by it.
    fn services_with_rollout(&self, ticket: TicketNumber) -> BTreeSet<Name> {
        let services = self.configs.config().services.iter();
        let moving = services.filter(|(_, s)| s.ticket == ticket && s.rollout.is_some());
        moving.map(|(name, _)| name.clone()).collect()
    }
}

/// How a ticket ends; `None` while rollouts are running. A pull-back of one service
/// ends the ticket at once.
fn ending(
    ended_rollouts: &BTreeMap<Name, TicketResult>,
    expected: &BTreeSet<Name>,
) -> Option<Ending> {
    let pulled_back = ended_rollouts.values().find_map(pulled_back);
    if pulled_back.is_some() {
        return pulled_back;
    }
    if expected
        .iter()
        .any(|service| !ended_rollouts.contains_key(service))
    {
        return None;
    }
    let superseded = ended_rollouts
        .values()
        .find_map(|result| match result.outcome {
            rollout::Outcome::Superseded { by, .. } => Some(Ending::Superseded { by }),
            _ => None,
        });
    Some(superseded.unwrap_or(Ending::Completed))
}

fn pulled_back(result: &TicketResult) -> Option<Ending> {
    let rollout::Outcome::PulledBack { reason, .. } = &result.outcome else {
        return None;
    };
    Some(Ending::PulledBack {
        service: result.service.clone(),
        reason: reason.to_string(),
        evidence: match reason {
            PullBackReason::Fault(fault) => Some(evidence(fault)),
            PullBackReason::InsufficientCapacity | PullBackReason::NoServers => None,
        },
    })
}

fn evidence(fault: &Fault) -> Evidence {
    let tally = |t: rollout::judge::Tally| {
        let (failures, slow) = match fault.kind {
            FaultKind::Failures => (t.affected, 0),
            FaultKind::Slow => (0, t.affected),
        };
        Tally {
            requests: t.requests,
            failures,
            slow,
        }
    };
    Evidence {
        route: Some(fault.route.clone()),
        zone: None,
        new: tally(fault.new),
        old: tally(fault.old),
    }
}

/// Endings of tickets without a rollout: once all nodes have applied the version, or
/// after [`CONFIRM_WAIT`].
impl Controller {
    pub(super) fn result_tick(&mut self, now: Time) {
        if now.since(self.results.last_check) < CHECK_INTERVAL
            || !self.membership.role().keeps_tickets
        {
            return;
        }
        self.results.last_check = now;
        self.results
            .writing
            .retain(|_, since| now.since(*since) < RETRY_WAIT);
        let recent: Vec<_> = self.configs.head().recent.iter().copied().collect();
        self.finished_tickets
            .retain(|ticket| recent.iter().any(|a| a.ticket == *ticket));
        for accepted in recent {
            self.check_in_force(accepted);
        }
    }

    fn check_in_force(&mut self, accepted: Accepted) {
        let ticket = accepted.ticket;
        let is_known =
            self.finished_tickets.contains(&ticket) || self.results.writing.contains_key(&ticket);
        if is_known || !self.services_with_rollout(ticket).is_empty() {
            return;
        }
        let unconfirmed = self.unconfirmed(accepted.version);
        let waited = self.dependencies.timer.wall_clock().since(accepted.at);
        if unconfirmed.is_empty() || waited >= CONFIRM_WAIT {
            self.start_writing(ticket, Ending::InForce);
        }
    }

    /// Hosts that are alive and have not applied `version`.
    fn unconfirmed(&self, version: ConfigVersion) -> Vec<Name> {
        let members = self.membership.directory().present();
        let alive = members.filter(|(_, r)| r.state == MemberState::Alive);
        let behind = alive.filter(|(_, r)| r.applied < version);
        behind.map(|(_, r)| r.host.clone()).collect()
    }
}

/// Writing of final results to the object store.
impl Controller {
    fn start_writing(&mut self, ticket: TicketNumber, ending: Ending) {
        let now = self.now();
        if self.results.writing.insert(ticket, now).is_some() {
            return;
        }
        let accepted = self.configs.head().accepted(ticket);
        let version = accepted.map_or(ConfigVersion(0), |a| a.version);
        let result = FinalResult {
            ending,
            at: self.dependencies.timer.wall_clock(),
            unconfirmed: self.unconfirmed(version),
        };
        let (store, handle) = (self.dependencies.store.clone(), self.handle.clone());
        let config = self.configs.config().clone();
        tokio::spawn(async move {
            match write(&*store, ticket, result, &config).await {
                Ok(()) => handle.send(Event::FinalResultWritten(ticket)).await,
                Err(err) => log::warn!(target: part::TICKET, "no result of {ticket} yet: {err}"),
            }
        });
    }

    /// Handles the confirmation that the final result of a ticket is written.
    pub(super) fn final_result_written(&mut self, now: Time, ticket: TicketNumber) {
        self.finished_tickets.insert(ticket);
        self.results.writing.remove(&ticket);
        self.results.ended_rollouts.remove(&ticket);
        let services: Vec<_> = self.configs.config().services.keys().cloned().collect();
        for service in services {
            self.rollout_event(now, &service, rollout::Event::ResultWritten(ticket));
        }
    }
}

async fn write(
    store: &dyn ObjectStore,
    ticket: TicketNumber,
    mut result: FinalResult,
    config: &Config,
) -> Result<(), knapweed_contract::drive::Error> {
    let driver = Driver::new(store, &SystemClock);
    if result.ending == Ending::InForce {
        let Some(record) = driver.record(ticket).await? else {
            return Ok(());
        };
        if record.result.is_some() {
            return Ok(());
        }
        if let Some(by) = superseded_by(&record, config) {
            result.ending = Ending::Superseded { by };
        }
    }
    let stored = driver.write_final_result(ticket, &result).await?;
    log::info!(target: part::TICKET, "ticket {ticket}: {:?}", stored.ending);
    Ok(())
}

/// The later ticket that superseded this one: every service and route of this ticket
/// was changed by a later ticket before this one had a result.
fn superseded_by(record: &Record, config: &Config) -> Option<TicketNumber> {
    let document = &record.document;
    let services = document.services.iter().map(|change| {
        let service = config.services.get(&change.name);
        service.map(|s| s.ticket)
    });
    let routes = document.routes.iter().map(|change| {
        let route = config.routes.get(&change.name);
        route.map(|r| r.ticket)
    });
    let newest: Vec<_> = services.chain(routes).collect();
    let is_later = |ticket: &Option<TicketNumber>| *ticket != Some(document.ticket);
    match newest.iter().all(is_later) {
        true => newest.into_iter().flatten().max(),
        false => None,
    }
}
