//! Rollout control: the state machine that shifts the traffic of one service.
//!
//! A forward step is first written to the object store, on the condition that the
//! stored revision is unchanged, and published once the write is confirmed. A
//! pull-back is published immediately and written as soon as the store is
//! reachable.
//!
//! A new holder of the duty decides nothing before it knows what the decision depends on.
//! It reads the stored state, joins it with the copies that nodes hold, and continues from
//! there with the strategy that the terms of the state select. It takes forward steps once
//! it knows the order and has the totals of all hosts, or after [`TAKEOVER_WAIT`]. It pulls
//! back as soon as the totals show a fault.
//!
//! The object store may come back from an older copy. The holder then reads the state
//! again, and writes the one that it knows if the stored one is older: nothing goes back.
//! It takes no forward step until the current state is stored, and requests all results
//! again.
//!
//! A new ticket for the service during a rollout supersedes it: the result of the
//! earlier ticket is `superseded`, and the new rollout starts from the shares in
//! force at that moment, so that traffic never jumps. If the new target consists
//! only of versions that the earlier rollout started from, the new rollout is a
//! return: all traffic moves in one step without a test. If a ticket without a
//! rollout repeats the target, the running rollout continues under its original
//! ticket. A configuration that is older than the stored state is ignored.

mod event;
mod step;
mod store;
mod takeover;
mod traffic;

pub use event::{Action, Event, WriteResult};

use crate::judge::{ComparedVersions, Verdict, Window};
use crate::strategy::{ChooseStrategy, Strategy};
use crate::{Counters, Evidence, Phase, RolloutState, ZoneReport};
use knapweed_world::config::{RolloutTerms, ServiceConfig};
use knapweed_world::{Name, Revision, Share, StoreEra, TicketNumber, Time, UnixMillis};
use std::collections::BTreeSet;
use std::time::Duration;
use store::Store;
use takeover::Takeover;
use traffic::Traffic;

/// Longest delay of forward steps after a new holder takes over a rollout, so that the
/// copies of the state on the nodes and the totals of the hosts arrive first.
pub const TAKEOVER_WAIT: Duration = Duration::from_secs(2);
/// Wait before the write of an unconfirmed result is requested again.
const RESULT_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which the state is published again, for nodes that missed it.
const REPUBLISH_INTERVAL: Duration = Duration::from_secs(5);

/// State machine that controls the rollouts of one service. It exists as long as
/// this process holds the duty for it.
#[derive(Debug)]
pub struct RolloutController {
    service: Name,
    strategies: Box<dyn ChooseStrategy>,
    /// The strategy of the current rollout; `None` while its terms are not known.
    strategy: Option<Strategy>,
    config: Option<ServiceConfig>,
    store: Store,
    current: Option<RolloutState>,
    traffic: Traffic,
    compared: Option<ComparedVersions>,
    evidence: Evidence,
    /// The evidence in the state of the rollout when this holder learned of it.
    inherited: Evidence,
    /// The evidence from the reports to this holder.
    reported: Evidence,
    judged_ticket: Option<TicketNumber>,
    confirmed_results: BTreeSet<TicketNumber>,
    results_requested_at: Option<Time>,
    published_at: Option<Time>,
    /// Set for a rollout that an earlier holder started.
    takeover: Option<Takeover>,
    recheck_started_at: Option<Time>,
    /// The share to continue with after a recheck.
    resume_share: Option<Share>,
    no_servers_since: Option<Time>,
    guard_tripped: bool,
    guard_rechecks: u32,
    suspicion_rechecks: u32,
    is_checking_suspicion: bool,
}

/// Creation of the state machine.
impl RolloutController {
    /// A state machine for `service` that has not received any state.
    pub fn new(service: Name, strategies: Box<dyn ChooseStrategy>) -> Self {
        Self {
            service,
            strategies,
            strategy: None,
            config: None,
            store: Store::default(),
            current: None,
            traffic: Traffic::default(),
            compared: None,
            evidence: Evidence::default(),
            inherited: Evidence::default(),
            reported: Evidence::default(),
            judged_ticket: None,
            confirmed_results: BTreeSet::new(),
            results_requested_at: None,
            published_at: None,
            takeover: None,
            recheck_started_at: None,
            resume_share: None,
            no_servers_since: None,
            guard_tripped: false,
            guard_rechecks: 0,
            suspicion_rechecks: 0,
            is_checking_suspicion: false,
        }
    }
}

/// Handling of events, which appends actions for the caller.
impl RolloutController {
    /// Handles an event and appends the resulting actions to `out`. `now` is the
    /// monotonic time of this process, `wall` the wall-clock time.
    pub fn handle(&mut self, event: Event, now: Time, wall: UnixMillis, out: &mut Vec<Action>) {
        match event {
            Event::Config(config) => self.handle_config(config),
            Event::Capacity(capacity) => self.traffic.set_capacity(capacity),
            Event::Report(report) => self.handle_report(&report, now, wall),
            Event::Seen(state) => self.inherit_state(state, now, out),
            Event::AllReported => {
                if let Some(takeover) = &mut self.takeover {
                    takeover.all_reported();
                }
            }
            Event::Read { state, revision } => self.handle_read(state, revision, now, out),
            Event::ReadFailed => self.store.read_failed(now),
            Event::Write(answer) => self.handle_write_answer(answer, now, out),
            Event::ResultWritten(ticket) => {
                self.confirmed_results.insert(ticket);
            }
            Event::ResultMissing(ticket) => {
                self.confirmed_results.remove(&ticket);
                self.results_requested_at = None;
            }
            Event::StoreRestored(era) => self.handle_restore(era),
            Event::Tick => {}
        }
        self.advance(now, wall, out);
    }

    fn handle_config(&mut self, config: ServiceConfig) {
        let is_newer = |old: &ServiceConfig| config.changed_at >= old.changed_at;
        if self.config.as_ref().is_none_or(is_newer) {
            self.config = Some(config);
        }
    }

    fn handle_report(&mut self, report: &ZoneReport, now: Time, wall: UnixMillis) {
        if !self.traffic.accept(report, now) {
            return;
        }
        let Some(state) = self.current.as_ref().filter(|s| !s.phase.is_final()) else {
            return;
        };
        self.traffic
            .count(&report.counters, &state.new_versions(), now);
        self.guard_tripped |= report.guard_trips > 0;
        self.reported.add(&report.counters, wall);
        self.evidence = self.inherited.join(&self.reported);
        self.judge_counters(&report.counters, now);
    }

    /// Judges counters together with the others that arrive during a takeover. The first
    /// reports to a new holder contain all earlier counts, and those of the old and new
    /// versions arrive one after the other.
    fn judge_counters(&mut self, counters: &Counters, now: Time) {
        let Some(strategy) = &mut self.strategy else {
            return;
        };
        let gathering = self.takeover.as_mut().filter(|t| !t.is_over(now));
        let counters = match (gathering, &self.compared) {
            (Some(takeover), Some(compared)) => {
                strategy.judge.begin(compared);
                takeover.gather(counters)
            }
            _ => counters,
        };
        strategy.judge.observe(&Window {
            counters,
            capacity: self.traffic.capacity(),
        });
    }

    fn handle_read(
        &mut self,
        state: Option<RolloutState>,
        revision: Revision,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        self.store.read(state, revision);
        if let Some(stored) = self.store.state.clone() {
            self.inherit_state(stored, now, out);
        }
    }

    /// Merges a state that this holder has not made.
    fn inherit_state(&mut self, state: RolloutState, now: Time, out: &mut Vec<Action>) {
        let judged_before = self.judged_ticket;
        self.merge_state(state, now, out);
        if self.judged_ticket != judged_before {
            self.takeover = Some(Takeover::new(now));
        }
    }

    /// Forgets what the object store has confirmed in earlier eras. The state and the counts
    /// that this holder knows stay, and are written again where the stored ones are older.
    fn handle_restore(&mut self, era: StoreEra) {
        if self.store.restored(era) {
            self.confirmed_results.clear();
            self.results_requested_at = None;
        }
    }

    fn handle_write_answer(&mut self, answer: WriteResult, now: Time, out: &mut Vec<Action>) {
        if let Some(stored) = self.store.written(answer, now) {
            self.merge_state(stored, now, out);
        }
    }

    /// Joins a state with the current one and publishes the joined state if the
    /// current one changed.
    fn merge_state(&mut self, state: RolloutState, now: Time, out: &mut Vec<Action>) {
        let joined = match self.current.take() {
            Some(current) if current.cmp_precedence(&state).is_ge() => {
                self.current = Some(current);
                return;
            }
            Some(current) => state.superseding(&current),
            None => state,
        };
        if self.judged_ticket == Some(joined.ticket) {
            self.traffic.next_step();
        } else {
            self.begin_comparison(&joined);
        }
        self.current = Some(joined);
        self.publish(now, out);
    }

    fn begin_comparison(&mut self, state: &RolloutState) {
        let time = state.terms.deadline.since(state.terms.start);
        let zones = self.traffic.zones().max(1);
        let compared = ComparedVersions {
            old: state.old_versions(),
            new: state.new_versions(),
            windows: time.as_secs().max(1) * zones,
        };
        let mut strategy = self.strategies.choose(&state.terms);
        strategy.judge.begin(&compared);
        self.strategy = Some(strategy);
        self.compared = Some(compared);
        self.takeover = None;
        self.traffic.next_ticket();
        self.inherited = state.evidence.clone();
        self.reported = Evidence::default();
        self.evidence = state.evidence.clone();
        self.judged_ticket = Some(state.ticket);
        self.recheck_started_at = None;
        self.resume_share = None;
        self.no_servers_since = None;
        self.guard_tripped = false;
        self.guard_rechecks = 0;
        self.suspicion_rechecks = 0;
        self.is_checking_suspicion = false;
    }

    fn publish(&mut self, now: Time, out: &mut Vec<Action>) {
        if let Some(state) = &self.current {
            out.push(Action::Publish(Box::new(state.clone())));
            self.published_at = Some(now);
        }
    }
}

/// Queries of the current state.
impl RolloutController {
    /// The service whose traffic is controlled.
    pub fn service(&self) -> &Name {
        &self.service
    }

    /// The joined state of the newest rollout; `None` while none is known.
    pub fn state(&self) -> Option<&RolloutState> {
        self.current.as_ref()
    }

    fn verdict(&self) -> Verdict {
        let strategy = self.strategy.as_ref();
        strategy.map_or(Verdict::NoFault, |s| s.judge.verdict())
    }

    /// Request counts of the current rollout.
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// Whether nothing is left to do: no rollout is running and every result is
    /// confirmed. False until the stored state has been read.
    pub fn is_idle(&self) -> bool {
        if !self.store.is_known() {
            return false;
        }
        let Some(state) = &self.current else {
            return self.config.as_ref().is_none_or(|c| c.rollout.is_none());
        };
        let is_newest = self
            .config
            .as_ref()
            .is_none_or(|c| c.ticket <= state.ticket);
        is_newest && state.phase.is_final() && self.results().is_empty()
    }
}

/// The initial state of the rollout that `config` requests.
fn initial_state(
    service: &Name,
    config: &ServiceConfig,
    terms: &RolloutTerms,
    wall: UnixMillis,
) -> RolloutState {
    RolloutState {
        service: service.clone(),
        ticket: config.ticket,
        epoch: crate::Epoch(1),
        phase: Phase::Warming,
        changed: wall,
        terms: terms.clone(),
        target: config.versions.clone(),
        proven: Vec::new(),
        has_result: true,
        evidence: Evidence::default(),
        owed: Vec::new(),
    }
}
