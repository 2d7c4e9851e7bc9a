//! Parts of the property tests that play plans in virtual time.

use futures_util::FutureExt;
use knapweed_store::memory::{Faults, Limits};
use knapweed_store::{Backup, Condition, MemoryStore, ObjectKey, ObjectStore};
use knapweed_world::Time;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use std::collections::VecDeque;
use std::fmt::Debug;
use std::ops::Deref;
use std::sync::Arc;
use std::time::Duration;

/// Interval of the copies from which the store may come back.
pub(crate) const COPY_INTERVAL: Duration = ms(250);
/// Number of copies that are kept.
const MAX_COPIES: usize = 24;

/// A duration of whole milliseconds.
pub(crate) const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// How many plans are played, and the seed that they are drawn from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Draw {
    /// Environment variables that replace the number and the seed.
    pub(crate) variables: (&'static str, &'static str),
    /// Number of plans.
    pub(crate) cases: u64,
    /// The seed.
    pub(crate) seed: u64,
}

fn setting(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |text| text.parse().expect("a number"))
}

/// Plays plans and panics with the smallest one that violates a property.
pub(crate) fn assert_holds<P: Debug>(
    draw: Draw,
    plans: impl Strategy<Value = P>,
    play: impl Fn(&P) -> Result<(), String>,
) {
    let config = Config {
        cases: setting(draw.variables.0, draw.cases) as u32,
        rng_seed: RngSeed::Fixed(setting(draw.variables.1, draw.seed)),
        failure_persistence: None,
        ..Config::default()
    };
    // Waits of the store need a timer, which no run gets to.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime");
    let _guard = runtime.enter();
    let play = |plan: P| play(&plan).map_err(TestCaseError::fail);
    if let Err(err) = TestRunner::new(config).run(&plans, play) {
        panic!("{err}");
    }
}

/// Writes an object whatever its revision is.
pub(crate) fn put(store: &MemoryStore, key: &ObjectKey, value: impl Into<bytes::Bytes>) {
    let current = store.peek(key).map(|object| object.revision);
    let condition = current.map_or(Condition::Absent, Condition::Revision);
    let written = store.write(key, value.into(), condition).now_or_never();
    written
        .expect("no delay is injected")
        .expect("the store is up");
}

/// A store that may be away for a time and come back from a copy.
pub(crate) struct CopiedStore {
    store: Arc<MemoryStore>,
    /// Copies with their times, the newest first.
    copies: VecDeque<(Time, Backup)>,
    is_away: bool,
    /// Number of writes of servers so far.
    server_writes: u64,
}

impl Deref for CopiedStore {
    type Target = MemoryStore;

    fn deref(&self) -> &MemoryStore {
        &self.store
    }
}

impl CopiedStore {
    /// An empty store without a copy.
    pub(crate) fn new() -> Self {
        Self {
            store: Arc::new(MemoryStore::with_limits(Limits::NONE)),
            copies: VecDeque::new(),
            is_away: false,
            server_writes: 0,
        }
    }

    /// The store itself, for a client.
    #[allow(dead_code, reason = "not all tests have a client of their own")]
    pub(crate) fn shared(&self) -> Arc<MemoryStore> {
        Arc::clone(&self.store)
    }

    /// Whether it does not answer.
    pub(crate) fn is_away(&self) -> bool {
        self.is_away
    }

    /// Makes it answer no call, or all.
    pub(crate) fn set_away(&mut self, is_away: bool) {
        self.is_away = is_away;
        self.store.set_faults(Faults {
            outage: is_away,
            ..Faults::default()
        });
    }

    /// Copies its content.
    pub(crate) fn copy(&mut self, now: Time) {
        self.copies.push_front((now, self.store.backup()));
        self.copies.truncate(MAX_COPIES);
    }

    /// The newest copy that is not younger than `time`, or else the oldest one.
    pub(crate) fn copy_at(&self, time: Time) -> Backup {
        let copy = self.copies.iter().find(|(at, _)| *at <= time);
        let copy = copy.or(self.copies.back());
        copy.map(|(_, copy)| copy.clone()).expect("a copy")
    }

    /// Comes back from a copy.
    pub(crate) fn come_back(&mut self, now: Time, copy: &Backup) {
        self.store.restore(copy);
        self.copies.clear();
        self.copy(now);
    }

    /// Writes objects of servers, which raises the revision, unless it is away.
    pub(crate) fn write_as_servers(&mut self, count: u8) {
        if self.is_away {
            return;
        }
        for _ in 0..count {
            self.server_writes += 1;
            let key = ObjectKey::new("instances", format!("{}", self.server_writes % 5));
            put(&self.store, &key, self.server_writes.to_string());
        }
    }
}
