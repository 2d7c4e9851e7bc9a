//! Simulated service in two availability zones, whose traffic follows the
//! published shares.

use knapweed_rollout::counters::{Counters, LoadLevel, Sample, SeriesId, Warmth};
use knapweed_rollout::{Event, ZoneCapacity, ZoneReport};
use knapweed_trace::header::{
    ControlSettings, FORMAT, JudgeSettings, PlannerSettings, PlatformSettings,
};
use knapweed_trace::record::{Record, TraceEvent};
use knapweed_trace::run::{ControlRun, Run};
use knapweed_trace::{ExpectedOutcome, Header, Settings, Writer};
use knapweed_world::config::{Caution, RolloutTerms, ServiceConfig, VersionShare};
use knapweed_world::{ConfigVersion, Name, Share, TicketNumber, Time, UnixMillis};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::io::{self, Write};

pub(crate) const START: UnixMillis = UnixMillis(1_700_000_000_000);
const ZONES: [&str; 2] = ["labasa-a", "savusavu-a"];
const ROUTES: [&str; 2] = ["today", "week"];
/// Requests per second, for each zone and route.
const RATE: u32 = 40;
const DEADLINE_S: u64 = 75;
const END_S: u64 = 90;
const COLD_START_S: u64 = 10;
const BASE_FAILURE_RATIO: f64 = 0.002;

/// A simulated rollout with its faults. Times are in seconds after the start.
#[derive(Clone, Debug, Default)]
pub(crate) struct Case {
    title: &'static str,
    failure_ratio: f64,
    failing_from: u64,
    slow_factor: f64,
    slowdown: Option<(u64, u64)>,
    zone_cut_off: Option<(u64, u64)>,
    platform_outage: Option<(u64, u64)>,
    holder_changes: Vec<u64>,
    second_ticket: Option<u64>,
    outcomes: Vec<ExpectedOutcome>,
}

/// Builder methods that set the length, the faults and other properties of the case.
impl Case {
    pub(crate) fn title(mut self, title: &'static str) -> Self {
        self.title = title;
        self
    }

    pub(crate) fn outcomes(mut self, outcomes: Vec<ExpectedOutcome>) -> Self {
        self.outcomes = outcomes;
        self
    }

    pub(crate) fn with_failures(mut self, ratio: f64, from: u64) -> Self {
        (self.failure_ratio, self.failing_from) = (ratio, from);
        self
    }

    pub(crate) fn with_slow_factor(mut self, factor: f64) -> Self {
        self.slow_factor = factor;
        self
    }

    pub(crate) fn slowdown(mut self, from: u64, until: u64) -> Self {
        self.slowdown = Some((from, until));
        self
    }

    pub(crate) fn zone_cut_off(mut self, from: u64, until: u64) -> Self {
        self.zone_cut_off = Some((from, until));
        self
    }

    pub(crate) fn platform_outage(mut self, from: u64, until: u64) -> Self {
        self.platform_outage = Some((from, until));
        self
    }

    pub(crate) fn holder_changes(mut self, at: Vec<u64>) -> Self {
        self.holder_changes = at;
        self
    }

    pub(crate) fn second_ticket(mut self, at: u64) -> Self {
        self.second_ticket = Some(at);
        self
    }
}

/// Simulation and recording.
impl Case {
    pub(crate) fn header(&self, seed: u64) -> Header {
        Header {
            format: FORMAT,
            title: self.title.into(),
            seed: Some(seed),
            start_unix_ms: START,
            settings: Settings::RolloutControl(settings()),
        }
    }

    /// Simulates the case and writes its events and expected outcomes.
    pub(crate) fn write<W: Write>(&self, seed: u64, writer: &mut Writer<W>) -> io::Result<()> {
        let mut recorder = Recorder {
            run: ControlRun::new(settings(), START),
            writer,
        };
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut warm_since = None;
        recorder.control(0, Event::Config(config(1, "v1", "v2")))?;
        recorder.control(0, Event::Capacity(capacity()))?;
        for second in 1..=END_S {
            self.record_scheduled_events(second, &mut recorder)?;
            let share = recorder.run.share();
            if share > Share::NONE {
                warm_since.get_or_insert(second);
            }
            let age = second - warm_since.unwrap_or(second);
            for zone in 0..ZONES.len() {
                let counters = self.window(second, zone, share, age, &mut rng);
                let is_cut = zone == 1 && is_within(self.zone_cut_off, second);
                if !is_cut {
                    recorder.control(second, report(zone, second, counters))?;
                }
            }
        }
        recorder.event(END_S, TraceEvent::End)?;
        self.outcomes.iter().try_for_each(|o| writer.outcome(*o))
    }

    fn record_scheduled_events<W: Write>(
        &self,
        second: u64,
        recorder: &mut Recorder<'_, W>,
    ) -> io::Result<()> {
        if self.platform_outage.is_some_and(|(from, _)| from == second) {
            recorder.event(second, TraceEvent::PlatformDown(true))?;
        }
        if self
            .platform_outage
            .is_some_and(|(_, until)| until == second)
        {
            recorder.event(second, TraceEvent::PlatformDown(false))?;
        }
        if self.holder_changes.contains(&second) {
            recorder.event(second, TraceEvent::NewHolder)?;
            recorder.control(second, Event::Config(config(1, "v1", "v2")))?;
            recorder.control(second, Event::Capacity(capacity()))?;
        }
        if self.second_ticket == Some(second) {
            recorder.control(second, Event::Config(config(2, "v2", "v1")))?;
        }
        Ok(())
    }

    fn window(
        &self,
        second: u64,
        zone: usize,
        share: Share,
        age: u64,
        rng: &mut SmallRng,
    ) -> Counters {
        let mut counters = Counters::default();
        for route in ROUTES {
            for _ in 0..RATE {
                let is_new = rng.random_range(0..10_000) < share.0;
                let id = SeriesId {
                    zone: name(ZONES[zone]),
                    version: name(if is_new { "v2" } else { "v1" }),
                    route: name(route),
                    load: LoadLevel::Low,
                    warmth: if is_new && age < COLD_START_S {
                        Warmth::Cold
                    } else {
                        Warmth::Warm
                    },
                };
                let sample = self.sample(second, is_new, rng);
                if let Some(key) = counters.key(&id) {
                    counters.record(key, sample);
                }
            }
        }
        counters
    }

    fn sample(&self, second: u64, is_new: bool, rng: &mut SmallRng) -> Sample {
        let is_failing = is_new && second >= self.failing_from;
        let extra_ratio = if is_failing { self.failure_ratio } else { 0.0 };
        if rng.random_bool((extra_ratio + BASE_FAILURE_RATIO).min(1.0)) {
            return Sample::Failed;
        }
        let mut latency = 20_000.0 * (1.0 + rng.random::<f64>() + rng.random::<f64>());
        if is_new && self.slow_factor > 0.0 {
            latency *= self.slow_factor;
        }
        if is_within(self.slowdown, second) {
            latency *= 3.0;
        }
        Sample::Succeeded {
            latency_us: latency as u64,
        }
    }
}

/// Applies events to a run, whose shares steer the traffic, and writes them.
struct Recorder<'a, W> {
    run: ControlRun,
    writer: &'a mut Writer<W>,
}

impl<W: Write> Recorder<'_, W> {
    fn control(&mut self, second: u64, event: Event) -> io::Result<()> {
        self.event(second, TraceEvent::Control(Box::new(event)))
    }

    fn event(&mut self, second: u64, event: TraceEvent) -> io::Result<()> {
        let record = Record {
            at: Time::from_millis(second * 1_000),
            event,
        };
        self.run.feed(&record);
        self.writer.record(record)
    }
}

fn settings() -> ControlSettings {
    ControlSettings {
        service: name("calendar"),
        judge: JudgeSettings::Sequential { alpha: 0.001 },
        planner: PlannerSettings::Deadline,
        tick_us: 250_000,
        platform: PlatformSettings::StandIn,
    }
}

fn config(ticket: u64, from: &str, to: &str) -> ServiceConfig {
    ServiceConfig {
        versions: vec![full_share(to)],
        rollout: Some(RolloutTerms {
            start: START,
            deadline: UnixMillis(START.0 + DEADLINE_S * 1_000),
            min_old_capacity: 25,
            caution: Caution::Swift,
            from: vec![full_share(from)],
        }),
        ticket: TicketNumber(ticket),
        changed_at: ConfigVersion(ticket),
        max_connections: None,
        health_path: None,
        cold_limit: None,
    }
}

fn full_share(version: &str) -> VersionShare {
    VersionShare {
        version: name(version),
        share: Share::ALL,
    }
}

fn capacity() -> Vec<ZoneCapacity> {
    let servers = ZONES
        .into_iter()
        .flat_map(|zone| ["v1", "v2"].map(|version| (zone, version)));
    servers
        .map(|(zone, version)| ZoneCapacity {
            zone: name(zone),
            version: name(version),
            slots: 24,
        })
        .collect()
}

fn report(zone: usize, second: u64, counters: Counters) -> Event {
    Event::Report(ZoneReport {
        zone: name(ZONES[zone]),
        relay: name(&format!("host-{zone}")),
        incarnation: 1,
        sequence: second,
        guard_trips: 0,
        counters,
    })
}

fn is_within(span: Option<(u64, u64)>, second: u64) -> bool {
    span.is_some_and(|(from, until)| (from..until).contains(&second))
}

pub(crate) fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}
