//! Scenarios of simulated rollouts, generated from a seed.

use knapweed_world::config::Caution;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Size and zones of a deployment that the design describes in section 2.5.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    pub title: &'static str,
    pub caution: Caution,
    pub servers: [usize; 3],
    pub slots: u32,
    pub zones: [&'static str; 4],
}

pub const POWER_AUTHORITY: Deployment = Deployment {
    title: "Power Authority",
    caution: Caution::Careful,
    servers: [4, 4, 4],
    slots: 12,
    zones: ["labasa-a", "labasa-b", "savusavu-a", "savusavu-b"],
};

pub const POYRAZ: Deployment = Deployment {
    title: "Poyraz",
    caution: Caution::Swift,
    servers: [5, 4, 4],
    slots: 6,
    zones: [
        "aegean-izmir",
        "aegean-bodrum",
        "marmara-istanbul",
        "marmara-bursa",
    ],
};

/// Condition under which a version without a fault is rolled out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Good {
    Plain,
    LittleTraffic,
    UnevenZones,
    ColdStart,
    GeneralSlowdown,
    GeneralFailures,
    ShortDeadline,
    LongDeadline,
    PlatformOutage,
}

pub const GOOD: [Good; 9] = [
    Good::Plain,
    Good::LittleTraffic,
    Good::UnevenZones,
    Good::ColdStart,
    Good::GeneralSlowdown,
    Good::GeneralFailures,
    Good::ShortDeadline,
    Good::LongDeadline,
    Good::PlatformOutage,
];

/// Where and when a new version with a fault fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Bad {
    AtOnce,
    Later,
    UnderLoad,
    OneRoute,
    OneZone,
    Intermittent,
    AfterColdStart,
    AfterLastStep,
}

pub const BAD: [Bad; 8] = [
    Bad::AtOnce,
    Bad::Later,
    Bad::UnderLoad,
    Bad::OneRoute,
    Bad::OneZone,
    Bad::Intermittent,
    Bad::AfterColdStart,
    Bad::AfterLastStep,
];

/// Kind and severity of a fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Size {
    /// This fraction of the requests fails.
    Fails(f64),
    /// The latency is multiplied by this factor.
    Slows(f64),
}

pub const SIZES: [Size; 7] = [
    Size::Fails(1.0),
    Size::Fails(0.3),
    Size::Fails(0.1),
    Size::Fails(0.05),
    Size::Slows(2.0),
    Size::Slows(4.0),
    Size::Slows(20.0),
];

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Version {
    Good(Good),
    Bad(Bad, Size),
}

/// A time interval in seconds after the start; `to` is exclusive.
#[derive(Clone, Copy, Debug, Default)]
pub struct Span {
    pub from: f64,
    pub to: f64,
}

impl Span {
    pub const NEVER: Self = Self {
        from: -1.0,
        to: -1.0,
    };

    pub fn contains(&self, t: f64) -> bool {
        self.from <= t && t < self.to
    }
}

/// All parameters of a simulated rollout.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub deployment: Deployment,
    pub version: Version,
    pub servers: usize,
    pub deadline_s: u64,
    /// Requests per second to the whole service.
    pub rate: f64,
    /// Fraction of the requests on each route.
    pub routes: [f64; 3],
    /// Median latency of each route in microseconds.
    pub latency_us: [f64; 3],
    pub usual_failures: f64,
    /// Factor on the latency of a new server in its first ten seconds.
    pub cold_factor: f64,
    /// When each new server becomes ready, in seconds.
    pub ready: Vec<f64>,
    /// Index of the zone of each new server.
    pub zones: Vec<usize>,
    pub slowdown: Span,
    pub slowdown_factor: f64,
    pub failing: Span,
    pub failing_fraction: f64,
    pub outage: Span,
    /// Zone whose reports are lost, and when.
    pub cut: Option<(usize, Span)>,
    /// When a fault of the kind [`Bad::Later`] begins, in seconds.
    pub onset: f64,
    pub bad_route: usize,
    pub bad_zone: usize,
}

impl Scenario {
    pub fn draw(deployment: Deployment, version: Version, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let servers = deployment.servers[rng.random_range(0..3)];
        let deadline_s = [120, 180, 300][rng.random_range(0..3)];
        let mut scenario = Self {
            seed,
            deployment,
            version,
            servers,
            deadline_s,
            rate: rng.random_range(20.0..90.0),
            routes: [0.6, 0.3, 0.1],
            latency_us: [0; 3].map(|_| rng.random_range(20_000.0..90_000.0)),
            usual_failures: rng.random_range(0.0..0.008),
            cold_factor: rng.random_range(1.0..3.0),
            ready: (0..servers).map(|_| rng.random_range(1.0..8.0)).collect(),
            zones: (0..servers).map(|i| i % 4).collect(),
            slowdown: Span::NEVER,
            slowdown_factor: 1.0,
            failing: Span::NEVER,
            failing_fraction: 0.0,
            outage: Span::NEVER,
            cut: None,
            onset: 0.0,
            bad_route: rng.random_range(0..3),
            bad_zone: rng.random_range(0..4),
        };
        match version {
            Version::Good(good) => scenario.set_good(good, &mut rng),
            Version::Bad(bad, _) => scenario.set_bad(bad, &mut rng),
        }
        scenario
    }

    fn set_good(&mut self, good: Good, rng: &mut SmallRng) {
        let time = self.deadline_s as f64;
        match good {
            Good::Plain => {}
            Good::LittleTraffic => self.rate = rng.random_range(0.2..3.0),
            Good::UnevenZones => self.zones.iter_mut().for_each(|z| *z %= 2),
            Good::ColdStart => self.cold_factor = rng.random_range(4.0..15.0),
            Good::GeneralSlowdown => {
                self.slowdown = span(rng, time, 10.0..60.0);
                self.slowdown_factor = rng.random_range(1.5..6.0);
            }
            Good::GeneralFailures => {
                self.failing = span(rng, time, 5.0..40.0);
                self.failing_fraction = rng.random_range(0.05..0.6);
            }
            Good::ShortDeadline => self.set_deadline(rng.random_range(20..60)),
            Good::LongDeadline => self.set_deadline(rng.random_range(600..1_200)),
            Good::PlatformOutage => self.outage = span(rng, time * 0.7, 5.0..30.0),
        }
    }

    fn set_bad(&mut self, bad: Bad, rng: &mut SmallRng) {
        match bad {
            Bad::Later => self.onset = rng.random_range(0.2..0.7) * self.deadline_s as f64,
            Bad::UnderLoad => {
                let slots = f64::from(self.deployment.slots) * self.servers as f64;
                let mean: f64 = (0..3).map(|r| self.routes[r] * self.latency_us[r]).sum();
                self.rate = 0.6 * slots / (mean / 1e6);
            }
            _ => {}
        }
    }

    fn set_deadline(&mut self, seconds: u64) {
        self.deadline_s = seconds;
        let latest = seconds as f64 * 0.1;
        for ready in &mut self.ready {
            *ready = ready.min(latest);
        }
    }
}

fn span(rng: &mut SmallRng, time: f64, length: std::ops::Range<f64>) -> Span {
    let from = rng.random_range(0.1..0.9) * time;
    Span {
        from,
        to: from + rng.random_range(length),
    }
}
