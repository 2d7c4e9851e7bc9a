//! Runs rollout control with a simulated service in simulated time.

use super::platform::FakePlatform;
use super::scenario::Scenario;
use super::service::{Service, Tallies};
use super::{START, config, name};
use knapweed_rollout::control::RolloutController;
use knapweed_rollout::judge::{Judge, SequentialJudge};
use knapweed_rollout::planner::{DeadlinePlanner, MIN_EVIDENCE_REQUESTS, Planner};
use knapweed_rollout::{
    Action, ChooseStrategy, Counters, Event, Outcome, RolloutState, Strategy, ZoneReport,
};
use knapweed_world::config::RolloutTerms;
use knapweed_world::{Name, Share, TicketNumber, Time, UnixMillis};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::VecDeque;

pub const TICKET: TicketNumber = TicketNumber(1);
const STEP_MS: u64 = 100;
/// Delay of reports and answers to rollout control, in steps.
const DELAY_STEPS: u64 = 2;
/// Time after the deadline at which a replay without a result ends.
const MAX_OVERRUN_MS: u64 = 120_000;

/// The default judge and planner, without guards.
pub const STANDARD: Variant = Variant {
    title: "sequential, deadline",
    judge: || Box::new(SequentialJudge::default()),
    planner: || Box::new(DeadlinePlanner),
    has_guard: false,
};

/// A combination of judge, planner and guards to simulate.
#[derive(Clone, Copy, Debug)]
pub struct Variant {
    pub title: &'static str,
    pub judge: fn() -> Box<dyn Judge>,
    pub planner: fn() -> Box<dyn Planner>,
    pub has_guard: bool,
}

/// Results of a replay. Times are in seconds after the start.
#[derive(Clone, Debug)]
pub struct Outcomes {
    pub outcome: Option<Outcome>,
    pub tallies: Tallies,
    /// When rollout control decided to pull the version back.
    pub decided: Option<f64>,
    /// Requests of the whole service and of the new version before the evidence was
    /// complete or the version was pulled back.
    pub before_evidence: (u64, u64),
    /// Largest share of the new version in that time.
    pub max_share_before_evidence: Share,
    pub platform: FakePlatform,
    pub holders: u32,
}

impl Outcomes {
    pub fn in_time(&self) -> bool {
        matches!(self.outcome, Some(Outcome::Completed { late: false, .. }))
    }

    pub fn pulled_back(&self) -> bool {
        matches!(self.outcome, Some(Outcome::PulledBack { .. }))
    }

    /// Seconds from the first faulty request to the last request to the new version.
    pub fn exposure_s(&self) -> Option<f64> {
        let first = self.tallies.first_fault?;
        Some(self.tallies.last_to_new? - first)
    }
}

pub struct Replay {
    pub service: Service,
    pub platform: FakePlatform,
    pub control: RolloutController,
    pub now_ms: u64,
    variant: Variant,
    rng: SmallRng,
    pending_events: VecDeque<(u64, Event)>,
    applied_state: Option<RolloutState>,
    pending_state: Option<RolloutState>,
    sequence: u64,
    /// Counts of each zone since the start, which a new holder gets in its first report.
    totals: [Counters; 4],
    is_first_report: bool,
    holders: u32,
    decided: Option<f64>,
    before_evidence: (u64, u64),
    max_share_before_evidence: Share,
    first_share_ms: Option<u64>,
}

impl Replay {
    pub fn new(scenario: Scenario, variant: Variant) -> Self {
        let mut rng = SmallRng::seed_from_u64(scenario.seed ^ 0x5eed);
        let service = Service::new(scenario, variant.has_guard, &mut rng);
        let mut replay = Self {
            service,
            platform: FakePlatform::default(),
            control: control(&variant),
            now_ms: 0,
            variant,
            rng,
            pending_events: VecDeque::new(),
            applied_state: None,
            pending_state: None,
            sequence: 0,
            totals: Default::default(),
            is_first_report: true,
            holders: 1,
            decided: None,
            before_evidence: (0, 0),
            max_share_before_evidence: Share::NONE,
            first_share_ms: None,
        };
        replay.send_config();
        replay
    }

    /// Runs the rollout to its end.
    pub fn run(mut self) -> Outcomes {
        while !self.is_over() {
            self.step();
        }
        self.outcomes()
    }

    pub fn is_over(&self) -> bool {
        let limit = self.service.scenario.deadline_s * 1_000 + MAX_OVERRUN_MS;
        self.platform.results.contains_key(&TICKET) || self.now_ms >= limit
    }

    pub fn outcomes(self) -> Outcomes {
        let result = self.platform.results.get(&TICKET);
        Outcomes {
            outcome: result.map(|r| r.outcome.clone()),
            tallies: self.service.tallies,
            decided: self.decided,
            before_evidence: self.before_evidence,
            max_share_before_evidence: self.max_share_before_evidence,
            platform: self.platform,
            holders: self.holders,
        }
    }

    /// Replaces the holder by a new one without any state. Pending answers to the old
    /// holder are lost.
    pub fn change_holder(&mut self) {
        self.control = control(&self.variant);
        self.pending_events.clear();
        self.is_first_report = true;
        self.holders += 1;
        self.send_config();
        if let Some(state) = self.applied_state.clone() {
            self.send(Event::Seen(state), DELAY_STEPS);
        }
    }

    /// Simulates one step of 100 ms.
    pub fn step(&mut self) {
        self.now_ms += STEP_MS;
        let t = self.now_ms as f64 / 1e3;
        self.platform.down = self.service.scenario.outage.contains(t);
        if let Some(next) = self.pending_state.take() {
            self.service.apply(&next);
            self.applied_state = Some(next);
        }
        self.run_traffic(t);
        if self.now_ms.is_multiple_of(1_000) {
            self.send_reports(t);
        }
        self.deliver();
    }

    fn run_traffic(&mut self, t: f64) {
        let share = self.share();
        let before = (self.service.tallies.requests, self.service.tallies.to_new);
        let dt = STEP_MS as f64 / 1e3;
        if share > Share::NONE {
            self.first_share_ms.get_or_insert(self.now_ms);
        }
        self.service.run(t, dt, share, &mut self.rng);
        let is_early = self.decided.is_none() && !self.has_evidence();
        if is_early {
            self.before_evidence.0 += self.service.tallies.requests - before.0;
            self.before_evidence.1 += self.service.tallies.to_new - before.1;
            self.max_share_before_evidence = self.max_share_before_evidence.max(share);
        }
    }

    /// The share of the new version that the nodes apply.
    pub fn share(&self) -> Share {
        let progress = |s: &RolloutState| s.phase.progress();
        self.applied_state.as_ref().map_or(Share::NONE, progress)
    }

    /// Whether the minimum evidence is complete: 200 requests to the new version on
    /// each route, or a tenth of the time that remained at the first step has passed.
    fn has_evidence(&self) -> bool {
        let rows = &self.control.evidence().rows;
        let counts = rows.iter().filter(|r| r.version == name("v2"));
        let enough = counts
            .filter(|r| r.requests >= MIN_EVIDENCE_REQUESTS)
            .count()
            == 3;
        let deadline_ms = self.service.scenario.deadline_s * 1_000;
        let is_over = |first: u64| self.now_ms >= first + (deadline_ms - first) / 10;
        enough || self.first_share_ms.is_some_and(is_over)
    }

    fn send_config(&mut self) {
        let mut config = config(TICKET.0, "v2", self.service.scenario.deadline_s);
        if let Some(terms) = &mut config.rollout {
            terms.caution = self.service.scenario.deployment.caution;
        }
        self.send(Event::Config(config), 0);
    }

    fn send_reports(&mut self, t: f64) {
        self.sequence += 1;
        for zone in 0..4 {
            let window = self.service.take_window(zone);
            self.totals[zone].merge(&window);
            let cut = self.service.scenario.cut;
            if cut.is_some_and(|(z, span)| z == zone && span.contains(t)) {
                continue;
            }
            let guard_trips = self.service.take_trips(zone);
            let counters = match self.is_first_report {
                true => self.totals[zone].clone(),
                false => window,
            };
            let report = ZoneReport {
                zone: self.service.zone(zone).clone(),
                relay: Name::clone(self.service.zone(zone)),
                incarnation: 1,
                sequence: self.sequence,
                guard_trips,
                counters,
            };
            self.send(Event::Report(report), DELAY_STEPS);
        }
        self.is_first_report = false;
        let capacity = self.service.capacity(t);
        self.send(Event::Capacity(capacity), 0);
    }

    fn send(&mut self, event: Event, delay: u64) {
        let at = self.now_ms + delay * STEP_MS;
        self.pending_events.push_back((at, event));
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let (due, later) = self
            .pending_events
            .drain(..)
            .partition(|(at, _)| *at <= now_ms);
        self.pending_events = later;
        let mut due: VecDeque<(u64, Event)> = due;
        due.push_back((now_ms, Event::Tick));
        for (_, event) in due {
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        let (now, wall) = (
            Time::from_millis(self.now_ms),
            UnixMillis(START.0 + self.now_ms),
        );
        let mut actions = Vec::new();
        self.control.handle(event, now, wall, &mut actions);
        for action in actions {
            if let Some(answer) = self.platform.answer(&action) {
                self.send(answer, DELAY_STEPS);
            }
            if let Action::Publish(state) = action {
                self.publish(*state);
            }
        }
    }

    fn publish(&mut self, state: RolloutState) {
        if state.phase.is_final() && state.phase.progress() == Share::NONE {
            self.decided.get_or_insert(self.now_ms as f64 / 1e3);
        }
        let known = self
            .pending_state
            .take()
            .or_else(|| self.applied_state.clone());
        self.pending_state = Some(match known {
            Some(known) => known.join(state),
            None => state,
        });
    }
}

impl ChooseStrategy for Variant {
    fn choose(&self, _terms: &RolloutTerms) -> Strategy {
        Strategy {
            judge: (self.judge)(),
            planner: (self.planner)(),
        }
    }
}

fn control(variant: &Variant) -> RolloutController {
    RolloutController::new(name("calendar"), Box::new(*variant))
}
