//! Replay of a rollout controller.

use crate::header::{ControlSettings, JudgeSettings, PlannerSettings, PlatformSettings};
use crate::record::{Record, TraceEvent};
use crate::run::stand_in::StandIn;
use crate::run::{Observations, PublishedShare, Run};
use knapweed_rollout::{Action, ChooseStrategy, Event, RolloutController, RolloutState, Strategy};
use knapweed_world::config::RolloutTerms;
use knapweed_world::{Share, Time, UnixMillis};
use std::collections::VecDeque;
use std::time::Duration;

/// A rollout controller that processes recorded events, with generated ticks in
/// between.
#[derive(Debug)]
pub struct ControlRun {
    settings: ControlSettings,
    start: UnixMillis,
    controller: RolloutController,
    platform: StandIn,
    published: Option<RolloutState>,
    next_tick: Time,
    observations: Observations,
}

impl ControlRun {
    /// Creates a run whose time 0 is `start` on the wall clock.
    pub fn new(settings: ControlSettings, start: UnixMillis) -> Self {
        Self {
            controller: new_controller(&settings),
            settings,
            start,
            platform: StandIn::default(),
            published: None,
            next_tick: Time(0),
            observations: Observations::default(),
        }
    }
}

/// Queries of the published state.
impl ControlRun {
    /// Completed part of the move, as last published.
    pub fn share(&self) -> Share {
        let progress = |s: &RolloutState| s.phase.progress();
        self.published.as_ref().map_or(Share::NONE, progress)
    }
}

/// Handling of events and of the actions that follow from them.
impl ControlRun {
    fn tick_until(&mut self, at: Time) {
        while self.next_tick <= at {
            let now = self.next_tick;
            self.handle(Event::Tick, now);
            self.next_tick = now.after(Duration::from_micros(self.settings.tick_us));
        }
    }

    fn handle(&mut self, event: Event, now: Time) {
        let wall_clock = self.start.after(Duration::from_micros(now.0));
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.controller.handle(event, now, wall_clock, &mut actions);
            for action in actions {
                events.extend(self.platform_reply(&action));
                self.record_action(action, now);
            }
        }
    }

    fn platform_reply(&mut self, action: &Action) -> Option<Event> {
        match self.settings.platform {
            PlatformSettings::Recorded => None,
            PlatformSettings::StandIn => self.platform.perform(action),
        }
    }

    fn record_action(&mut self, action: Action, now: Time) {
        match action {
            Action::Publish(state) => self.publish(*state, now),
            Action::Finish(result) => self.observations.add_result(now, *result),
            Action::Read | Action::Write { .. } => {}
        }
    }

    fn publish(&mut self, state: RolloutState, now: Time) {
        let state = match self.published.take() {
            Some(previous) => previous.join(state),
            None => state,
        };
        if state.phase.is_final() && state.phase.progress() == Share::NONE {
            self.observations
                .pulled_back
                .entry(state.ticket)
                .or_insert(now);
        }
        self.observations.shares.push(PublishedShare {
            at: now,
            share: state.phase.progress(),
        });
        self.published = Some(state);
    }

    /// Replaces the controller by a new one, which receives only the state that
    /// nodes still hold.
    fn replace_holder(&mut self, now: Time) {
        self.controller = new_controller(&self.settings);
        if let Some(state) = self.published.clone() {
            self.handle(Event::Seen(state), now);
        }
    }
}

impl Run for ControlRun {
    fn feed(&mut self, record: &Record) {
        self.tick_until(record.at);
        match &record.event {
            TraceEvent::Control(event) => self.handle((**event).clone(), record.at),
            TraceEvent::NewHolder => self.replace_holder(record.at),
            TraceEvent::PlatformDown(is_down) => self.platform.is_down = *is_down,
            TraceEvent::Guard(_) | TraceEvent::End => {}
        }
    }

    fn observations(&self) -> &Observations {
        &self.observations
    }
}

fn new_controller(settings: &ControlSettings) -> RolloutController {
    let strategies = Configured {
        judge: settings.judge,
        planner: settings.planner,
    };
    RolloutController::new(settings.service.clone(), Box::new(strategies))
}

/// The judge and planner that the settings of a trace name, for all rollouts.
#[derive(Clone, Copy, Debug)]
struct Configured {
    judge: JudgeSettings,
    planner: PlannerSettings,
}

impl ChooseStrategy for Configured {
    fn choose(&self, _terms: &RolloutTerms) -> Strategy {
        Strategy {
            judge: self.judge.build_judge(),
            planner: self.planner.build_planner(),
        }
    }
}
