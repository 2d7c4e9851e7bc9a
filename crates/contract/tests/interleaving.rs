//! Simulates processes that file tickets, record acceptances and delete unused
//! parts. A seed determines how their store calls interleave, and which processes
//! stop, which responses are lost and which writes are delayed.

mod common;

use common::sim::{Process, SimPlatform, step};
use common::world::{ManualClock, driver, file, no_waits, record};
use common::{route, service, set_service};
use knapweed_contract::gc::{GRACE_PERIOD, PartCollector};
use knapweed_contract::{Driver, Head, Outcome, PartCache, parts};
use knapweed_store::memory::MemoryStore;
use knapweed_store::{ObjectKey, ObjectStore};
use knapweed_world::{ConfigVersion, Time};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const SEEDS: u64 = 200;
const FAULT_PERCENT: u32 = 12;
/// One less than the limit of recent tickets in the head, so that evictions start
/// with the second ticket of the simulation.
const TICKETS_BEFORE: u64 = 63;
const MAX_STOPS: u32 = 6;
const MAX_STEPS: u32 = 100_000;
const COLLECTIONS: u32 = 6;

#[derive(Clone, Copy, Default)]
struct OutcomeCounts {
    accepted: u32,
    refused: u32,
    superseded: u32,
    taken: u32,
    unavailable: u32,
    unknown: u32,
}

impl OutcomeCounts {
    fn count(&mut self, outcome: &Outcome) {
        let counter = match outcome {
            Outcome::Accepted { .. } => &mut self.accepted,
            Outcome::Refused { .. } | Outcome::Malformed { .. } => &mut self.refused,
            Outcome::Superseded { .. } => &mut self.superseded,
            Outcome::NumberTaken { .. } => &mut self.taken,
            Outcome::Unavailable { .. } => &mut self.unavailable,
            Outcome::Unknown { .. } => &mut self.unknown,
        };
        *counter += 1;
    }
}

fn initial_objects() -> Vec<(ObjectKey, bytes::Bytes)> {
    let (platform, clock) = (MemoryStore::new(), ManualClock::new());
    let first = json!({ "ticket": 1,
        "services": [service("calendar", "v1"), service("switching", "v1")],
        "routes": [route("switching", "/switching", "switching")] });
    file(&platform, &clock, first.to_string().as_bytes());
    for number in 2..=TICKETS_BEFORE {
        let version = format!("v{}", number % 2);
        file(
            &platform,
            &clock,
            &set_service(number, None, "surveys", &version),
        );
    }
    SimPlatform::objects(&platform)
}

fn documents() -> Vec<Value> {
    let base = TICKETS_BEFORE;
    vec![
        json!({ "ticket": 201, "services": [service("calendar", "v2")] }),
        json!({ "ticket": 202, "base": base, "services": [service("calendar", "v3")] }),
        json!({ "ticket": 203, "base": base,
            "remove": { "services": ["switching"], "routes": ["switching"] } }),
        json!({ "ticket": 204, "base": base, "services": [service("switching", "v2")] }),
        json!({ "ticket": 205, "services": [service("planning", "v1")],
            "routes": [route("planning", "/planning", "planning")] }),
        json!({ "ticket": 205, "services": [service("planning", "v2")] }),
        json!({ "ticket": 206, "base": base, "routes": [route("s", "/s", "switching")] }),
        json!({ "ticket": 207, "services": [{ "name": "surveys",
            "versions": [{ "version": "v9", "share": 100 }],
            "rollout": { "deadline": "2026-03-01T06:00:25Z" } }] }),
        json!({ "ticket": 208, "services": [service("surveys", "v1")] }),
    ]
}

struct Sim<'a> {
    seed: u64,
    platform: &'a SimPlatform,
    documents: &'a [Vec<u8>],
    filers: Vec<(usize, Process<'a, Outcome>)>,
    workers: Vec<Process<'a, ()>>,
    /// Outcomes reported by the filing processes, with the index of the document.
    reported: Vec<(usize, Outcome)>,
}

impl<'a> Sim<'a> {
    fn start_filer(&mut self, document: usize) {
        let (platform, bytes) = (self.platform, &self.documents[document]);
        let process = Box::pin(async move {
            let driver = Driver::new(platform, &platform.clock).backoff(no_waits());
            driver.file(bytes, &mut PartCache::default()).await
        });
        self.filers.push((document, process));
    }

    fn run(&mut self) {
        let (mut stops, mut checked) = (0, 0);
        for _ in 0..MAX_STEPS {
            if self.filers.is_empty() && self.workers.is_empty() {
                return;
            }
            self.inject_disturbances();
            let count = (self.filers.len() + self.workers.len()) as u32;
            let index = self.platform.random(count) as usize;
            self.step(index);
            let stop = stops < MAX_STOPS && self.platform.random(100) < 2;
            if stop && !self.filers.is_empty() {
                let index = self.platform.random(self.filers.len() as u32) as usize;
                let (document, _) = self.filers.swap_remove(index);
                self.start_filer(document);
                stops += 1;
            }
            let writes = self.platform.inner.calls().writes;
            if writes > checked {
                self.platform.assert_parts(self.seed);
                checked = writes;
            }
        }
        panic!("seed {}: not finished", self.seed);
    }

    fn inject_disturbances(&self) {
        if self.platform.random(10) == 0 {
            self.platform.apply_delayed();
        }
        let pause = match self.platform.random(100) {
            0..10 => Duration::from_millis(300),
            10 => Duration::from_secs(7),
            _ => Duration::ZERO,
        };
        self.platform.clock.advance(pause);
    }

    fn step(&mut self, index: usize) {
        let Some((document, process)) = self.filers.get_mut(index) else {
            let index = index - self.filers.len();
            if step(&mut self.workers[index]).is_some() {
                drop(self.workers.swap_remove(index));
            }
            return;
        };
        if let Some(outcome) = step(process) {
            self.reported.push((*document, outcome));
            drop(self.filers.swap_remove(index));
        }
    }
}

/// Deletes unused parts. The clock advances by the grace period before each listing.
async fn gc(platform: &SimPlatform) {
    let mut collector = PartCollector::default();
    let driver = driver(platform, &platform.clock);
    let mut now = Time::default();
    for _ in 0..COLLECTIONS {
        now = now.after(GRACE_PERIOD);
        let Ok(listed) = platform.list(parts::KIND).await else {
            continue;
        };
        let Ok((revision, head)) = driver.head().await else {
            continue;
        };
        let listed: Vec<_> = listed
            .objects
            .into_iter()
            .map(|(key, object)| (key, object.revision))
            .collect();
        for deletion in collector.observe(&listed, &head, revision, now) {
            let _ = platform.delete(&deletion.key, deletion.revision).await;
        }
    }
}

/// Records missing acceptances of recent tickets, as zone relays do.
async fn add_progress(platform: &SimPlatform) {
    let driver = driver(platform, &platform.clock);
    if let Ok((_, head)) = driver.head().await {
        let _ = driver
            .record_missing_acceptances(&head, &mut BTreeSet::new())
            .await;
    }
}

/// Returns the version of each ticket according to the heads that were written, and
/// asserts that versions have no gaps and tickets no second version.
fn versions(seed: u64, heads: &[Head]) -> BTreeMap<u64, ConfigVersion> {
    let mut versions = BTreeMap::new();
    let mut last = ConfigVersion(TICKETS_BEFORE);
    for head in heads {
        if head.version == last {
            continue;
        }
        assert_eq!(
            head.version,
            last.next(),
            "seed {seed}: gap in the versions"
        );
        last = head.version;
        let newest = head.recent.back().expect("the ticket of this version");
        let before = versions.insert(newest.ticket.0, newest.version);
        assert_eq!(before, None, "seed {seed}: ticket {} twice", newest.ticket);
    }
    versions
}

fn simulate(seed: u64, objects: &[(ObjectKey, bytes::Bytes)], stats: &mut OutcomeCounts) {
    let platform = SimPlatform::new(seed, FAULT_PERCENT, objects);
    let values = documents();
    let numbers: Vec<_> = values
        .iter()
        .map(|d| d["ticket"].as_u64().expect("a number"))
        .collect();
    let documents: Vec<_> = values.iter().map(|d| d.to_string().into_bytes()).collect();
    let mut sim = Sim {
        seed,
        platform: &platform,
        documents: &documents,
        filers: Vec::new(),
        workers: vec![Box::pin(gc(&platform)), Box::pin(add_progress(&platform))],
        reported: Vec::new(),
    };
    for document in 0..documents.len() {
        for _ in 0..=platform.random(2) {
            sim.start_filer(document);
        }
    }
    sim.run();
    let reported = std::mem::take(&mut sim.reported);
    drop(sim);
    while platform.apply_delayed() {}

    // Files each document again without faults to obtain its final outcome.
    let clock = ManualClock::new();
    clock.advance(Duration::from_secs(60));
    let finals: Vec<_> = documents
        .iter()
        .map(|d| file(&platform.inner, &clock, d))
        .collect();
    let mut heads = platform.heads.lock().expect("one thread").clone();
    let seen = versions(seed, &heads);
    let head = common::world::head(&platform.inner);
    let later = head
        .recent
        .iter()
        .filter(|a| !seen.contains_key(&a.ticket.0));
    let later: Vec<_> = later
        .filter(|a| a.version > ConfigVersion(TICKETS_BEFORE))
        .collect();
    for accepted in later {
        let version = accepted.version;
        let recent = [*accepted].into();
        heads.push(Head {
            version,
            recent,
            ..Head::default()
        });
    }
    let versions = versions(seed, &heads);
    let config = common::world::config(&platform.inner);
    assert!(config.routes.values().all(|r| {
        r.destinations
            .iter()
            .all(|d| config.services.contains_key(&d.service))
    }));

    for (document, outcome) in &reported {
        let (number, last) = (numbers[*document], &finals[*document]);
        let version = versions.get(&number).copied();
        match outcome {
            Outcome::Unavailable { .. } | Outcome::Unknown { .. } => {}
            outcome => assert_eq!(outcome, last, "seed {seed}: ticket {number}"),
        }
        if let Outcome::Accepted {
            version: claimed, ..
        } = outcome
        {
            assert_eq!(version, Some(*claimed), "seed {seed}: ticket {number}");
        }
        stats.count(outcome);
    }
    for (document, outcome) in finals.iter().enumerate() {
        let number = numbers[document];
        let record = record(&platform.inner, number).expect("a filed ticket");
        match outcome {
            Outcome::Accepted { version, .. } => {
                assert_eq!(versions.get(&number), Some(version), "seed {seed}");
                assert_eq!(
                    record.progress.map(|p| p.version),
                    Some(*version),
                    "seed {seed}"
                );
                assert_eq!(record.result, None, "seed {seed}");
            }
            Outcome::Refused { .. } | Outcome::Superseded { .. } => {
                assert_eq!(versions.get(&number), None, "seed {seed}: ticket {number}");
                assert!(record.result.is_some(), "seed {seed}: ticket {number}");
            }
            Outcome::NumberTaken { .. } => {}
            other => panic!("seed {seed}: {other:?}"),
        }
    }
    for number in 1..=TICKETS_BEFORE {
        let progress = record(&platform.inner, number).and_then(|r| r.progress);
        assert_eq!(progress.map(|p| p.version.0), Some(number), "seed {seed}");
    }
}

/// Guards against orders of calls in which a ticket gets two versions or two
/// different outcomes, or a head refers to missing parts (requirements F4, F5, F6
/// and F10).
#[test]
fn random_interleavings_keep_every_promise() {
    let objects = initial_objects();
    let number = |name| std::env::var(name).map(|n: String| n.parse().expect("a number"));
    let seeds = match number("SEED") {
        Ok(seed) => seed..seed + 1,
        Err(_) => 0..number("SEEDS").unwrap_or(SEEDS),
    };
    println!("seeds {seeds:?}; SEED=<n> runs one, SEEDS=<n> the first n");
    let mut stats = OutcomeCounts::default();
    for seed in seeds.clone() {
        simulate(seed, &objects, &mut stats);
    }
    println!(
        "accepted {}, refused {}, superseded {}, taken {}, unavailable {}, unknown {}",
        stats.accepted,
        stats.refused,
        stats.superseded,
        stats.taken,
        stats.unavailable,
        stats.unknown
    );
    if seeds.end - seeds.start >= SEEDS {
        let least = [stats.accepted, stats.refused, stats.superseded, stats.taken];
        assert!(
            least.iter().all(|count| *count > 100),
            "at least one outcome occurred too rarely"
        );
    }
}
