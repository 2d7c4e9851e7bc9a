//! A simulated service: backend servers of an old and a new version that process
//! requests.

use super::name;
use super::scenario::{Bad, Scenario, Size, Version};
use knapweed_rollout::counters::{Counters, LoadLevel, Sample, SeriesId, SeriesKey, Warmth};
use knapweed_rollout::guard::{Guard, Options};
use knapweed_rollout::{RolloutState, ZoneCapacity};
use knapweed_world::{Name, Share, TicketNumber, Time};
use rand::Rng;
use rand::rngs::SmallRng;
use std::f64::consts::TAU;
use std::time::Duration;

pub const ROUTES: [&str; 3] = ["today", "week", "book"];
/// Number of series per zone: versions x routes x load levels x warmth.
const KEYS: usize = 2 * 3 * 4 * 2;
const LATENCY_SIGMA: f64 = 0.5;
const OLD: usize = 0;
const NEW: usize = 1;

struct Server {
    version: usize,
    zone: usize,
    ready: f64,
    first_request: Option<f64>,
    /// Exponentially decaying sum of latencies, from which the slots in use are
    /// estimated.
    in_use: f64,
    updated: f64,
    guard: Option<Guard>,
}

/// Counts and times of a replay; times are in seconds after the start.
#[derive(Clone, Debug, Default)]
pub struct Tallies {
    pub requests: u64,
    pub to_new: u64,
    /// Requests to the new version since its first faulty request.
    pub to_bad: u64,
    pub first_fault: Option<f64>,
    pub last_to_new: Option<f64>,
    pub last_step: Option<f64>,
    pub guard_trips: u64,
    /// Largest number of failed requests to the new version at one egress.
    pub guard_failures: u64,
}

pub struct Service {
    pub scenario: Scenario,
    pub tallies: Tallies,
    versions: [Name; 2],
    routes: [Name; 3],
    zones: Vec<Name>,
    servers: Vec<Server>,
    failed_at: Vec<u64>,
    trips: [u32; 4],
    windows: Vec<Counters>,
    /// Keys of the series in the current windows: per zone, one for each version,
    /// route, load level and warmth.
    keys: Vec<[Option<SeriesKey>; KEYS]>,
    latency_factors: Vec<f64>,
}

impl Service {
    pub fn new(scenario: Scenario, has_guard: bool, rng: &mut SmallRng) -> Self {
        let mut servers = Vec::new();
        for i in 0..scenario.servers {
            servers.push(Server::new(OLD, i % 4, -1_000.0, false));
        }
        for i in 0..scenario.servers {
            let (zone, ready) = (scenario.zones[i], scenario.ready[i]);
            servers.push(Server::new(NEW, zone, ready, has_guard));
        }
        let zones = scenario.deployment.zones.map(name);
        Self {
            tallies: Tallies::default(),
            versions: ["v1", "v2"].map(name),
            routes: ROUTES.map(name),
            windows: vec![Counters::default(); zones.len()],
            keys: vec![[None; KEYS]; zones.len()],
            zones: zones.to_vec(),
            trips: [0; 4],
            failed_at: vec![0; servers.len()],
            servers,
            latency_factors: (0..4_096)
                .map(|_| (LATENCY_SIGMA * normal(rng)).exp())
                .collect(),
            scenario,
        }
    }

    pub fn capacity(&self, t: f64) -> Vec<ZoneCapacity> {
        let ready = self.servers.iter().filter(|s| s.ready <= t);
        let slots = self.scenario.deployment.slots;
        ready
            .map(|s| ZoneCapacity {
                zone: self.zones[s.zone].clone(),
                version: self.versions[s.version].clone(),
                slots,
            })
            .collect()
    }

    pub fn take_window(&mut self, zone: usize) -> Counters {
        self.keys[zone] = [None; KEYS];
        std::mem::take(&mut self.windows[zone])
    }

    /// Number of guards that tripped in the zone since the last call.
    pub fn take_trips(&mut self, zone: usize) -> u32 {
        std::mem::take(&mut self.trips[zone])
    }

    /// Passes the state that the nodes apply to all guards.
    pub fn apply(&mut self, state: &RolloutState) {
        let guards = self.servers.iter_mut().filter_map(|s| s.guard.as_mut());
        guards.for_each(|guard| guard.apply_state(state));
    }

    pub fn zone(&self, zone: usize) -> &Name {
        &self.zones[zone]
    }

    /// Simulates the requests of a step of `dt` seconds; `new` is the share of the
    /// new version.
    pub fn run(&mut self, t: f64, dt: f64, new: Share, rng: &mut SmallRng) {
        if new == Share::ALL {
            self.tallies.last_step.get_or_insert(t);
        }
        for zone in 0..4 {
            for route in 0..3 {
                let mean = self.scenario.rate * self.scenario.routes[route] * dt / 4.0;
                for _ in 0..poisson(mean, rng) {
                    let is_new = rng.random_range(0..10_000) < new.0;
                    let version = if is_new { NEW } else { OLD };
                    self.request(t, zone, route, version, rng);
                }
            }
        }
    }

    fn request(&mut self, t: f64, zone: usize, route: usize, version: usize, rng: &mut SmallRng) {
        let other = 1 - version;
        let found = self.choose(t, zone, version, rng);
        let Some(i) = found.or_else(|| self.choose(t, zone, other, rng)) else {
            return;
        };
        self.tallies.requests += 1;
        let slots = self.scenario.deployment.slots;
        let in_use = self.servers[i].in_use_at(t);
        let in_use = (in_use + in_use.sqrt() * normal(rng)).max(0.0);
        let sample = self.outcome(t, i, route, in_use / f64::from(slots), rng);
        let server = &mut self.servers[i];
        let started = *server.first_request.get_or_insert(t);
        let latency_s = match sample {
            Sample::Succeeded { latency_us } => latency_us as f64 / 1e6,
            Sample::Failed => 0.005,
        };
        server.in_use += latency_s;
        let age = if server.version == OLD {
            1e6
        } else {
            t - started
        };
        let (zone, version) = (server.zone, server.version);
        let load = LoadLevel::of(in_use as u32, slots);
        let warmth = Warmth::of(Duration::from_secs_f64(age));
        self.count([zone, version, route], load, warmth, sample);
        self.guard(t, i, route, sample);
    }

    fn count(&mut self, place: [usize; 3], load: LoadLevel, warmth: Warmth, sample: Sample) {
        let [zone, version, route] = place;
        let nth = ((version * 3 + route) * 4 + load as usize) * 2 + warmth as usize;
        let window = &mut self.windows[zone];
        let key = *self.keys[zone][nth].get_or_insert_with(|| {
            let id = SeriesId {
                zone: self.zones[zone].clone(),
                version: self.versions[version].clone(),
                route: self.routes[route].clone(),
                load,
                warmth,
            };
            window.key(&id).unwrap()
        });
        window.record(key, sample);
    }

    fn outcome(&mut self, t: f64, i: usize, route: usize, load: f64, rng: &mut SmallRng) -> Sample {
        let s = &self.scenario;
        let server = &self.servers[i];
        let mut latency = s.latency_us[route] * self.latency_factors[rng.random_range(0..4_096)];
        latency *= 1.0 + (load - 0.8).max(0.0) * 2.0;
        let mut failing = s.usual_failures;
        if s.slowdown.contains(t) {
            latency *= s.slowdown_factor;
        }
        if s.failing.contains(t) {
            failing += s.failing_fraction;
        }
        if server.version == NEW {
            let age = server.first_request.map_or(0.0, |at| t - at);
            if age < 10.0 {
                latency *= s.cold_factor;
            }
            let size = fault(s, &self.tallies, server, t, age, route, load);
            let mut shows = size.is_some();
            match size {
                Some(Size::Fails(part)) => {
                    shows = rng.random_bool(part);
                    failing = if shows { 1.0 } else { failing };
                }
                Some(Size::Slows(factor)) => latency *= factor,
                None => {}
            }
            if shows {
                self.tallies.first_fault.get_or_insert(t);
            }
            self.tallies.to_new += 1;
            self.tallies.last_to_new = Some(t);
            if self.tallies.first_fault.is_some() {
                self.tallies.to_bad += 1;
            }
        }
        if rng.random_bool(failing.min(1.0)) {
            Sample::Failed
        } else {
            Sample::Succeeded {
                latency_us: latency as u64,
            }
        }
    }

    /// Picks a random ready server of the version: in the zone, else in the region,
    /// else anywhere.
    fn choose(&self, t: f64, zone: usize, version: usize, rng: &mut SmallRng) -> Option<usize> {
        let usable = |s: &Server| {
            let admitted = s.guard.as_ref().is_none_or(Guard::admits);
            s.version == version && s.ready <= t && admitted
        };
        let near = |s: &Server, distance: usize| match distance {
            0 => s.zone == zone,
            1 => s.zone / 2 == zone / 2,
            _ => true,
        };
        for distance in 0..3 {
            let found = |s: &Server| usable(s) && near(s, distance);
            let count = self.servers.iter().filter(|s| found(s)).count();
            if count > 0 {
                let nth = rng.random_range(0..count);
                let mut found = (0..self.servers.len()).filter(|i| found(&self.servers[*i]));
                return found.nth(nth);
            }
        }
        None
    }

    fn guard(&mut self, t: f64, i: usize, route: usize, sample: Sample) {
        let server = &mut self.servers[i];
        let failed = sample == Sample::Failed;
        if server.version == OLD {
            return;
        }
        self.failed_at[i] += u64::from(failed);
        let worst = self.tallies.guard_failures.max(self.failed_at[i]);
        self.tallies.guard_failures = worst;
        if let Some(guard) = &mut server.guard {
            let key = guard.route(&self.routes[route]);
            let had_tripped = !guard.admits();
            guard.record_new(key, failed, Time((t * 1e6) as u64));
            if !had_tripped && !guard.admits() {
                self.tallies.guard_trips += 1;
                self.trips[server.zone] += 1;
            }
        }
    }
}

impl Server {
    fn new(version: usize, zone: usize, ready: f64, has_guard: bool) -> Self {
        Self {
            version,
            zone,
            ready,
            first_request: None,
            in_use: 0.0,
            updated: 0.0,
            guard: has_guard.then(|| Guard::new(TicketNumber(1), Options::default())),
        }
    }

    /// Estimated requests in flight: arrival rate times latency, averaged over two
    /// seconds.
    fn in_use_at(&mut self, t: f64) -> f64 {
        self.in_use *= (-(t - self.updated) / 2.0).exp();
        self.updated = t;
        self.in_use / 2.0
    }
}

/// The fault that affects a request at time `t`, if any.
fn fault(
    s: &Scenario,
    tallies: &Tallies,
    server: &Server,
    t: f64,
    age: f64,
    route: usize,
    load: f64,
) -> Option<Size> {
    let Version::Bad(bad, size) = s.version else {
        return None;
    };
    let affects_request = match bad {
        Bad::AtOnce => true,
        Bad::Later => t >= s.onset,
        Bad::UnderLoad => load >= 0.5,
        Bad::OneRoute => route == s.bad_route,
        Bad::OneZone => server.zone == s.bad_zone,
        Bad::Intermittent => t % 15.0 < 5.0,
        Bad::AfterColdStart => age >= 10.0,
        Bad::AfterLastStep => tallies.last_step.is_some_and(|at| t >= at + 2.0),
    };
    affects_request.then_some(size)
}

fn normal(rng: &mut SmallRng) -> f64 {
    let u: f64 = rng.random_range(1e-12..1.0);
    (-2.0 * u.ln()).sqrt() * (TAU * rng.random::<f64>()).cos()
}

fn poisson(mean: f64, rng: &mut SmallRng) -> u32 {
    let limit = (-mean).exp();
    let mut product: f64 = rng.random();
    let mut count = 0;
    while product > limit {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}
