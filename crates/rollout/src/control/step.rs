//! The decisions that rollout control takes after each event.

use crate::control::event::Action;
use crate::control::{REPUBLISH_INTERVAL, RESULT_RETRY_INTERVAL, RolloutController, initial_state};
use crate::judge::Verdict;
use crate::planner::{Plan, PlanInput};
use crate::result::PullBackReason;
use crate::state::{Phase, RolloutState};
use crate::{Outcome, TicketResult};
use knapweed_world::config::{RolloutTerms, ServiceConfig};
use knapweed_world::{Share, Time, UnixMillis};
use std::time::Duration;

/// Largest number of unconfirmed results of earlier tickets in a state.
const MAX_OWED_RESULTS: usize = 8;
/// Servers of the new versions that have all been missing for this long are not
/// expected back in time.
const MISSING_SERVERS_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest number of rechecks of suspicions. Two reveal a fault that shows only
/// under full load; in a long slowdown of all versions each further one adds a
/// chance of a false alarm.
const MAX_SUSPICION_RECHECKS: u32 = 4;
/// Largest number of rechecks because of tripped guards. A guard admits the new
/// version again as often ([`crate::guard`]).
const MAX_GUARD_RECHECKS: u32 = 2;
/// How long the versions run side by side in a recheck.
const RECHECK_DURATION: Duration = Duration::from_secs(8);

impl RolloutController {
    /// Takes every decision that is due and appends the resulting actions.
    pub(super) fn advance(&mut self, now: Time, wall: UnixMillis, out: &mut Vec<Action>) {
        self.pull_back_if_faulty(now, wall, out);
        self.store.tick(now, out);
        self.write_unstored_state(now, out);
        self.start_newer_ticket(now, wall, out);
        self.step_forward(now, wall, out);
        self.request_results(now, out);
        self.republish(now, out);
    }

    /// Pulls back immediately when the new version is faulty, even if the object
    /// store or some zones are unreachable.
    fn pull_back_if_faulty(&mut self, now: Time, wall: UnixMillis, out: &mut Vec<Action>) {
        let Some(state) = self.current.clone() else {
            return;
        };
        if state.phase.is_final() || state.is_return_to_proven() {
            return;
        }
        let reason = match self.verdict() {
            Verdict::Bad(fault) => PullBackReason::Fault(fault),
            _ if self.has_no_servers(&state, now, wall) => PullBackReason::NoServers,
            _ => return,
        };
        let next = state.next(Phase::PulledBack(reason), wall, &self.evidence);
        self.merge_state(next, now, out);
    }

    /// Whether the new servers have disappeared, or have not started by the
    /// deadline. False while a zone is unreachable, since it may still have some.
    fn has_no_servers(&mut self, state: &RolloutState, now: Time, wall: UnixMillis) -> bool {
        let is_missing = self.traffic.slots(&state.new_versions()) == 0
            && self.traffic.has_capacity()
            && self.traffic.all_zones_reachable(now);
        if !is_missing {
            self.no_servers_since = None;
            return false;
        }
        let since = *self.no_servers_since.get_or_insert(now);
        if state.phase.progress() == Share::NONE {
            return wall >= state.terms.deadline;
        }
        now.since(since) >= MISSING_SERVERS_TIMEOUT
    }

    /// Writes the current state if it is newer than the stored one, such as a
    /// pull-back or a copy that a node sent.
    fn write_unstored_state(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(current) = self.current.as_ref().filter(|_| self.store.is_known()) else {
            return;
        };
        let is_ahead = |stored: &RolloutState| current.cmp_precedence(stored).is_gt();
        if self.store.state.as_ref().is_none_or(is_ahead) {
            let state = current.clone();
            self.store.write(state, now, out);
        }
    }

    /// Starts the rollout of a newer ticket, if the configuration has one.
    ///
    /// It starts from the shares of the current state. Those of a running rollout that this
    /// holder has just taken over may be outdated, when the object store came back from an
    /// older copy.
    fn start_newer_ticket(&mut self, now: Time, wall: UnixMillis, out: &mut Vec<Action>) {
        let is_running = self.current.as_ref().is_some_and(|s| !s.phase.is_final());
        if !self.store.is_known() || (is_running && !self.has_taken_over(now)) {
            return;
        }
        let Some(config) = &self.config else {
            return;
        };
        let proposed = match (&self.current, &config.rollout) {
            (None, Some(terms)) => initial_state(&self.service, config, terms, wall),
            (Some(current), Some(terms)) if current.ticket < config.ticket => {
                if self.results().len() > MAX_OWED_RESULTS {
                    return;
                }
                self.superseding_state(current, config, terms, wall)
            }
            (Some(current), None) if self.is_replaced_without_rollout(current, config) => {
                self.replacing_state(current, config, wall)
            }
            _ => return,
        };
        self.store.write(proposed, now, out);
    }

    fn is_replaced_without_rollout(&self, current: &RolloutState, config: &ServiceConfig) -> bool {
        current.ticket < config.ticket
            && !current.phase.is_final()
            && !current.is_moving_to(&config.versions)
            && self.results().len() <= MAX_OWED_RESULTS
    }

    /// The initial state of a ticket that supersedes `current`. It starts from the
    /// shares in force.
    fn superseding_state(
        &self,
        current: &RolloutState,
        config: &ServiceConfig,
        terms: &RolloutTerms,
        wall: UnixMillis,
    ) -> RolloutState {
        let mut state = initial_state(&self.service, config, terms, wall);
        state.terms.from = current.shares();
        if !current.phase.is_final() {
            state.proven = current.old_versions();
        }
        state.owed = self.owed_results_after(current, config, wall);
        state
    }

    /// The state of a ticket that sets the shares without a rollout while one is
    /// running: it is complete immediately. It yields no result, because the result
    /// of such a ticket is written when the ticket is accepted.
    fn replacing_state(
        &self,
        current: &RolloutState,
        config: &ServiceConfig,
        wall: UnixMillis,
    ) -> RolloutState {
        let mut state = self.superseding_state(current, config, &current.terms, wall);
        state.phase = Phase::Completed;
        state.has_result = false;
        state
    }

    fn owed_results_after(
        &self,
        current: &RolloutState,
        config: &ServiceConfig,
        wall: UnixMillis,
    ) -> Vec<TicketResult> {
        let mut owed = self.results();
        if !current.phase.is_final() {
            owed.push(current.result_with_outcome(Outcome::Superseded {
                at: wall,
                by: config.ticket,
            }));
        }
        owed
    }

    /// Takes the next step of the planner. This needs a reachable object store, all
    /// zones, and a stored state that equals the current one.
    fn step_forward(&mut self, now: Time, wall: UnixMillis, out: &mut Vec<Action>) {
        let Some(state) = self.current.clone().filter(|s| !s.phase.is_final()) else {
            return;
        };
        let is_newest = self
            .config
            .as_ref()
            .is_some_and(|c| self.is_requested_by(c, &state));
        if !is_newest || !self.has_taken_over(now) || !self.store.is_known() {
            return;
        }
        let Some(phase) = self.next_phase(&state, now, wall) else {
            return;
        };
        let next = state.next(phase, wall, &self.evidence);
        self.store.write(next, now, out);
    }

    /// Whether this holder knows what the previous one knew.
    fn has_taken_over(&self, now: Time) -> bool {
        self.takeover.as_ref().is_none_or(|t| t.is_over(now))
    }

    fn is_requested_by(&self, config: &ServiceConfig, state: &RolloutState) -> bool {
        config.ticket == state.ticket
            || (config.rollout.is_none() && state.is_moving_to(&config.versions))
    }

    fn next_phase(&mut self, state: &RolloutState, now: Time, wall: UnixMillis) -> Option<Phase> {
        if state.is_return_to_proven() {
            return Some(Phase::Completed);
        }
        let share = state.phase.progress();
        if !self.traffic.all_zones_reachable(now) || !self.traffic.has_capacity() {
            let is_moving = matches!(state.phase, Phase::Ramping(_));
            return is_moving.then_some(Phase::Holding(share));
        }
        if let Some(since) = self.recheck_started_at {
            return self.end_recheck(since, share, now);
        }
        let is_suspect = matches!(self.verdict(), Verdict::Suspect(_));
        let wants_recheck =
            share == Share::ALL && is_suspect && self.suspicion_rechecks < MAX_SUSPICION_RECHECKS;
        if wants_recheck {
            self.suspicion_rechecks += 1;
            self.is_checking_suspicion = true;
        }
        if wants_recheck || self.wants_guard_recheck() {
            return self.start_recheck(state, now);
        }
        let plan_input = self.plan_input(state, now, wall);
        match self.strategy.as_ref()?.planner.next(&plan_input) {
            Plan::Step(to) => Some(Phase::Ramping(to)),
            Plan::Complete => Some(Phase::Completed),
            Plan::PullBack => Some(Phase::PulledBack(PullBackReason::InsufficientCapacity)),
            Plan::Wait if matches!(state.phase, Phase::Holding(_)) => Some(Phase::Ramping(share)),
            Plan::Wait => None,
        }
    }

    /// Whether a guard has tripped. It hides further failures from the judge until a
    /// recheck admits requests to the new version again.
    fn wants_guard_recheck(&mut self) -> bool {
        if self.guard_rechecks >= MAX_GUARD_RECHECKS {
            return false;
        }
        let has_tripped = std::mem::take(&mut self.guard_tripped);
        self.guard_rechecks += u32::from(has_tripped);
        has_tripped
    }

    /// Starts to compare the versions side by side. For this the old ones get part
    /// of the traffic back if their share is lower than a recheck needs.
    fn start_recheck(&mut self, state: &RolloutState, now: Time) -> Option<Phase> {
        let share = self.traffic.recheck_share(state)?;
        let share = share.min(state.phase.progress());
        self.recheck_started_at = Some(now);
        self.resume_share = Some(state.phase.progress());
        if let Some(strategy) = &mut self.strategy {
            strategy.judge.recheck();
        }
        Some(Phase::Holding(share))
    }

    fn end_recheck(&mut self, since: Time, share: Share, now: Time) -> Option<Phase> {
        if now.since(since) < RECHECK_DURATION {
            return None;
        }
        self.recheck_started_at = None;
        if std::mem::take(&mut self.is_checking_suspicion)
            && let Some(strategy) = &mut self.strategy
        {
            strategy.judge.clear_suspicion();
        }
        Some(Phase::Ramping(self.resume_share.take().unwrap_or(share)))
    }

    fn plan_input(&mut self, state: &RolloutState, now: Time, wall: UnixMillis) -> PlanInput {
        PlanInput {
            start: state.terms.start,
            deadline: state.terms.deadline,
            caution: state.terms.caution,
            now: wall,
            share: state.phase.progress(),
            since: state.changed,
            capacity: self.traffic.capacity_share(state),
            step_requests: self.traffic.step_requests(),
            requests_per_minute: self.traffic.requests_per_minute(now),
        }
    }

    /// Requests the writes of results that are not confirmed yet.
    fn request_results(&mut self, now: Time, out: &mut Vec<Action>) {
        let is_due = self
            .results_requested_at
            .is_none_or(|at| now.since(at) >= RESULT_RETRY_INTERVAL);
        let results = self.results();
        if results.is_empty() || !is_due {
            return;
        }
        let finishes = results.into_iter().map(|r| Action::Finish(Box::new(r)));
        out.extend(finishes);
        self.results_requested_at = Some(now);
    }

    /// Results that follow from the stored state and are not confirmed. They depend
    /// only on stored state, so every holder writes the same ones.
    pub(super) fn results(&self) -> Vec<TicketResult> {
        let Some(stored) = &self.store.state else {
            return Vec::new();
        };
        let own = stored.result();
        let all = stored.owed.iter().cloned().chain(own);
        all.filter(|r| !self.confirmed_results.contains(&r.ticket))
            .collect()
    }

    fn republish(&mut self, now: Time, out: &mut Vec<Action>) {
        let is_due = self
            .published_at
            .is_none_or(|at| now.since(at) >= REPUBLISH_INTERVAL);
        if is_due {
            self.publish(now, out);
        }
    }
}
